package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cornelhold/cornelhold/internal/localfleet"
	"github.com/cornelhold/cornelhold/internal/procs"
)

const (
	routerCount     = 3
	controllerCount = 2
	engineCount     = 3
	plainCount      = 2
	// endpointStartTimeout bounds the time in which controllers start the endpoints.
	endpointStartTimeout = 25 * time.Second
	// tokenInterval is the time between two tokens of an engine.
	tokenInterval = 20 * time.Millisecond
	// teamKey is the API key of the demo's team; its hash is in the ticket.
	teamKey = "demo-key"
)

var dataCentres = []string{"kyushu-a", "kyushu-b", "kyushu-c"}

// demo is one run of the demo with its processes.
type demo struct {
	fleet    *localfleet.Fleet
	keepLogs bool
}

type step struct {
	title string
	run   func(ctx context.Context) error
}

func newDemo(bin string) (*demo, error) {
	var routers []*localfleet.Router
	for i := range routerCount {
		routers = append(routers, &localfleet.Router{
			Name: fmt.Sprintf("router-%d", i+1), DataCentre: dataCentres[i%len(dataCentres)],
		})
	}
	var controllers []*localfleet.Controller
	for i := range controllerCount {
		controllers = append(controllers, &localfleet.Controller{
			Name: fmt.Sprintf("controller-%d", i+1), DataCentre: dataCentres[i%len(dataCentres)],
		})
	}
	fleet, err := localfleet.New(bin, localfleet.Layout{
		Region: "kyushu", Routers: routers, Controllers: controllers,
		HostedTokenInterval: tokenInterval, HostedPlainServices: []string{"bench-desk"},
	})
	return &demo{fleet: fleet}, err
}

func (d *demo) steps() []step {
	return []step{
		{"start the stand-ins", d.fleet.StartStandins},
		{"start three routers and two controllers", d.startDaemons},
		{"file the first ticket", d.fileFirstTicket},
		{"wait until the controllers have started and loaded the endpoints", d.waitEndpoints},
		{"ask for a dial quote, streamed", d.streamQuote},
		{"check the stock", d.checkStock},
		{"send one work order to two routers with the same key", d.repeatWorkOrder},
		{"submit a proof batch that may wait, and read its result at another router", d.deferProof},
		{"file a ticket whose number is taken", d.fileRacingTicket},
		{"show what is active, and where", d.showState},
		{"reclaim the endpoints of two data centres while a quote is streamed", d.reclaimEndpoints},
		{"reclaim a router while a quote is streamed, continue at another", d.reclaimRouter},
		{"stop a router while a quote is streamed", d.stopRouter},
		{"serve through edge processes on stand-ins of the users' platform, under random faults", d.soakEdges},
	}
}

func (d *demo) startDaemons(ctx context.Context) error {
	if err := d.fleet.StartRouters(ctx); err != nil {
		return err
	}
	return d.fleet.StartControllers(ctx)
}

// waitEndpoints waits until the controllers have started the instances of both
// services and an engine has loaded its model and completes a request.
func (d *demo) waitEndpoints(ctx context.Context) error {
	started := time.Now()
	if err := d.fleet.WaitInstances(ctx, endpointStartTimeout, "dial-advisor", engineCount); err != nil {
		return err
	}
	if err := d.fleet.WaitInstances(ctx, endpointStartTimeout, "bench-desk", plainCount); err != nil {
		return err
	}
	err := procs.WaitFor(ctx, endpointStartTimeout, "dial-advisor to answer", func() bool {
		resp, err := d.openQuote(ctx, 0, "warm up", 1)
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		_, _, complete := readEvents(resp.Body)
		return complete
	})
	printLine("   %d engines and %d plain services answer after %s", engineCount, plainCount, time.Since(started).Round(100*time.Millisecond))
	return err
}
