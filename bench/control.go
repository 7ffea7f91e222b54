package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cornelhold/cornelhold/internal/localfleet"
)

const (
	// controlRouters is the number of router instances in present deployments.
	controlRouters = 9
	// stabilizationDelay separates start and measurement: membership responses to a
	// joining node are larger for its first 20 s.
	stabilizationDelay = 30 * time.Second
	// controlDuration is the duration of the measurement.
	controlDuration = 20 * time.Second
	bytesPerMiB     = 1 << 20
	sentMetric      = "cornelhold_membership_sent_bytes_total"
	maxMetricsBytes = 4 << 20
)

// measureControl runs routers without callers and prints the overhead of the control
// plane on each: processor time, memory and membership traffic.
func measureControl(ctx context.Context, bin string) error {
	var routers []*localfleet.Router
	for i := range controlRouters {
		routers = append(routers, &localfleet.Router{Name: fmt.Sprint("router-", i), DataCentre: fmt.Sprint("dc-", i%3)})
	}
	fleet, err := localfleet.New(bin, localfleet.Layout{Region: "region", Routers: routers})
	if err != nil {
		return err
	}
	defer fleet.Stop(false)
	if err := startAll(ctx, fleet, controlTicket()); err != nil {
		return err
	}
	if err := wait(ctx, stabilizationDelay); err != nil {
		return err
	}
	cpu, sent := totalUsage(fleet)
	if err := wait(ctx, controlDuration); err != nil {
		return err
	}
	cpuAfter, sentAfter := totalUsage(fleet)
	perRouter := controlDuration.Seconds() * controlRouters
	printFigure("control: share of a core for each router", 100*(cpuAfter-cpu).Seconds()/perRouter, "%")
	printFigure("control: membership sent by each router", (sentAfter-sent)/perRouter, "B/s")
	printFigure("control: resident memory of a router", float64(maxResidentBytes(fleet))/bytesPerMiB, "MiB")
	return nil
}

func controlTicket() string {
	return `
models: [{name: m, version: "1", weight_bytes: 1, context_tokens: 1000}]
data_centres: [{name: dc-0, region: region}, {name: dc-1, region: region}, {name: dc-2, region: region}]
`
}

func startAll(ctx context.Context, fleet *localfleet.Fleet, ticket string) error {
	if err := fleet.StartStandins(ctx); err != nil {
		return err
	}
	if err := fleet.StartRouters(ctx); err != nil {
		return err
	}
	if err := fleet.FileTicket(ctx, ticket); err != nil {
		return err
	}
	return fleet.WaitReady(ctx)
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func totalUsage(fleet *localfleet.Fleet) (cpu time.Duration, sent float64) {
	for _, r := range fleet.Routers {
		cpu += cpuTime(r.Process.PID())
		sent += readMetric("http://"+r.Admin+"/metrics", sentMetric)
	}
	return cpu, sent
}

func maxResidentBytes(fleet *localfleet.Fleet) int64 {
	largest := int64(0)
	for _, r := range fleet.Routers {
		largest = max(largest, residentBytes(r.Process.PID()))
	}
	return largest
}

// readMetric returns the value of a metric without labels, or 0 if it is absent or
// cannot be read.
func readMetric(url, name string) float64 {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxMetricsBytes))
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			f, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
			return f
		}
	}
	return 0
}
