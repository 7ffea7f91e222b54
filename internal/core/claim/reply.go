package claim

import (
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

func (a *Attempt) refuseAndFinish(refusal *fleet.Refusal) []Action {
	a.phase = phaseDone
	return append(a.replyOnce(Refuse{Refusal: refusal}), Finish{})
}

func (a *Attempt) replyPending() []Action {
	if a.pendingReply == nil {
		return nil
	}
	return a.replyOnce(a.pendingReply)
}

func (a *Attempt) replyOnce(reply Action) []Action {
	if a.replied {
		return nil
	}
	a.replied = true
	return []Action{reply}
}

// replyFromOutcome returns the reply to the caller. It is the same for the
// first submission and for each repetition.
func replyFromOutcome(o Outcome) Action {
	switch {
	case o.Run != fleet.RunRan:
		return Refuse{Refusal: outcomeUnknownRefusal("the endpoint did not answer after the request was sent")}
	case o.Response.Omitted:
		return Refuse{Refusal: &fleet.Refusal{
			Kind: fleet.RefusedUpstream, Run: fleet.RunRan,
			Remedy: "the call ran, but its response exceeded the limit for recorded responses; look up its result in the service",
		}}
	default:
		return Respond{Response: o.Response}
	}
}

func outcomeUnknownRefusal(cause string) *fleet.Refusal {
	return &fleet.Refusal{
		Kind: fleet.RefusedOutcomeUnknown, Run: fleet.RunUnknown,
		Remedy: cause + "; the call may have run and is never run again with this key: " +
			"look it up in the service before submitting it with a new key",
	}
}

func keyInUseRefusal() *fleet.Refusal {
	return &fleet.Refusal{
		Kind: fleet.RefusedKeyInUse, Run: fleet.RunUnknown, RetryAfter: retryAfterInUse,
		Remedy: "a call with this key has not finished; repeat it with the same key to get its outcome",
	}
}

func keyMismatchRefusal() *fleet.Refusal {
	return fleet.Refuse(fleet.RefusedKeyMismatch, 0,
		"this key was used for a different request; make a new UUIDv7 for each new call")
}

// keyExpiredRefusal has RunUnknown, because an earlier call with this key may
// have run and its record may have expired.
func keyExpiredRefusal() *fleet.Refusal {
	return &fleet.Refusal{
		Kind: fleet.RefusedKeyExpired, Run: fleet.RunUnknown,
		Remedy: "the Idempotency-Key is older than 24 h or than the log's records, so an earlier call with it may have run; " +
			"look it up in the service before submitting it with a new key",
	}
}

// logUnavailableRefusal has RunNotRun for this submission only: another router
// may hold a claim on the key that was not read yet.
func (a *Attempt) logUnavailableRefusal() *fleet.Refusal {
	if a.heldByOther {
		return keyInUseRefusal()
	}
	return fleet.Refuse(fleet.RefusedLogUnavailable, retryAfterLog,
		"this submission was not run and will not be, because the log service is unavailable; repeat it with the same key. "+
			"If an earlier submission with this key got no answer, its outcome stays unknown until then")
}
