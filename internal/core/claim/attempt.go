package claim

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// ClaimWait bounds the time until the claim must be read back. The caller
	// is then told that the log is unavailable.
	ClaimWait = 3 * time.Second
	// CallBound is the longest time that sending may take.
	CallBound = 30 * time.Second
	// FollowWait is how long a repeated call waits for the outcome of the first.
	FollowWait = 3 * time.Second
	// OutcomeWait is how long the caller's answer waits for the outcome to be stored.
	OutcomeWait = time.Second
	// AppendRetry separates repeated appends of an outcome or a release.
	AppendRetry = time.Second
	// RecordBound ends repeated appends of an outcome or a release.
	RecordBound = 10 * time.Minute
	// VanishedAfter is the age of a claim without outcome beyond which its
	// holder is taken to have vanished. It exceeds the sum of the other bounds
	// of a holder whose log works.
	VanishedAfter = CallBound + 30*time.Second
	// MaxSendTries bounds the endpoints that are tried while nothing was sent.
	MaxSendTries = 3
)

// retryAfterLog and retryAfterInUse are the delays suggested to callers.
const (
	retryAfterLog   = 2 * time.Second
	retryAfterInUse = 5 * time.Second
)

type phase uint8

const (
	phaseNew phase = iota
	// phaseClaiming: the claim is appended and not read back.
	phaseClaiming
	// phaseWaiting: the claim is accepted, the dispatcher is asked.
	phaseWaiting
	// phaseSending: bytes may be sent.
	phaseSending
	// phaseFollowing: another attempt holds the key.
	phaseFollowing
	// phaseReading: the recorded outcome is being read.
	phaseReading
	// phaseClosing: an outcome or a release is to be stored.
	phaseClosing
	phaseDone
)

// Attempt is one submission of a call. Invariants: Send is emitted only after
// the claim was read back as accepted, and again only after CallNotSent;
// Release is emitted only when no byte was sent and no Send follows; a refusal
// says RunNotRun only when no Send was emitted that may have sent a byte.
type Attempt struct {
	key         Key
	id          AttemptID
	fingerprint fleet.Fingerprint

	phase    phase
	deadline time.Duration
	// retryAt is when the closing entry is appended again; 0 while an append runs.
	retryAt time.Duration
	giveUp  time.Duration
	closing Entry
	// pending is the answer that waits for the outcome to be stored.
	pending Action
	granted Granted
	tries   int
	// overtaken tells that "not run" may be false for the key.
	overtaken bool
	answered  bool
}

// Repeatable reports whether a further submission of the same request may wait
// for the answer of this attempt. It may not once "not run" was said: by then
// another router may run the call.
func (a *Attempt) Repeatable() bool {
	_, released := a.closing.(Release)
	return a.phase != phaseDone && !released
}

// NewAttempt returns an attempt that waits for Start.
func NewAttempt(key Key, id AttemptID, fingerprint fleet.Fingerprint) *Attempt {
	return &Attempt{key: key, id: id, fingerprint: fingerprint}
}

// Step applies one message at monotonic time now and returns what to do.
func (a *Attempt) Step(now time.Duration, msg Message) []Action {
	switch msg := msg.(type) {
	case Start:
		return a.start(now, msg)
	case Appended:
		return a.appended(now, msg)
	case Judged:
		return a.judged(now, msg)
	case Recorded:
		return a.recorded(msg)
	case Overtaken:
		a.overtaken = true
	case HolderReleased:
		return a.holderReleased()
	case OutcomeRead:
		return a.outcomeRead(msg)
	case OutcomeUnreadable:
		return a.outcomeUnreadable()
	case Granted:
		return a.grant(msg)
	case Refused:
		return a.refused(now, msg)
	case CallEnded:
		return a.callEnded(now, msg)
	case Tick:
		return a.tick(now)
	}
	return nil
}

func (a *Attempt) start(now time.Duration, msg Start) []Action {
	if a.phase != phaseNew {
		return nil
	}
	switch {
	case msg.Held && msg.Holding.Fingerprint != a.fingerprint:
		return a.end(mismatch())
	case msg.Held:
		return a.follow(now, msg.Holding)
	case msg.Expired:
		return a.end(expired())
	}
	a.phase = phaseClaiming
	a.deadline = now + ClaimWait
	return []Action{
		Append{Entry: Claim{Key: a.key, Attempt: a.id, Fingerprint: a.fingerprint}},
		Wake{At: a.deadline},
	}
}

