package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
)

const (
	// crashTarget is the target of a request that crashes each replica that runs it.
	crashTarget = "/check/crash"
	// crashThreshold is the number of crashes after which the request is stopped,
	// contactTime the time in which all processes learn of it, and maxRetriesAfter the
	// number of times that it may be run after that.
	crashThreshold  = 3
	contactTime     = 3 * time.Second
	maxRetriesAfter = 3
	// crashRounds is the number of times that each process gets the request before and
	// after that, crashInterval the time between two.
	crashRounds   = 5
	crashInterval = 400 * time.Millisecond
	// replicaDownTime is how long a crashed replica stays down.
	replicaDownTime = time.Second
)

// crashes keeps track of the replicas that have crashed. It is used by one goroutine.
type crashes struct {
	ended    []*userplatform.Replica
	downAt   map[*userplatform.Replica]time.Time
	restarts int
}

func crashesReplica(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, crashTarget) }

func (r *run) replicas() []*userplatform.Replica {
	return slices.Concat(r.fleet.ModelReplicas, r.fleet.PlainReplicas)
}

// prepareReplica lets a replica crash on the crashing request, and its proxy refuse
// connections from then on.
func (r *run) prepareReplica(ctx context.Context, replica *userplatform.Replica) {
	p := r.proxyOf(replica)
	replica.OnCrash(func() { p.setDown(ctx, true) })
	replica.SetCrash(crashesReplica)
}

func (r *run) proxyOf(replica *userplatform.Replica) *proxy {
	p, _ := lo.Find(r.proxies, func(p *proxy) bool { return p.target == replica.Address })
	return p
}

// restartCrashed starts the replicas again that have been down for at least downTime.
func (r *run) restartCrashed(ctx context.Context, downTime time.Duration) error {
	for _, replica := range r.replicas() {
		if !replica.Crashed() {
			continue
		}
		if _, ok := r.crashes.downAt[replica]; !ok {
			r.crashes.downAt[replica] = time.Now()
			r.crashes.ended = append(r.crashes.ended, replica)
		}
		if time.Since(r.crashes.downAt[replica]) < downTime {
			continue
		}
		r.crashes.restarts++
		r.proxyOf(replica).setDown(ctx, false)
		next, err := r.fleet.Restart(ctx, replica, fmt.Sprint("again-", r.crashes.restarts))
		if err != nil {
			return err
		}
		r.prepareReplica(ctx, next)
		r.fleet.RemoveEntry(replica)
	}
	return nil
}

// checkCrashingRequest checks, once all faults have ended, that a request which has crashed
// crashThreshold replicas is stopped by all processes within contactTime, and stays so when all
// of them are killed.
func (r *run) checkCrashingRequest(ctx context.Context) ([]string, error) {
	if err := r.waitUntilReady(ctx); err != nil {
		return []string{err.Error()}, nil
	}
	sleep(ctx, recoveryDelay)
	for range crashRounds {
		if r.crashRuns() >= crashThreshold {
			break
		}
		if err := r.sendCrashing(ctx); err != nil {
			return nil, err
		}
	}
	sleep(ctx, contactTime)
	before := r.crashRuns()
	if before < crashThreshold {
		return nil, nil
	}
	if err := r.sendCrashingRounds(ctx); err != nil {
		return nil, err
	}
	if added := r.crashRuns() - before; added > maxRetriesAfter {
		return []string{fmt.Sprintf("a request that had crashed %d replicas was run %d times more", before, added)}, nil
	}
	return r.checkCrashingRequestAfterLoss(ctx, before)
}

// checkCrashingRequestAfterLoss kills all processes at once and checks that the request, which
// had crashed before replicas when it was stopped, is not run more often than allowed in all.
func (r *run) checkCrashingRequestAfterLoss(ctx context.Context, before int) ([]string, error) {
	for _, e := range r.fleet.Edges {
		e.Kill()
	}
	for _, e := range r.fleet.Edges {
		if err := e.Start(); err != nil {
			return nil, err
		}
	}
	if err := r.waitUntilReady(ctx); err != nil {
		return []string{err.Error()}, nil
	}
	sleep(ctx, contactTime)
	if err := r.sendCrashingRounds(ctx); err != nil {
		return nil, err
	}
	if added := r.crashRuns() - before; added > maxRetriesAfter {
		return []string{fmt.Sprintf("after a loss of all processes, a request that had crashed %d replicas was run %d times more", before, added)}, nil
	}
	return nil, nil
}

func (r *run) sendCrashingRounds(ctx context.Context) error {
	for range crashRounds {
		if err := r.sendCrashing(ctx); err != nil {
			return err
		}
	}
	return nil
}

// sendCrashing sends the crashing request to each process, and starts the replicas again that
// it crashes.
func (r *run) sendCrashing(ctx context.Context) error {
	for _, e := range r.fleet.Edges {
		r.probeTarget(ctx, e, *r.key.Load(), crashTarget)
	}
	sleep(ctx, crashInterval)
	return r.restartCrashed(ctx, 0)
}

// crashRuns returns how often the crashing request was run.
func (r *run) crashRuns() int {
	n := 0
	for _, replica := range slices.Concat(r.crashes.ended, r.replicas()) {
		for _, x := range replica.Runs() {
			if strings.HasPrefix(x.Target, crashTarget) {
				n++
			}
		}
	}
	return n
}
