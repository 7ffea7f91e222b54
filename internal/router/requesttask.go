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
	// requestCapacity bounds the messages and the frames that wait for one
	// request task. An engine client that finds no room waits, which slows that
	// stream only.
	requestCapacity = 64
	// keepEnded is how long the record of an ended request stays readable for
	// a caller that reconnects.
	keepEnded = time.Minute
	// assumedFirstToken and assumedTokenInterval estimate how long a request
	// still runs before its own speed is known. They are the latency targets.
	assumedFirstToken    = 630 * time.Millisecond
	assumedTokenInterval = 70 * time.Millisecond
	// finishMarginPercent is added to the estimated time to the end.
	finishMarginPercent = 20
)

// requestTask owns request.Machine and the attempts of one request.
type requestTask struct {
	id          fleet.RequestID
	submission  Submission
	fingerprint fleet.Fingerprint
	clock       task.Clock
	mailbox     requestMailbox
	// frames receives what attempts deliver. It is apart from mailbox, so that
	// a fast endpoint can't crowd out grants, moves and verdicts, which are
	// posted without waiting.
	frames  task.Mailbox[request.Message]
	done    chan struct{}
	machine *request.Machine
	// initial are actions to carry out first.
	initial    []request.Action
	dispatcher task.Mailbox[dispatcherMessage]
	quarantine task.Mailbox[any]
	engine     *engine.Client
	metrics    requestMetrics
	cancel     map[fleet.AttemptNumber]context.CancelFunc
	readers    []readFrames
	// takes wait for the result of a handoff.
	takes      []freezeRequest
	wake       *task.Timer
	opened     int
	firstToken time.Duration
	// delivered: a reader was told the end.
	delivered bool
	counted   bool
}

// Run owns the request until its record has expired, another router has it or
// ctx ends.
func (t *requestTask) Run(ctx context.Context) {
	defer close(t.done)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	expiry := task.NewTimer()
	defer expiry.Stop()
	defer t.wake.Stop()
	t.performAll(ctx, t.initial)
	for !t.machine.Moved() {
		if ended, _, _ := t.machine.Ended(); ended {
			t.countEnd()
			expiry.Arm(keepEnded)
		}
		select {
		case <-ctx.Done():
			return
		case <-expiry.C():
			if t.machine.Callers() == 0 {
				return
			}
		case <-t.wake.C():
			t.step(ctx, request.Tick{})
		case msg := <-t.mailbox.Receive():
			t.handle(ctx, msg)
		case msg := <-t.frames.Receive():
			t.step(ctx, msg)
		}
	}
}

func (t *requestTask) handle(ctx context.Context, msg any) {
	switch msg := msg.(type) {
	case readFrames:
		t.readers = append(t.readers, msg)
		t.answerReaders()
	case coreMessage:
		t.step(ctx, msg.message)
	case peekRequest:
		msg.reply <- t.machine.Record()
	case freezeRequest:
		t.freeze(ctx, msg)
	}
}

func (t *requestTask) step(ctx context.Context, msg request.Message) {
	t.performAll(ctx, t.machine.Step(t.clock.Now(), msg))
	if len(t.takes) == 0 || t.machine.Frozen() {
		return
	}
	takes := t.takes
	t.takes = nil
	for _, take := range takes {
		t.freeze(ctx, take)
	}
}

func (t *requestTask) performAll(ctx context.Context, actions []request.Action) {
	for _, action := range actions {
		t.perform(ctx, action)
	}
}

