package request

import (
	"strings"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/reclaim"
)

const (
	// MaxAttempts bounds the failed attempts of one request. Moves from a leaving
	// endpoint don't count, so that a series of reclaims does not end a request.
	MaxAttempts = 6
	// MaxBufferedFrames bounds the frames of an attempt that wait for a missing
	// one. The attempt fails when the bound is exceeded.
	MaxBufferedFrames = 32
	// MaxRecordBytes bounds the record of one request. The response is received at
	// the endpoint's speed and a slow caller is served from the record, so this
	// also bounds the memory used for a slow caller.
	MaxRecordBytes = 4 << 20
	// ReconnectGrace is how long a streamed or restored request continues after
	// its last caller disconnected.
	ReconnectGrace = 15 * time.Second
	// RestoreGrace is how long a restored request continues until a first caller
	// attaches.
	RestoreGrace = time.Minute
)

type phase uint8

const (
	phaseOpen phase = iota
	phaseFrozen
	phaseEnded
	phaseMoved
)

// Machine is the state machine of one accepted request. Invariants: frames enter
// the record in index order, each index once; the part of the record that an
// attempt extends was complete before the attempt started, so that responses of
// two attempts never mix; after the request has ended or was handed over, the
// record does not change.
type Machine struct {
	id         fleet.RequestID
	acceptedAt time.Duration
	streamed   bool
	// restored is set for a request from another router. Its caller has the
	// request ID and can reconnect.
	restored bool
	phase    phase

	// earlierAttempts is the number of attempts that other routers made. It is
	// added to the dispatcher's attempt numbers, so that numbers are unique across
	// routers.
	earlierAttempts fleet.AttemptNumber
	attempts        fleet.AttemptNumber
	active          map[fleet.AttemptNumber]*attempt
	// grantPending and verdictPending are set while a requested grant or crash
	// verdict has not arrived.
	grantPending   bool
	verdictPending bool
	importFrom     string
	avoid          fleet.EndpointID
	failures       int
	crashes        int
	mayHaveRun     bool

	callers     int
	reconnectBy time.Duration

	frames        []string
	recordBytes   int
	lastFrameAt   time.Duration
	finishReason  string
	refusal       *fleet.Refusal
	droppedFrames int
}

// attempt is the state of a running attempt.
type attempt struct {
	endpoint dispatch.Endpoint
	// baseFrames is the number of frames in the record when the attempt started.
	baseFrames int
	// acceptedFrames is the number of frames added to the record since.
	acceptedFrames int
	exporting      bool
	// buffered holds frames that arrived before their predecessors, by index.
	buffered map[int]Frame
}

// New returns the machine of a request that was accepted at monotonic time now.
// The submitter is attached as caller, and the first grant is pending.
func New(now time.Duration, id fleet.RequestID, streamed bool) *Machine {
	return &Machine{
		id: id, acceptedAt: now, streamed: streamed, grantPending: true, callers: 1,
		active: make(map[fleet.AttemptNumber]*attempt),
	}
}

// Step applies one message at monotonic time now and returns the actions to
// perform.
func (m *Machine) Step(now time.Duration, msg Message) []Action {
	switch msg := msg.(type) {
	case CallerAttached:
		m.callers++
		m.reconnectBy = 0
		return nil
	case CallerDetached:
		return m.callerDetached(now)
	case Frame:
		return m.handleFrame(now, msg)
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
	case CrashVerdict:
		return m.crashVerdict(msg)
	case Freeze:
		return m.freeze()
	case Tick:
		return m.tick(now)
	}
	return nil
}

// Frames returns the record from the given index on. The caller must not modify
// the result.
func (m *Machine) Frames(from int) []string {
	if from >= len(m.frames) {
		return nil
	}
	return m.frames[max(from, 0):]
}

// Ended reports whether the request has ended, and returns the finish reason of a
// complete response, or else the refusal.
func (m *Machine) Ended() (ended bool, finish string, refusal *fleet.Refusal) {
	if m.phase != phaseEnded {
		return false, "", nil
	}
	return true, m.finishReason, m.refusal
}

// Moved reports whether the record was handed over to another router.
func (m *Machine) Moved() bool { return m.phase == phaseMoved }

