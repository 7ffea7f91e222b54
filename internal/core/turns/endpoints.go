package turns

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// timeSmoothing is the weight of a new call time. Endpoints change their speed within some
	// tenths of a second, in which ten calls or more end.
	timeSmoothing = 0.1
	// overheadSmoothing is the weight of a new overhead, overheadLimit bounds it, so that repeated
	// messages do not count as latency.
	overheadSmoothing = 0.05
	overheadLimit     = 25 * time.Millisecond
	// typicalDeviations is the number of mean deviations above the mean that is expected of a call
	// when it is queued behind others.
	typicalDeviations = 1
)

// callTimes are the mean and the mean deviation of call times.
type callTimes struct {
	known           bool
	mean, deviation float64
}

func (c *callTimes) observe(took time.Duration) {
	if !c.known {
		*c = callTimes{known: true, mean: float64(took), deviation: float64(took) / 2}
		return
	}
	c.deviation += timeSmoothing * (math.Abs(float64(took)-c.mean) - c.deviation)
	c.mean += timeSmoothing * (float64(took) - c.mean)
}

// endpoint is an endpoint of a service with the turns in use there.
type endpoint struct {
	id      fleet.EndpointID
	started int64
	slots   int
	times   callTimes
	turns   int
	load    EndpointLoad
	// fullUntil is set after a rejection as full.
	fullUntil time.Duration
}

// callTime returns the expected time of a call there, 0 if nothing is known.
func (e *endpoint) callTime(s *service) time.Duration {
	if e.times.known {
		return time.Duration(e.times.mean)
	}
	return time.Duration(s.times.mean)
}

// limit returns how many calls of all instances may be at the endpoint: its slots, and those whose
// slots would be free while the end of one call and the grant for the next one are on their way.
// The latency of the way between instance and endpoint is part of the call time, and is taken to
// be that between instances.
func (s *service) limit(e *endpoint) int {
	callTime := e.callTime(s)
	if callTime <= 0 {
		return e.slots
	}
	const ways = 2
	hidden := float64(e.slots) * ways * float64(s.overhead) / float64(callTime)
	// How many are on their way varies by about the root of their mean.
	return e.slots + min(int(math.Ceil(hidden+math.Sqrt(hidden)/2)), e.slots)
}

// inUse returns the calls at the endpoint as far as known. Reported loads are older than most calls
// last. They count as at most a quarter of the slots, so that an endpoint whose calls have ended since
// does not stay idle.
func (s *service) inUse(now time.Duration, e *endpoint) int {
	others := e.load.WithoutTurn
	if now < s.learningUntil {
		others = max(others, e.load.Active-e.turns)
	}
	return e.turns + min(others, (e.slots+3)/4)
}

func (s *service) hasRoom(now time.Duration, e *endpoint) bool {
	return now >= e.fullUntil && s.inUse(now, e) < s.limit(e)
}

// rate returns how many calls all endpoints complete in a second, 0 if it is not known.
func (s *service) rate() float64 {
	sum := 0.0
	for _, e := range s.endpoints {
		if t := e.callTime(s); t > 0 {
			sum += float64(e.slots) / t.Seconds()
		}
	}
	return sum
}

// observe learns from a call that was answered.
func (s *service) observe(now time.Duration, t *turn, took time.Duration) {
	if took <= 0 {
		return
	}
	s.times.observe(took)
	t.endpoint.times.observe(took)
	overhead := min(max(now-t.grantedAt-took, 0), overheadLimit)
	s.overhead += time.Duration(overheadSmoothing * float64(overhead-s.overhead))
}

func (s *service) endpoint(id fleet.EndpointID) *endpoint {
	for _, e := range s.endpoints {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (o *Owner) changeEndpoints(now time.Duration, list []catalog.Endpoint) {
	clear(o.known)
	for _, e := range list {
		if e.Slots > 0 {
			o.known[e.Service] = append(o.known[e.Service], e)
		}
	}
	for _, s := range o.sorted() {
		o.setEndpoints(now, s, o.known[s.name])
		o.dispatch(now, s)
	}
}

// setEndpoints replaces the endpoints of a service. Turns of endpoints that are gone, or were
// started again, end. Draining and lapsed endpoints get no turns unless there are no others.
func (o *Owner) setEndpoints(now time.Duration, s *service, list []catalog.Endpoint) {
	preferred := slices.DeleteFunc(slices.Clone(list), func(e catalog.Endpoint) bool { return e.Draining || e.Lapsed })
	if len(preferred) == 0 {
		preferred = list
	}
	endpoints := make([]*endpoint, 0, len(preferred))
	for _, described := range preferred {
		e := s.endpoint(described.ID)
		if e == nil || e.started != described.Started {
			e = &endpoint{id: described.ID, started: described.Started}
		}
		e.slots = described.Slots
		endpoints = append(endpoints, e)
	}
	slices.SortFunc(endpoints, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	s.endpoints = endpoints
	o.applyLoads(s)
	for _, h := range s.holders {
		for _, t := range h.turns {
			if !slices.Contains(endpoints, t.endpoint) {
				s.tombstones[t.key] = now + tombstoneTime
				o.endTurn(s, t)
			}
		}
	}
}

func (o *Owner) applyLoads(s *service) {
	for _, e := range s.endpoints {
		e.load = o.loads[e.id]
	}
}
