package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
)

const (
	// statementProbes is the number of requests by which a process learns what a replica
	// states, and then shows whether it heeds it.
	statementProbes = 20
	// pauseLength is the pause that a replica asks for, pauseNotice the time until it must
	// be observed, and maxRequestsInPause the number of requests of each process that may
	// still arrive.
	pauseLength        = 3 * time.Second
	pauseNotice        = 500 * time.Millisecond
	maxRequestsInPause = 2
	streamTarget       = "/stream/probe"
)

// pauseFault makes a replica ask for a pause for as long as the fault lasts.
func pauseFault(replica *userplatform.Replica) fault {
	return fault{"pause of replica " + replica.ID, func(_ context.Context, length time.Duration) func() {
		replica.SetPause(fmt.Sprint(length.Seconds()))
		return func() { replica.SetPause("") }
	}}
}

// checkStatements checks that every process observes the pause that the replicas of a service
// ask for, and leaves one that states that it leaves, although the list calls all ready.
func (r *run) checkStatements(ctx context.Context) []string {
	found := r.checkPause(ctx)
	r.checkLeaving(ctx)
	return found
}

// checkPause makes all replicas of a service ask for a pause, so that there is no other to
// turn to.
func (r *run) checkPause(ctx context.Context) []string {
	replicas := r.fleet.ModelReplicas
	rejected := func() int { return lo.SumBy(replicas, (*userplatform.Replica).RejectedInPause) }
	for _, replica := range replicas {
		replica.SetPause(fmt.Sprint(pauseLength.Seconds()))
		defer replica.SetPause("")
	}
	r.probeStreams(ctx)
	sleep(ctx, pauseNotice)
	before := rejected()
	if before == 0 {
		return []string{"no replica could ask for a pause"}
	}
	r.probeStreams(ctx)
	if added := rejected() - before; added > maxRequestsInPause*len(r.fleet.Edges)*len(replicas) {
		return []string{fmt.Sprintf("replicas got %d requests in the pause that they had asked for", added)}
	}
	return nil
}

// probeStreams sends requests to all processes at the same time.
func (r *run) probeStreams(ctx context.Context) {
	key := *r.key.Load()
	done := make(chan struct{})
	for _, e := range r.fleet.Edges {
		go func() {
			lo.Times(statementProbes, func(int) int { return r.probeTarget(ctx, e, key, streamTarget) })
			done <- struct{}{}
		}()
	}
	for range r.fleet.Edges {
		<-done
	}
}
