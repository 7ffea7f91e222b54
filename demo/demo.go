package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cornelhold/cornelhold/internal/localfleet"
)

const (
	routerCount = 3
	engineCount = 3
	plainCount  = 2
	// tokenInterval is the engines' time between tokens.
	tokenInterval = 20 * time.Millisecond
	// teamKey is the API key of the demo's team; its hash is in the ticket.
	teamKey = "demo-key"
)

var dataCentres = []string{"kyushu-a", "kyushu-b", "kyushu-c"}

// demo holds the processes of one run.
type demo struct {
	fleet    *localfleet.Fleet
	keepLogs bool
}

type step struct {
	title string
	run   func(ctx context.Context) error
}

func newDemo(bin string) (*demo, error) {
	var engines []*localfleet.Engine
	for i := range engineCount {
		engines = append(engines, &localfleet.Engine{
			ID: fmt.Sprintf("engine-%d", i+1), Service: "dial-advisor",
			DataCentre: dataCentres[i%len(dataCentres)], TokenInterval: tokenInterval, Slots: 8,
		})
	}
	var routers []*localfleet.Router
	for i := range routerCount {
		routers = append(routers, &localfleet.Router{
			Name: fmt.Sprintf("router-%d", i+1), DataCentre: dataCentres[i%len(dataCentres)],
		})
	}
	var plains []*localfleet.Plain
	for i := range plainCount {
		plains = append(plains, &localfleet.Plain{
			ID: fmt.Sprintf("desk-%d", i+1), Service: "bench-desk", DataCentre: dataCentres[i%len(dataCentres)],
		})
	}
	fleet, err := localfleet.New(bin, "kyushu", engines, plains, routers)
	return &demo{fleet: fleet}, err
}

func (d *demo) steps() []step {
	return []step{
		{"start the stand-ins", d.fleet.StartStandins},
		{"start three routers", d.fleet.StartRouters},
		{"file the first ticket", d.fileFirstTicket},
		{"ask for a dial quote, streamed", d.streamQuote},
		{"check the stock", d.checkStock},
		{"send one work order to two routers with the same key", d.orderTwice},
		{"file a ticket whose number is taken", d.fileRacingTicket},
		{"reclaim the endpoints of two data centres while a quote is streamed", d.reclaimEndpoints},
		{"reclaim a router while a quote is streamed, continue at another", d.reclaimRouter},
		{"stop a router while a quote is streamed", d.stopRouter},
	}
}
