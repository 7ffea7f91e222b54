//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	modelReplicas = 9
	// Disruption garble: a share of the replicas break off garbledAnswers of their answers.
	garbleShare    = 0.6
	garbledAnswers = 0.05
	garbleLength   = 5 * time.Second
	// Disruption srv_crash: a share of the replicas is down for crashLength.
	crashShare  = 0.25
	crashDelay  = 300 * time.Millisecond
	crashLength = 4 * time.Second
	// rounds is the number of times that both come, roundLength the time between.
	rounds      = 5
	roundLength = 16 * time.Second
	// Streams as those of the sheet's parts-chat.
	streamEvents   = 70
	streamInterval = 40 * time.Millisecond
	streamWork     = 100 * time.Millisecond
	// streamClients is the number of clients at each machine.
	streamClients = 250
)

func init() { cases["resume"] = runResume }

// runResume crashes some replicas while others break off some of their answers, and looks
// for streams that reach the client as complete without their last event (ORDER).
func runResume(ctx context.Context, r *record, trouble bool) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f, err := newFleet(ctx, r)
	if err != nil {
		return false, err
	}
	defer f.stop()
	for range modelReplicas {
		model := &replica{service: "model", zone: "kyushu-a", slots: 128, work: streamWork, events: streamEvents, interval: streamInterval}
		if err := f.addReplica(ctx, model); err != nil {
			return false, err
		}
	}
	f.configure(config)
	go f.heartbeats(ctx)
	for range 2 {
		if _, err := f.addMachine("kyushu-a"); err != nil {
			return false, err
		}
	}
	if err := f.waitReady(); err != nil {
		return false, err
	}
	var clients sync.WaitGroup
	var complete, short atomic.Int64
	clientContext, stopClients := context.WithCancel(ctx)
	defer stopClients()
	for _, m := range f.machines {
		for i := range streamClients {
			clients.Go(func() { f.readStreams(clientContext, m, i, &complete, &short) })
		}
	}
	time.Sleep(5 * time.Second)
	for range rounds {
		if err := f.round(ctx, trouble); err != nil {
			return false, err
		}
	}
	stopClients()
	clients.Wait()
	f.record.conclude("%d streams reached the client as complete; %d of these lack events", complete.Load(), short.Load())
	return short.Load() > 0, nil
}

// round lets replicas break off answers and crashes some others, or does nothing.
func (f *fleet) round(ctx context.Context, trouble bool) error {
	end := time.Now().Add(roundLength)
	if !trouble {
		time.Sleep(roundLength)
		return nil
	}
	order := rand.Perm(len(f.replicas))
	crashes := int(crashShare * float64(len(order)))
	garbles := int(garbleShare * float64(len(order)))
	for _, i := range order[crashes : crashes+garbles] {
		f.replicas[i].setBrokenOff(garbledAnswers)
	}
	f.record.printf("%d replicas break off %v of their answers", garbles, garbledAnswers)
	time.Sleep(crashDelay)
	for _, i := range order[:crashes] {
		f.record.printf("replica %s crashes", f.replicas[i].id)
		f.crash(f.replicas[i])
	}
	time.Sleep(crashLength)
	for _, i := range order[:crashes] {
		if err := f.restart(ctx, i); err != nil {
			return err
		}
	}
	time.Sleep(garbleLength - crashDelay - crashLength)
	for _, x := range f.replicas {
		x.setBrokenOff(0)
	}
	f.record.printf("the replicas are sound again")
	time.Sleep(time.Until(end))
	return nil
}

// readStreams sends requests for streams, one after the other.
func (f *fleet) readStreams(ctx context.Context, m *machine, i int, complete, short *atomic.Int64) {
	c := &client{address: m.front(), key: ordinaryKey}
	defer c.close()
	time.Sleep(time.Duration(rand.Int64N(int64(3 * time.Second))))
	for n := 0; ctx.Err() == nil; n++ {
		x := c.do("POST", fmt.Sprintf("/chat/%s-%d-%d", m.name, i, n), "Token-Usage: 600,280\r\n", []byte("prompt"), 15*time.Second)
		if x == nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		if x.status != 200 {
			time.Sleep(100 * time.Millisecond)
		}
		f.checkStream(x, complete, short)
	}
}

// checkStream compares a stream that reached the client as complete with all its events.
func (f *fleet) checkStream(x *call, complete, short *atomic.Int64) {
	if x.err != nil || x.status != 200 {
		f.record.printf("%s %s status %d, %d bytes, error %v", x.attempt, x.target, x.status, len(x.body), x.err)
		return
	}
	complete.Add(1)
	var all strings.Builder
	for id := 1; id <= streamEvents; id++ {
		all.WriteString(streamEvent(id, x.attempt))
	}
	if x.body == all.String() {
		f.record.printf("%s %s whole", x.attempt, x.target)
		return
	}
	short.Add(1)
	f.record.conclude("%s %s status 200, complete, but with %d of %d events", x.attempt, x.target, strings.Count(x.body, "id: "), streamEvents)
	for _, run := range f.ran()[x.attempt] {
		f.record.printf("%s was run at %.3f s by %s, Last-Event-Id %q, broken off: %t", run.attempt, run.at.Sub(f.record.started).Seconds(), run.replica, run.lastEvent, run.brokenOff)
	}
}
