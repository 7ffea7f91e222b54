package order

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/lease"
)

const (
	// changingInterval is the time between two observations of an endpoint while
	// its service changes or the endpoint doesn't report.
	changingInterval = 2 * time.Second
	// idleInterval is the time between two observations of an endpoint while its
	// service is up to date. For endpoints in shards of other holders
	// remoteIdleInterval applies, since they are only counted: at 12,000 replicas
	// the reports must stay small against the 2 KB/s of control messages that each
	// node may send.
	idleInterval       = 10 * time.Second
	remoteIdleInterval = time.Minute
	// observeTimeout is the time after which an observation or a slot request
	// without a response is repeated.
	observeTimeout = 5 * time.Second
	// maxReportAge is the maximum age of the report on which an order is based. A
	// ready replica is changed only while no report of its service is older.
	maxReportAge = 2*changingInterval + time.Second
	// reportGrace is how long the last status of an endpoint that doesn't report
	// stays valid after its next observation is due.
	reportGrace = 8 * time.Second
	// activationBound is the time within which a configuration is active on
	// every node (G7).
	activationBound = 4 * time.Second
	// stabilizationDelay is the time after a new configuration before ready
	// replicas are changed. By then the last order that another controller based
	// on the previous configuration has arrived.
	stabilizationDelay = activationBound + lease.MaxOrderDelay + time.Second
	// loadTimeout is the time after which a load of a state other than the target
	// is no longer expected to finish and may be interrupted.
	loadTimeout = 10 * time.Minute
	// minRetryDelay and maxRetryDelay bound the exponential backoff after a
	// rejected order.
	minRetryDelay = 2 * time.Second
	maxRetryDelay = time.Minute
	// slotRenewMargin is how long before its end a slot is extended.
	slotRenewMargin = 20 * time.Second
)

// Options configures a Machine.
type Options struct {
	// MaxOutDivisor bounds the replicas of a service that a change takes out of
	// service concurrently: one in MaxOutDivisor, at least one.
	MaxOutDivisor int
	// MaxSlots bounds the download slots that the controller requests or holds.
	MaxSlots int
}

// Machine reconciles the endpoints of the shards for which it has a permit.
// Invariant: at most one order per endpoint is being sent at a time, and the
// endpoint is observed between two orders.
type Machine struct {
	options        Options
	spec           *config.Spec
	replicas       map[fleet.EndpointID]*replica
	services       map[fleet.ServiceName][]*replica
	permits        map[lease.Shard]lease.Permit
	changeFrom     map[lease.Shard]time.Duration
	rejectedFences map[lease.Shard]lease.Fence
	stableFrom     time.Duration
}

// New returns a machine without configuration.
func New(options Options) *Machine {
	return &Machine{
		options:        options,
		replicas:       make(map[fleet.EndpointID]*replica),
		services:       make(map[fleet.ServiceName][]*replica),
		permits:        make(map[lease.Shard]lease.Permit),
		changeFrom:     make(map[lease.Shard]time.Duration),
		rejectedFences: make(map[lease.Shard]lease.Fence),
	}
}

// Step processes one message at the local monotonic time now. Only Tick and
// SetEndpoints return actions, so that the cost of other messages does not grow
// with the fleet.
func (m *Machine) Step(now time.Duration, msg Message) []Action {
	switch msg := msg.(type) {
	case SetSpec:
		m.configure(now, msg.Spec)
	case SetEndpoints:
		return m.replaceEndpoints(msg.List)
	case PermitGranted:
		m.handlePermit(now, msg.Permit)
	case PermitEnded:
		delete(m.permits, msg.Shard)
	case Observed:
		m.handleReport(now, msg)
	case ObserveFailed:
		if r := m.replicas[msg.Endpoint]; r != nil && msg.Seq == r.seq {
			r.observing = false
			r.validUntil = min(r.validUntil, now+reportGrace)
		}
	case SendResult:
		m.handleSendResult(now, msg)
	case SlotGranted:
		if r := m.replicas[msg.Endpoint]; r != nil && r.slot != slotNone {
			r.slot, r.slotUntil, r.waitSince = slotHeld, msg.Until, 0
		}
	case SlotUnavailable:
		m.handleSlotUnavailable(now, msg)
	case Tick:
		return m.reconcile(now)
	}
	return nil
}

func (m *Machine) configure(now time.Duration, spec *config.Spec) {
	m.spec = spec
	m.stableFrom = now + stabilizationDelay
	for _, r := range m.replicas {
		m.updateTarget(r)
	}
}

// observeInterval returns the time between two observations of a replica.
func (m *Machine) observeInterval(r *replica, changing bool) time.Duration {
	if changing || !r.reported {
		return changingInterval
	}
	if _, own := m.permits[r.shardKey()]; own {
		return idleInterval
	}
	return remoteIdleInterval
}

