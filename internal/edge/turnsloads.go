package edge

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/exchange"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/tally"
	"github.com/cornelhold/cornelhold/internal/core/turns"
)

// turnsSums is what the peers task knows of the other instances, for the turns task.
type turnsSums struct {
	carriers map[string]netip.Addr
	// instances is the number of all instances, own and others are the loads of endpoints, which
	// must not be changed.
	instances   int
	own, others map[fleet.EndpointID]tally.Load
	rejectedAt  map[fleet.ServiceName]time.Duration
}

// knownInstances are the addresses from which datagrams about turns are accepted.
type knownInstances struct{ addresses map[netip.Addr]bool }

// newTurnsSums combines the sums of the others with what this instance reported last.
func newTurnsSums(o exchange.Others, own gateway.Report) turnsSums {
	s := turnsSums{
		carriers: make(map[string]netip.Addr, len(o.CarrierNodes)), instances: o.Reached.Instances + 1,
		own: own.Tally.Loads, others: o.Reached.Tally.Loads, rejectedAt: own.RejectedAt,
	}
	if len(o.CarrierAddresses) != len(o.CarrierNodes) {
		// The carrier that sent the sums is of an older version.
		return s
	}
	for i, node := range o.CarrierNodes {
		if address, err := netip.ParseAddr(string(o.CarrierAddresses[i])); err == nil {
			s.carriers[node] = address
		}
	}
	return s
}

func nodesOf(carriers map[string]netip.Addr) []string { return slices.Sorted(maps.Keys(carriers)) }

// scarceLoads holds the plain services with fewer slots than there are instances, and their loads.
type scarceLoads struct {
	state     directoryState
	instances int
	sums      turnsSums
	// scarce are the usable endpoints of each of these services, services their names.
	scarce   map[fleet.ServiceName][]catalog.Endpoint
	services []fleet.ServiceName
}

func (s *scarceLoads) setEndpoints(state directoryState) {
	s.state = state
	s.update()
}

// setSums reports whether the number of instances changed.
func (s *scarceLoads) setSums(sums turnsSums) bool {
	s.sums = sums
	if sums.instances == s.instances {
		return false
	}
	s.instances = sums.instances
	s.update()
	return true
}

func (s *scarceLoads) update() {
	s.scarce, s.services = make(map[fleet.ServiceName][]catalog.Endpoint), nil
	if s.state.Catalog == nil {
		return
	}
	slots := make(map[fleet.ServiceName]int)
	for _, e := range s.usable() {
		slots[e.Service] += e.Slots
		s.scarce[e.Service] = append(s.scarce[e.Service], e)
	}
	maps.DeleteFunc(s.scarce, func(service fleet.ServiceName, _ []catalog.Endpoint) bool { return slots[service] >= s.instances })
	s.services = slices.Sorted(maps.Keys(s.scarce))
}

// usable returns the endpoints of plain services that take turns.
func (s *scarceLoads) usable() []catalog.Endpoint {
	var list []catalog.Endpoint
	for _, e := range s.state.Endpoints {
		if s.state.Catalog != nil && s.state.Catalog.Services[e.Service].Engine == nil && !e.Draining && !e.Lapsed {
			list = append(list, e)
		}
	}
	return list
}

func (s *scarceLoads) anyScarce() bool { return len(s.scarce) > 0 }

func (s *scarceLoads) isScarce(service fleet.ServiceName) bool { return len(s.scarce[service]) > 0 }

func (s *scarceLoads) load(e fleet.EndpointID) tally.Load {
	return s.sums.own[e].Plus(s.sums.others[e])
}

// total returns the slots of a service and the requests of all instances.
func (s *scarceLoads) total(service fleet.ServiceName) (slots, active int) {
	for _, e := range s.scarce[service] {
		slots += e.Slots
		active += s.load(e.ID).Active
	}
	return slots, active
}

// loads returns the loads of the scarce services and of their endpoints.
func (s *scarceLoads) loads() (map[fleet.ServiceName]turns.ServiceLoad, map[fleet.EndpointID]turns.EndpointLoad) {
	services := make(map[fleet.ServiceName]turns.ServiceLoad, len(s.scarce))
	endpoints := make(map[fleet.EndpointID]turns.EndpointLoad)
	for service, list := range s.scarce {
		slots, active := s.total(service)
		at, rejected := s.sums.rejectedAt[service]
		services[service] = turns.ServiceLoad{Slots: slots, Active: active, Rejected: rejected, RejectedAt: at}
		for _, e := range list {
			load := s.load(e.ID)
			endpoints[e.ID] = turns.EndpointLoad{Active: load.Active, WithoutTurn: max(load.Active-load.Turns, 0)}
		}
	}
	return services, endpoints
}
