package callerapi

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/danielgtaylor/huma/v2"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/router"
)

type requestInput struct {
	Authorization string `header:"Authorization"`
	ID            string `path:"id" maxLength:"100"`
}

// requestStatus is the body of GET /v1/requests/{id}.
type requestStatus struct {
	ID string `json:"id"`
	// State is running, completed or refused.
	State string `json:"state"`
	// Frames is the number of frames that can be read.
	Frames int `json:"frames"`
	// FinishReason is set once all frames have been generated.
	FinishReason string   `json:"finish_reason,omitempty"`
	Problem      *Problem `json:"problem,omitempty"`
}

// requestResult waits until a request has ended and responds with its result.
func (a *api) requestResult(_ context.Context, in *requestInput) (*huma.StreamResponse, error) {
	return a.respond(in.Authorization, func(e exchange) *fleet.Refusal {
		handle, refusal := a.router.Find(e.ctx.Context(), fleet.RequestID(in.ID), e.team.Name)
		if refusal != nil {
			return refusal
		}
		defer handle.Release()
		e.ctx.SetHeader("X-Request-Id", string(handle.ID))
		writeFullResponse(e.ctx, handle)
		return nil
	}), nil
}

// requestState reports the progress of a request. It has no side effects.
func (a *api) requestState(_ context.Context, in *requestInput) (*huma.StreamResponse, error) {
	return a.respond(in.Authorization, func(e exchange) *fleet.Refusal {
		record, refusal := a.router.Status(e.ctx.Context(), fleet.RequestID(in.ID), e.team.Name)
		if refusal != nil {
			return refusal
		}
		status := requestStatus{ID: in.ID, State: "running", Frames: len(record.Frames), FinishReason: record.Finish}
		switch {
		case record.Refusal != nil:
			problem := newProblem(record.Refusal)
			status.State, status.Problem = "refused", &problem
		case record.Finish != "":
			status.State = "completed"
		}
		e.ctx.SetHeader("Content-Type", "application/json")
		_ = json.NewEncoder(e.ctx.BodyWriter()).Encode(status)
		return nil
	}), nil
}

// redirectToResult redirects a caller to the path of the result. The connection
// closes, so that the load balancer may choose another router.
func redirectToResult(ctx huma.Context, handle *router.Handle) {
	ctx.SetHeader("Location", "/v1/requests/"+string(handle.ID)+"/result")
	ctx.SetHeader("Connection", "close")
	ctx.SetStatus(http.StatusSeeOther)
}
