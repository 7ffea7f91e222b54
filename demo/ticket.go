package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os/exec"
	"strings"
)

// firstTicket returns the ticket that configures the services, the team and the data
// centres of the demo.
func firstTicket() string {
	hash := sha256.Sum256([]byte(teamKey))
	return fmt.Sprintf(`number: 1
comment: first ticket
models:
  - {name: cord-advisor, version: "1", weight_bytes: 1000000, context_tokens: 16384}
services:
  - name: dial-advisor
    kind: model
    model: cord-advisor
    class: interactive
    first_token: 630ms
    between_tokens: 70ms
    deadline: 5s
    checks_fencing: true
    replicas:
      - {data_centre: kyushu-a, class: gpu-small, reclaimable: 1}
      - {data_centre: kyushu-b, class: gpu-small, reclaimable: 1}
      - {data_centre: kyushu-c, class: gpu-small, on_demand: 1}
  - name: bench-desk
    kind: plain
    class: interactive
    deadline: 2s
    replicas:
      - {data_centre: kyushu-a, class: cpu-small, on_demand: 1}
      - {data_centre: kyushu-b, class: cpu-small, on_demand: 1}
    operations:
      - {name: stock-check, idempotent: true, class: interactive, latency: 150ms}
      - {name: work-order, idempotent: false, class: interactive, latency: 500ms}
teams:
  - {name: counter, key_sha256: [%s], weight: 1}
data_centres:
  - {name: kyushu-a, region: kyushu, distances: {kyushu-b: 3ms, kyushu-c: 3ms}, prices: {gpu-small: {reclaimable: 0.9, on_demand: 2.4}, cpu-small: {on_demand: 0.1}}}
  - {name: kyushu-b, region: kyushu, distances: {kyushu-a: 3ms, kyushu-c: 3ms}, prices: {gpu-small: {reclaimable: 0.8, on_demand: 2.4}, cpu-small: {on_demand: 0.1}}}
  - {name: kyushu-c, region: kyushu, distances: {kyushu-a: 3ms, kyushu-b: 3ms}, prices: {gpu-small: {reclaimable: 1.0, on_demand: 2.5}, cpu-small: {on_demand: 0.1}}}
`, hex.EncodeToString(hash[:]))
}

func (d *demo) fileFirstTicket(ctx context.Context) error {
	path, err := d.fleet.Write("ticket-1.yaml", firstTicket())
	if err != nil {
		return err
	}
	if _, err := d.cornelctl(ctx, "ticket", "file", path, "--author", "mika"); err != nil {
		return err
	}
	return d.fleet.WaitReady(ctx)
}

// cornelctl runs the operators' client, prints its output and returns its exit code.
func (d *demo) cornelctl(ctx context.Context, args ...string) (int, error) {
	args = append([]string{"--log", "http://" + d.fleet.Log}, args...)
	cmd := exec.CommandContext(ctx, d.fleet.Program("cornelctl"), args...)
	output, err := cmd.CombinedOutput()
	printLine("   cornelctl %s %s: %s", args[2], args[3], firstLine(output))
	return cmd.ProcessState.ExitCode(), err
}

// showState prints the number of the configuration that is active on each router.
func (d *demo) showState(ctx context.Context) error {
	cmd := exec.CommandContext(ctx, d.fleet.Program("cornelctl"), "--router", d.fleet.Routers[0].Peer, "state")
	output, err := cmd.CombinedOutput()
	for line := range strings.Lines(string(output)) {
		printLine("   %s", strings.TrimRight(line, "\n"))
	}
	return err
}
