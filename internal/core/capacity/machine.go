package capacity

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/lease"
)

const (
	// minBackoff and maxBackoff bound the exponential backoff after a refused
	// start.
	minBackoff = time.Second
	maxBackoff = 5 * time.Minute
	// unknownRetryDelay is the delay before a start with an unknown outcome is
	// repeated.
	unknownRetryDelay = 2 * time.Second
	// listLagLimit is how long a started instance may be missing from the list of
	// the cloud API before its start is repeated.
	listLagLimit = 30 * time.Second
	// ScaleDownDelay is how long an instance must be surplus before it is
	// stopped, so that a ticket that is soon reverted causes no restarts.
	ScaleDownDelay = time.Minute
)

// Options configures a Machine.
type Options struct {
	// Seed makes the backoff jitter differ between controllers.
	Seed uint64
	// MaxStarts bounds the number of starts in flight.
	MaxStarts int
	// StartsPerTick bounds the starts of one step, so that reclaiming many
	// instances at once does not flood the cloud API with starts.
	StartsPerTick int
}

// slotState is the state of a slot.
type slotState struct {
	slot Slot
	// desired tells whether the slot is part of the active configuration.
	desired bool
	// generation is the highest generation for which a start was sent or a
	// listed instance was seen; 0 if none.
	generation uint64
	// hasInstance tells that an instance of generation was started.
	hasInstance bool
	// ended tells that the instance of generation is leaving or has stopped.
	ended bool
	// missingAt is when a started instance was first missing from the list.
	missingAt time.Duration
	starting  bool
	placement Placement
	// startUncertain tells that the outcome of the last start is unknown.
	startUncertain bool
	retryAt        time.Duration
}

// backoff is the state of one placement after refused starts.
type backoff struct {
	failures int
	retryAt  time.Duration
	// probing is true while one start after the backoff is in flight.
	probing bool
}

// Machine keeps one live instance in each slot of the permitted shards.
// Invariant: generation g+1 of a slot is started only after the instance of
// generation g was seen leaving or stopped.
type Machine struct {
	options Options
	spec    *config.Spec
	frozen  map[fleet.ServiceName]bool
	permits map[lease.Shard]lease.Permit
	slots   map[Slot]*slotState
	// desired are the slots of the configuration in a fixed order.
	desired      []*slotState
	listed       map[lease.Shard][]listedInstance
	surplusSince map[fleet.InstanceID]time.Duration
	stopping     map[fleet.InstanceID]bool
	backoffs     map[Placement]*backoff
	inFlight     int
}

// listedInstance is an instance with the state of its slot.
type listedInstance struct {
	Instance
	slot *slotState
}

// New returns a machine without configuration.
func New(options Options) *Machine {
	return &Machine{
		options: options, permits: make(map[lease.Shard]lease.Permit),
		slots:  make(map[Slot]*slotState),
		listed: make(map[lease.Shard][]listedInstance), surplusSince: make(map[fleet.InstanceID]time.Duration),
		stopping: make(map[fleet.InstanceID]bool), backoffs: make(map[Placement]*backoff),
	}
}

// Step processes one message at the local monotonic time now. Only Tick
// returns actions.
func (m *Machine) Step(now time.Duration, msg Message) []Action {
	switch msg := msg.(type) {
	case SetSpec:
		m.configure(msg)
	case SetInstances:
		m.replaceInstances(now, msg.List)
	case PermitGranted:
		m.permits[msg.Permit.Shard] = msg.Permit
	case PermitEnded:
		delete(m.permits, msg.Shard)
	case Started:
		m.handleStarted(msg)
	case StartRefused:
		m.handleRefused(now, msg)
	case StartUnknown:
		s := m.startEnded(msg.Token)
		s.startUncertain = true
		s.retryAt = now + unknownRetryDelay
		m.backoff(s.placement).probing = false
	case StopDone:
		delete(m.stopping, msg.Instance)
	case Tick:
		return m.plan(now, msg.Ready)
	}
	return nil
}

func (m *Machine) configure(msg SetSpec) {
	m.spec, m.frozen = msg.Spec, msg.Frozen
	for _, s := range m.slots {
		s.desired = false
	}
	m.desired = nil
	for _, service := range msg.Spec.Services {
		for _, slot := range Slots(service) {
			s := m.slot(slot)
			s.desired = true
			m.desired = append(m.desired, s)
		}
	}
	slices.SortFunc(m.desired, func(a, b *slotState) int { return compareSlots(a.slot, b.slot) })
}