func (a *Attempt) judged(now time.Duration, msg Judged) []Action {
	if a.phase != phaseClaiming {
		return nil
	}
	switch msg.Verdict {
	case VerdictAccepted:
		a.phase = phaseWaiting
		return []Action{AskEndpoint{}}
	case VerdictHeld:
		return a.follow(now, msg.Holding)
	case VerdictMismatch:
		return a.end(mismatch())
	case VerdictExpired:
		return a.end(expired())
	case VerdictFuture:
		return a.end(fleet.Refuse(fleet.RefusedInvalid, 0,
			"the Idempotency-Key lies in the future; set the caller's clock and make a new UUIDv7"))
	default:
		return nil
	}
}

// follow answers a repeated call from the outcome of the attempt that holds the key.
func (a *Attempt) follow(now time.Duration, h Holding) []Action {
	if h.Done {
		return a.read(h)
	}
	if now-h.Seen > VanishedAfter {
		return a.end(outcomeUnknown("the router that ran this call vanished"))
	}
	a.phase = phaseFollowing
	a.deadline = now + FollowWait
	return []Action{Wake{At: a.deadline}}
}

func (a *Attempt) read(h Holding) []Action {
	a.phase = phaseReading
	return []Action{ReadOutcome{Offset: h.Outcome}}
}

func (a *Attempt) recorded(msg Recorded) []Action {
	switch {
	case a.phase == phaseFollowing:
		return a.read(msg.Holding)
	case a.phase == phaseClosing && msg.Holding.Attempt == a.id:
		return a.stored()
	default:
		return nil
	}
}

// holderReleased says "in use", because by now yet another attempt may hold
// the key and run the call.
func (a *Attempt) holderReleased() []Action {
	if a.phase != phaseFollowing {
		return nil
	}
	return a.end(inUse())
}

func (a *Attempt) outcomeRead(msg OutcomeRead) []Action {
	if a.phase != phaseReading {
		return nil
	}
	a.phase = phaseDone
	return append(a.reply(answerOf(msg.Outcome)), Finish{})
}

func (a *Attempt) outcomeUnreadable() []Action {
	if a.phase != phaseReading {
		return nil
	}
	return a.end(&fleet.Refusal{
		Kind: fleet.RefusedLogUnavailable, Run: fleet.RunUnknown, RetryAfter: retryAfterLog,
		Remedy: "this key has a recorded outcome, which can't be read while the log service is unavailable; " +
			"repeat the call with the same key",
	})
}

// appended handles the claim only when it is certainly not stored. A stored
// claim is judged by reading it back, and so is one whose response was lost.
func (a *Attempt) appended(now time.Duration, msg Appended) []Action {
	if _, ok := msg.Entry.(Claim); ok {
		if a.phase != phaseClaiming || msg.Result != AppendNotDone {
			return nil
		}
		return a.end(a.logUnavailable())
	}
	if a.phase != phaseClosing {
		return nil
	}
	if msg.Result == AppendStored {
		return a.stored()
	}
	a.retryAt = now + AppendRetry
	return []Action{Wake{At: a.retryAt}}
}

func (a *Attempt) grant(msg Granted) []Action {
	if a.phase != phaseWaiting {
		return nil
	}
	a.phase = phaseSending
	a.granted = msg
	a.tries++
	return []Action{Send(msg)}
}

func (a *Attempt) refused(now time.Duration, msg Refused) []Action {
	if a.phase != phaseWaiting {
		return nil
	}
	// The dispatcher can't know that earlier attempts of this call sent nothing.
	refusal := *msg.Refusal
	refusal.Run = fleet.RunNotRun
	return a.release(now, &refusal)
}

func (a *Attempt) callEnded(now time.Duration, msg CallEnded) []Action {
	if a.phase != phaseSending {
		return nil
	}
	if msg.Result == CallNotSent {
		return a.notSent(now, msg)
	}
	outcome := Outcome{Key: a.key, Attempt: a.id, Run: fleet.RunUnknown}
	ended := dispatch.AttemptBroken
	if msg.Result == CallAnswered {
		outcome.Run = fleet.RunRan
		outcome.Response = msg.Response
		ended = dispatch.AttemptCompleted
	}
	a.pending = answerOf(outcome)
	a.deadline = now + OutcomeWait
	actions := []Action{EndCall{Attempt: a.granted.Attempt, Outcome: ended}}
	return append(actions, a.close(now, outcome)...)
}

func (a *Attempt) notSent(now time.Duration, msg CallEnded) []Action {
	if a.tries < MaxSendTries {
		a.phase = phaseWaiting
		return []Action{AskAnother{Attempt: a.granted.Attempt, Avoid: a.granted.Endpoint.ID}}
	}
	end := EndCall{Attempt: a.granted.Attempt, Outcome: dispatch.AttemptRejected}
	refusal := fleet.Refuse(fleet.RefusedUpstream, retryAfterLog,
		"no endpoint could be reached ("+msg.Detail+"); repeat the call with the same key")
	return append([]Action{end}, a.release(now, refusal)...)
}