func (t *requestTask) perform(ctx context.Context, action request.Action) {
	switch a := action.(type) {
	case request.OpenAttempt:
		t.open(ctx, a)
	case request.CancelAttempt:
		t.stop(a.Attempt)
	case request.ExportAttempt:
		t.export(ctx, a)
	case request.JudgeCrash:
		t.metrics.crashed()
		t.judge(ctx, a)
	case request.ReportEnded:
		t.tellDispatcher(ctx, dispatch.AttemptEnded{
			Request: t.id, Attempt: a.Attempt, Outcome: a.Outcome, Generated: a.Generated, Final: a.Final,
		})
	case request.AskRetry:
		t.tellDispatcher(ctx, dispatch.Retry{Request: t.id, Generated: a.Generated, Avoid: a.Avoid, Isolate: a.Isolate})
	case request.Withdraw:
		t.tellDispatcher(ctx, dispatch.Cancel{Request: t.id})
	case request.ReportFirstToken:
		t.firstToken = t.clock.Now()
		t.metrics.firstToken.Observe(seconds(a.Elapsed))
		t.tellDispatcher(ctx, dispatch.FirstToken{Request: t.id, Attempt: a.Attempt})
	case request.ReportInterval:
		t.metrics.tokenInterval.Observe(seconds(a.Elapsed))
	case request.ReportMoved:
		t.metrics.moved(a.Method)
	case request.Wake:
		t.wake.Arm(a.At - t.clock.Now())
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
	t.opened++
	attemptCtx, cancel := context.WithCancel(ctx)
	t.cancel[a.Attempt] = cancel
	body := engine.CompletionRequest{
		Model: string(t.submission.Service), Adapter: t.submission.Adapter, Prompt: t.submission.Prompt,
		MaxTokens: t.submission.MaxTokens, Stream: true, Priority: int(t.submission.Class),
		RequestID: string(t.id), Attempt: uint32(a.Attempt), Resume: a.Resume, NextIndex: a.NextIndex,
		ImportFrom: a.ImportFrom,
	}
	go func() {
		defer cancel()
		emit := func(f request.Frame) { _ = t.frames.Send(attemptCtx, f) }
		if result := t.engine.Stream(attemptCtx, a.Endpoint.Address, body, emit); result != nil {
			_ = t.frames.Send(attemptCtx, result)
		}
	}()
}

// export asks the endpoint for the KV cache of an attempt. A failed export is
// reported with an empty source, and the successor recomputes.
func (t *requestTask) export(ctx context.Context, a request.ExportAttempt) {
	ref := engine.StreamRef{RequestID: string(t.id), Attempt: uint32(a.Attempt)}
	go func() {
		source, err := t.engine.Export(ctx, a.Endpoint.Address, ref)
		if err != nil {
			source = ""
		}
		_ = t.mailbox.Send(ctx, coreMessage{message: request.Exported{Attempt: a.Attempt, Source: source}})
	}()
}

// judge reports crash evidence; the quarantine task answers to the mailbox.
func (t *requestTask) judge(ctx context.Context, a request.JudgeCrash) {
	evidence := crashReport{
		fingerprint: t.fingerprint, endpoint: a.Endpoint.ID, dataCentre: a.Endpoint.DataCentre,
		incarnation: a.Incarnation, reply: t.mailbox,
	}
	if t.quarantine.Send(ctx, evidence) != nil {
		return
	}
}

func (t *requestTask) answerReaders() {
	ended, finish, refusal := t.machine.Ended()
	moved := t.machine.Moved()
	waiting := t.readers[:0]
	for _, r := range t.readers {
		texts := t.machine.Frames(r.from)
		if len(texts) == 0 && !ended && !moved && r.from <= len(t.machine.Frames(0)) {
			waiting = append(waiting, r)
			continue
		}
		t.delivered = t.delivered || ended
		if r.from > len(t.machine.Frames(0)) {
			r.reply <- Frames{Ended: true, Refusal: beyondRecord()}
			continue
		}
		r.reply <- Frames{Texts: texts, Ended: ended, Finish: finish, Refusal: refusal, Moved: moved}
	}
	t.readers = waiting
}

// freeze answers with the record for a handoff, or nil if the request stays.
func (t *requestTask) freeze(ctx context.Context, msg freezeRequest) {
	if msg.take && t.machine.Frozen() {
		t.takes = append(t.takes, msg)
		return
	}
	if t.machine.Moved() || t.machine.Frozen() || (!msg.take && t.stays(msg.budget)) {
		msg.reply <- nil
		return
	}
	t.step(ctx, request.Freeze{})
	record := t.machine.Record()
	msg.reply <- &record
}

// stays reports whether the request ends here within the budget, or has ended
// and was delivered.
func (t *requestTask) stays(budget time.Duration) bool {
	if ended, _, _ := t.machine.Ended(); ended {
		return budget > 0 || (t.delivered && t.machine.Callers() == 0)
	}
	return t.remaining() <= budget
}

// remaining estimates the time until the request ends.
func (t *requestTask) remaining() time.Duration {
	emitted := len(t.machine.Frames(0))
	interval, first := assumedTokenInterval, assumedFirstToken
	if t.firstToken > 0 && emitted > 1 {
		interval = (t.clock.Now() - t.firstToken) / time.Duration(emitted-1)
		first = 0
	}
	left := first + interval*time.Duration(max(t.submission.MaxTokens-emitted, 1))
	return left + left*finishMarginPercent/100
}

// countEnd records the metrics of an ended request once, and clears its
// fingerprint from crash evidence if the answer is whole.
func (t *requestTask) countEnd() {
	if t.counted {
		return
	}
	t.counted = true
	_, _, refusal := t.machine.Ended()
	t.metrics.ended(t.opened, t.machine.Dropped(), refusal)
	if refusal == nil {
		t.quarantine.TrySend(requestCompleted{fingerprint: t.fingerprint})
	}
}

// beyondRecord refuses to continue after frames that the record does not have:
// a router died without notice, and what another attempt would generate need
// not continue what the caller has.
func beyondRecord() *fleet.Refusal {
	refusal := fleet.Refuse(fleet.RefusedInvalid, 0,
		"Last-Event-ID is beyond the record of this request; submit the request again")
	refusal.Run = fleet.RunUnknown
	return refusal
}
