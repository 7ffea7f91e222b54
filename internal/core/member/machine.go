// Package member implements the membership protocol of the fleet, after SWIM.
// Each member probes one other member in each period, first directly and then
// through helpers. A member that does not respond is suspected and, unless it
// refutes the suspicion with a higher incarnation, declared dead. Updates are
// piggybacked on the probes.
//
// Nothing that safety depends on may use the result: two members can disagree
// for a while, and a member that was declared dead can still be running.
package member

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// ProbePeriod is the time between the probes that one member sends.
	ProbePeriod = time.Second
	// ProbeTimeout is how long a direct probe waits before helpers probe
	// indirectly. It exceeds the round trip between regions.
	ProbeTimeout = 300 * time.Millisecond
	// IndirectProbes is the number of helpers that probe after a direct probe
	// failed.
	IndirectProbes = 3
	// suspicionBase is the suspicion timeout for up to ten members.
	suspicionBase = 4 * time.Second
	// DeadRetention is how long the entry of a dead member is kept, so that stale
	// gossip does not add the member again. It exceeds the longest partition
	// between regions that the failure model includes (minutes).
	DeadRetention = 10 * time.Minute
	// pauseThreshold is the lateness of a timer above which the process counts as
	// having been paused; expired timeouts then say nothing about other members.
	pauseThreshold = 500 * time.Millisecond
	// joinDuration is how long a new member sends additional pings and requests
	// full responses, so that it obtains a large member list quickly.
	joinDuration = 20 * time.Second
	// joinPings is the number of additional pings per period while joining.
	joinPings = 3
	// deadProbePeriods is the number of periods between pings to a dead member, by
	// which the two sides of a healed partition find each other.
	deadProbePeriods = 5
	// maxRelays bounds the ping requests that are served concurrently.
	maxRelays = 64
)

// SuspicionTimeout returns how long a suspected member may take to refute the
// suspicion. It grows with the logarithm of the number of members, as does the
// time that gossip takes to spread.
func SuspicionTimeout(members int) time.Duration {
	return time.Duration(float64(suspicionBase) * max(1, math.Log10(float64(max(members, 1)))))
}

// Machine is the membership state machine of one process. Invariants: the
// incarnation of an entry never decreases while the entry is kept; at the same
// incarnation its state only moves from alive towards dead.
type Machine struct {
	self    Update
	random  *rand.Rand
	entries map[fleet.InstanceID]*entry
	// probeOrder lists the members still to be probed in this cycle; gossipOrder
	// lists all entries, the next one for background gossip first.
	probeOrder, gossipOrder []fleet.InstanceID
	queue                   gossipQueue
	probe                   probe
	relays                  map[uint64]relay
	sequence                uint64
	periods                 int
	// configured peers are never deleted, so that the two sides of a partition
	// that outlasts DeadRetention find each other again.
	configured map[fleet.InstanceID]bool
	// ownSuspects are the members that this process suspects by its own probes.
	ownSuspects []fleet.InstanceID
	// retryTarget is probed again in the next period; empty for none.
	retryTarget fleet.InstanceID
	// nextExpiry is a lower bound of the earliest deadline of an entry.
	nextExpiry   time.Duration
	startedAt    time.Duration
	lastReceived time.Duration
	timerAt      time.Duration
	started      bool
	joining      bool
	listChanged  bool
	actions      []Action
}

type entry struct {
	Update
	// deadline is when a suspect is declared dead or a dead entry is deleted.
	deadline time.Duration
	// suspectedHere reports whether this process started the suspicion.
	suspectedHere bool
	// probeFailed reports whether the last probe was not acknowledged.
	probeFailed bool
}

type probe struct {
	target   fleet.InstanceID
	sequence uint64
	at       time.Duration
	pending  bool
	indirect bool
}

// relay is a ping request that this member serves for another one.
type relay struct {
	address  string
	sequence uint64
	target   fleet.InstanceID
	until    time.Duration
}

// Options configures a machine.
type Options struct {
	Self Identity
	// Incarnation must exceed that of an earlier process of the same instance;
	// otherwise the member raises it when it receives an update about that one.
	Incarnation uint64
	// Seed initializes the random number generator.
	Seed uint64
	// Peers are contacted at start. They count as live until a probe fails.
	Peers []Identity
}

// New returns a machine that has not started.
func New(o Options) *Machine {
	m := &Machine{
		self:        Update{Identity: o.Self, State: StateAlive, Incarnation: max(o.Incarnation, 1)},
		random:      rand.New(rand.NewPCG(o.Seed, o.Incarnation)),
		entries:     make(map[fleet.InstanceID]*entry),
		relays:      make(map[uint64]relay),
		listChanged: true,
		configured:  make(map[fleet.InstanceID]bool),
		nextExpiry:  math.MaxInt64,
	}
	for _, peer := range o.Peers {
		if peer.Instance != o.Self.Instance {
			m.configured[peer.Instance] = true
			m.addEntry(0, Update{Identity: peer, State: StateAlive})
		}
	}
	return m
}

