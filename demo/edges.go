package main

import (
	"context"
	"fmt"
	"time"

	"github.com/cornelhold/cornelhold/internal/soak"
)

const (
	soakSeed   = 7
	soakLength = 4 * time.Second
)

// soakEdges runs three edge processes under random faults: processes are killed,
// suspended and stopped, network links are cut and replicas violate their protocol.
// It fails if a caller or a replica observed a violated guarantee.
func (d *demo) soakEdges(ctx context.Context) error {
	result, err := soak.Run(ctx, soak.Options{
		Seed: soakSeed, Program: d.fleet.Program("cornelhold-edge"), Dir: d.fleet.Dir(),
		Edges: 3, Clients: 8, Length: soakLength,
	})
	if err != nil {
		return err
	}
	for _, f := range result.Faults {
		printLine("   " + f)
	}
	printLine("   %d calls, %d served, %d run by replicas, %d broken promises", result.Calls, result.Served, result.Runs, len(result.Violations))
	if len(result.Violations) > 0 {
		return fmt.Errorf("guarantees were violated: %v", result.Violations)
	}
	return nil
}
