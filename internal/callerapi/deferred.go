package callerapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/danielgtaylor/huma/v2"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/deferred"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// maxDeferredBytes bounds the body of a submission. JSON escapes may make it
// longer than the work itself.
const maxDeferredBytes = 2 * deferred.MaxWorkBytes

// jobPathPrefix is the path of a job's status URL up to the job's id.
const jobPathPrefix = "/v1/deferred/"

type deferInput struct {
	Authorization string `header:"Authorization"`
	Body          deferRequest
}

type deferRequest struct {
	Service   string          `json:"service" maxLength:"200" doc:"Service name, or service:adapter for a model"`
	Operation string          `json:"operation,omitempty" maxLength:"100" doc:"Idempotent operation of a plain service"`
	Body      json.RawMessage `json:"body,omitempty" doc:"Body of the operation"`
	Messages  []chatMessage   `json:"messages,omitempty" doc:"Chat of a model service"`
	MaxTokens int             `json:"max_tokens,omitempty" minimum:"0"`
}

type jobInput struct {
	Authorization string `header:"Authorization"`
	ID            string `path:"id" maxLength:"100"`
}

// jobState is the response to an accepted submission and to a status request.
type jobState struct {
	ID            string    `json:"id"`
	Status        string    `json:"status"`
	StatusURL     string    `json:"status_url"`
	ReadableUntil time.Time `json:"readable_until"`
	// TokensRecorded counts the tokens stored in the log, which a restarted job
	// does not generate again.
	TokensRecorded int             `json:"tokens_recorded,omitempty"`
	Text           string          `json:"text,omitempty"`
	FinishReason   string          `json:"finish_reason,omitempty"`
	ResponseStatus int             `json:"response_status,omitempty"`
	Response       json.RawMessage `json:"response,omitempty"`
	Detail         string          `json:"detail,omitempty"`
}

func (a *api) registerDeferred(humaAPI huma.API) {
	huma.Register(humaAPI, huma.Operation{
		OperationID:  "defer",
		Method:       http.MethodPost,
		Path:         "/v1/deferred",
		Summary:      "Accept work that may wait; the answer names the status URL and how long the result can be read",
		MaxBodyBytes: maxDeferredBytes,
	}, a.deferWork)
	huma.Register(humaAPI, huma.Operation{
		OperationID: "deferred-status",
		Method:      http.MethodGet,
		Path:        jobPathPrefix + "{id}",
		Summary:     "Read the status and the result of deferred work",
	}, a.deferredStatus)
}

func (a *api) deferWork(_ context.Context, in *deferInput) (*huma.StreamResponse, error) {
	return a.respond(in.Authorization, func(e exchange) *fleet.Refusal {
		work, refusal := newWork(e.spec, e.team.Name, in.Body)
		if refusal != nil {
			return refusal
		}
		reply := a.router.Defer(e.ctx.Context(), work)
		if reply.Refusal != nil {
			return reply.Refusal
		}
		e.ctx.SetHeader("Location", jobPathPrefix+string(reply.Job))
		writeJob(e.ctx, http.StatusAccepted, jobState{
			ID: string(reply.Job), Status: "open", StatusURL: jobPathPrefix + string(reply.Job), ReadableUntil: reply.ReadableUntil.UTC(),
		})
		return nil
	}), nil
}

func newWork(spec *config.Spec, team fleet.TeamName, in deferRequest) (deferred.Work, *fleet.Refusal) {
	work := deferred.Work{Team: team}
	if in.Operation != "" {
		service, operation, refusal := findOperation(spec, in.Service, in.Operation)
		if refusal != nil {
			return work, refusal
		}
		if !operation.Idempotent {
			return work, fleet.Refuse(fleet.RefusedInvalid, 0,
				"operation "+in.Operation+" may not be repeated and can't be deferred; call it with an Idempotency-Key")
		}
		work.Service, work.Operation = service.Name, operation.Name
		work.ContentType, work.Body = "application/json", in.Body
		return work, nil
	}
	name, adapter, _ := strings.Cut(in.Service, ":")
	service, ok := spec.Services[fleet.ServiceName(name)]
	switch {
	case !ok:
		return work, fleet.Refuse(fleet.RefusedUnknownService, 0,
			"service "+name+" is not configured; check the name or file a ticket that adds it")
	case service.Kind != config.ServiceModel || len(in.Messages) == 0:
		return work, fleet.Refuse(fleet.RefusedInvalid, 0,
			"send messages for a model service, or an operation for a plain service")
	}
	work.Service, work.Adapter = service.Name, adapter
	work.Prompt = joinMessages(in.Messages)
	work.MaxTokens = in.MaxTokens
	if work.MaxTokens == 0 {
		work.MaxTokens = defaultMaxTokens
	}
	return work, checkTokens(spec, service, work.MaxTokens)
}

func (a *api) deferredStatus(_ context.Context, in *jobInput) (*huma.StreamResponse, error) {
	return a.respond(in.Authorization, func(e exchange) *fleet.Refusal {
		job, refusal := a.router.Job(e.ctx.Context(), deferred.JobID(in.ID), e.team.Name)
		if refusal != nil {
			return refusal
		}
		writeJob(e.ctx, http.StatusOK, newJobState(job))
		return nil
	}), nil
}

func newJobState(job *deferred.Job) jobState {
	state := jobState{
		ID: string(job.ID), Status: "open", StatusURL: jobPathPrefix + string(job.ID),
		ReadableUntil: time.UnixMilli(int64(job.ReadableUntil())).UTC(), TokensRecorded: len(job.Texts),
	}
	if job.Outcome == nil {
		return state
	}
	state.Detail = job.Outcome.Detail
	switch job.Outcome.Kind {
	case deferred.OutcomeDone:
		state.Status = "done"
	case deferred.OutcomeExpired:
		state.Status = "expired"
	default:
		state.Status = "failed"
	}
	state.Text = strings.Join(job.Outcome.Texts, "")
	state.FinishReason = job.Outcome.Finish
	state.ResponseStatus = job.Outcome.Status
	if json.Valid(job.Outcome.Body) {
		state.Response = job.Outcome.Body
	} else if len(job.Outcome.Body) > 0 {
		state.Text = string(job.Outcome.Body)
	}
	return state
}

func writeJob(ctx huma.Context, status int, state jobState) {
	ctx.SetHeader("Content-Type", "application/json")
	ctx.SetStatus(status)
	_ = json.NewEncoder(ctx.BodyWriter()).Encode(state)
}
