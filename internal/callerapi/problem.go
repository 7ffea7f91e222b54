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

// problemContentType is the media type of RFC 9457.
const problemContentType = "application/problem+json"

// Problem is the body of an error response, application/problem+json.
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Run states whether the request was executed: not_run, ran or unknown.
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

func newProblem(r *fleet.Refusal) Problem {
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

// Error implements the error interface.
func (p Problem) Error() string { return p.Detail }

// GetStatus implements huma.StatusError.
func (p Problem) GetStatus() int { return p.Status }

// ContentType implements huma.ContentTypeFilter.
func (Problem) ContentType(string) string { return problemContentType }

// newInputProblem returns the problem of a request that huma refused before it
// called a handler, so that the request was not run.
func newInputProblem(status int, message string, details ...error) huma.StatusError {
	for _, detail := range details {
		if detail != nil {
			message += "; " + detail.Error()
		}
	}
	problem := newProblem(fleet.Refuse(fleet.RefusedInvalid, 0, message+"; correct the request, see /openapi.json"))
	problem.Status = status
	problem.Title = http.StatusText(status)
	return problem
}

// notFound responds to requests for an unknown path or method.
func notFound(w http.ResponseWriter, _ *http.Request) {
	problem := newProblem(fleet.Refuse(fleet.RefusedNotFound, 0, "no such address or method; see /openapi.json"))
	w.Header().Set("Content-Type", problemContentType)
	w.WriteHeader(problem.Status)
	_ = json.NewEncoder(w).Encode(problem)
}

func writeProblem(ctx huma.Context, r *fleet.Refusal) {
	problem := newProblem(r)
	ctx.SetHeader("Content-Type", problemContentType)
	if r.RetryAfter > 0 {
		ctx.SetHeader("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	ctx.SetStatus(problem.Status)
	_ = json.NewEncoder(ctx.BodyWriter()).Encode(problem)
}
