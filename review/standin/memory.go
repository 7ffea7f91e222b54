//go:build review

package main

import (
	"bytes"
	"context"
	"math"
	"sync"
	"syscall"
	"time"
)

const (
	// maxBodyBytes is the limit of the users' example of a configuration.
	maxBodyBytes = 4 << 20
	// smallBodyBytes is the usual body of a booking.
	smallBodyBytes = 600
	// usualUploads is the number of requests with long bodies that the hot tenant usually
	// has open at each machine, hotFactor what it is multiplied by, hotLength for how long.
	usualUploads = 5
	hotFactor    = 7.5
	hotLength    = 11 * time.Second
	// ordinaryClients is the number of clients of the other tenant at each machine.
	ordinaryClients = 6
	// restartDelay is the time until the platform starts a process again.
	restartDelay = 300 * time.Millisecond
	// maxLost is the number of requests that may be lost.
	maxLost = 3
)

// deploy starts replicas of two services and machines of the system.
func deploy(ctx context.Context, r *record, machines int) (*fleet, error) {
	f, err := newFleet(ctx, r)
	if err != nil {
		return nil, err
	}
	for range 3 {
		model := &replica{service: "model", zone: "kyushu-a", slots: 128, work: 100 * time.Millisecond, events: 70, interval: 40 * time.Millisecond}
		desk := &replica{service: "desk", zone: "kyushu-a", slots: 6, work: 15 * time.Millisecond}
		for _, x := range []*replica{model, desk} {
			if err := f.addReplica(ctx, x); err != nil {
				return nil, err
			}
		}
	}
	f.configure(config)
	go f.heartbeats(ctx)
	for range machines {
		if _, err := f.addMachine("kyushu-a"); err != nil {
			f.stop()
			return nil, err
		}
	}
	if err := f.waitReady(); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// limitMemory does what the platform does: it kills a process above memory-mb and starts
// it again. It counts these ends.
func (f *fleet) limitMemory(ctx context.Context, m *machine, ends *int) {
	peak := 0.0
	defer func() {
		f.record.conclude("%s: resident memory at its peak %.0f MB of %d, ended %d times", m.name, peak, memoryMB, *ends)
	}()
	for ctx.Err() == nil {
		mb := m.residentMB()
		peak = max(peak, mb)
		if mb > memoryMB {
			f.record.conclude("%s has %.0f MB, more than %d: killed", m.name, mb, memoryMB)
			m.signal(syscall.SIGKILL)
			<-m.ended()
			*ends++
			time.Sleep(restartDelay)
			if err := m.start(); err != nil {
				f.record.conclude("%v", err)
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func init() { cases["memory"] = runMemory }

// runMemory lets one tenant send 7.5 times its usual requests, with bodies of
// max-body-bytes, and counts the requests of kept channels that were passed on to a sound
// replica and whose channel was closed without an answer (LOST).
func runMemory(ctx context.Context, r *record, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := deploy(ctx, r, 2)
	if err != nil {
		return false, err
	}
	defer f.stop()
	time.Sleep(4 * time.Second)

	var watches, clients sync.WaitGroup
	watchContext, stopWatches := context.WithCancel(ctx)
	ends := make([]int, len(f.machines))
	for i, m := range f.machines {
		watches.Go(func() { f.limitMemory(watchContext, m, &ends[i]) })
	}
	calls := make(chan *call, 1<<16)
	end := time.Now().Add(hotLength)
	uploads := usualUploads
	if trouble {
		uploads = int(math.Floor(float64(usualUploads) * hotFactor))
	}
	f.record.conclude("each machine: %d clients with bookings, %d with bodies of %d bytes, for %v", ordinaryClients, uploads, maxBodyBytes, hotLength)
	for _, m := range f.machines {
		for range ordinaryClients {
			clients.Go(func() {
				f.repeat(end, &client{address: m.front(), key: ordinaryKey}, "/order/1", "", bytes.Repeat([]byte("b"), smallBodyBytes), time.Second, calls)
			})
		}
		long := bytes.Repeat([]byte("b"), maxBodyBytes)
		for range uploads {
			clients.Go(func() {
				f.repeat(end, &client{address: m.front(), key: hotKey}, "/chat/1", "Token-Usage: 600,280\r\n", long, 15*time.Second, calls)
			})
		}
	}
	clients.Wait()
	close(calls)
	stopWatches()
	watches.Wait()
	lost := f.countLost(calls)
	f.record.conclude("%d requests of kept channels were passed on to a sound replica and got no answer; %d may", lost, maxLost)
	return lost > maxLost, nil
}

// repeat sends requests one after the other until the time end.
func (f *fleet) repeat(end time.Time, c *client, target, header string, body []byte, deadline time.Duration, calls chan<- *call) {
	defer c.close()
	for time.Now().Before(end) {
		x := c.do("POST", target, header, body, deadline)
		if x == nil {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		calls <- x
		if x.err != nil || x.status != 200 {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// countLost returns how many requests of kept channels a replica ran although their
// channel was closed without an answer.
func (f *fleet) countLost(calls <-chan *call) int {
	lost := 0
	ran := f.ran()
	for x := range calls {
		runs := ran[x.attempt]
		f.record.printf("%s %s kept=%t sent at %.3f ended after %d ms: status %d, error %v, run %d times",
			x.attempt, x.target, x.kept, x.sentAt.Sub(f.record.started).Seconds(), x.endedAt.Sub(x.sentAt).Milliseconds(), x.status, x.err, len(runs))
		if x.kept && x.err != nil && x.status == 0 && len(runs) > 0 {
			lost++
		}
	}
	return lost
}
