package cli

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/platform"
)

// platformView is the output form of the active configuration and the instance list.
type platformView struct {
	Version  int64         `json:"version"`
	Routes   []routeView   `json:"routes"`
	Services []serviceView `json:"services"`
	// Malformed counts the entries of the instance list that name no endpoint.
	Malformed int `json:"malformed_entries"`
}

type routeView struct {
	Name    string `json:"name"`
	Host    string `json:"host"`
	Prefix  string `json:"prefix"`
	Kind    string `json:"kind"`
	Targets string `json:"targets"`
}

type serviceView struct {
	Name        string `json:"name"`
	DataCentre  string `json:"data_centre"`
	Ready       int    `json:"ready"`
	Draining    int    `json:"draining"`
	Reclaimable int    `json:"reclaimable"`
}

// platformCommand shows the configuration and the instance list that the users'
// store holds.
func platformCommand(o *options) *cobra.Command {
	show := storeCommand(o, &cobra.Command{
		Use:     "show",
		Short:   "Show the configuration in force and the endpoints of each service",
		Example: "  cornelctl platform show --store 10.200.1.7:8225",
	}, func(ctx context.Context, address string) (storeView, error) {
		view, err := readPlatform(ctx, address)
		return storeView{data: view, rows: view.rows()}, err
	})
	root := &cobra.Command{Use: "platform", Short: "Read the users' platform that cornelhold-edge runs on"}
	root.AddCommand(show)
	return root
}

func readPlatform(ctx context.Context, address string) (platformView, error) {
	store := platform.NewStore(address)
	defer store.Close()
	var view platformView
	configs, err := store.Newest(ctx, platform.TopicConfig)
	if err != nil {
		return view, Error.New("cannot read the configuration: %w; check --store", err)
	}
	record, ok := platform.ConfigRecord(configs.Records)
	if !ok {
		return view, Error.New("the store holds no configuration; file one first")
	}
	c, err := platform.DecodeCatalog(record.Value)
	if err != nil {
		return view, Error.Wrap(err)
	}
	entries, err := store.Newest(ctx, platform.TopicEndpoints)
	if err != nil {
		return view, Error.New("cannot read the instance list: %w; check that the store is reachable and try again", err)
	}
	view.Version = int64(c.Version)
	for _, r := range c.Routes {
		view.Routes = append(view.Routes, routeView{
			Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: r.Kind.String(), Targets: formatTargets(r.Targets),
		})
	}
	view.addEntries(entries.Records)
	return view, nil
}

func formatTargets(list []catalog.Target) string {
	text := ""
	for i, t := range list {
		if i > 0 {
			text += ", "
		}
		text += string(t.Service)
		if len(list) > 1 {
			text += fmt.Sprintf(" (weight %g)", t.Weight)
		}
	}
	return text
}

func (v *platformView) addEntries(records []platform.Record) {
	type serviceZone struct {
		service fleet.ServiceName
		dc      fleet.DataCentre
	}
	counts := make(map[serviceZone]*serviceView)
	for _, r := range records {
		entry, err := platform.DecodeEntry(r)
		if err != nil {
			v.Malformed++
			continue
		}
		if entry.Endpoint == nil {
			continue
		}
		e := entry.Endpoint
		key := serviceZone{e.Service, e.DataCentre}
		if counts[key] == nil {
			counts[key] = &serviceView{Name: string(e.Service), DataCentre: string(e.DataCentre)}
		}
		switch {
		case e.Draining:
			counts[key].Draining++
		default:
			counts[key].Ready++
		}
		if e.Reclaimable {
			counts[key].Reclaimable++
		}
	}
	for _, s := range counts {
		v.Services = append(v.Services, *s)
	}
	slices.SortFunc(v.Services, func(a, b serviceView) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.DataCentre, b.DataCentre))
	})
}

func (v *platformView) rows() [][]string {
	rows := [][]string{{"VERSION", strconv.FormatInt(v.Version, 10), "", "", ""}}
	rows = append(rows, []string{"ROUTE", "HOST", "PREFIX", "KIND", "SERVICE"})
	for _, r := range v.Routes {
		rows = append(rows, []string{r.Name, r.Host, r.Prefix, r.Kind, r.Targets})
	}
	rows = append(rows, []string{"SERVICE", "DATA CENTRE", "READY", "DRAINING", "RECLAIMABLE"})
	for _, s := range v.Services {
		rows = append(rows, []string{s.Name, s.DataCentre, strconv.Itoa(s.Ready), strconv.Itoa(s.Draining), strconv.Itoa(s.Reclaimable)})
	}
	if v.Malformed > 0 {
		rows = append(rows, []string{"MALFORMED ENTRIES", strconv.Itoa(v.Malformed), "", "", ""})
	}
	return rows
}
