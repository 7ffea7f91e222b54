package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
)

// seenOrder is the newest order of a service.
type seenOrder struct {
	order  Order
	readAt time.Duration
	// handled is set once the order is adopted or ignored.
	handled bool
}

// Leader decides on the rollouts while this instance holds the lease of the duties. A decision
// takes effect once its record is written, except that the share may shrink at any time.
type Leader struct {
	bounds Bounds
	orders map[fleet.ServiceName]*seenOrder
	runs   map[fleet.ServiceName]*run
	loaded bool
	// epoch is the epoch of the store in which the records were read.
	epoch storelog.Epoch
	// saving is the service whose record is being written, publishing the one whose state is.
	saving, publishing fleet.ServiceName
	fence, revision    int64
}

// NewLeader returns a leader that knows no order. Load must be called before its first step.
func NewLeader(b Bounds) *Leader {
	return &Leader{bounds: b, orders: make(map[fleet.ServiceName]*seenOrder), runs: make(map[fleet.ServiceName]*run)}
}

// Read passes an order that was read from its log. The newest of each service counts.
func (l *Leader) Read(now time.Duration, o Order) {
	if known, ok := l.orders[o.Service]; ok && known.order.Position >= o.Position {
		return
	}
	l.orders[o.Service] = &seenOrder{order: o, readAt: now}
}

// Load replaces the state by what is stored. What is known of a rollout besides its record is
// kept.
func (l *Leader) Load(now time.Duration, stored Stored) {
	l.runs, l.epoch = resumeAll(now, l.runs, stored), stored.Epoch
	for _, o := range l.orders {
		o.handled = false
	}
	l.loaded, l.saving, l.publishing = true, "", ""
}

// Unload discards the state when the lease is lost or a write conflicts with another holder's.
func (l *Leader) Unload() { l.loaded = false }

// Loaded reports whether the records were loaded.
func (l *Leader) Loaded() bool { return l.loaded }

// Step decides what is due.
func (l *Leader) Step(now time.Duration, in Inputs) []Action {
	if !l.loaded || in.Catalog == nil {
		return nil
	}
	l.fence = in.Fence
	actions := l.adopt(now, in)
	for _, service := range slices.Sorted(maps.Keys(l.runs)) {
		r := l.runs[service]
		if r.record.State.IsFinal() {
			continue
		}
		r.observe(now, in, l.bounds)
		if r.next == nil && l.saving == "" {
			r.next = r.decide(now)
		}
		if r.expired(now) {
			actions = append(actions, Ignored{Order: r.record.Order, Reason: ReasonNoEndpoints})
		}
	}
	return append(actions, l.writes(now)...)
}

// adopt starts the rollouts of new orders. One that would replace a running rollout waits for
// endpoints of its version, and any until the final state of the previous one is written.
func (l *Leader) adopt(now time.Duration, in Inputs) []Action {
	var actions []Action
	for _, service := range slices.Sorted(maps.Keys(l.orders)) {
		o := l.orders[service]
		current, ok := l.runs[service]
		_, known := in.Catalog.Services[service]
		switch {
		case o.handled || l.saving == service:
			continue
		case ok && current.record.Order.Position >= o.order.Position:
		case ok && o.order.isShownAgain(current.record.Order):
			current.identify(o.order)
		case ok && current.record.Order.To == o.order.To:
			actions = append(actions, Ignored{Order: o.order, Reason: ReasonDuplicate})
		case !known:
			actions = append(actions, Ignored{Order: o.order, Reason: ReasonUnknownService})
		case ok && current.record.State.IsFinal() && current.needsPublish():
			continue
		case ok && !current.record.State.IsFinal() && viewOf(in, o.order).newReady == 0:
			continue
		default:
			record := Record{Order: o.order, StartedAt: o.readAt}
			if ok {
				record.Withheld = current.withheldBy(o.order.To)
			}
			l.runs[service] = newRun(now, Record{Order: o.order, StartedAt: o.readAt, Withheld: record.Withheld})
			l.runs[service].next, l.runs[service].isSaved = &record, false
		}
		o.handled = true
	}
	return actions
}

// writes returns the writes that are due, one of each kind at a time.
func (l *Leader) writes(now time.Duration) []Action {
	var actions []Action
	for _, service := range slices.Sorted(maps.Keys(l.runs)) {
		r := l.runs[service]
		if r.next != nil && l.saving == "" {
			l.saving, r.next.Epoch = service, l.epoch
			actions = append(actions, Save{Record: *r.next})
		}
		if r.needsPublish() && r.isFollowed(now) && l.publishing == "" {
			l.publishing = service
			actions = append(actions, Publish{Order: r.record.Order, State: r.record.State})
		}
	}
	return actions
}

// Saved reports that the record of the last Save was written.
func (l *Leader) Saved(now time.Duration) []Action {
	r, ok := l.runs[l.saving]
	l.saving = ""
	if !ok || r.next == nil {
		return nil
	}
	r.saved(now)
	return []Action{Decided{Status: r.status(now)}}
}

// SaveFailed reports that the record of the last Save was not written. It is decided again.
func (l *Leader) SaveFailed() {
	if r, ok := l.runs[l.saving]; ok && r.isSaved {
		r.next, r.isLate = nil, true
	}
	l.saving = ""
}

// Published reports whether the state of the last Publish was written.
func (l *Leader) Published(p Publish, written bool) {
	if r, ok := l.runs[l.publishing]; ok && written && r.record.Order == p.Order {
		r.published, r.isPublished = p.State, true
	}
	l.publishing = ""
}

// Plans returns the plans, confirmed at now.
func (l *Leader) Plans(now time.Duration) []Plan {
	if !l.loaded {
		return nil
	}
	var plans []Plan
	for _, service := range slices.Sorted(maps.Keys(l.runs)) {
		r := l.runs[service]
		if !r.isSaved || l.fence == 0 {
			continue
		}
		if share := r.plannedShare(); !r.isPlanned || r.changes(share) {
			l.revision++
			r.revision, r.share, r.planned, r.isPlanned = l.revision, share, r.record, true
			r.planned.State = r.planState()
		}
		plans = append(plans, Plan{
			Service: service, To: r.record.Order.To, Withheld: r.record.Withheld, Order: r.record.Order.Position, Fence: l.fence,
			Step: r.record.Step, Revision: r.revision, State: r.planState(), Share: r.share, ConfirmedAt: now,
		})
	}
	return plans
}

// Status describes all rollouts, ordered by service.
func (l *Leader) Status(now time.Duration) []Status {
	var list []Status
	for _, service := range slices.Sorted(maps.Keys(l.runs)) {
		list = append(list, l.runs[service].status(now))
	}
	return list
}

// Running returns the services with a running rollout, ordered.
func (l *Leader) Running() []fleet.ServiceName {
	return slices.DeleteFunc(slices.Sorted(maps.Keys(l.runs)), func(s fleet.ServiceName) bool {
		return l.runs[s].record.State.IsFinal()
	})
}
