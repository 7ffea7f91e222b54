package main

import (
	"context"
	"fmt"
	"os"
	"strings"
)

const (
	routerCount = 3
	engineCount = 3
	plainCount  = 2
	// teamKey is the API key of the demo's team; its hash is in the ticket.
	teamKey = "demo-key"
)

var dataCentres = []string{"kyushu-a", "kyushu-b", "kyushu-c"}

// demo holds the addresses and processes of one run.
type demo struct {
	bin, dir  string
	keepLogs  bool
	processes []*process

	logAddr, listAddr, standinAdmin string
	engines, plains                 []string
	routers                         []routerAddresses
}

type routerAddresses struct {
	name, dataCentre    string
	listen, admin, peer string
}

type step struct {
	title string
	run   func(ctx context.Context) error
}

func newDemo(bin string) (*demo, error) {
	dir, err := os.MkdirTemp("", "cornelhold-demo-")
	if err != nil {
		return nil, err
	}
	d := &demo{bin: bin, dir: dir}
	return d, d.assignAddresses()
}

func (d *demo) assignAddresses() error {
	var ports addresses
	defer ports.release()
	single := []*string{&d.logAddr, &d.listAddr, &d.standinAdmin}
	d.engines = make([]string, engineCount)
	d.plains = make([]string, plainCount)
	d.routers = make([]routerAddresses, routerCount)
	for i := range d.engines {
		single = append(single, &d.engines[i])
	}
	for i := range d.plains {
		single = append(single, &d.plains[i])
	}
	for i := range d.routers {
		r := &d.routers[i]
		r.name = fmt.Sprintf("router-%d", i+1)
		r.dataCentre = dataCentres[i%len(dataCentres)]
		single = append(single, &r.listen, &r.admin, &r.peer)
	}
	for _, address := range single {
		next, err := ports.next()
		if err != nil {
			return err
		}
		*address = next
	}
	return nil
}

func (d *demo) steps() []step {
	return []step{
		{"start the stand-ins", d.startStandins},
		{"start three routers", d.startRouters},
		{"file the first ticket", d.fileFirstTicket},
		{"ask for a dial quote, streamed", d.streamQuote},
	}
}

func (d *demo) startStandins(ctx context.Context) error {
	return d.start(ctx, "cornelhold-standin", "standin", d.standinSettings(), d.standinAdmin)
}

func (d *demo) standinSettings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "admin: %s\nlog: {listen: %q}\ninstances:\n  listen: %q\n  list:\n", d.standinAdmin, d.logAddr, d.listAddr)
	for i, address := range d.engines {
		fmt.Fprintf(&b, "    - {id: engine-%d, service: dial-advisor, address: %q, data_centre: %s, class: gpu-small, slots: 8}\n",
			i+1, address, dataCentres[i%len(dataCentres)])
	}
	b.WriteString("engines:\n")
	for _, address := range d.engines {
		fmt.Fprintf(&b, "  - {listen: %q, engine: {token_interval: 20ms}}\n", address)
	}
	return b.String()
}

func (d *demo) startRouters(ctx context.Context) error {
	for _, r := range d.routers {
		if err := d.start(ctx, "cornelhold-router", r.name, d.routerSettings(r), r.admin); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) routerSettings(r routerAddresses) string {
	var b strings.Builder
	fmt.Fprintf(&b, "instance: %s\ndata_centre: %s\nregion: kyushu\nlisten: %q\nadmin: %q\npeer_listen: %q\n",
		r.name, r.dataCentre, r.listen, r.admin, r.peer)
	fmt.Fprintf(&b, "log: http://%s\ninstances: http://%s\npeers:\n", d.logAddr, d.listAddr)
	for _, p := range d.routers {
		fmt.Fprintf(&b, "  - {instance: %s, data_centre: %s, region: kyushu, address: %q}\n", p.name, p.dataCentre, p.peer)
	}
	return b.String()
}
