package front

import (
	"net/http"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/platform"
)

// finishRefused ends a request that the gateway refused or does not retry. The
// caller gets the endpoint's error response if there is one, else the refusal.
func (r *request) finishRefused(refusal *fleet.Refusal) bool {
	if r.outcome.Reason == "" {
		r.outcome.Reason = string(refusal.Kind)
	}
	if r.delivered {
		r.outcome.Result = "broken-off"
		return false
	}
	if r.errorResponse != nil && !impliesNotRun(r.errorResponse.Status) {
		r.outcome.Result = "failed"
		return r.writeResponse(*r.errorResponse)
	}
	return r.refuse(refusalStatus(refusal), refusal.RetryAfter, refusal.Remedy)
}

func refusalStatus(refusal *fleet.Refusal) int {
	switch refusal.Kind {
	case fleet.RefusedNotFound:
		return http.StatusNotFound
	case fleet.RefusedUnauthorized:
		return http.StatusUnauthorized
	case fleet.RefusedTeamLimit:
		return http.StatusTooManyRequests
	case fleet.RefusedDeadline:
		return http.StatusGatewayTimeout
	}
	if refusal.Run == fleet.RunNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// timeout ends a request whose deadline has passed.
func (r *request) timeout() bool {
	r.cancel()
	r.outcome.Reason = "deadline"
	if r.delivered {
		r.outcome.Result = "broken-off"
		return false
	}
	if r.outcome.Attempts == 0 {
		return r.refuse(http.StatusServiceUnavailable, time.Second, "no decision in time; retry")
	}
	return r.refuse(http.StatusGatewayTimeout, 0, "the endpoint did not answer in time; check the outcome before a repeat")
}

// stop ends a request that is still open when the process exits. A response that has begun
// is broken off.
func (r *request) stop() bool {
	r.cancel()
	r.closing = true
	r.outcome.Reason = string(fleet.RefusedDraining)
	if r.outcome.Attempts == 0 {
		return r.finishRefused(fleet.Refuse(fleet.RefusedDraining, time.Millisecond, "this instance shuts down; use another"))
	}
	return r.finishRefused(&fleet.Refusal{
		Kind: fleet.RefusedDraining, Run: fleet.RunUnknown,
		Remedy: "this instance shut down before the endpoint answered; check the outcome before a repeat",
	})
}

// refuse writes an error response of this instance.
func (r *request) refuse(status int, retryAfter time.Duration, remedy string) bool {
	if r.outcome.Result == "" {
		r.outcome.Result = "refused"
	}
	r.outcome.Status = status
	body := []byte(remedy + "\n")
	out := responseHead(status, platform.RefusalHeader(r.callerRequest.Attempt, retryAfter), len(body), r.closing)
	if r.incoming.request == nil || r.incoming.request.Method != http.MethodHead {
		out.Write(body)
	}
	return r.connection.write(out.Bytes()) == nil
}
