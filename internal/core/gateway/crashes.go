package gateway

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/exchange"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
)

const (
	// suspectAnswerTime is the time from the first byte of an answer within which a crash
	// still counts against the request. Endpoints crash as they begin to run it.
	suspectAnswerTime = time.Second
	// reportTime is how long crashes and clearances are reported to peers, so that none
	// is lost with a single datagram.
	reportTime = 10 * time.Second
	// directSettleTime is the time from a crash until all instances know the suspects of
	// the others if those report to each other, relayedSettleTime if the reports pass two
	// relays. One report may be lost on the way.
	directSettleTime  = 2*exchange.Interval + settleMargin
	relayedSettleTime = (exchange.ReportHops+1)*exchange.Interval + settleMargin
	settleMargin      = 100 * time.Millisecond
	// decisionInterval is the minimum time between two searches for causes.
	decisionInterval = 200 * time.Millisecond
	// rivalTime is the time in which requests that were retried while endpoints crashed may
	// clear themselves by an answer. With relayedSettleTime it is less than the time within
	// which a cause must be refused everywhere (3 s here, contact-ms 4 s on the platform).
	rivalTime = 1500 * time.Millisecond
	// maxSuspectTraits bounds the suspects of one request.
	maxSuspectTraits = 64
	// maxReportedCrashes, maxReportedSuspects and maxReportedClears bound one report, which
	// has to fit into a datagram.
	maxReportedCrashes  = 32
	maxReportedSuspects = 256
	maxReportedClears   = 64
	// maxReportedCauseTraits bounds the traits of the quarantined causes in one report.
	maxReportedCauseTraits = 512
)

// CrashEvidenceTTL is how long a crash counts.
const CrashEvidenceTTL = time.Hour

// crashLimits bounds the evidence. The span of the crashes covers the time until peers
// have reported clearances.
var crashLimits = quarantine.Limits{
	Threshold: 3, MinSpan: 400 * time.Millisecond, BusyThreshold: 5, Background: time.Minute, RivalTime: rivalTime, TTL: CrashEvidenceTTL, ClearMemory: 10 * time.Second, MaxEvents: 256, MaxSuspects: 128,
}

// crashEvidence is what an instance knows of crashes: the attempts that were lost, the
// suspects of crashes, and the quarantined traits.
type crashEvidence struct {
	losses   lossLog
	table    *quarantine.Table
	register *quarantine.Register
	// own holds the crashes with suspects among this instance's requests, clears the
	// suspects that it found harmless, for the reports.
	own    []ownCrash
	clears map[quarantine.Trait]clearReport
	// undecided is set while there are crashes whose cause has not been looked for;
	// decideAt is when it is next.
	undecided bool
	decideAt  time.Duration
	persisted persistedCrashes
}

func newCrashEvidence() *crashEvidence {
	return &crashEvidence{
		losses: make(lossLog), table: quarantine.NewTable(crashLimits), register: quarantine.NewRegister(),
		clears: make(map[quarantine.Trait]clearReport), persisted: newPersistedCrashes(),
	}
}

func crashEvent(id fleet.EndpointID, started int64) quarantine.Event {
	return quarantine.Event{Endpoint: id, Incarnation: strconv.FormatInt(started, 10)}
}

// attemptLost records an attempt that ended without an answer. The endpoint is
// asked for a connection unless it is known to have ended.
func (m *Machine) attemptLost(now time.Duration, o *openRequest, e *endpoint, ask bool) {
	traits := o.suspectTraits(now)
	if len(traits) == 0 || !m.mayCrash(e) {
		return
	}
	i := incarnation{id: e.ID, started: e.Started}
	r := m.crashes.losses.add(now, i, traits)
	switch {
	case r == nil:
	case r.ended:
		m.addOwnSuspects(now, i, r)
	case r.refused:
		m.confirmRefused(now, e, r)
	case ask && r.needsCheck(now):
		m.notes = append(m.notes, CheckEndpoint{Endpoint: e.ID, Started: e.Started, Address: e.Address})
	}
}

// suspectTraits returns what may be the cause if the endpoint crashed with the current
// attempt. An answer that has begun, also an earlier one, clears the parts of the prompt
// at once.
func (o *openRequest) suspectTraits(now time.Duration) []quarantine.Trait {
	switch {
	case o.started && now-o.startedAt > suspectAnswerTime:
		return nil
	case o.everStarted:
		return o.traits[:1]
	default:
		return o.traits[:min(len(o.traits), maxSuspectTraits)]
	}
}

// partTraits returns the traits of the parts of the prompt.
func (o *openRequest) partTraits() []quarantine.Trait { return o.traits[1:] }

// mayCrash reports whether the loss of an attempt may be a crash: not if the endpoint is
// about to leave or was replaced.
func (m *Machine) mayCrash(e *endpoint) bool {
	_, leaving := m.leavingSince(e)
	return !e.Draining && !leaving && m.endpoints[e.ID] == e
}

// connectionRefused records that the endpoint refused a connection. It is no evidence
// without a lost attempt.
func (m *Machine) connectionRefused(now time.Duration, id fleet.EndpointID, started int64) {
	e, ok := m.endpoints[id]
	r := m.crashes.losses[incarnation{id: id, started: started}]
	if !ok || e.Started != started || r == nil || r.ended {
		return
	}
	r.refused = true
	m.confirmRefused(now, e, r)
}

