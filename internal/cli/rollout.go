package cli

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/platform"
)

// rolloutView is the output form of a rollout that the operator ordered.
type rolloutView struct {
	Service    string `json:"service"`
	To         string `json:"to"`
	CompleteBy string `json:"complete_by"`
	// State is the one last written for this version, "none" if there is none.
	State string `json:"state"`
	// Ready counts the endpoints that do not drain, by version.
	Ready map[fleet.SoftwareVersion]int `json:"ready"`
}

// rolloutCommand shows the rollouts that the users' store holds.
func rolloutCommand(o *options) *cobra.Command {
	status := storeCommand(o, &cobra.Command{
		Use:     "status",
		Short:   "Show the last rollout order of each service, its state and the endpoints by version",
		Example: "  cornelctl rollout status --store 10.200.1.7:8225",
	}, func(ctx context.Context, address string) (storeView, error) {
		rollouts, err := readRollouts(ctx, address)
		rows := [][]string{{"SERVICE", "TO", "COMPLETE BY", "STATE", "READY ENDPOINTS"}}
		for _, r := range rollouts {
			rows = append(rows, []string{r.Service, r.To, r.CompleteBy, r.State, formatReady(r.Ready)})
		}
		return storeView{data: rollouts, rows: rows}, err
	})
	root := &cobra.Command{Use: "rollout", Short: "Read the rollouts of services on the users' platform"}
	root.AddCommand(status)
	return root
}

func readRollouts(ctx context.Context, address string) ([]rolloutView, error) {
	store := platform.NewStore(address)
	defer store.Close()
	records := make(map[string][]platform.Record)
	for _, topic := range []string{platform.TopicConfig, platform.TopicStatus, platform.TopicEndpoints} {
		batch, err := store.Newest(ctx, topic)
		if err != nil {
			return nil, Error.New("cannot read the store: %w; check --store", err)
		}
		records[topic] = batch.Records
	}
	orders, malformed := platform.RolloutOrders(records[platform.TopicConfig])
	if len(malformed) > 0 {
		return nil, Error.Wrap(malformed[0])
	}
	ready := make(map[fleet.ServiceName]map[fleet.SoftwareVersion]int)
	for _, r := range records[platform.TopicEndpoints] {
		entry, err := platform.DecodeEntry(r)
		if err != nil || entry.Endpoint == nil || entry.Endpoint.Draining {
			continue
		}
		e := entry.Endpoint
		if ready[e.Service] == nil {
			ready[e.Service] = make(map[fleet.SoftwareVersion]int)
		}
		ready[e.Service][e.Version]++
	}
	views := make([]rolloutView, 0, len(orders))
	for _, o := range orders {
		views = append(views, rolloutView{
			Service: string(o.Service), To: string(o.To), CompleteBy: o.CompleteBy.String(),
			State: platform.RolloutStateOf(records[platform.TopicStatus], o), Ready: ready[o.Service],
		})
	}
	slices.SortFunc(views, func(a, b rolloutView) int { return cmp.Compare(a.Service, b.Service) })
	return views, nil
}

func formatReady(ready map[fleet.SoftwareVersion]int) string {
	text := ""
	versions := make([]fleet.SoftwareVersion, 0, len(ready))
	for v := range ready {
		versions = append(versions, v)
	}
	slices.Sort(versions)
	for i, v := range versions {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s: %s", v, strconv.Itoa(ready[v]))
	}
	return text
}
