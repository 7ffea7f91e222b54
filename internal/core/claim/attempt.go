package claim

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// ClaimTimeout bounds the time until the claim must be read back. After it
	// the call is refused because the log is unavailable.
	ClaimTimeout = 3 * time.Second
	// CallTimeout bounds one Send.
	CallTimeout = 30 * time.Second
	// FollowTimeout bounds the time for which a repeated call waits for the
	// outcome of the first one.
	FollowTimeout = 3 * time.Second
	// OutcomeTimeout bounds the time for which the reply to the caller waits
	// until the outcome is stored.
	OutcomeTimeout = time.Second
	// AppendRetryInterval is the delay before the append of an outcome or a
	// release is repeated.
	AppendRetryInterval = time.Second
	// RecordTimeout bounds the time for which appends of an outcome or a release
	// are repeated.
	RecordTimeout = 10 * time.Minute
	// HolderTimeout is the age of a claim without outcome beyond which its
	// holder is considered failed. It exceeds the sum of the other timeouts of a
	// holder that can append to the log.
	HolderTimeout = CallTimeout + 30*time.Second
	// MaxSendTries bounds the endpoints that are tried as long as no byte was sent.
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
	// phaseClaiming: the claim was appended and not yet read back.
	phaseClaiming
	// phaseDispatching: the claim was accepted; the attempt waits for an endpoint.
	phaseDispatching
	// phaseSending: Send was emitted and has not ended; bytes may have been sent.
	phaseSending
	// phaseFollowing: another attempt holds the key; this one waits for its outcome.
	phaseFollowing
	// phaseReading: the outcome is being read from the log.
	phaseReading
	// phaseClosing: an outcome or a release is being stored.
	phaseClosing
	phaseDone
)

// Attempt is one submission of a call. Invariants: Send is emitted only after
// the claim was read back as accepted, and again only after CallNotSent;
// Release is emitted only if no byte was sent and no Send follows; a refusal
// has RunNotRun only if no emitted Send can have sent a byte.
type Attempt struct {
	key         Key
	id          AttemptID
	fingerprint fleet.Fingerprint

	phase    phase
	deadline time.Duration
	// retryAt is when finalEntry is appended again; 0 while an append runs.
	retryAt        time.Duration
	recordDeadline time.Duration
	finalEntry     Entry
	// pendingReply is sent to the caller once the outcome is stored or
	// OutcomeTimeout has passed.
	pendingReply Action
	granted      Granted
	tries        int
	// heldByOther reports that another attempt's claim was accepted. A refusal
	// for an unavailable log must then not have RunNotRun.
	heldByOther bool
	replied     bool
}

// Shareable reports whether a further submission of the same request may wait
// for the reply of this attempt. It may not once the attempt was released:
// another router may then run the call.
func (a *Attempt) Shareable() bool {
	_, released := a.finalEntry.(Release)
	return a.phase != phaseDone && !released
}

// NewAttempt returns an attempt in the state before Start.
func NewAttempt(key Key, id AttemptID, fingerprint fleet.Fingerprint) *Attempt {
	return &Attempt{key: key, id: id, fingerprint: fingerprint}
}

// Step applies one message at monotonic time now and returns the resulting
// actions.
func (a *Attempt) Step(now time.Duration, msg Message) []Action {
	switch msg := msg.(type) {
	case Start:
		return a.start(now, msg)
	case Appended:
		return a.appended(now, msg)
	case Decided:
		return a.claimDecided(now, msg)
	case OutcomeRecorded:
		return a.outcomeRecorded(msg)
	case HeldByOther:
		a.heldByOther = true
	case HolderReleased:
		return a.holderReleased()
	case OutcomeRead:
		return a.outcomeRead(msg)
	case OutcomeUnreadable:
		return a.outcomeUnreadable()
	case Granted:
		return a.endpointGranted(msg)
	case Refused:
		return a.endpointRefused(now, msg)
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
	case msg.Held && msg.State.Fingerprint != a.fingerprint:
		return a.refuseAndFinish(keyMismatchRefusal())
	case msg.Held:
		return a.follow(now, msg.State)
	case msg.Expired:
		return a.refuseAndFinish(keyExpiredRefusal())
	}
	a.phase = phaseClaiming
	a.deadline = now + ClaimTimeout
	return []Action{
		Append{Entry: Claim{Key: a.key, Attempt: a.id, Fingerprint: a.fingerprint}},
		SetTimer{At: a.deadline},
	}
}

func (a *Attempt) claimDecided(now time.Duration, msg Decided) []Action {
	if a.phase != phaseClaiming {
		return nil
	}
	switch msg.Verdict {
	case VerdictAccepted:
		a.phase = phaseDispatching
		return []Action{RequestEndpoint{}}
	case VerdictHeld:
		return a.follow(now, msg.State)
	case VerdictMismatch:
		return a.refuseAndFinish(keyMismatchRefusal())
	case VerdictExpired:
		return a.refuseAndFinish(keyExpiredRefusal())
	case VerdictFuture:
		return a.refuseAndFinish(fleet.Refuse(fleet.RefusedInvalid, 0,
			"the Idempotency-Key lies in the future; set the caller's clock and make a new UUIDv7"))
	default:
		return nil
	}
}

