package request

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/reclaim"
)

const (
	// MaxAttempts bounds the failed attempts of one request. Moves away from a
	// leaving endpoint don't count, so that no series of reclaims ends a request.
	MaxAttempts = 6
	// MaxAhead bounds the frames that wait for a missing one. A longer gap
	// breaks the attempt.
	MaxAhead = 32
	// MaxRecordBytes bounds the record of one request. The answer is generated
	// at the endpoint's speed and a slow caller is served from the record, so
	// this is also the memory bound of a caller that reads slowly.
	MaxRecordBytes = 4 << 20
	// ReconnectGrace is how long a streamed or restored request without a caller
	// continues.
	ReconnectGrace = 15 * time.Second
	// RestoreGrace is the same after the record came from another router.
	RestoreGrace = time.Minute
)

type phase uint8

const (
	phaseOpen phase = iota
	phaseFrozen
	phaseEnded
	phaseMoved
)

// Machine is one accepted request. Invariants: frames enter the record in
// index order, each index once; a part of the record that an attempt continues
// was complete before the attempt started, so that answers of two attempts
// never mix; after the request has ended or was handed over, the record does
// not change.
type Machine struct {
	id       fleet.RequestID
	accepted time.Duration
	streamed bool
	// restored requests have a caller who knows the request id.
	restored bool
	phase    phase

	// earlier is the number of attempts that other routers made.
	earlier  fleet.AttemptNumber
	attempts fleet.AttemptNumber
	active   map[fleet.AttemptNumber]*attempt
	// waiting: a grant was asked for; judging: a crash verdict was asked for.
	waiting    bool
	judging    bool
	importFrom string
	avoid      fleet.EndpointID
	failures   int
	crashes    int
	mayHaveRun bool

	callers     int
	reconnectBy time.Duration

	frames    []string
	bytes     int
	lastFrame time.Duration
	finish    string
	refusal   *fleet.Refusal
	dropped   int
}

// attempt is a running attempt.
type attempt struct {
	endpoint dispatch.Endpoint
	// base is the length of the record when the attempt started.
	base int
	// taken counts the accepted frames.
	taken     int
	exporting bool
	// ahead holds frames that arrived before their predecessors.
	ahead map[int]Frame
}

// New returns the machine of a request that was accepted at monotonic time
// now. Its submitter counts as an attached caller and the grant as asked for.
func New(now time.Duration, id fleet.RequestID, streamed bool) *Machine {
	return &Machine{
		id: id, accepted: now, streamed: streamed, waiting: true, callers: 1,
		active: make(map[fleet.AttemptNumber]*attempt),
	}
}

// Step applies one message and returns what to do.
func (m *Machine) Step(now time.Duration, msg Message) []Action {
	switch msg := msg.(type) {
	case CallerAttached:
		m.callers++
		m.reconnectBy = 0
		return nil
	case CallerGone:
		return m.callerGone(now)
	case Frame:
		return m.frame(now, msg)
	case HandedOver:
		return m.handedOver()
	case HandoffRefused:
		return m.handoffRefused()
	}
	if m.phase == phaseEnded || m.phase == phaseMoved {
		return m.afterEnd(msg)
	}
	switch msg := msg.(type) {
	case Granted:
		return m.granted(msg)
	case Refused:
		return m.refused(msg.Refusal)
	case AttemptFailed:
		return m.attemptFailed(msg)
	case StreamEnded:
		return m.attemptFailed(AttemptFailed{
			Attempt: msg.Attempt, Failure: FailureBroken, Detail: "the stream ended before the answer was whole",
		})
	case Move:
		return m.move(msg)
	case Exported:
		return m.exported(msg)
	case CrashJudged:
		return m.crashJudged(msg)
	case Freeze:
		return m.freeze()
	case Tick:
		return m.tick(now)
	}
	return nil
}

// Frames returns the record from the given index on. The result must not be modified.
func (m *Machine) Frames(from int) []string {
	if from >= len(m.frames) {
		return nil
	}
	return m.frames[max(from, 0):]
}

// Ended reports whether the request has ended, with the finish reason of a
// whole answer or the refusal otherwise.
func (m *Machine) Ended() (ended bool, finish string, refusal *fleet.Refusal) {
	if m.phase != phaseEnded {
		return false, "", nil
	}
	return true, m.finish, m.refusal
}

