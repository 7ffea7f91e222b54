package callerapi

import (
	"context"
	"net/http"

	"github.com/danielgtaylor/huma/v2"
	"github.com/google/uuid"

	"github.com/cornelhold/cornelhold/internal/core/claim"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/router"
)

// maxCallBytes bounds the body of a call to a plain service.
const maxCallBytes = 1 << 20

// keyUUIDVersion is the UUID version of an idempotency key (RFC 9562).
const keyUUIDVersion = 7

// uuidTextLength is the length of a UUID in its canonical text form.
const uuidTextLength = 36

type callInput struct {
	Authorization  string `header:"Authorization"`
	IdempotencyKey string `header:"Idempotency-Key" doc:"A UUIDv7 made by the caller for this call; required unless the operation is idempotent"`
	ContentType    string `header:"Content-Type"`
	Service        string `path:"service" maxLength:"100"`
	Operation      string `path:"operation" maxLength:"100"`
	RawBody        []byte
}

func (a *api) registerCalls(humaAPI huma.API) {
	huma.Register(humaAPI, huma.Operation{
		OperationID:  "call-service",
		Method:       http.MethodPost,
		Path:         "/v1/services/{service}/calls/{operation}",
		Summary:      "Call an operation of a plain service; a call that may not be repeated runs at most once for its key",
		MaxBodyBytes: maxCallBytes,
	}, a.callService)
	a.registerDeferred(humaAPI)
}

func (a *api) callService(_ context.Context, in *callInput) (*huma.StreamResponse, error) {
	return a.respond(in.Authorization, func(e exchange) *fleet.Refusal {
		service, operation, refusal := findOperation(e.spec, in.Service, in.Operation)
		if refusal != nil {
			return refusal
		}
		call := router.PlainCall{
			Team: e.team.Name, Service: service.Name, Operation: operation.Name, Class: operation.Class,
			ContentType: in.ContentType, Body: in.RawBody, Wait: service.Deadline,
		}
		if operation.Idempotent {
			writeCall(e.ctx, a.router.Call(e.ctx.Context(), call))
			return nil
		}
		key, refusal := parseKey(in.IdempotencyKey)
		if refusal != nil {
			return refusal
		}
		writeCall(e.ctx, a.router.CallOnce(e.ctx.Context(), call, key))
		return nil
	}), nil
}

func findOperation(spec *config.Spec, service, operation string) (*config.Service, *config.Operation, *fleet.Refusal) {
	s, ok := spec.Services[fleet.ServiceName(service)]
	if !ok || s.Kind != config.ServicePlain {
		return nil, nil, fleet.Refuse(fleet.RefusedUnknownService, 0,
			"no plain service "+service+" is configured; check the name or file a ticket that adds it")
	}
	o, ok := s.Operations[operation]
	if !ok {
		return nil, nil, fleet.Refuse(fleet.RefusedUnknownService, 0,
			"service "+service+" has no operation "+operation+"; check the name or file a ticket that adds it")
	}
	return s, o, nil
}

// parseKey accepts only the canonical text form of a UUIDv7.
func parseKey(text string) (claim.KeyID, *fleet.Refusal) {
	if text == "" {
		return claim.KeyID{}, fleet.Refuse(fleet.RefusedInvalid, 0,
			"this operation may not be repeated; send a new UUIDv7 as Idempotency-Key, and the same one when you repeat the call")
	}
	id, err := uuid.Parse(text)
	if err != nil || len(text) != uuidTextLength || id.Version() != keyUUIDVersion || id.Variant() != uuid.RFC4122 {
		return claim.KeyID{}, fleet.Refuse(fleet.RefusedInvalid, 0,
			"the Idempotency-Key is not a UUIDv7 (RFC 9562); send one such as 01890a5d-ac96-774b-bcce-b302099a8057")
	}
	return claim.KeyID(id), nil
}

func writeCall(ctx huma.Context, reply router.CallReply) {
	if reply.Request != "" {
		ctx.SetHeader("X-Request-Id", string(reply.Request))
	}
	if reply.Refusal != nil {
		writeProblem(ctx, reply.Refusal)
		return
	}
	if reply.Response.ContentType != "" {
		ctx.SetHeader("Content-Type", reply.Response.ContentType)
	}
	ctx.SetStatus(reply.Response.Status)
	_, _ = ctx.BodyWriter().Write(reply.Response.Body)
}