// follow replies to a repeated call with the outcome of the attempt that holds
// the key.
func (a *Attempt) follow(now time.Duration, state KeyState) []Action {
	if state.Done {
		return a.readOutcome(state)
	}
	if now-state.FoldedAt > HolderTimeout {
		return a.refuseAndFinish(outcomeUnknownRefusal("the router that ran this call vanished"))
	}
	a.phase = phaseFollowing
	a.deadline = now + FollowTimeout
	return []Action{SetTimer{At: a.deadline}}
}

func (a *Attempt) readOutcome(state KeyState) []Action {
	a.phase = phaseReading
	return []Action{ReadOutcome{Offset: state.Outcome}}
}

func (a *Attempt) outcomeRecorded(msg OutcomeRecorded) []Action {
	switch {
	case a.phase == phaseFollowing:
		return a.readOutcome(msg.State)
	case a.phase == phaseClosing && msg.State.Attempt == a.id:
		return a.finalStored()
	default:
		return nil
	}
}

// holderReleased refuses with "key in use", because a third attempt may hold
// the key by now and run the call.
func (a *Attempt) holderReleased() []Action {
	if a.phase != phaseFollowing {
		return nil
	}
	return a.refuseAndFinish(keyInUseRefusal())
}

func (a *Attempt) outcomeRead(msg OutcomeRead) []Action {
	if a.phase != phaseReading {
		return nil
	}
	a.phase = phaseDone
	return append(a.replyOnce(replyFromOutcome(msg.Outcome)), Finish{})
}

func (a *Attempt) outcomeUnreadable() []Action {
	if a.phase != phaseReading {
		return nil
	}
	return a.refuseAndFinish(&fleet.Refusal{
		Kind: fleet.RefusedLogUnavailable, Run: fleet.RunUnknown, RetryAfter: retryAfterLog,
		Remedy: "this key has a recorded outcome, which can't be read while the log service is unavailable; " +
			"repeat the call with the same key",
	})
}

// appended ends the attempt only if the claim is certainly not stored. A claim
// that is or may be stored is decided when it is read back.
func (a *Attempt) appended(now time.Duration, msg Appended) []Action {
	if _, ok := msg.Entry.(Claim); ok {
		if a.phase != phaseClaiming || msg.Result != AppendNotDone {
			return nil
		}
		return a.refuseAndFinish(a.logUnavailableRefusal())
	}
	if a.phase != phaseClosing {
		return nil
	}
	if msg.Result == AppendStored {
		return a.finalStored()
	}
	a.retryAt = now + AppendRetryInterval
	return []Action{SetTimer{At: a.retryAt}}
}

func (a *Attempt) endpointGranted(msg Granted) []Action {
	if a.phase != phaseDispatching {
		return nil
	}
	a.phase = phaseSending
	a.granted = msg
	a.tries++
	return []Action{Send(msg)}
}

func (a *Attempt) endpointRefused(now time.Duration, msg Refused) []Action {
	if a.phase != phaseDispatching {
		return nil
	}
	// The dispatcher is not aware that earlier attempts of this call sent nothing.
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
	if msg.Result == CallCompleted {
		outcome.Run = fleet.RunRan
		outcome.Response = msg.Response
		ended = dispatch.AttemptCompleted
	}
	a.pendingReply = replyFromOutcome(outcome)
	a.deadline = now + OutcomeTimeout
	actions := []Action{EndCall{Attempt: a.granted.Attempt, Outcome: ended}}
	return append(actions, a.storeFinal(now, outcome)...)
}

func (a *Attempt) notSent(now time.Duration, msg CallEnded) []Action {
	if a.tries < MaxSendTries {
		a.phase = phaseDispatching
		return []Action{RequestOtherEndpoint{Attempt: a.granted.Attempt, Avoid: a.granted.Endpoint.ID}}
	}
	end := EndCall{Attempt: a.granted.Attempt, Outcome: dispatch.AttemptRejected}
	refusal := fleet.Refuse(fleet.RefusedUpstream, retryAfterLog,
		"no endpoint could be reached ("+msg.Detail+"); repeat the call with the same key")
	return append([]Action{end}, a.release(now, refusal)...)
}

// release refuses the call and voids the claim. The caller gets the refusal
// before the release is stored, since no other attempt can run the call until
// then.
func (a *Attempt) release(now time.Duration, refusal *fleet.Refusal) []Action {
	actions := a.replyOnce(Refuse{Refusal: refusal})
	return append(actions, a.storeFinal(now, Release{Key: a.key, Attempt: a.id})...)
}

func (a *Attempt) storeFinal(now time.Duration, entry Entry) []Action {
	a.phase = phaseClosing
	a.finalEntry = entry
	a.retryAt = 0
	a.recordDeadline = now + RecordTimeout
	return []Action{Append{Entry: entry}, SetTimer{At: now + OutcomeTimeout}}
}

func (a *Attempt) finalStored() []Action {
	a.phase = phaseDone
	return append(a.replyPending(), Finish{})
}

func (a *Attempt) tick(now time.Duration) []Action {
	switch {
	case a.phase == phaseClaiming && now >= a.deadline:
		// The claim may be stored; it is voided because this attempt will not send.
		return a.release(now, a.logUnavailableRefusal())
	case a.phase == phaseFollowing && now >= a.deadline:
		return a.refuseAndFinish(keyInUseRefusal())
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
	case now >= a.recordDeadline:
		a.phase = phaseDone
		return append(actions, Finish{})
	case a.retryAt > 0 && now >= a.retryAt:
		a.retryAt = 0
		return append(actions, Append{Entry: a.finalEntry})
	default:
		return actions
	}
}