func (m *Machine) replaceInstances(now time.Duration, list []Instance) {
	m.listed = make(map[lease.Shard][]listedInstance)
	listed := make(map[fleet.InstanceID]bool, len(list))
	current := make(map[*slotState]bool, len(list))
	for _, i := range list {
		listed[i.ID] = true
		shard, s := i.Token.Slot.Shard, m.slot(i.Token.Slot)
		m.listed[shard] = append(m.listed[shard], listedInstance{Instance: i, slot: s})
		if i.Token.Generation < s.generation {
			continue
		}
		if i.Token.Generation > s.generation {
			s.ended = false
		}
		s.generation, s.hasInstance, s.startUncertain, s.retryAt = i.Token.Generation, true, false, 0
		// An instance that has ended stays so even if a list that lags shows it
		// as live.
		s.ended = s.ended || i.State != StateLive
		current[s] = true
	}
	m.checkMissing(now, current)
	for id := range m.surplusSince {
		if !listed[id] {
			delete(m.surplusSince, id)
		}
	}
}

// checkMissing drops instances that are missing from the list for longer than
// listLagLimit. Their start is repeated with the same token, and the response
// carries their state.
func (m *Machine) checkMissing(now time.Duration, listed map[*slotState]bool) {
	for _, s := range m.slots {
		switch {
		case listed[s] || !s.hasInstance:
			s.missingAt = 0
		case s.missingAt == 0:
			s.missingAt = now
		case now-s.missingAt > listLagLimit:
			s.hasInstance, s.missingAt = false, 0
		}
	}
}

func (m *Machine) slot(slot Slot) *slotState {
	s := m.slots[slot]
	if s == nil {
		s = &slotState{slot: slot}
		m.slots[slot] = s
	}
	return s
}

func (m *Machine) backoff(p Placement) *backoff {
	b := m.backoffs[p]
	if b == nil {
		b = &backoff{}
		m.backoffs[p] = b
	}
	return b
}

// startEnded records that a start is no longer in flight.
func (m *Machine) startEnded(t Token) *slotState {
	s := m.slot(t.Slot)
	if s.starting {
		s.starting = false
		m.inFlight--
	}
	return s
}

func (m *Machine) handleStarted(msg Started) {
	s := m.startEnded(msg.Token)
	b := m.backoff(s.placement)
	b.probing = false
	if msg.Placement == s.placement && msg.State == StateLive {
		b.failures, b.retryAt = 0, 0
	}
	if msg.Token.Generation < s.generation {
		return
	}
	s.generation, s.hasInstance, s.startUncertain, s.retryAt = msg.Token.Generation, true, false, 0
	s.ended = s.ended || msg.State != StateLive
}

func (m *Machine) handleRefused(now time.Duration, msg StartRefused) {
	s := m.startEnded(msg.Token)
	if msg.Token.Generation == s.generation {
		// No instance exists for the token, so another placement may be tried.
		s.startUncertain, s.retryAt = false, 0
	}
	b := m.backoff(msg.Placement)
	delay := min(minBackoff<<min(b.failures, 16), maxBackoff)
	b.failures++
	b.probing = false
	b.retryAt = now + max(delay, msg.RetryAfter) + m.jitter(msg.Placement, b.failures, delay)
}

// jitter returns up to a quarter of the delay.
func (m *Machine) jitter(p Placement, failures int, delay time.Duration) time.Duration {
	h := xxhash.NewWithSeed(m.options.Seed + uint64(failures))
	_, _ = h.WriteString(string(p.DataCentre) + "|" + string(p.Class) + "|" + p.Market.String())
	return time.Duration(h.Sum64() % uint64(delay/4))
}

func compareSlots(a, b Slot) int {
	return cmp.Or(
		cmp.Compare(a.Shard.Service, b.Shard.Service), cmp.Compare(a.Shard.DataCentre, b.Shard.DataCentre),
		cmp.Compare(a.Class, b.Class), cmp.Compare(a.Role, b.Role),
		cmp.Compare(a.Market, b.Market), cmp.Compare(a.Index, b.Index),
	)
}

func (m *Machine) permit(now time.Duration, shard lease.Shard) (lease.Permit, bool) {
	p, ok := m.permits[shard]
	return p, ok && p.Allows(now)
}
