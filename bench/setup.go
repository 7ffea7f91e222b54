package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"github.com/cornelhold/cornelhold/internal/localfleet"
)

const (
	teamKey = "bench-key"
	// enginesPerService engine stand-ins with the given slots each bound the concurrent
	// streams of a service.
	enginesPerService = 4
	slots             = 5000
)

// bench is the router process under test and the fleet it belongs to.
type bench struct {
	fleet  *localfleet.Fleet
	router *localfleet.Router
}

func newBench(bin string) (*bench, error) {
	var engines []*localfleet.Engine
	for i := range enginesPerService {
		engines = append(engines,
			&localfleet.Engine{ID: fmt.Sprintf("fast-%d", i), Service: "model", DataCentre: "dc-a", TokenInterval: fastInterval, Slots: slots},
			&localfleet.Engine{ID: fmt.Sprintf("slow-%d", i), Service: "slow-model", DataCentre: "dc-a", TokenInterval: slowInterval, Slots: slots},
		)
	}
	router := &localfleet.Router{Name: "router", DataCentre: "dc-a"}
	fleet, err := localfleet.New(bin, localfleet.Layout{Region: "region", Engines: engines, Routers: []*localfleet.Router{router}})
	return &bench{fleet: fleet, router: router}, err
}

func (b *bench) start(ctx context.Context) error {
	return startAll(ctx, b.fleet, ticketYAML())
}

func ticketYAML() string {
	hash := sha256.Sum256([]byte(teamKey))
	return fmt.Sprintf(`
models: [{name: m, version: "1", weight_bytes: 1, context_tokens: 200000}]
services:
  - {name: model, kind: model, model: m, class: interactive, deadline: 10s, replicas: [{data_centre: dc-a, class: gpu-small, on_demand: 4}]}
  - {name: slow-model, kind: model, model: m, class: interactive, deadline: 10s, replicas: [{data_centre: dc-a, class: gpu-small, on_demand: 4}]}
teams: [{name: bench, key_sha256: [%s], weight: 1}]
data_centres: [{name: dc-a, region: region}]
`, hex.EncodeToString(hash[:]))
}
