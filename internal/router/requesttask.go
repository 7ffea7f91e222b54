package router

import (
	"context"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/request"
	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	// requestCapacity bounds the messages that wait for one request task. An
	// engine client that finds it full waits, which slows that stream only.
	requestCapacity = 64
	// keepEnded is how long the record of an ended request stays readable for
	// a caller that reconnects.
	keepEnded = time.Minute
)

// requestTask owns request.Machine and the attempts of one request.
type requestTask struct {
	id         fleet.RequestID
	submission Submission
	clock      task.Clock
	mailbox    requestMailbox
	machine    *request.Machine
	dispatcher task.Mailbox[dispatcherMessage]
	engine     *engine.Client
	cancel     map[fleet.AttemptNumber]context.CancelFunc
	readers    []readFrames
}

// Run owns the request until its record has expired or ctx ends.
func (t *requestTask) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	expiry := task.NewAlarm()
	defer expiry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-expiry.C():
			return
		case msg := <-t.mailbox.Receive():
			t.handle(ctx, msg)
			if ended, _, _ := t.machine.Ended(); ended {
				expiry.Arm(keepEnded)
			}
		}
	}
}

func (t *requestTask) handle(ctx context.Context, msg any) {
	switch msg := msg.(type) {
	case readFrames:
		t.readers = append(t.readers, msg)
		t.answerReaders()
	case coreMessage:
		for _, action := range t.machine.Step(t.clock.Now(), msg.message) {
			t.perform(ctx, action)
		}
	}
}

func (t *requestTask) perform(ctx context.Context, action request.Action) {
	switch a := action.(type) {
	case request.OpenAttempt:
		t.open(ctx, a)
	case request.CancelAttempt:
		t.stop(a.Attempt)
	case request.ReportEnded:
		t.stop(a.Attempt)
		t.tellDispatcher(ctx, dispatch.Ended{
			Request: t.id, Attempt: a.Attempt, Outcome: a.Outcome, Generated: a.Generated, Final: a.Final,
		})
	case request.AskRetry:
		t.tellDispatcher(ctx, dispatch.Retry{Request: t.id, Generated: a.Generated, Avoid: a.Avoid, Isolate: a.Isolate})
	case request.ReportFirstToken:
		t.tellDispatcher(ctx, dispatch.FirstToken{Request: t.id, Attempt: a.Attempt})
	case request.Publish:
		t.answerReaders()
	}
}

func (t *requestTask) tellDispatcher(ctx context.Context, msg dispatch.Message) {
	_ = t.dispatcher.Send(ctx, dispatcherMessage{message: msg})
}

func (t *requestTask) stop(attempt fleet.AttemptNumber) {
	if cancel, ok := t.cancel[attempt]; ok {
		cancel()
		delete(t.cancel, attempt)
	}
}

// open starts the task of one attempt, which owns the connection to the endpoint.
func (t *requestTask) open(ctx context.Context, a request.OpenAttempt) {
	attemptCtx, cancel := context.WithCancel(ctx)
	t.cancel[a.Attempt] = cancel
	body := engine.CompletionRequest{
		Model: string(t.submission.Service), Adapter: t.submission.Adapter, Prompt: t.submission.Prompt,
		MaxTokens: t.submission.MaxTokens, Stream: true, Priority: int(t.submission.Class),
		RequestID: string(t.id), Attempt: uint32(a.Attempt), Resume: a.Resume, NextIndex: a.NextIndex,
	}
	go func() {
		emit := func(f request.Frame) { _ = t.mailbox.Send(attemptCtx, coreMessage{message: f}) }
		if result := t.engine.Stream(attemptCtx, a.Endpoint.Address, body, emit); result != nil {
			_ = t.mailbox.Send(attemptCtx, coreMessage{message: result})
		}
	}()
}

func (t *requestTask) answerReaders() {
	ended, finish, refusal := t.machine.Ended()
	waiting := t.readers[:0]
	for _, r := range t.readers {
		texts := t.machine.Frames(r.from)
		if len(texts) == 0 && !ended {
			waiting = append(waiting, r)
			continue
		}
		r.reply <- Frames{Texts: texts, Ended: ended, Finish: finish, Refusal: refusal}
	}
	t.readers = waiting
}
