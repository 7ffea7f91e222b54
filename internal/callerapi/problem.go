package callerapi

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"github.com/danielgtaylor/huma/v2"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// problemTypePrefix precedes the refusal kind in the problem type (RFC 9457).
const problemTypePrefix = "urn:cornelhold:problem:"

// Problem is the body of an error response, application/problem+json.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Run tells whether the request was executed: not_run, ran or unknown.
	Run string `json:"run"`
}

var statusByKind = map[fleet.RefusalKind]int{
	fleet.RefusedOverload:       http.StatusServiceUnavailable,
	fleet.RefusedTeamLimit:      http.StatusTooManyRequests,
	fleet.RefusedDeadline:       http.StatusServiceUnavailable,
	fleet.RefusedNoEndpoint:     http.StatusServiceUnavailable,
	fleet.RefusedUnknownService: http.StatusNotFound,
	fleet.RefusedNotReady:       http.StatusServiceUnavailable,
	fleet.RefusedQuarantined:    http.StatusUnprocessableEntity,
	fleet.RefusedLogUnavailable: http.StatusServiceUnavailable,
	fleet.RefusedKeyExpired:     http.StatusUnprocessableEntity,
	fleet.RefusedKeyInUse:       http.StatusConflict,
	fleet.RefusedKeyMismatch:    http.StatusUnprocessableEntity,
	fleet.RefusedOutcomeUnknown: http.StatusConflict,
	fleet.RefusedUnauthorized:   http.StatusUnauthorized,
	fleet.RefusedNotFound:       http.StatusNotFound,
	fleet.RefusedInvalid:        http.StatusBadRequest,
	fleet.RefusedRetryBudget:    http.StatusServiceUnavailable,
	fleet.RefusedDraining:       http.StatusServiceUnavailable,
	fleet.RefusedUpstream:       http.StatusBadGateway,
	fleet.RefusedAbandoned:      http.StatusGone,
}

func problemOf(r *fleet.Refusal) Problem {
	status, ok := statusByKind[r.Kind]
	if !ok {
		status = http.StatusInternalServerError
	}
	return Problem{
		Type:   problemTypePrefix + string(r.Kind),
		Title:  http.StatusText(status),
		Status: status,
		Detail: r.Remedy,
		Run:    r.Run.String(),
	}
}

func writeProblem(ctx huma.Context, r *fleet.Refusal) {
	problem := problemOf(r)
	ctx.SetHeader("Content-Type", "application/problem+json")
	if r.RetryAfter > 0 {
		ctx.SetHeader("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	ctx.SetStatus(problem.Status)
	_ = json.NewEncoder(ctx.BodyWriter()).Encode(problem)
}