// Members returns the state of all members, dead ones included: this one first,
// then the others in order of their names.
func (m *Machine) Members() []Update {
	list := []Update{m.self}
	for _, id := range m.sortedIDs() {
		list = append(list, m.entries[id].Update)
	}
	return list
}

func (m *Machine) sortedIDs() []fleet.InstanceID {
	ids := make([]fleet.InstanceID, 0, len(m.entries))
	for id := range m.entries {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Step handles one message at the given monotonic time.
func (m *Machine) Step(now time.Duration, msg Message) []Action {
	m.actions = nil
	if m.started && now > m.timerAt+pauseThreshold {
		m.discardMissedTimeouts(now)
	}
	switch msg := msg.(type) {
	case Start:
		m.start(now)
	case PacketReceived:
		m.receive(now, msg.Packet)
	case SetNumber:
		m.self.Number = max(m.self.Number, msg.Number)
	case Leave:
		m.leave(now)
	case Tick:
	}
	if m.started {
		m.advance(now)
	}
	m.publish()
	return m.actions
}

func (m *Machine) start(now time.Duration) {
	m.started, m.joining = true, true
	m.startedAt, m.lastReceived = now, now
	// Jitter: a random phase keeps processes that start together from probing at
	// the same moments.
	m.probe.at = now - time.Duration(m.random.Int64N(int64(ProbePeriod)))
	m.pingRandom(joinPings)
}

func (m *Machine) leave(now time.Duration) {
	if m.self.State == StateLeaving {
		return
	}
	m.self.State = StateLeaving
	m.self.Incarnation++
	m.listChanged = true
	if m.started {
		m.advance(now)
		m.pingRandom(joinPings)
	}
}

// discardMissedTimeouts discards timeouts that passed while the process did not run.
func (m *Machine) discardMissedTimeouts(now time.Duration) {
	late := now - m.timerAt
	m.probe.pending = false
	for _, e := range m.entries {
		if e.State == StateSuspect {
			e.deadline += late + ProbePeriod
		}
	}
	m.lastReceived = now
}

func (m *Machine) advance(now time.Duration) {
	m.expire(now)
	if m.probe.pending && !m.probe.indirect && now >= m.probe.at+ProbeTimeout {
		m.sendPingRequests()
	}
	if now >= m.probe.at+ProbePeriod {
		m.endProbe(now)
		m.beginProbe(now)
	}
	m.setTimer(now)
}

func (m *Machine) setTimer(now time.Duration) {
	next := m.probe.at + ProbePeriod
	if m.probe.pending && !m.probe.indirect {
		next = min(next, m.probe.at+ProbeTimeout)
	}
	next = max(next, now)
	if next != m.timerAt {
		m.timerAt = next
		m.emit(SetTimer{At: next})
	}
}

// expire declares suspects dead and deletes dead entries once their deadline has
// passed.
func (m *Machine) expire(now time.Duration) {
	if now < m.nextExpiry {
		return
	}
	for _, id := range m.expiredEntries(now) {
		e := m.entries[id]
		if e.State == StateDead {
			if m.configured[id] {
				e.deadline = now + DeadRetention
				continue
			}
			delete(m.entries, id)
			m.gossipOrder = slices.DeleteFunc(m.gossipOrder, func(other fleet.InstanceID) bool { return other == id })
			continue
		}
		m.declareDead(now, e)
	}
	m.nextExpiry = math.MaxInt64
	for _, e := range m.entries {
		if e.State == StateSuspect || e.State == StateDead {
			m.nextExpiry = min(m.nextExpiry, e.deadline)
		}
	}
}

func (m *Machine) expiredEntries(now time.Duration) []fleet.InstanceID {
	var due []fleet.InstanceID
	for id, e := range m.entries {
		if (e.State == StateSuspect || e.State == StateDead) && now >= e.deadline {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

func (m *Machine) expireRelays(now time.Duration) {
	for sequence, r := range m.relays {
		if now >= r.until {
			delete(m.relays, sequence)
		}
	}
}

func (m *Machine) declareDead(now time.Duration, e *entry) {
	dead := e.Update
	dead.State = StateDead
	m.replaceEntry(now, e, dead)
}

// send adds sender and gossip to a packet. to is the entry of the receiver, nil
// if there is none.
func (m *Machine) send(address string, p Packet, to *entry) {
	p.Sender = m.self
	p.Full = m.joining && p.Kind == KindPing
	p.Updates = m.gossip(to, false)
	m.emit(SendPacket{Address: address, Packet: p})
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) publish() {
	if !m.listChanged {
		return
	}
	m.listChanged = false
	live := []Update{m.self}
	for _, id := range m.sortedIDs() {
		if e := m.entries[id]; e.State != StateDead {
			live = append(live, e.Update)
		}
	}
	m.emit(PublishMembers{Live: live})
}

// Number returns the active ticket number that this member announces.
func (m *Machine) Number() config.Number { return m.self.Number }
