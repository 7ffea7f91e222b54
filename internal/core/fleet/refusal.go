package fleet

import "time"

// RefusalKind is the type of a refusal. Its text is part of the public API: it
// is the last part of the problem type URI and a label of the refusal counters.
type RefusalKind string

// Refusal kinds.
const (
	RefusedOverload       RefusalKind = "overload"
	RefusedTeamLimit      RefusalKind = "team-limit"
	RefusedDeadline       RefusalKind = "deadline"
	RefusedNoEndpoint     RefusalKind = "no-endpoint"
	RefusedUnknownService RefusalKind = "unknown-service"
	RefusedNotReady       RefusalKind = "not-ready"
	RefusedQuarantined    RefusalKind = "quarantined"
	RefusedLogUnavailable RefusalKind = "log-unavailable"
	RefusedKeyExpired     RefusalKind = "key-expired"
	RefusedKeyInUse       RefusalKind = "key-in-use"
	RefusedKeyMismatch    RefusalKind = "key-mismatch"
	RefusedOutcomeUnknown RefusalKind = "outcome-unknown"
	RefusedUnauthorized   RefusalKind = "unauthorized"
	RefusedNotFound       RefusalKind = "not-found"
	RefusedInvalid        RefusalKind = "invalid-request"
	RefusedRetryBudget    RefusalKind = "retry-budget"
	RefusedDraining       RefusalKind = "draining"
	RefusedUpstream       RefusalKind = "endpoint-failed"
	RefusedAbandoned      RefusalKind = "abandoned"
)

// Refusal is an error that ends a request without a complete response. Run
// states whether the request was executed; it is RunNotRun only if no byte of
// the request can have reached an endpoint and none will.
type Refusal struct {
	Kind RefusalKind
	Run  RunState
	// RetryAfter is the minimum delay before a retry; 0 means that a retry does
	// not help or that no delay is known.
	RetryAfter time.Duration
	// Remedy advises the caller what to do.
	Remedy string
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	return string(r.Kind) + " (" + r.Run.String() + "): " + r.Remedy
}

// Refuse returns a refusal of a request that was not run.
func Refuse(kind RefusalKind, retryAfter time.Duration, remedy string) *Refusal {
	return &Refusal{Kind: kind, Run: RunNotRun, RetryAfter: retryAfter, Remedy: remedy}
}
