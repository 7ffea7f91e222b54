package scaling

import (
	"math"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/tally"
)

const (
	// lateShare is the share of requests that may miss their latency objective, scarceLateShare the
	// same while on-demand endpoints, at several times the price, stand in for reclaimable ones.
	lateShare, scarceLateShare = 0.05, 0.1
	// minUtilization and maxUtilization bound the utilization that is aimed at.
	minUtilization, maxUtilization = 0.4, 0.9
	// maxObservedUtilization is the utilization from which on the share of slow requests shows a
	// backlog and not how steeply it grows.
	maxObservedUtilization = 0.95
	// minObserved is the number of requests from which on their share of slow ones counts, minSlowShare
	// the smallest share that so many can show.
	minObserved, minSlowShare = 20.0, 0.005
	// utilizationMemory is the time in which the weight of an observation falls to 1/e.
	utilizationMemory = 10 * time.Second
	// priorSteepness is assumed before any observation; it aims at a utilization of about 0.7. It
	// weighs as much as priorWeight at full utilization.
	priorSteepness = 4.0
	priorWeight    = 3 * time.Second
	// presentSmoothing is the time constant of the number of present endpoints. It is that of the
	// mean of the demand, to which it is compared.
	presentSmoothing = 2 * time.Second
)

// utilization estimates how busy the endpoints of a service may be while its requests meet their
// latency objective. It assumes that the share of slow requests, which take more than half of the
// objective until their first event, depends on the utilization as the tail of a queue does:
//
//	slow(u) = u * exp(-steepness * (1 - u))
//
// The steepness follows from what was observed: it is small where requests are long against the objective,
// or endpoints are uneven. As the tail is exponential, the share of requests that take more than the
// whole objective is about the square of that, so that it can be kept small without many late requests.
type utilization struct {
	steepness float64
	// weight is that of the observations behind the steepness, in seconds.
	weight float64
	// present is the smoothed number of endpoints.
	present    float64
	observedAt time.Duration
	started    bool
}

func newUtilization() *utilization {
	return &utilization{steepness: priorSteepness, weight: priorWeight.Seconds()}
}

// observe learns from the demand for a service, in endpoints kept busy, the number of its present
// endpoints and how fast its requests were answered.
func (u *utilization) observe(now time.Duration, demand float64, present int, latency tally.Latency) {
	passed := now - u.observedAt
	u.observedAt = now
	if !u.started {
		u.started, u.present = true, float64(present)
		return
	}
	u.present += (float64(present) - u.present) * (1 - math.Exp(-float64(passed)/float64(presentSmoothing)))
	if u.present < 1 || latency.Requests < minObserved {
		return
	}
	busy := demand / u.present
	if busy <= 0 || busy >= maxObservedUtilization {
		return
	}
	slow := min(max(latency.Slow/latency.Requests, minSlowShare), busy)
	steepness := math.Log(busy/slow) / (1 - busy)
	kept := math.Exp(-float64(passed) / float64(utilizationMemory))
	// At low utilization few requests wait for others, and the slow ones are mostly slow for other reasons.
	weight := passed.Seconds() * busy * busy * busy
	u.steepness = (u.steepness*u.weight*kept + steepness*weight) / (u.weight*kept + weight)
	u.weight = u.weight*kept + weight
}

// target returns the highest utilization at which at most a share of the requests misses the
// objective.
func (u *utilization) target(late float64) float64 {
	slow := math.Sqrt(late)
	low, high := minUtilization, maxUtilization
	const halvings = 20
	for range halvings {
		middle := (low + high) / 2
		if middle*math.Exp(-u.steepness*(1-middle)) <= slow {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

// utilizationOf returns the estimate for a service, brought up to date.
func (p *Planner) utilizationOf(now time.Duration, name fleet.ServiceName, present map[EndpointGroup]int, demand *Demand) *utilization {
	u, ok := p.utilizations[name]
	if !ok {
		u = newUtilization()
		p.utilizations[name] = u
	}
	if now > u.observedAt || !u.started {
		count := 0
		for group, n := range present {
			if group.Service == name {
				count += n
			}
		}
		u.observe(now, demand.Current(now, name), count, demand.Latency(now, name))
	}
	return u
}