// Frozen reports whether the record is being handed over.
func (m *Machine) Frozen() bool { return m.phase == phaseFrozen }

// Callers is the number of callers that read the response.
func (m *Machine) Callers() int { return m.callers }

// Dropped is the number of frames that were dropped because they did not extend
// the record.
func (m *Machine) Dropped() int { return m.droppedFrames }

// afterEnd cancels a grant that was sent before the dispatcher received the end of
// the request.
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
	if m.phase == phaseFrozen || !m.needsAttempt(g) {
		m.grantPending = m.grantPending && g.Hedge
		return []Action{ReportEnded{Attempt: g.Attempt, Outcome: dispatch.AttemptCancelled}}
	}
	if !g.Hedge {
		m.grantPending = false
	}
	number := m.earlierAttempts + g.Attempt
	m.active[number] = &attempt{endpoint: g.Endpoint, baseFrames: len(m.frames), buffered: make(map[int]Frame)}
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

// needsAttempt reports whether a granted attempt is still needed. A hedge is
// useful only while exactly one attempt runs and has not delivered a frame.
func (m *Machine) needsAttempt(g Granted) bool {
	if !g.Hedge {
		return m.grantPending
	}
	if len(m.active) != 1 {
		return false
	}
	for _, a := range m.active {
		return a.acceptedFrames == 0 && !a.exporting
	}
	return false
}

func (m *Machine) refused(r *fleet.Refusal) []Action {
	m.grantPending = false
	if len(m.active) > 0 || m.verdictPending {
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
	actions := m.endAttempt(f.Attempt, toOutcome(f.Failure), false)
	if len(m.active) > 0 {
		return actions
	}
	m.avoid = a.endpoint.ID
	if a.exporting {
		return append(actions, ReportMoved{Method: reclaim.MethodRecompute}, m.requestRetry())
	}
	m.failures++
	if f.Failure == FailureCrash {
		m.crashes++
		m.verdictPending = true
		return append(actions, ReportCrash{Endpoint: a.endpoint, Incarnation: f.Incarnation})
	}
	if m.failures >= MaxAttempts {
		return append(actions, m.attemptsExhausted(f.Detail)...)
	}
	return append(actions, m.requestRetry())
}

func toOutcome(f AttemptFailure) dispatch.AttemptOutcome {
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

func (m *Machine) attemptsExhausted(detail string) []Action {
	return m.fail(&fleet.Refusal{
		Kind:   fleet.RefusedUpstream,
		Run:    fleet.RunNotRun,
		Remedy: "every attempt failed, the last one with: " + detail + "; submit the request again",
	})
}

func (m *Machine) crashVerdict(msg CrashVerdict) []Action {
	if !m.verdictPending {
		return nil
	}
	m.verdictPending = false
	switch {
	case m.phase == phaseFrozen:
		m.refusal = msg.Refusal
		return nil
	case msg.Refusal != nil:
		return m.fail(msg.Refusal)
	case m.failures >= MaxAttempts:
		return m.attemptsExhausted("the endpoint process died")
	default:
		return []Action{m.requestRetry()}
	}
}

func (m *Machine) requestRetry() Action {
	m.grantPending = true
	return Retry{Generated: len(m.frames), Avoid: m.avoid, Isolate: m.crashes > 0}
}

func (m *Machine) callerDetached(now time.Duration) []Action {
	m.callers = max(m.callers-1, 0)
	if m.callers > 0 || m.phase != phaseOpen {
		return nil
	}
	if !m.streamed && !m.restored {
		return m.abandon()
	}
	m.reconnectBy = now + ReconnectGrace
	return []Action{SetTimer{At: m.reconnectBy}}
}

func (m *Machine) tick(now time.Duration) []Action {
	if m.phase != phaseOpen || m.reconnectBy == 0 {
		return nil
	}
	if now < m.reconnectBy {
		return []Action{SetTimer{At: m.reconnectBy}}
	}
	return m.abandon()
}

func (m *Machine) abandon() []Action {
	return m.fail(fleet.Refuse(fleet.RefusedAbandoned, 0,
		"the caller left and did not reconnect in time; submit the request again"))
}

// fail ends the request with a refusal. A run state of not run is corrected if the
// request ran or may have run.
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