// release refuses the call and voids the claim. The caller is answered first:
// until the release is stored, no other attempt can run the call.
func (a *Attempt) release(now time.Duration, refusal *fleet.Refusal) []Action {
	actions := a.reply(Refuse{Refusal: refusal})
	return append(actions, a.close(now, Release{Key: a.key, Attempt: a.id})...)
}

func (a *Attempt) close(now time.Duration, entry Entry) []Action {
	a.phase = phaseClosing
	a.closing = entry
	a.retryAt = 0
	a.giveUp = now + RecordBound
	return []Action{Append{Entry: entry}, Wake{At: now + OutcomeWait}}
}

func (a *Attempt) stored() []Action {
	a.phase = phaseDone
	return append(a.replyPending(), Finish{})
}

func (a *Attempt) tick(now time.Duration) []Action {
	switch {
	case a.phase == phaseClaiming && now >= a.deadline:
		// The claim may be stored; it is voided, because this attempt never sends.
		return a.release(now, a.logUnavailable())
	case a.phase == phaseFollowing && now >= a.deadline:
		return a.end(inUse())
	case a.phase == phaseClosing:
		return a.tickClosing(now)
	default:
		return nil
	}
}

func (a *Attempt) tickClosing(now time.Duration) []Action {
	var actions []Action
	if now >= a.deadline {
		actions = a.replyPending()
	}
	switch {
	case now >= a.giveUp:
		a.phase = phaseDone
		return append(actions, Finish{})
	case a.retryAt > 0 && now >= a.retryAt:
		a.retryAt = 0
		return append(actions, Append{Entry: a.closing})
	default:
		return actions
	}
}

func (a *Attempt) end(refusal *fleet.Refusal) []Action {
	a.phase = phaseDone
	return append(a.reply(Refuse{Refusal: refusal}), Finish{})
}

func (a *Attempt) replyPending() []Action {
	if a.pending == nil {
		return nil
	}
	return a.reply(a.pending)
}

func (a *Attempt) reply(answer Action) []Action {
	if a.answered {
		return nil
	}
	a.answered = true
	return []Action{answer}
}

// answerOf returns the caller's answer to an outcome. It is the same for the
// first caller and for each repetition.
func answerOf(o Outcome) Action {
	switch {
	case o.Run != fleet.RunRan:
		return Refuse{Refusal: outcomeUnknown("the endpoint did not answer after the request was sent")}
	case o.Response.Omitted:
		return Refuse{Refusal: &fleet.Refusal{
			Kind: fleet.RefusedUpstream, Run: fleet.RunRan,
			Remedy: "the call ran, but its response exceeded the limit for recorded responses; look up its result in the service",
		}}
	default:
		return Answer{Response: o.Response}
	}
}

func outcomeUnknown(cause string) *fleet.Refusal {
	return &fleet.Refusal{
		Kind: fleet.RefusedOutcomeUnknown, Run: fleet.RunUnknown,
		Remedy: cause + "; the call may have run and is never run again with this key: " +
			"look it up in the service before submitting it with a new key",
	}
}

func inUse() *fleet.Refusal {
	return &fleet.Refusal{
		Kind: fleet.RefusedKeyInUse, Run: fleet.RunUnknown, RetryAfter: retryAfterInUse,
		Remedy: "a call with this key has not finished; repeat it with the same key to get its outcome",
	}
}

func mismatch() *fleet.Refusal {
	return fleet.Refuse(fleet.RefusedKeyMismatch, 0,
		"this key was used for a different request; make a new UUIDv7 for each new call")
}

// expired says "unknown": an earlier call with this key may have run, and its
// record is no longer kept.
func expired() *fleet.Refusal {
	return &fleet.Refusal{
		Kind: fleet.RefusedKeyExpired, Run: fleet.RunUnknown,
		Remedy: "the Idempotency-Key is older than 24 h or than the log's records, so an earlier call with it may have run; " +
			"look it up in the service before submitting it with a new key",
	}
}

// logUnavailable speaks about this submission. A claim of another router that
// the log has not delivered yet cannot be ruled out.
func (a *Attempt) logUnavailable() *fleet.Refusal {
	if a.overtaken {
		return inUse()
	}
	return fleet.Refuse(fleet.RefusedLogUnavailable, retryAfterLog,
		"this submission was not run and will not be, because the log service is unavailable; repeat it with the same key. "+
			"If an earlier submission with this key got no answer, its outcome stays unknown until then")
}
