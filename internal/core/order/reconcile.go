package order

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/lease"
)

// group is the state of one service during a reconciliation step.
type group struct {
	service  fleet.ServiceName
	replicas []*replica
	// serving counts ready replicas and those that load or are about to, so that
	// each slot given to a service lowers its priority.
	serving int
	// reporting counts replicas that report; out counts those of them that don't
	// serve or are about to be changed.
	reporting int
	out       int
	// outOfService are candidates that don't serve; they come first. inService
	// are ready candidates and those whose load is expected to finish: an order
	// that arrived after the load has finished would take them out of service.
	outOfService []*replica
	inService    []*replica
}

// reconcile runs one step over all services with a permitted shard.
func (m *Machine) reconcile(now time.Duration) []Action {
	var actions []Action
	var groups []*group
	for _, service := range m.activeServices(now) {
		g := &group{service: service, replicas: m.services[service]}
		changing := m.changing(now, g)
		for _, r := range g.replicas {
			actions = append(actions, m.observe(now, r, changing)...)
			actions = append(actions, m.maintainSlot(now, r)...)
		}
		m.countReplicas(now, g)
		m.collectCandidates(now, g)
		groups = append(groups, g)
	}
	return append(actions, m.assign(now, groups)...)
}

// activeServices returns the services of the permitted shards, sorted. All data
// centres of a service are observed, because the bound on replicas that are out
// of service applies to the whole service.
func (m *Machine) activeServices(now time.Duration) []fleet.ServiceName {
	var services []fleet.ServiceName
	for shard, p := range m.permits {
		if now < p.Until {
			services = append(services, shard.Service)
		}
	}
	slices.Sort(services)
	return slices.Compact(services)
}

// changing reports whether endpoints of the service change or may change soon:
// after a new configuration, after the shard was acquired, or because one of them
// is not up to date.
func (m *Machine) changing(now time.Duration, g *group) bool {
	if now < m.stableFrom {
		return true
	}
	for shard := range m.permits {
		if shard.Service == g.service && now < m.changeFrom[shard] {
			return true
		}
	}
	return slices.ContainsFunc(g.replicas, func(r *replica) bool { return r.changing(now) })
}

func (m *Machine) observe(now time.Duration, r *replica, changing bool) []Action {
	wait := observeTimeout
	if !r.observing {
		wait = m.observeInterval(r, changing || !r.responsive(now))
	}
	if !r.managed || r.sending || (!r.observeNow && r.observeSentAt > 0 && now < r.observeSentAt+wait) {
		return nil
	}
	r.seq++
	r.observing, r.observeSentAt, r.observeNow = true, now, false
	return []Action{Observe{Endpoint: r.endpoint.ID, Address: r.endpoint.Address, Seq: r.seq}}
}

// maintainSlot extends a slot until its download has ended, then releases it.
func (m *Machine) maintainSlot(now time.Duration, r *replica) []Action {
	if r.slot == slotNone {
		return nil
	}
	done := r.fresh && !r.sending && !r.loadsTarget() && (!r.clearedForChange || !r.needsOrder() || !r.target.downloads(r.status.Loaded))
	_, permitted := m.permit(now, r)
	if !permitted {
		// Not released: the next holder may be using the slot of the same
		// endpoint. Otherwise it expires.
		r.clearSlot()
		return nil
	}
	if done || r.endpoint.Leaving {
		r.clearSlot()
		return []Action{ReleaseSlot{Endpoint: r.endpoint.ID}}
	}
	if now < r.slotRetryAt || (r.slot == slotHeld && now < r.slotUntil-slotRenewMargin) {
		return nil
	}
	if now >= r.slotUntil {
		r.slot = slotRequested
	}
	return []Action{m.acquireSlot(now, r)}
}

func (m *Machine) acquireSlot(now time.Duration, r *replica) Action {
	if r.slot == slotNone {
		r.slot, r.waitSince = slotRequested, now
	}
	r.slotRetryAt = now + observeTimeout
	var bytes int64
	if model := m.spec.Models[r.target.Model]; model != nil {
		bytes = model.WeightBytes
	}
	return AcquireSlot{Endpoint: r.endpoint.ID, Bytes: bytes}
}

func (m *Machine) countReplicas(now time.Duration, g *group) {
	for _, r := range g.replicas {
		if !r.responsive(now) || r.endpoint.Leaving {
			continue
		}
		g.reporting++
		if r.ready(now) {
			g.serving++
		}
		if !r.status.Ready || r.changePending(now) {
			g.out++
		}
		if !r.status.Ready && (r.loadsTarget() || r.changePending(now)) {
			g.serving++
		}
	}
}