// confirmRefused records the crash of an endpoint that refuses connections, once no
// attempt from before the loss goes on: an endpoint that only limits its connections
// keeps the others.
func (m *Machine) confirmRefused(now time.Duration, e *endpoint, r *losses) {
	for _, o := range m.open {
		if o.endpoint == e && o.sentAt < r.last() {
			return
		}
	}
	m.recordCrash(now, incarnation{id: e.ID, started: e.Started}, r, EndRefused)
}

// incarnationEnded records the end of an endpoint's incarnation that the list shows.
// Attempts that still wait for it are lost.
func (m *Machine) incarnationEnded(now time.Duration, e *endpoint, evidence EndEvidence) {
	i := incarnation{id: e.ID, started: e.Started}
	if e.Draining {
		delete(m.crashes.losses, i)
		return
	}
	if evidence != EndRemoved {
		for _, id := range slices.Sorted(maps.Keys(m.open)) {
			if o := m.open[id]; o.endpoint == e && !o.started {
				m.crashes.losses.add(now, i, o.suspectTraits(now))
			}
		}
	}
	if r := m.crashes.losses[i]; r != nil && !r.ended {
		m.recordCrash(now, i, r, evidence)
		return
	}
	m.crashes.table.AddBlameless(now)
	m.notes = append(m.notes, EndpointEnded{Endpoint: e.ID, Started: e.Started, Evidence: evidence})
}

// recordCrash turns the lost attempts of an incarnation that has ended into evidence.
func (m *Machine) recordCrash(now time.Duration, i incarnation, r *losses, evidence EndEvidence) {
	r.ended = true
	if e, ok := m.endpoints[i.id]; ok && e.Started == i.started {
		e.suspectUntil = now + maxSuspectTime
	}
	suspects := m.addOwnSuspects(now, i, r)
	m.notes = append(m.notes, EndpointEnded{Endpoint: i.id, Started: i.started, Evidence: evidence, Suspects: suspects})
}

// addOwnSuspects adds the lost attempts of a crashed incarnation to the evidence and
// returns their traits.
func (m *Machine) addOwnSuspects(now time.Duration, i incarnation, r *losses) []quarantine.Trait {
	traits, at := r.takeSuspects(now)
	if len(traits) == 0 {
		m.crashes.table.AddBlameless(now)
		return nil
	}
	m.crashes.addOwn(i, at, traits)
	m.crashes.persisted.witness(i, at, traits)
	m.addSuspects(now, at, crashEvent(i.id, i.started), traits)
	return traits
}

// addSuspects adds evidence of this instance or a peer.
func (m *Machine) addSuspects(now, at time.Duration, event quarantine.Event, traits []quarantine.Trait) {
	m.crashes.register.Crashed(at, traits)
	if m.crashes.table.Add(now, at, event, traits) {
		m.suspectsChanged(now)
	}
}

// suspectsChanged schedules a search for causes.
func (m *Machine) suspectsChanged(now time.Duration) {
	m.crashes.persisted.changed = true
	if !m.crashes.undecided {
		m.crashes.undecided, m.crashes.decideAt = true, now+m.settleTime()
	}
}

// quarantineCauses quarantines the causes of the crashes of which all instances have
// reported their suspects.
func (m *Machine) quarantineCauses(now time.Duration) {
	if !m.crashes.undecided || now < m.crashes.decideAt {
		return
	}
	settled := now - m.settleTime()
	for _, cause := range m.crashes.table.Causes(settled) {
		if m.crashes.register.Quarantine(cause) {
			m.causeAdded(cause.Traits, cause.Crashes, CauseDecided)
		}
	}
	m.crashes.undecided, m.crashes.decideAt = m.crashes.table.Newest() > settled-rivalTime, now+decisionInterval
}

// causeAdded records that a cause is new to this instance.
func (m *Machine) causeAdded(traits []quarantine.Trait, crashes int, source CauseSource) {
	m.crashes.persisted.changed = true
	m.notes = append(m.notes, CauseQuarantined{Traits: traits, Crashes: crashes, Source: source})
}

// settleTime returns how long it takes until the suspects of a crash are known everywhere.
func (m *Machine) settleTime() time.Duration {
	if m.reportsDirectly() {
		return directSettleTime
	}
	return relayedSettleTime
}

// executed clears the traits of a request that an endpoint has executed and survived.
func (m *Machine) executed(now time.Duration, traits []quarantine.Trait) {
	for _, t := range traits {
		if m.clearTrait(now, now, t) {
			m.crashes.clears[t] = clearReport{at: now, since: now}
		}
	}
}

// clearTrait removes the evidence against a trait of which a request was executed at the
// time at. It reports whether there was any.
func (m *Machine) clearTrait(now, at time.Duration, t quarantine.Trait) bool {
	suspected := m.crashes.table.Clear(now, at, t)
	lifted := m.crashes.register.Lift(at, t)
	for _, e := range lifted {
		m.notes = append(m.notes, TraitLifted{Trait: t, Traits: e.Traits})
	}
	if !suspected && len(lifted) == 0 {
		return false
	}
	// What remains may be a cause now that it has one rival less.
	m.suspectsChanged(now)
	return true
}
