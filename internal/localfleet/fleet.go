// Package localfleet runs the stand-ins, routers and controllers as separate
// processes on loopback. The demo, the benchmark and the process tests use it.
package localfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/samber/lo"
	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/operator"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/procs"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

// Error is the class of errors of this package.
var Error = errs.Class("local fleet")

// Engine is one model engine stand-in of the fleet.
type Engine struct {
	ID            string
	Service       string
	DataCentre    string
	TokenInterval time.Duration
	Slots         int
	// Address is assigned by New.
	Address string
}

// PlainService is one plain service stand-in of the fleet.
type PlainService struct {
	ID         string
	Service    string
	DataCentre string
	// Address is assigned by New.
	Address string
}

// Router is one router process of the fleet.
type Router struct {
	Name       string
	DataCentre string
	// The addresses are assigned by New.
	Listen, Admin, Peer string
	Process             *procs.Process
}

// Controller is one controller process of the fleet.
type Controller struct {
	Name       string
	DataCentre string
	// Admin is assigned by New.
	Admin   string
	Process *procs.Process
}

// Layout lists the parts of a fleet. Engines and PlainServices are endpoints that run
// from the start. The endpoints that Controllers start are hosted by the stand-in of
// the cloud API.
type Layout struct {
	Region        string
	Engines       []*Engine
	PlainServices []*PlainService
	Routers       []*Router
	Controllers   []*Controller
	// HostedTokenInterval is the time between two tokens of a hosted engine.
	HostedTokenInterval time.Duration
	// HostedPlainServices names the services whose hosted endpoints are plain
	// services; all others are model engines.
	HostedPlainServices []string
}

// Fleet is a set of processes with assigned addresses.
type Fleet struct {
	*procs.Runner
	Layout
	// Log, List, Cloud, Weights and StandinAdmin are addresses of the stand-in process.
	Log, List, Cloud, Weights, StandinAdmin string
	Standin                                 *procs.Process
}

// New returns a fleet whose parts have loopback addresses. It starts no process.
// bin is the folder of the programs.
func New(bin string, layout Layout) (*Fleet, error) {
	runner, err := procs.NewRunner(bin)
	if err != nil {
		return nil, err
	}
	f := &Fleet{Runner: runner, Layout: layout}
	for _, address := range f.addresses() {
		*address = procs.FreeAddress()
	}
	return f, nil
}

// addresses returns pointers to the address fields that New fills.
func (f *Fleet) addresses() []*string {
	list := []*string{&f.Log, &f.List, &f.Cloud, &f.Weights, &f.StandinAdmin}
	for _, e := range f.Engines {
		list = append(list, &e.Address)
	}
	for _, p := range f.PlainServices {
		list = append(list, &p.Address)
	}
	for _, r := range f.Routers {
		list = append(list, &r.Listen, &r.Admin, &r.Peer)
	}
	for _, c := range f.Controllers {
		list = append(list, &c.Admin)
	}
	return list
}

// StartStandins starts the stand-in process.
func (f *Fleet) StartStandins(ctx context.Context) (err error) {
	f.Standin, err = f.Start(ctx, "cornelhold-standin", "standin", f.standinSettings(), f.StandinAdmin)
	return err
}

// StartRouters starts all router processes.
func (f *Fleet) StartRouters(ctx context.Context) error {
	for _, r := range f.Routers {
		if err := f.StartRouter(ctx, r); err != nil {
			return err
		}
	}
	return nil
}

// StartRouter starts one router process.
func (f *Fleet) StartRouter(ctx context.Context, r *Router) (err error) {
	r.Process, err = f.Start(ctx, "cornelhold-router", r.Name, f.routerSettings(r), r.Admin)
	return err
}

// StartControllers starts all controller processes.
func (f *Fleet) StartControllers(ctx context.Context) (err error) {
	for _, c := range f.Controllers {
		c.Process, err = f.Start(ctx, "cornelhold-controller", c.Name, f.controllerSettings(c), c.Admin)
		if err != nil {
			return err
		}
	}
	return nil
}