// collectCandidates finds the replicas that need an order and may receive one.
// Replicas in service are changed in one data centre after the other.
func (m *Machine) collectCandidates(now time.Duration, g *group) {
	earlierPending := false
	dataCentre := fleet.DataCentre("")
	pending := false
	for _, r := range g.replicas {
		if r.endpoint.Shard.DataCentre != dataCentre {
			dataCentre = r.endpoint.Shard.DataCentre
			earlierPending = earlierPending || pending
			pending = false
		}
		pending = pending || m.unfinished(now, r)
		if _, permitted := m.permit(now, r); !permitted || !r.orderable(now) {
			continue
		}
		if !r.status.Ready && !r.loadingOther(now) {
			g.outOfService = append(g.outOfService, r)
		} else if !earlierPending && m.mayChange(now, g, r.shardKey()) {
			g.inService = append(g.inService, r)
		}
	}
}

// orderable reports whether the replica needs an order according to a recent
// report and none is being sent or delayed.
func (r *replica) orderable(now time.Duration) bool {
	return r.fresh && now-r.observedAt <= maxReportAge && r.needsOrder() && !r.sending && now >= r.retryAt
}

// unfinished reports whether later data centres must wait for a replica: it
// reports but has not reached its target. A replica that no longer reports does
// not block the others.
func (m *Machine) unfinished(now time.Duration, r *replica) bool {
	if r.endpoint.Leaving || !r.managed || !r.responsive(now) {
		return false
	}
	return !r.upToDate() || r.observedAt < m.stableFrom
}

// mayChange reports whether ready replicas of a shard may be changed: the
// stabilization delay of the configuration has passed, orders of a previous
// holder have arrived, and every replica that reports was observed since then and
// recently.
func (m *Machine) mayChange(now time.Duration, g *group, shard lease.Shard) bool {
	from := max(m.stableFrom, m.changeFrom[shard])
	if now < from {
		return false
	}
	return !slices.ContainsFunc(g.replicas, func(r *replica) bool {
		return r.responsive(now) && r.observedAt < max(from, now-maxReportAge)
	})
}

// assign assigns orders and slots, each to the service with the fewest serving
// replicas at that point.
func (m *Machine) assign(now time.Duration, groups []*group) []Action {
	var actions []Action
	slots := m.slotsInUse()
	for {
		g := minServing(groups)
		if g == nil {
			return actions
		}
		r, counts := g.next(now, m.options.MaxOutDivisor)
		if r == nil {
			continue
		}
		action := m.nextAction(now, r, &slots)
		if action == nil {
			continue
		}
		actions = append(actions, action)
		if counts {
			g.out++
		} else {
			g.serving++
		}
	}
}

func (m *Machine) slotsInUse() int {
	slots := 0
	for _, r := range m.replicas {
		if r.slot != slotNone {
			slots++
		}
	}
	return slots
}

func minServing(groups []*group) *group {
	var chosen *group
	for _, g := range groups {
		if len(g.outOfService)+len(g.inService) == 0 {
			continue
		}
		if chosen == nil || g.serving < chosen.serving {
			chosen = g
		}
	}
	return chosen
}

// next removes and returns a candidate, nil if the bound on replicas out of
// service is reached. counts is true if the order takes a ready replica out of
// service that was not counted in out.
func (g *group) next(now time.Duration, divisor int) (r *replica, counts bool) {
	if len(g.outOfService) > 0 {
		r, g.outOfService = g.outOfService[0], g.outOfService[1:]
		return r, false
	}
	r, g.inService = g.inService[0], g.inService[1:]
	limit := max(1, g.reporting/divisor)
	switch {
	case r.clearedForChange && r.slot != slotNone:
		return r, false
	case (!r.status.Ready || r.changePending(now)) && g.out <= limit:
		// The replica is already counted in out.
		return r, false
	case g.out >= limit:
		return nil, false
	default:
		return r, true
	}
}

// nextAction returns the order for a replica, the request for the slot that it
// needs first, or nil while it must wait for a slot.
func (m *Machine) nextAction(now time.Duration, r *replica, slots *int) Action {
	if r.target.downloads(r.status.Loaded) && r.slot != slotHeld {
		if r.slot == slotRequested || *slots >= m.options.MaxSlots {
			return nil
		}
		*slots++
		r.clearedForChange = true
		return m.acquireSlot(now, r)
	}
	p, _ := m.permit(now, r)
	r.sending = true
	return SendOrder{Endpoint: r.endpoint.ID, Address: r.endpoint.Address, Permit: p, Target: r.target}
}