// Moved reports whether another router holds the record.
func (m *Machine) Moved() bool { return m.phase == phaseMoved }

// Frozen reports whether the record is being handed over.
func (m *Machine) Frozen() bool { return m.phase == phaseFrozen }

// Callers is the number of callers that read the answer.
func (m *Machine) Callers() int { return m.callers }

// Dropped is the number of frames that did not continue the record.
func (m *Machine) Dropped() int { return m.dropped }

// afterEnd declines a grant that crossed the end of the request.
func (m *Machine) afterEnd(msg Message) []Action {
	if g, ok := msg.(Granted); ok {
		return []Action{ReportEnded{Attempt: g.Attempt, Outcome: dispatch.AttemptCancelled, Final: true}}
	}
	return nil
}

func (m *Machine) granted(g Granted) []Action {
	if g.Attempt <= m.attempts {
		return nil
	}
	m.attempts = g.Attempt
	if m.phase == phaseFrozen || !m.wants(g) {
		m.waiting = m.waiting && g.Hedge
		return []Action{ReportEnded{Attempt: g.Attempt, Outcome: dispatch.AttemptCancelled}}
	}
	if !g.Hedge {
		m.waiting = false
	}
	number := m.earlier + g.Attempt
	m.active[number] = &attempt{endpoint: g.Endpoint, base: len(m.frames), ahead: make(map[int]Frame)}
	importFrom := m.importFrom
	m.importFrom = ""
	return []Action{OpenAttempt{
		Attempt:    number,
		Endpoint:   g.Endpoint,
		Resume:     strings.Join(m.frames, ""),
		NextIndex:  len(m.frames),
		ImportFrom: importFrom,
	}}
}

// wants reports whether a granted attempt is still useful. A hedge helps only
// beside one attempt that has delivered nothing yet.
func (m *Machine) wants(g Granted) bool {
	if !g.Hedge {
		return m.waiting
	}
	if len(m.active) != 1 {
		return false
	}
	for _, a := range m.active {
		return a.taken == 0 && !a.exporting
	}
	return false
}

func (m *Machine) refused(r *fleet.Refusal) []Action {
	m.waiting = false
	if len(m.active) > 0 || m.judging {
		return nil
	}
	if m.phase == phaseFrozen {
		m.refusal = r
		return nil
	}
	return m.fail(r)
}

func (m *Machine) attemptFailed(f AttemptFailed) []Action {
	a, ok := m.active[f.Attempt]
	if !ok {
		return nil
	}
	if f.Failure != FailureUnreachable {
		m.mayHaveRun = true
	}
	actions := m.endAttempt(f.Attempt, outcomeOf(f.Failure), false)
	if len(m.active) > 0 {
		return actions
	}
	m.avoid = a.endpoint.ID
	if a.exporting {
		return append(actions, ReportMoved{Method: reclaim.MethodRecompute}, m.askRetry())
	}
	m.failures++
	if f.Failure == FailureCrash {
		m.crashes++
		m.judging = true
		return append(actions, JudgeCrash{Endpoint: a.endpoint, Incarnation: f.Incarnation})
	}
	if m.failures >= MaxAttempts {
		return append(actions, m.exhausted(f.Detail)...)
	}
	return append(actions, m.askRetry())
}

func outcomeOf(f AttemptFailure) dispatch.AttemptOutcome {
	switch f {
	case FailureRejected:
		return dispatch.AttemptRejected
	case FailureError:
		return dispatch.AttemptFailed
	case FailureCrash, FailureUnreachable:
		return dispatch.AttemptCrashed
	default:
		return dispatch.AttemptBroken
	}
}

func (m *Machine) exhausted(detail string) []Action {
	return m.fail(&fleet.Refusal{
		Kind:   fleet.RefusedUpstream,
		Run:    fleet.RunNotRun,
		Remedy: "every attempt failed, the last one with: " + detail + "; submit the request again",
	})
}

