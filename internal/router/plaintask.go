package router

import (
	"context"
	"net/http"

	"github.com/cornelhold/cornelhold/internal/core/claim"
	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/request"
	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/task"
)

func (t *callTask) handleDispatch(ctx context.Context, msg machineMessage) bool {
	switch m := msg.message.(type) {
	case request.Granted:
		t.report(ctx, claim.Granted{Attempt: m.Attempt, Endpoint: m.Endpoint})
	case request.Refused:
		t.report(ctx, claim.Refused{Refusal: m.Refusal})
		return false
	}
	return true
}

// plainTask owns one idempotent call. request.Machine decides on attempts; the
// complete response is its only frame.
type plainTask struct {
	id         fleet.RequestID
	call       PlainCall
	clock      task.Clock
	mailbox    requestMailbox
	machine    *request.Machine
	dispatcher task.Mailbox[dispatcherMessage]
	plain      *engine.PlainClient
	cancel     map[fleet.AttemptNumber]context.CancelFunc
	// lastResponse is the response of the attempt that ended last.
	lastResponse claim.Response
	reply        chan CallReply
}

// plainEnded reports the end of one attempt.
type plainEnded struct {
	attempt fleet.AttemptNumber
	ended   claim.CallEnded
}

func newPlainTask(
	id fleet.RequestID, call PlainCall, clock task.Clock, dispatcher task.Mailbox[dispatcherMessage], plain *engine.PlainClient,
) *plainTask {
	return &plainTask{
		id: id, call: call, clock: clock, dispatcher: dispatcher, plain: plain,
		mailbox: task.NewMailbox[any](requestCapacity),
		machine: request.New(clock.Now(), id, false),
		cancel:  make(map[fleet.AttemptNumber]context.CancelFunc),
		reply:   make(chan CallReply, 1),
	}
}

// Run ends when the call has ended or ctx ends.
func (t *plainTask) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case msg := <-t.mailbox.Receive():
			t.handle(ctx, msg)
		}
		if ended, _, refusal := t.machine.Ended(); ended {
			t.reply <- CallReply{Request: t.id, Response: t.lastResponse, Refusal: refusal}
			return
		}
	}
}

func (t *plainTask) handle(ctx context.Context, msg any) {
	switch msg := msg.(type) {
	case machineMessage:
		t.step(ctx, msg.message)
	case plainEnded:
		t.lastResponse = msg.ended.Response
		t.step(ctx, t.machineMessageFor(msg))
	case callerDisconnected:
		t.step(ctx, request.CallerDetached{})
	}
}

// machineMessageFor converts the end of an attempt to a message of the machine.
// A status that another endpoint may not return counts as a failure.
func (t *plainTask) machineMessageFor(msg plainEnded) request.Message {
	failed := request.AttemptFailed{Attempt: msg.attempt, Detail: msg.ended.Detail}
	switch {
	case msg.ended.Result == claim.CallNotSent:
		failed.Failure = request.FailureUnreachable
	case msg.ended.Result == claim.CallUnknown:
		failed.Failure = request.FailureBroken
	case msg.ended.Response.Omitted:
		failed.Failure = request.FailureError
		failed.Detail = "the response is too long"
	case msg.ended.Response.Status == http.StatusServiceUnavailable || msg.ended.Response.Status == http.StatusTooManyRequests:
		failed.Failure = request.FailureRejected
		failed.Detail = http.StatusText(msg.ended.Response.Status)
	case msg.ended.Response.Status >= http.StatusInternalServerError:
		failed.Failure = request.FailureError
		failed.Detail = http.StatusText(msg.ended.Response.Status)
	default:
		return request.Frame{Request: t.id, Stream: msg.attempt, Attempt: msg.attempt, Index: 0, Finish: "stop"}
	}
	return failed
}

func (t *plainTask) step(ctx context.Context, msg request.Message) {
	for _, action := range t.machine.Step(t.clock.Now(), msg) {
		switch a := action.(type) {
		case request.OpenAttempt:
			t.open(ctx, a)
		case request.CancelAttempt:
			t.stop(a.Attempt)
		case request.ReportEnded:
			t.stop(a.Attempt)
			t.notifyDispatcher(ctx, dispatch.AttemptEnded{Request: t.id, Attempt: a.Attempt, Outcome: a.Outcome, Final: a.Final})
		case request.Retry:
			t.notifyDispatcher(ctx, dispatch.Retry{Request: t.id, Avoid: a.Avoid, Isolate: a.Isolate})
		case request.Withdraw:
			t.notifyDispatcher(ctx, dispatch.Cancel{Request: t.id})
		case request.ReportFirstToken:
			t.notifyDispatcher(ctx, dispatch.FirstToken{Request: t.id, Attempt: a.Attempt})
		}
	}
}

// open starts the task of one attempt, which owns the connection.
func (t *plainTask) open(ctx context.Context, a request.OpenAttempt) {
	callCtx, cancel := context.WithTimeout(ctx, claim.CallTimeout)
	t.cancel[a.Attempt] = cancel
	go func() {
		ended := t.plain.Call(callCtx, t.call.plainRequest(a.Endpoint.Address, t.id))
		_ = t.mailbox.Send(ctx, plainEnded{attempt: a.Attempt, ended: ended})
	}()
}

func (t *plainTask) stop(attempt fleet.AttemptNumber) {
	if cancel, ok := t.cancel[attempt]; ok {
		cancel()
		delete(t.cancel, attempt)
	}
}

func (t *plainTask) notifyDispatcher(ctx context.Context, msg dispatch.Message) {
	_ = t.dispatcher.Send(ctx, dispatcherMessage{message: msg})
}
