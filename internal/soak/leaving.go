package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/standin/edgefleet"
	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
)

const (
	// leavingBound is drain-ms: a request that a caller sent later than this after a process
	// forwarded a response in which a replica states that it leaves must not reach that
	// replica from that process.
	leavingBound = 2 * time.Second
	// statementTimeout bounds the time until the processes forward such a response, servingTimeout
	// the time until a replica serves again after the pause that all have asked for.
	statementTimeout = time.Second
	servingTimeout   = pauseLength + 2*time.Second
	// maxLeavingReplicas is the number of replicas that leave until a probe gets a statement.
	// All processes may learn of it from requests that were sent before, which cannot be told
	// from others.
	maxLeavingReplicas = 2
)

// leavingReplica is a replica that states that it leaves in all responses to requests that
// were sent after since.
type leavingReplica struct {
	replica *userplatform.Replica
	since   time.Time
	// probes are requests beside those of the clients.
	probes []*call
}

// checkLeaving makes a replica that gets requests state that it leaves, lets the processes learn
// of it, and sends requests after the bound. findLateRequests judges them with those of the
// clients.
func (r *run) checkLeaving(ctx context.Context) {
	for range maxLeavingReplicas {
		replica := r.servingReplica(ctx)
		replica.SetLeaving()
		leaving := leavingReplica{replica: replica, since: time.Now()}
		r.leaving = leaving
		r.probeLeaving(ctx, func(_ int, last *call) bool {
			return time.Since(leaving.since) < statementTimeout && (last == nil || !leaving.isStatedIn(last))
		})
		if slices.ContainsFunc(r.leaving.probes, r.leaving.isStatedIn) {
			break
		}
	}
	sleep(ctx, leavingBound)
	r.probeLeaving(ctx, func(sent int, _ *call) bool { return sent < statementProbes })
}

// servingReplica returns a replica that currently gets streams of the first process.
func (r *run) servingReplica(ctx context.Context) *userplatform.Replica {
	e, startedAt := r.fleet.Edges[0], time.Now()
	for ctx.Err() == nil && time.Since(startedAt) < servingTimeout {
		c := r.probeCall(ctx, e, *r.key.Load(), probePrefix+e.Name, streamTarget)
		for _, replica := range r.fleet.ModelReplicas {
			if c.status == http.StatusOK && userplatform.IsResponseOf(c.header, replica.ID) {
				return replica
			}
		}
		sleep(ctx, maxThinkTime)
	}
	return r.fleet.ModelReplicas[0]
}

// probeLeaving sends requests to each process, one after the other, while more is true of the
// number of requests sent to it and the last one.
func (r *run) probeLeaving(ctx context.Context, more func(sent int, last *call) bool) {
	key, first := *r.key.Load(), len(r.leaving.probes)
	done := make(chan []*call)
	for _, e := range r.fleet.Edges {
		go func() {
			var probes []*call
			for ctx.Err() == nil && more(len(probes), lo.LastOrEmpty(probes)) {
				attempt := fmt.Sprintf("%s%s-%d-%d", probePrefix, e.Name, first, len(probes))
				probes = append(probes, r.probeCall(ctx, e, key, attempt, streamTarget))
			}
			done <- probes
		}()
	}
	for range r.fleet.Edges {
		r.leaving.probes = append(r.leaving.probes, <-done...)
	}
}

// isStatedIn reports whether the response to a call states that the replica leaves.
func (l leavingReplica) isStatedIn(c *call) bool {
	return c.err == nil && c.sentAt.After(l.since) && userplatform.IsResponseOf(c.header, l.replica.ID)
}

// findLateRequests returns the requests that reached the replica although their caller sent
// them later than leavingBound after their process had forwarded a statement.
func (l leavingReplica) findLateRequests(calls []*call, runs []userplatform.Run) []string {
	calls = slices.Concat(calls, l.probes)
	statedAt := make(map[string]time.Time)
	for _, c := range calls {
		if at, ok := statedAt[c.front]; l.isStatedIn(c) && (!ok || c.answeredAt.Before(at)) {
			statedAt[c.front] = c.answeredAt
		}
	}
	ran := lo.SliceToMap(runs, func(x userplatform.Run) (string, bool) { return x.Attempt(), true })
	var found []string
	for _, c := range calls {
		at, ok := statedAt[c.front]
		if late := c.sentAt.Sub(at); ok && ran[c.attempt] && late > leavingBound {
			found = append(found, fmt.Sprintf("replica %s got request %s, which was sent %d ms after %s had forwarded that it leaves",
				l.replica.ID, c.attempt, late.Milliseconds(), c.front))
		}
	}
	return found
}

// probeCall sends one request to a process. Its status is 0 if there was no response.
func (r *run) probeCall(ctx context.Context, e *edgefleet.Edge, key, attempt, target string) *call {
	c := &call{attempt: attempt, target: target, key: key, front: e.FrontAddress, sentAt: time.Now()}
	c.status, c.header, c.err = sendProbe(ctx, c)
	c.answeredAt = time.Now()
	return c
}
