// Package enginemodel estimates how fast the model engines of each service work: the rate at
// which they read prompts, the time of an output token, the output and cache misses of each
// route, and the speed of each endpoint relative to its service. It learns from requests as the
// instances observe them. What it learns is kept in sums that decay and can be added up over
// instances. It performs no input or output; the current time is passed in.
package enginemodel

import (
	"maps"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// ServiceSums are the sums over requests to the engines of one service. Times are in
// milliseconds.
type ServiceSums struct {
	// First relates the time to the first event to the tokens to read, Step the time of an
	// output token to the running requests.
	First Reading
	Step  Line
	// Read is the number of tokens to read, Finished the number of requests that ended, Held the
	// tokens that they held in memory at their end, SlotTime the time that they ran.
	Read, Finished, Held, SlotTime float64
}

func (s *ServiceSums) add(o ServiceSums, factor float64) {
	s.First.add(o.First, factor)
	s.Step.add(o.Step, factor)
	s.Read = max(s.Read+factor*o.Read, 0)
	s.Held = max(s.Held+factor*o.Held, 0)
	s.SlotTime = max(s.SlotTime+factor*o.SlotTime, 0)
	s.Finished = max(s.Finished+factor*o.Finished, 0)
}

// RouteKey identifies the requests of a route to one service.
type RouteKey struct {
	Service fleet.ServiceName
	Route   string
}

// RouteSums are the sums over requests of a route to one service, in tokens.
type RouteSums struct {
	// Output is what finished requests put out, MaxOutput the maximum that they stated.
	Output, MaxOutput float64
	// Shared is the number of prompt tokens that other requests may share, Missed how many of
	// them were read again.
	Shared, Missed float64
}

func (s *RouteSums) add(o RouteSums, factor float64) {
	s.Output = max(s.Output+factor*o.Output, 0)
	s.MaxOutput = max(s.MaxOutput+factor*o.MaxOutput, 0)
	s.Shared = max(s.Shared+factor*o.Shared, 0)
	s.Missed = max(s.Missed+factor*o.Missed, 0)
}

// EndpointSums compare the time that an endpoint took to read prompts with the time expected at
// the rate of its service, each as a multiple of the time of a typical request.
type EndpointSums struct{ Observed, Expected float64 }

func (s *EndpointSums) add(o EndpointSums, factor float64) {
	s.Observed = max(s.Observed+factor*o.Observed, 0)
	s.Expected = max(s.Expected+factor*o.Expected, 0)
}

// Sums is what one instance, or several together, learned.
type Sums struct {
	Services  map[fleet.ServiceName]ServiceSums
	Routes    map[RouteKey]RouteSums
	Endpoints map[fleet.EndpointID]EndpointSums
}

// NewSums returns empty sums.
func NewSums() Sums {
	return Sums{
		Services: make(map[fleet.ServiceName]ServiceSums), Routes: make(map[RouteKey]RouteSums),
		Endpoints: make(map[fleet.EndpointID]EndpointSums),
	}
}

// Add adds what other instances learned.
func (s Sums) Add(o Sums) { s.combine(o, 1) }

// Subtract removes sums that were added before.
func (s Sums) Subtract(o Sums) { s.combine(o, -1) }

// maxSum bounds the amounts that a peer can state, so that sums of them stay finite.
const maxSum = 1e15

func plausible(amounts ...float64) bool {
	for _, a := range amounts {
		if !(a >= 0 && a <= maxSum) {
			return false
		}
	}
	return true
}

func (l Line) plausible() bool {
	return plausible(l.N, l.X, l.Y, l.XX, l.XY, l.YY) && l.X*l.X <= l.N*l.XX*(1+rounding)
}

func (r Reading) plausible() bool {
	return r.Certain.plausible() && plausible(r.D, r.DD, r.XD, r.DY) && r.D*r.D <= r.Certain.N*r.DD*(1+rounding)
}

// rounding is the relative error that sums may have after additions and subtractions.
const rounding = 1e-3

// KeepPlausible removes the parts that no instance states, such as negative sums.
func (s Sums) KeepPlausible() {
	maps.DeleteFunc(s.Services, func(_ fleet.ServiceName, p ServiceSums) bool {
		return !p.First.plausible() || !p.Step.plausible() || !plausible(p.Read, p.Finished, p.Held, p.SlotTime)
	})
	maps.DeleteFunc(s.Routes, func(_ RouteKey, p RouteSums) bool {
		return !plausible(p.Output, p.MaxOutput, p.Shared, p.Missed)
	})
	maps.DeleteFunc(s.Endpoints, func(_ fleet.EndpointID, p EndpointSums) bool { return !plausible(p.Observed, p.Expected) })
}

func (s Sums) combine(o Sums, factor float64) {
	for name, part := range o.Services {
		sum := s.Services[name]
		sum.add(part, factor)
		s.Services[name] = sum
	}
	for key, part := range o.Routes {
		sum := s.Routes[key]
		sum.add(part, factor)
		s.Routes[key] = sum
	}
	for id, part := range o.Endpoints {
		sum := s.Endpoints[id]
		sum.add(part, factor)
		s.Endpoints[id] = sum
	}
}
