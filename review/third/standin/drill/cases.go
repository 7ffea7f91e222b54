//go:build review

package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cornelhold/cornelhold/internal/procs"
	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
)

const (
	startTimeout = 15 * time.Second
	// awayTime is how long the store is away in the drill.
	awayTime = time.Second
	// drainBound and contactBound are bounds of the settings.
	drainBound   = 2 * time.Second
	contactBound = 3 * time.Second
	configBound  = 2 * time.Second
	outerBound   = 5 * time.Second
)

// drill is one run of a case.
type drill struct {
	fleet   *fleet
	clients *clients
	log     *journal
	trouble bool
}

// usage shows two usage reports for one window: the store comes back from a copy from before the
// decision on the window, and all machines lose power meanwhile.
func (d *drill) usage(ctx context.Context) (broken bool, err error) {
	const copyAge, rest = 4 * time.Second, 25 * time.Second
	accepted := func() int { return len(d.windows()) }
	if err := procs.WaitFor(ctx, 40*time.Second, "three usage reports", func() bool { return accepted() >= 3 }); err != nil {
		return false, drillError.Wrap(err)
	}
	if d.trouble {
		if err := d.losePower(copyAge); err != nil {
			return false, err
		}
	}
	sleep(ctx, rest)
	return d.judgeUsage(), nil
}

// windows returns the accepted usage reports by window.
func (d *drill) windows() map[int64][]userplatform.UsageReport {
	windows := make(map[int64][]userplatform.UsageReport)
	for _, r := range d.fleet.cloud.UsageReports() {
		windows[r.Window] = append(windows[r.Window], r)
	}
	return windows
}

func (d *drill) judgeUsage() (broken bool) {
	windows := d.windows()
	for _, window := range slices.Sorted(maps.Keys(windows)) {
		for i, r := range windows[window] {
			verdict := ""
			if i > 0 && !maps.Equal(r.Counts, windows[window][0].Counts) {
				verdict, broken = " OTHER COUNTS", true
			}
			d.log.write("usage", "window=%d holder=%s fence=%d counts=%v%s", window, r.Holder, r.Fence, r.Counts, verdict)
		}
	}
	return broken
}

// drain shows requests to a replica whose entry was removed: the store has come back from an older
// copy some seconds before.
func (d *drill) drain(ctx context.Context) (broken bool, err error) {
	const copyAge, afterReturn, rest = 6 * time.Second, 3500 * time.Millisecond, 9 * time.Second
	sleep(ctx, copyAge+2*time.Second)
	leaving := d.fleet.replica("i-desk-2")
	if err := procs.WaitFor(ctx, startTimeout, "a machine to read the entry", func() bool { return d.fleet.store.lastReadKey() == leaving.id }); err != nil {
		return false, drillError.Wrap(err)
	}
	if d.trouble {
		d.fleet.store.leave(false)
		d.log.write("fault", "the store goes away at offset %d of the replica list", d.fleet.store.end(serversTopic))
		time.Sleep(awayTime)
		lost := d.fleet.store.comeBack(copyAge)
		d.log.write("fault", "the store comes back from a copy %s older; lost records %v", copyAge, lost)
		d.fleet.writeAgain()
	} else {
		time.Sleep(awayTime)
	}
	sleep(ctx, afterReturn)
	removedAt := leaving.remove()
	d.log.write("planned", "replica %s leaves: its entry is removed at offset %d, and it goes on serving", leaving.id, d.fleet.store.end(serversTopic)-1)
	sleep(ctx, rest)
	return d.judgeDrain(leaving, removedAt), nil
}

func (d *drill) judgeDrain(leaving *replica, removedAt time.Time) (broken bool) {
	late := 0
	for _, r := range leaving.allRuns() {
		if sent, ok := d.clients.sentAt(r.attempt); ok && sent.Sub(removedAt) > drainBound {
			late++
			d.log.write("late", "attempt=%s sent %.1f s after the removal of the entry of %s", r.attempt, sent.Sub(removedAt).Seconds(), r.replica)
		}
	}
	d.log.write("result", "%d requests reached %s later than %s after its entry was removed", late, leaving.id, drainBound)
	return late > 0
}

// sleep waits for a time, or until ctx ends.
func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

// runCase runs a case by its name. It reports whether the rule was broken.
func (d *drill) runCase(ctx context.Context, name string) (bool, error) {
	cases := map[string]func(context.Context) (bool, error){"usage": d.usage, "drain": d.drain, "config": d.config, "fence": d.fence, rolloutCase: d.rollout}
	run, ok := cases[name]
	if !ok {
		return false, drillError.New("no case %q; there are %s", name, strings.Join(slices.Sorted(maps.Keys(cases)), ", "))
	}
	if err := d.fleet.waitReady(ctx, startTimeout); err != nil {
		return false, drillError.Wrap(err)
	}
	d.clients.start(ctx)
	broken, err := run(ctx)
	if err == nil && d.clients.servedCount() == 0 {
		err = drillError.New("no request was served")
	}
	d.log.write("result", "%s", fmt.Sprintf("served %d, others %d", d.clients.served, d.clients.failed))
	return broken, err
}

// config shows a config that no machine takes: the store comes back from a copy that lacks the last
// two changes, the operator writes the newest one again, and makes the next change at once.
func (d *drill) config(ctx context.Context) (broken bool, err error) {
	const copyAge, gap, rest = 6 * time.Second, 1500 * time.Millisecond, 20 * time.Second
	sleep(ctx, copyAge)
	d.fleet.change("bench-desk")
	sleep(ctx, gap)
	d.fleet.change("bench-desk")
	sleep(ctx, gap)
	if d.trouble {
		d.log.write("fault", "the store goes away at offset %d of the config topic", d.fleet.store.end(configTopic))
		d.fleet.store.leave(true)
		time.Sleep(awayTime)
		lost := d.fleet.store.comeBack(copyAge)
		d.log.write("fault", "the store comes back from a copy %s older; lost records %v", copyAge, lost)
		d.fleet.writeAgain()
	}
	sleep(ctx, awayTime/2)
	d.fleet.change("bench-desk-new")
	changedAt := time.Now()
	d.log.write("planned", "version %d moves the orders to bench-desk-new, offset %d", d.fleet.version, d.fleet.store.end(configTopic)-1)
	sleep(ctx, rest)
	return d.judgeConfig(changedAt), nil
}

func (d *drill) judgeConfig(changedAt time.Time) (broken bool) {
	late, right := 0, 0
	for _, r := range d.fleet.replicas {
		for _, run := range r.allRuns() {
			sent, ok := d.clients.sentAt(run.attempt)
			switch {
			case !ok || sent.Sub(changedAt) <= contactBound+configBound+outerBound:
			case r.service == "bench-desk-new":
				right++
			default:
				late++
				d.log.write("late", "attempt=%s sent %.1f s after the change, run by %s of %s", run.attempt, sent.Sub(changedAt).Seconds(), r.id, r.service)
			}
		}
	}
	d.log.write("result", "%d requests sent later than %s after the change were run by the old service, %d by the new one",
		late, contactBound+configBound+outerBound, right)
	return late > 0
}