func (m *Machine) updateTarget(r *replica) {
	before := r.target
	r.target, r.managed = Target{}, false
	if m.spec != nil {
		r.target, r.managed = NewTarget(m.spec, r.endpoint.Shard.Service, r.endpoint.Role)
	}
	if !before.Equal(r.target) {
		r.failures, r.retryAt = 0, 0
	}
}

func (m *Machine) replaceEndpoints(list []Endpoint) []Action {
	old := m.replicas
	m.replicas = make(map[fleet.EndpointID]*replica, len(list))
	m.services = make(map[fleet.ServiceName][]*replica)
	for _, e := range list {
		r := old[e.ID]
		if r == nil {
			r = &replica{}
		}
		delete(old, e.ID)
		r.endpoint = e
		m.updateTarget(r)
		m.replicas[e.ID] = r
		m.services[e.Shard.Service] = append(m.services[e.Shard.Service], r)
	}
	for _, group := range m.services {
		slices.SortFunc(group, compareReplicas)
	}
	var actions []Action
	for id, r := range old {
		if r.slot != slotNone {
			actions = append(actions, ReleaseSlot{Endpoint: id})
		}
	}
	slices.SortFunc(actions, func(a, b Action) int {
		return cmp.Compare(a.(ReleaseSlot).Endpoint, b.(ReleaseSlot).Endpoint)
	})
	return actions
}

func compareReplicas(a, b *replica) int {
	return cmp.Or(
		cmp.Compare(a.endpoint.Shard.DataCentre, b.endpoint.Shard.DataCentre),
		cmp.Compare(a.endpoint.ID, b.endpoint.ID),
	)
}

func (m *Machine) handlePermit(now time.Duration, p lease.Permit) {
	if _, held := m.permits[p.Shard]; !held {
		// Orders of the previous holder can still take replicas out of service.
		m.changeFrom[p.Shard] = max(now, p.From) + lease.MaxOrderDelay
	}
	m.permits[p.Shard] = p
}

func (m *Machine) handleReport(now time.Duration, msg Observed) {
	r := m.replicas[msg.Endpoint]
	if r == nil || msg.Seq < r.minFreshSeq || msg.Seq != r.seq {
		return
	}
	before := r.status.Loading
	r.clearedForChange = r.clearedForChange && r.status.Ready == msg.Status.Ready && (before == nil) == (msg.Status.Loading == nil)
	r.status, r.reported, r.fresh, r.observedAt = msg.Status, true, true, now
	r.observing, r.validUntil = false, now+m.observeInterval(r, false)+reportGrace
	if l := r.status.Loading; l != nil && (before == nil || !before.Equal(*l)) {
		r.loadingSince = now
	}
	if r.upToDate() {
		r.failures = 0
	}
}

func (m *Machine) handleSendResult(now time.Duration, msg SendResult) {
	r := m.replicas[msg.Endpoint]
	if r == nil {
		return
	}
	r.sending, r.fresh, r.clearedForChange = false, false, false
	r.minFreshSeq, r.observeNow = r.seq+1, true
	switch msg.Result {
	case ResultFenced:
		shard := r.shardKey()
		m.rejectedFences[shard] = max(m.rejectedFences[shard], msg.Fence)
	case ResultUnknown:
		r.uncertainUntil = now + lease.MaxOrderDelay
	case ResultRejected:
		r.retryAt = now + min(minRetryDelay<<min(r.failures, 5), maxRetryDelay)
		r.failures++
	}
}

func (m *Machine) handleSlotUnavailable(now time.Duration, msg SlotUnavailable) {
	r := m.replicas[msg.Endpoint]
	if r == nil || r.slot == slotNone {
		return
	}
	// If the response to a grant was lost, the slot is requested again and the
	// weight store returns the same one.
	r.slotRetryAt = now + max(msg.RetryAfter, time.Second)
	if now >= r.slotUntil {
		r.slot = slotRequested
	}
}

// permit returns the permit of the replica's shard and reports whether it allows
// an order at now.
func (m *Machine) permit(now time.Duration, r *replica) (lease.Permit, bool) {
	p, ok := m.permits[r.shardKey()]
	if !ok || !p.Allows(now) {
		return p, false
	}
	fenced, refused := m.rejectedFences[p.Shard]
	return p, !refused || p.Fence > fenced
}

// SlotWait returns the longest time that a replica has waited for a slot.
func (m *Machine) SlotWait(now time.Duration) time.Duration {
	var longest time.Duration
	for _, r := range m.replicas {
		if r.slot == slotRequested && r.waitSince > 0 {
			longest = max(longest, now-r.waitSince)
		}
	}
	return longest
}

// EndpointReady reports whether an endpoint is ready. An endpoint that receives
// no orders counts as ready.
func (m *Machine) EndpointReady(now time.Duration, id fleet.EndpointID) bool {
	r := m.replicas[id]
	return r != nil && (!r.managed || r.ready(now))
}
