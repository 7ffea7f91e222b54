package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/lease"
)

func (m *Machine) plan(now time.Duration, ready map[fleet.InstanceID]bool) []Action {
	if m.spec == nil {
		return nil
	}
	return append(m.starts(now), m.stops(now, ready)...)
}

// starts fills empty slots, each time one of the service with the fewest filled
// slots.
func (m *Machine) starts(now time.Duration) []Action {
	filled := make(map[fleet.ServiceName]int)
	empty := make(map[fleet.ServiceName][]*slotState)
	for _, s := range m.desired {
		service := s.slot.Shard.Service
		if s.filled() {
			filled[service]++
		} else if _, ok := m.permit(now, s.slot.Shard); ok && now >= s.retryAt && !m.frozen[service] {
			empty[service] = append(empty[service], s)
		}
	}
	var actions []Action
	for len(empty) > 0 && m.inFlight < m.options.MaxStarts && len(actions) < m.options.StartsPerTick {
		service := minFilled(empty, filled)
		s := empty[service][0]
		empty[service] = empty[service][1:]
		if len(empty[service]) == 0 {
			delete(empty, service)
		}
		if action, ok := m.start(now, s); ok {
			actions = append(actions, action)
			filled[service]++
		}
	}
	return actions
}

// filled reports whether the slot has an instance or a start in flight.
func (s *slotState) filled() bool {
	return s.starting || (s.hasInstance && !s.ended)
}

func minFilled(empty map[fleet.ServiceName][]*slotState, filled map[fleet.ServiceName]int) fleet.ServiceName {
	services := make([]fleet.ServiceName, 0, len(empty))
	for service := range empty {
		services = append(services, service)
	}
	return slices.MinFunc(services, func(a, b fleet.ServiceName) int {
		return cmp.Or(cmp.Compare(filled[a], filled[b]), cmp.Compare(a, b))
	})
}

func (m *Machine) start(now time.Duration, s *slotState) (Action, bool) {
	permit, _ := m.permit(now, s.slot.Shard)
	// A start with an unknown outcome is repeated with the same placement.
	p := s.placement
	if !s.startUncertain {
		var ok bool
		if p, ok = m.choosePlacement(now, s.slot); !ok {
			return nil, false
		}
	}
	if s.generation == 0 || s.ended {
		s.generation++
		s.ended, s.hasInstance = false, false
	}
	s.starting, s.placement = true, p
	m.inFlight++
	if b := m.backoff(p); b.failures > 0 {
		b.probing = true
	}
	return Start{Token: Token{Slot: s.slot, Generation: s.generation}, Placement: p, Permit: permit}, true
}

// choosePlacement returns the first placement that is not backing off. After a
// refusal, a placement is tried again by one start at a time.
func (m *Machine) choosePlacement(now time.Duration, slot Slot) (Placement, bool) {
	for _, p := range placements(m.spec, slot) {
		if b := m.backoff(p); now >= b.retryAt && !b.probing {
			return p, true
		}
	}
	return Placement{}, false
}

// stops stops surplus instances, one at a time for each shard, and only while
// every desired slot of the shard has a ready instance.
func (m *Machine) stops(now time.Duration, ready map[fleet.InstanceID]bool) []Action {
	var actions []Action
	shards := make([]lease.Shard, 0, len(m.listed))
	for shard := range m.listed {
		shards = append(shards, shard)
	}
	slices.SortFunc(shards, func(a, b lease.Shard) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	for _, shard := range shards {
		permit, ok := m.permit(now, shard)
		if !ok || m.frozen[shard.Service] {
			continue
		}
		surplus := m.expiredSurplus(now, shard)
		if len(surplus) == 0 || m.stoppingIn(shard) || !m.allReady(shard, ready) {
			continue
		}
		m.stopping[surplus[0].ID] = true
		actions = append(actions, Stop{Instance: surplus[0].ID, Permit: permit})
	}
	return actions
}

// expiredSurplus returns the live instances that have been surplus for at least
// ScaleDownDelay.
func (m *Machine) expiredSurplus(now time.Duration, shard lease.Shard) []Instance {
	var expired []Instance
	for _, i := range m.listed[shard] {
		needed := i.slot.desired && i.Token.Generation >= i.slot.generation
		if needed || i.State != StateLive {
			delete(m.surplusSince, i.ID)
			continue
		}
		since, found := m.surplusSince[i.ID]
		if !found {
			m.surplusSince[i.ID] = now
			since = now
		}
		if now >= since+ScaleDownDelay {
			expired = append(expired, i.Instance)
		}
	}
	slices.SortFunc(expired, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	return expired
}

func (m *Machine) stoppingIn(shard lease.Shard) bool {
	return slices.ContainsFunc(m.listed[shard], func(i listedInstance) bool { return m.stopping[i.ID] })
}

// allReady reports whether every desired slot of the shard has a ready instance.
func (m *Machine) allReady(shard lease.Shard, ready map[fleet.InstanceID]bool) bool {
	readySlots := make(map[*slotState]bool)
	for _, i := range m.listed[shard] {
		if i.State == StateLive && ready[i.ID] {
			readySlots[i.slot] = true
		}
	}
	return !slices.ContainsFunc(m.desired, func(s *slotState) bool { return s.slot.Shard == shard && !readySlots[s] })
}
