// Package tally holds what instances add up over the deployment: the quota use and
// demand of teams, the load of endpoints, the demand for services, the speeds of model engines
// and the counts of rollouts. It performs no input or output.
package tally

import (
	"cmp"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/enginemodel"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quota"
	"github.com/cornelhold/cornelhold/internal/core/rollout"
)

// Load is the work at an endpoint.
type Load struct {
	// Active counts the running requests, Backlog the prompt tokens of requests
	// without a response yet.
	Active  int
	Backlog int
	// Turns counts the running requests that were sent with a turn.
	Turns int
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{Active: l.Active + other.Active, Backlog: l.Backlog + other.Backlog, Turns: l.Turns + other.Turns}
}

// Latency counts the requests for a service whose latency was observed in the last seconds, and those
// of them that took more than half of their latency objective until the first event.
type Latency struct{ Requests, Slow float64 }

// Plus returns the sum.
func (l Latency) Plus(o Latency) Latency {
	return Latency{Requests: l.Requests + o.Requests, Slow: l.Slow + o.Slow}
}

// Minus returns the difference, without negative counts.
func (l Latency) Minus(o Latency) Latency {
	return Latency{Requests: max(l.Requests-o.Requests, 0), Slow: max(l.Slow-o.Slow, 0)}
}

// Tally is what one instance, or several together, admitted and sent.
type Tally struct {
	// Used is what teams used in the quota window, Requested what they requested per
	// second, admitted or not, both in the unit of the quota.
	Used      map[fleet.TeamName]quota.Usage
	Requested map[fleet.TeamName]float64
	// Departed is what instances that run no more used and the sums of the others lack.
	// Several instances state the same use, so their tallies are joined by the maximum.
	Departed map[fleet.TeamName]quota.Usage
	Loads    map[fleet.EndpointID]Load
	// Demand is the engine time that callers request, by service, as a multiple of one
	// endpoint's time. Requests refused for overload count too.
	Demand map[fleet.ServiceName]float64
	// Latencies are the latencies of requests to model engines, by service.
	Latencies map[fleet.ServiceName]Latency
	// Engines is what instances learned of the speeds of model engines.
	Engines enginemodel.Sums
	// Rollouts counts by version what happened since the order of a running rollout.
	Rollouts map[rollout.Key]rollout.Counts
}

// New returns an empty tally.
func New() Tally {
	return Tally{
		Used: make(map[fleet.TeamName]quota.Usage), Requested: make(map[fleet.TeamName]float64),
		Departed: make(map[fleet.TeamName]quota.Usage), Loads: make(map[fleet.EndpointID]Load), Demand: make(map[fleet.ServiceName]float64),
		Latencies: make(map[fleet.ServiceName]Latency),
		Engines:   enginemodel.NewSums(),
		Rollouts:  make(map[rollout.Key]rollout.Counts),
	}
}

// Add adds another tally.
func (t Tally) Add(other Tally) {
	t.AddUsed(other.Used)
	for team, amount := range other.Requested {
		t.Requested[team] += amount
	}
	for team, use := range other.Departed {
		if use.Total() > t.Departed[team].Total() {
			t.Departed[team] = use
		}
	}
	for id, load := range other.Loads {
		t.Loads[id] = t.Loads[id].Plus(load)
	}
	for service, demand := range other.Demand {
		t.Demand[service] += demand
	}
	for service, latency := range other.Latencies {
		t.Latencies[service] = t.Latencies[service].Plus(latency)
	}
	t.Engines.Add(other.Engines)
	for key, counts := range other.Rollouts {
		t.Rollouts[key] = t.Rollouts[key].Plus(counts)
	}
}

// AddUsed adds only the quota use of other instances.
func (t Tally) AddUsed(used map[fleet.TeamName]quota.Usage) {
	for team, use := range used {
		t.Used[team] = t.Used[team].Plus(use)
	}
}

// Subtract removes a tally that was added before, except for the use of departed instances. No
// part becomes negative.
func (t Tally) Subtract(other Tally) {
	for team, use := range other.Used {
		t.Used[team] = t.Used[team].Minus(use)
	}
	for team, amount := range other.Requested {
		t.Requested[team] = max(t.Requested[team]-amount, 0)
	}
	for id, load := range other.Loads {
		sum := t.Loads[id]
		t.Loads[id] = Load{
			Active: max(sum.Active-load.Active, 0), Backlog: max(sum.Backlog-load.Backlog, 0), Turns: max(sum.Turns-load.Turns, 0),
		}
	}
	for service, demand := range other.Demand {
		t.Demand[service] = max(t.Demand[service]-demand, 0)
	}
	for service, latency := range other.Latencies {
		t.Latencies[service] = t.Latencies[service].Minus(latency)
	}
	t.Engines.Subtract(other.Engines)
	for key, counts := range other.Rollouts {
		t.Rollouts[key] = t.Rollouts[key].Minus(counts)
	}
}

// Group is the tally of several instances.
type Group struct {
	Tally     Tally
	Instances int
	// Age is the mean age of what the instances stated, weighted equally.
	Age time.Duration
	// Oldest is the longest time that one of the instances has been running.
	Oldest time.Duration
	// Youngest is the shortest time that one of the instances has been running, 0 if it is
	// not known.
	Youngest time.Duration
}

// NewGroup returns a group without instances.
func NewGroup() Group { return Group{Tally: New()} }

// Join adds another group.
func (g *Group) Join(other Group) {
	g.Tally.Add(other.Tally)
	if n := g.Instances + other.Instances; n > 0 {
		g.Age = (g.Age*time.Duration(g.Instances) + other.Age*time.Duration(other.Instances)) / time.Duration(n)
		g.Instances = n
	}
	g.Oldest = max(g.Oldest, other.Oldest)
	if g.Youngest == 0 || other.Youngest > 0 {
		g.Youngest = min(cmp.Or(g.Youngest, other.Youngest), cmp.Or(other.Youngest, g.Youngest))
	}
}