// LiveInstances returns the instances of a service in the instance list that are not
// leaving.
func (f *Fleet) LiveInstances(ctx context.Context, service string) ([]platform.Instance, error) {
	list, err := platform.NewInstanceClient("http://"+f.List).Watch(ctx, 0, 0)
	if err != nil {
		return nil, err
	}
	return lo.Filter(list.Instances, func(i platform.Instance, _ int) bool {
		return i.Service == service && i.State != platform.StateLeaving
	}), nil
}

// WaitInstances waits until the instance list has at least count live instances of
// a service.
func (f *Fleet) WaitInstances(ctx context.Context, limit time.Duration, service string, count int) error {
	return procs.WaitFor(ctx, limit, service+" to have its instances", func() bool {
		live, err := f.LiveInstances(ctx, service)
		return err == nil && len(live) >= count
	})
}

// WaitReady waits until /readyz of each router reports ready.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, r := range f.Routers {
		err := procs.WaitFor(ctx, procs.StartTimeout, r.Name+" to be ready", func() bool {
			return procs.Status("http://"+r.Admin+"/readyz") == http.StatusOK
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// PutJSON sends a PUT request with value as JSON, for example the faults that a
// stand-in is to inject.
func PutJSON(ctx context.Context, url string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return Error.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(data))
	if err != nil {
		return Error.Wrap(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Error.Wrap(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return Error.New("PUT %s: status %s", url, resp.Status)
	}
	return nil
}

// FileTicket files a ticket, given as YAML, on the fleet's log service.
func (f *Fleet) FileTicket(ctx context.Context, yaml string) error {
	doc, err := ticket.ParseFile("ticket", []byte(yaml))
	if err != nil {
		return err
	}
	_, err = operator.NewFiler("http://"+f.Log).File(ctx, doc, "local")
	return err
}

func (f *Fleet) standinSettings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "admin: %q\nlog: {listen: %q}\ninstances:\n  listen: %q\n  list:\n", f.StandinAdmin, f.Log, f.List)
	for _, e := range f.Engines {
		fmt.Fprintf(&b, "    - {id: %s, service: %s, address: %q, data_centre: %s, class: gpu-small, slots: %d}\n",
			e.ID, e.Service, e.Address, e.DataCentre, e.Slots)
	}
	for _, p := range f.PlainServices {
		fmt.Fprintf(&b, "    - {id: %s, service: %s, address: %q, data_centre: %s, class: cpu-small}\n",
			p.ID, p.Service, p.Address, p.DataCentre)
	}
	b.WriteString("engines:\n")
	for _, e := range f.Engines {
		fmt.Fprintf(&b, "  - {listen: %q, engine: {token_interval: %s, slots: %d}}\n", e.Address, e.TokenInterval, e.Slots)
	}
	b.WriteString("plain_services:\n")
	for _, p := range f.PlainServices {
		fmt.Fprintf(&b, "  - {listen: %q}\n", p.Address)
	}
	if len(f.Controllers) > 0 {
		fmt.Fprintf(&b, "cloud:\n  listen: %q\n  plain: [%s]\n  engine: {token_interval: %s}\n  orders: {load_time: 300ms}\n",
			f.Cloud, strings.Join(f.HostedPlainServices, ", "), f.HostedTokenInterval)
		fmt.Fprintf(&b, "weights: {listen: %q, store: {slots: 4, ttl: 10s}}\n", f.Weights)
	}
	return b.String()
}

func (f *Fleet) controllerSettings(c *Controller) string {
	return fmt.Sprintf("instance: %s\ndata_centre: %s\nregion: %s\nadmin: %q\nlog: http://%s\ncloud: http://%s\nweights: http://%s\n",
		c.Name, c.DataCentre, f.Region, c.Admin, f.Log, f.Cloud, f.Weights)
}

func (f *Fleet) routerSettings(r *Router) string {
	var b strings.Builder
	fmt.Fprintf(&b, "instance: %s\ndata_centre: %s\nregion: %s\nlisten: %q\nadmin: %q\npeer_listen: %q\n",
		r.Name, r.DataCentre, f.Region, r.Listen, r.Admin, r.Peer)
	fmt.Fprintf(&b, "log: http://%s\ninstances: http://%s\npeers:\n", f.Log, f.List)
	for _, p := range f.Routers {
		fmt.Fprintf(&b, "  - {instance: %s, data_centre: %s, region: %s, address: %q}\n", p.Name, p.DataCentre, f.Region, p.Peer)
	}
	return b.String()
}
