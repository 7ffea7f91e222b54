package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"github.com/cornelhold/cornelhold/internal/operator"
	"github.com/cornelhold/cornelhold/internal/procs"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

const (
	teamKey = "bench-key"
	// engines is the number of engine stand-ins; slots bounds their streams.
	// The first fastEngines serve latency measurements, the others open streams.
	engines     = 8
	fastEngines = 4
	slots       = 5000
)

// bench holds the processes of one run.
type bench struct {
	runner *procs.Runner
	router *procs.Process

	log, list, standinAdmin string
	listen, admin, peer     string
	engines                 []string
}

func newBench(bin string) (*bench, error) {
	runner, err := procs.NewRunner(bin)
	if err != nil {
		return nil, err
	}
	b := &bench{runner: runner, engines: make([]string, engines)}
	targets := []*string{&b.log, &b.list, &b.standinAdmin, &b.listen, &b.admin, &b.peer}
	for i := range b.engines {
		targets = append(targets, &b.engines[i])
	}
	var ports procs.Addresses
	defer ports.Release()
	return b, ports.Assign(targets...)
}

func (b *bench) start(ctx context.Context) error {
	if _, err := b.runner.Start(ctx, "cornelhold-standin", "standin", b.standinSettings(), b.standinAdmin); err != nil {
		return err
	}
	router, err := b.runner.Start(ctx, "cornelhold-router", "router", b.routerSettings(), b.admin)
	if err != nil {
		return err
	}
	b.router = router
	if err := b.fileTicket(ctx); err != nil {
		return err
	}
	return procs.WaitFor(ctx, procs.StartLimit, "the router to be ready", func() bool {
		return procs.Status("http://"+b.admin+"/readyz") == http.StatusOK
	})
}

func (b *bench) standinSettings() string {
	var s strings.Builder
	fmt.Fprintf(&s, "admin: %q\nlog: {listen: %q}\ninstances:\n  listen: %q\n  list:\n", b.standinAdmin, b.log, b.list)
	for i, address := range b.engines {
		service := "model"
		if i >= fastEngines {
			service = "slow-model"
		}
		fmt.Fprintf(&s, "    - {id: engine-%d, service: %s, address: %q, data_centre: dc-a, class: gpu, slots: %d}\n", i, service, address, slots)
	}
	s.WriteString("engines:\n")
	for i, address := range b.engines {
		interval := fastInterval
		if i >= fastEngines {
			interval = slowInterval
		}
		fmt.Fprintf(&s, "  - {listen: %q, engine: {token_interval: %s}}\n", address, interval)
	}
	return s.String()
}

func (b *bench) routerSettings() string {
	return fmt.Sprintf("instance: r1\ndata_centre: dc-a\nregion: region\nlisten: %q\nadmin: %q\npeer_listen: %q\nlog: http://%s\ninstances: http://%s\n",
		b.listen, b.admin, b.peer, b.log, b.list)
}

func (b *bench) fileTicket(ctx context.Context) error {
	hash := sha256.Sum256([]byte(teamKey))
	doc, err := ticket.ParseFile("bench", fmt.Appendf(nil, `
models: [{name: m, version: "1", weight_bytes: 1, context_tokens: 100000}]
services:
  - {name: model, kind: model, model: m, class: interactive, deadline: 10s, replicas: [{data_centre: dc-a, class: gpu, on_demand: 4}]}
  - {name: slow-model, kind: model, model: m, class: interactive, deadline: 10s, replicas: [{data_centre: dc-a, class: gpu, on_demand: 4}]}
teams: [{name: bench, key_sha256: [%s], weight: 1}]
data_centres: [{name: dc-a, region: region}]
`, hex.EncodeToString(hash[:])))
	if err != nil {
		return err
	}
	_, err = operator.NewFiler("http://"+b.log).File(ctx, doc, "bench")
	return err
}
