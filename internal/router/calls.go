package router

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/cornelhold/cornelhold/internal/core/claim"
	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/task"
)

// PlainCall is a decoded call of a plain service.
type PlainCall struct {
	Team        fleet.TeamName
	Service     fleet.ServiceName
	Operation   string
	Class       fleet.Class
	ContentType string
	Body        []byte
	// Wait bounds the time until the dispatcher grants an endpoint.
	Wait time.Duration
}

// CallReply is the result of a call: the endpoint's response or a refusal.
type CallReply struct {
	Request  fleet.RequestID
	Response claim.Response
	Refusal  *fleet.Refusal
}

// fingerprint returns a hash of the content of the call.
func (c PlainCall) fingerprint() fleet.Fingerprint {
	digest := xxhash.New()
	for _, part := range []string{string(c.Service), c.Operation, c.ContentType} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(c.Body)
	return fleet.Fingerprint(digest.Sum64())
}

func (c PlainCall) submitMessage(id fleet.RequestID, idempotent bool) dispatch.Submit {
	return dispatch.Submit{
		Request: id, Team: c.Team, Service: c.Service, Class: c.Class, Operation: c.Operation,
		Fingerprint: c.fingerprint(), Idempotent: idempotent, MaxWait: c.Wait,
	}
}

func (c PlainCall) plainRequest(address string, id fleet.RequestID) engine.PlainRequest {
	return engine.PlainRequest{
		Address: address, Operation: c.Operation, RequestID: string(id), ContentType: c.ContentType, Body: c.Body,
	}
}

// calls holds the tasks and the client that run calls of plain services.
type calls struct {
	claims   *claimsTask
	plain    *engine.PlainClient
	deferred *deferredTask
}

// CallOnce runs a non-idempotent call at most once for its key. The call
// continues when ctx ends; a repetition with the same key gets its outcome.
func (r *Router) CallOnce(ctx context.Context, call PlainCall, key claim.KeyID) CallReply {
	if r.draining.Load() {
		return CallReply{Refusal: drainingRefusal()}
	}
	reply := make(chan CallReply, 1)
	msg := submitCall{call: call, key: claim.Key{Team: call.Team, ID: key}, reply: reply}
	if !r.calls.claims.mailbox.TrySend(msg) {
		return CallReply{Refusal: overloadedRefusal()}
	}
	return awaitReply(ctx, reply)
}

// Call runs an idempotent call and retries it on other endpoints if one fails.
func (r *Router) Call(ctx context.Context, call PlainCall) CallReply {
	if r.draining.Load() {
		return CallReply{Refusal: drainingRefusal()}
	}
	id := fleet.RequestID(uuid.NewString())
	t := newPlainTask(id, call, r.clock, r.dispatcher.mailbox, r.calls.plain)
	submit := dispatcherMessage{message: call.submitMessage(id, true), sender: &t.mailbox}
	if !r.dispatcher.mailbox.TrySend(submit) {
		return CallReply{Refusal: overloadedRefusal()}
	}
	r.tasks.Go("plain call", func(taskCtx context.Context) error {
		t.Run(taskCtx)
		return nil
	})
	reply := awaitReply(ctx, t.reply)
	if ctx.Err() != nil {
		t.mailbox.TrySend(callerDisconnected{})
	}
	return reply
}

// callerDisconnected reports to a plainTask that its caller has disconnected.
type callerDisconnected struct{}

func awaitReply(ctx context.Context, reply <-chan CallReply) CallReply {
	select {
	case result := <-reply:
		return result
	case <-ctx.Done():
		return CallReply{Refusal: &fleet.Refusal{
			Kind: fleet.RefusedOutcomeUnknown, Run: fleet.RunUnknown, Remedy: "the caller left before the call ended",
		}}
	}
}

// callTask owns the connection of one claimed attempt and exchanges its messages
// with the dispatcher. It sends the request only on claim.Send.
type callTask struct {
	id         fleet.RequestID
	call       PlainCall
	mailbox    requestMailbox
	dispatcher task.Mailbox[dispatcherMessage]
	plain      *engine.PlainClient
	report     func(context.Context, claim.Message)
}

// Run ends when the dispatcher refuses the call, on claim.EndCall or when ctx
// ends.
func (t *callTask) Run(ctx context.Context) {
	submit := dispatcherMessage{message: t.call.submitMessage(t.id, false), sender: &t.mailbox}
	if !t.dispatcher.TrySend(submit) {
		t.report(ctx, claim.Refused{Refusal: overloadedRefusal()})
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-t.mailbox.Receive():
			if !t.handle(ctx, msg) {
				return
			}
		}
	}
}

func (t *callTask) handle(ctx context.Context, msg any) bool {
	switch msg := msg.(type) {
	case machineMessage:
		return t.handleDispatch(ctx, msg)
	case claim.Send:
		t.send(ctx, msg)
	case claim.RequestOtherEndpoint:
		t.notifyDispatcher(ctx, dispatch.AttemptEnded{Request: t.id, Attempt: msg.Attempt, Outcome: dispatch.AttemptRejected})
		t.notifyDispatcher(ctx, dispatch.Retry{Request: t.id, Avoid: msg.Avoid})
	case claim.EndCall:
		t.notifyDispatcher(ctx, dispatch.AttemptEnded{Request: t.id, Attempt: msg.Attempt, Outcome: msg.Outcome, Final: true})
		return false
	}
	return true
}

func (t *callTask) send(ctx context.Context, msg claim.Send) {
	callCtx, cancel := context.WithTimeout(ctx, claim.CallTimeout)
	defer cancel()
	t.report(ctx, t.plain.CallOnce(callCtx, t.call.plainRequest(msg.Endpoint.Address, t.id)))
}

func (t *callTask) notifyDispatcher(ctx context.Context, msg dispatch.Message) {
	_ = t.dispatcher.Send(ctx, dispatcherMessage{message: msg})
}
