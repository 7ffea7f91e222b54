package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/google/uuid"

	"github.com/cornelhold/cornelhold/internal/standin/plainservice"
)

const maxBodyBytes = 1 << 20

// call sends one call of the plain service through a router and returns the HTTP
// status and the body. An empty key sends no Idempotency-Key.
func (d *demo) call(ctx context.Context, router int, operation, callID, key string) (int, string, error) {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	url := "http://" + d.fleet.Routers[router].Listen + "/v1/services/bench-desk/calls/" + operation
	resp, err := post(ctx, url, fmt.Sprintf(`{"call_id":%q}`, callID), header)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	return resp.StatusCode, string(body), err
}

// runCount returns how often a call ran, summed over all plain service stand-ins.
func (d *demo) runCount(ctx context.Context, callID string) (int, error) {
	instances, err := d.fleet.LiveInstances(ctx, "bench-desk")
	if err != nil {
		return 0, err
	}
	total := 0
	for _, p := range instances {
		resp, err := http.Get("http://" + p.Address + "/counts/" + callID)
		if err != nil {
			return 0, err
		}
		var counts plainservice.Counts
		err = json.NewDecoder(resp.Body).Decode(&counts)
		_ = resp.Body.Close()
		if err != nil {
			return 0, err
		}
		total += counts.Ran
	}
	return total, nil
}

func (d *demo) checkStock(ctx context.Context) error {
	status, body, err := d.call(ctx, 1, "stock-check", "stock-1", "")
	if err != nil {
		return err
	}
	printLine("   stock check: %d %s", status, firstLine([]byte(body)))
	if status != http.StatusOK {
		return fmt.Errorf("the stock check got status %d, want 200", status)
	}
	return nil
}

func (d *demo) repeatWorkOrder(ctx context.Context) error {
	key := uuid.Must(uuid.NewV7()).String()
	var bodies []string
	for router := range 2 {
		status, body, err := d.call(ctx, router, "work-order", "order-1", key)
		if err != nil {
			return err
		}
		printLine("   %s: %d %s", d.fleet.Routers[router].Name, status, firstLine([]byte(body)))
		bodies = append(bodies, body)
	}
	runs, err := d.runCount(ctx, "order-1")
	if err != nil {
		return err
	}
	printLine("   the work order ran %d time(s)", runs)
	if runs != 1 || bodies[0] != bodies[1] {
		return fmt.Errorf("the work order ran %d times, want 1, with the responses %q, want the same twice", runs, bodies)
	}
	return nil
}