func (m *Machine) crashJudged(msg CrashJudged) []Action {
	if !m.judging {
		return nil
	}
	m.judging = false
	switch {
	case m.phase == phaseFrozen:
		m.refusal = msg.Refusal
		return nil
	case msg.Refusal != nil:
		return m.fail(msg.Refusal)
	case m.failures >= MaxAttempts:
		return m.exhausted("the endpoint process died")
	default:
		return []Action{m.askRetry()}
	}
}

func (m *Machine) askRetry() Action {
	m.waiting = true
	return AskRetry{Generated: len(m.frames), Avoid: m.avoid, Isolate: m.crashes > 0}
}

func (m *Machine) move(msg Move) []Action {
	number := m.earlier + msg.Attempt
	a, ok := m.active[number]
	if !ok || msg.Method == reclaim.MethodFinish {
		return nil
	}
	if len(m.active) > 1 {
		return m.endAttempt(number, dispatch.AttemptCancelled, true)
	}
	if msg.Method == reclaim.MethodTransfer {
		if a.exporting {
			return nil
		}
		a.exporting = true
		return []Action{ExportAttempt{Attempt: number, Endpoint: a.endpoint}}
	}
	return m.moveOn(number, reclaim.MethodRecompute)
}

func (m *Machine) exported(msg Exported) []Action {
	a, ok := m.active[msg.Attempt]
	if !ok || !a.exporting {
		return nil
	}
	m.importFrom = msg.Source
	if msg.Source == "" {
		return m.moveOn(msg.Attempt, reclaim.MethodRecompute)
	}
	return m.moveOn(msg.Attempt, reclaim.MethodTransfer)
}

func (m *Machine) moveOn(number fleet.AttemptNumber, method reclaim.Method) []Action {
	m.mayHaveRun = true
	m.avoid = m.active[number].endpoint.ID
	actions := m.endAttempt(number, dispatch.AttemptCancelled, true)
	return append(actions, ReportMoved{Method: method}, m.askRetry())
}

// endAttempt forgets a running attempt and reports it as not final.
func (m *Machine) endAttempt(number fleet.AttemptNumber, outcome dispatch.AttemptOutcome, cancel bool) []Action {
	a := m.active[number]
	delete(m.active, number)
	var actions []Action
	if cancel {
		actions = append(actions, CancelAttempt{Attempt: number})
	}
	return append(actions, ReportEnded{Attempt: number - m.earlier, Outcome: outcome, Generated: a.base + a.taken})
}

// cancelOthers ends all running attempts except the given one.
func (m *Machine) cancelOthers(keep fleet.AttemptNumber) []Action {
	var actions []Action
	for _, number := range slices.Sorted(maps.Keys(m.active)) {
		if number != keep {
			actions = append(actions, m.endAttempt(number, dispatch.AttemptCancelled, true)...)
		}
	}
	return actions
}

func (m *Machine) callerGone(now time.Duration) []Action {
	m.callers = max(m.callers-1, 0)
	if m.callers > 0 || m.phase != phaseOpen {
		return nil
	}
	if !m.streamed && !m.restored {
		return m.abandon()
	}
	m.reconnectBy = now + ReconnectGrace
	return []Action{Wake{At: m.reconnectBy}}
}

func (m *Machine) tick(now time.Duration) []Action {
	if m.phase != phaseOpen || m.reconnectBy == 0 {
		return nil
	}
	if now < m.reconnectBy {
		return []Action{Wake{At: m.reconnectBy}}
	}
	return m.abandon()
}

func (m *Machine) abandon() []Action {
	return m.fail(fleet.Refuse(fleet.RefusedAbandoned, 0,
		"the caller left and did not reconnect in time; submit the request again"))
}

// fail ends the request with a refusal whose run state is corrected to what is known.
func (m *Machine) fail(r *fleet.Refusal) []Action {
	actions := m.cancelOthers(0)
	if r.Run == fleet.RunNotRun && (len(m.frames) > 0 || m.mayHaveRun || len(actions) > 0) {
		corrected := *r
		corrected.Run = fleet.RunUnknown
		if len(m.frames) > 0 {
			corrected.Run = fleet.RunRan
		}
		r = &corrected
	}
	m.refusal = r
	m.phase = phaseEnded
	return append(actions, Withdraw{}, Publish{})
}
