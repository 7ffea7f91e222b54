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
	// requestCapacity is the capacity of each mailbox of a request task. An
	// engine client blocks while frames is full, which slows only that stream.
	requestCapacity = 64
	// endedRetention is the time for which the record of an ended request can be
	// read by a caller that reconnects.
	endedRetention = time.Minute
	// assumedFirstToken and assumedTokenInterval are the latency targets. They
	// estimate the remaining time of a request without measured latencies.
	assumedFirstToken    = 630 * time.Millisecond
	assumedTokenInterval = 70 * time.Millisecond
	// finishMarginPercent is added to the estimate of the remaining time.
	finishMarginPercent = 20
)

// requestTask owns request.Machine and the attempts of one request.
type requestTask struct {
	id          fleet.RequestID
	submission  Submission
	fingerprint fleet.Fingerprint
	clock       task.Clock
	mailbox     requestMailbox
	// frames receives the messages of attempts. It is separate from mailbox, so
	// that a fast endpoint can't fill the latter: grants, moves and verdicts are
	// sent to it without blocking and would be dropped.
	frames  task.Mailbox[request.Message]
	done    chan struct{}
	machine *request.Machine
	// initial are the actions that Run performs first.
	initial    []request.Action
	dispatcher task.Mailbox[dispatcherMessage]
	quarantine task.Mailbox[any]
	engine     *engine.Client
	metrics    requestMetrics
	cancel     map[fleet.AttemptNumber]context.CancelFunc
	readers    []readFrames
	// pendingTakeovers are takeovers that wait for the result of a handoff.
	pendingTakeovers []freezeRequest
	timer            *task.Timer
	attemptCount     int
	firstToken       time.Duration
	// delivered reports that a reader has received the end of the response.
	delivered   bool
	endRecorded bool
}

// Run ends when the record of the ended request has expired, another router has
// the request or ctx ends.
func (t *requestTask) Run(ctx context.Context) {
	defer close(t.done)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	expiry := task.NewTimer()
	defer expiry.Stop()
	defer t.timer.Stop()
	t.performAll(ctx, t.initial)
	for !t.machine.Moved() {
		if ended, _, _ := t.machine.Ended(); ended {
			t.recordEnd()
			expiry.Arm(endedRetention)
		}
		select {
		case <-ctx.Done():
			return
		case <-expiry.C():
			if t.machine.Callers() == 0 {
				return
			}
		case <-t.timer.C():
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
		t.replyToReaders()
	case machineMessage:
		t.step(ctx, msg.message)
	case peekRequest:
		msg.reply <- t.machine.Record()
	case freezeRequest:
		t.freeze(ctx, msg)
	}
}

func (t *requestTask) step(ctx context.Context, msg request.Message) {
	t.performAll(ctx, t.machine.Step(t.clock.Now(), msg))
	if len(t.pendingTakeovers) == 0 || t.machine.Frozen() {
		return
	}
	takeovers := t.pendingTakeovers
	t.pendingTakeovers = nil
	for _, takeover := range takeovers {
		t.freeze(ctx, takeover)
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
	case request.ReportCrash:
		t.metrics.crashed()
		t.reportCrash(ctx, a)
	case request.ReportEnded:
		t.notifyDispatcher(ctx, dispatch.AttemptEnded{
			Request: t.id, Attempt: a.Attempt, Outcome: a.Outcome, Generated: a.Generated, Final: a.Final,
		})
	case request.Retry:
		t.notifyDispatcher(ctx, dispatch.Retry{Request: t.id, Generated: a.Generated, Avoid: a.Avoid, Isolate: a.Isolate})
	case request.Withdraw:
		t.notifyDispatcher(ctx, dispatch.Cancel{Request: t.id})
	case request.ReportFirstToken:
		t.firstToken = t.clock.Now()
		t.metrics.firstToken.Observe(seconds(a.Elapsed))
		t.notifyDispatcher(ctx, dispatch.FirstToken{Request: t.id, Attempt: a.Attempt})
	case request.ReportInterval:
		t.metrics.tokenInterval.Observe(seconds(a.Elapsed))
	case request.ReportMoved:
		t.metrics.moved(a.Method)
	case request.SetTimer:
		t.timer.Arm(a.At - t.clock.Now())
	case request.Publish:
		t.replyToReaders()
	}
}

func (t *requestTask) notifyDispatcher(ctx context.Context, msg dispatch.Message) {
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
	t.attemptCount++
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

// export requests that the endpoint exports the KV cache of an attempt. A failed
// export is reported with an empty source; the next attempt then recomputes the
// cache.
func (t *requestTask) export(ctx context.Context, a request.ExportAttempt) {
	ref := engine.StreamRef{RequestID: string(t.id), Attempt: uint32(a.Attempt)}
	go func() {
		source, err := t.engine.Export(ctx, a.Endpoint.Address, ref)
		if err != nil {
			source = ""
		}
		_ = t.mailbox.Send(ctx, machineMessage{message: request.Exported{Attempt: a.Attempt, Source: source}})
	}()
}

// reportCrash sends crash evidence to the quarantine task, which sends
// request.CrashVerdict to the mailbox.
func (t *requestTask) reportCrash(ctx context.Context, a request.ReportCrash) {
	evidence := crashReport{
		fingerprint: t.fingerprint, endpoint: a.Endpoint.ID, dataCentre: a.Endpoint.DataCentre,
		incarnation: a.Incarnation, reply: t.mailbox,
	}
	if t.quarantine.Send(ctx, evidence) != nil {
		return
	}
}

func (t *requestTask) replyToReaders() {
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
			r.reply <- Frames{Ended: true, Refusal: beyondRecordRefusal()}
			continue
		}
		r.reply <- Frames{Texts: texts, Ended: ended, Finish: finish, Refusal: refusal, Moved: moved}
	}
	t.readers = waiting
}

// freeze replies with the record for a handoff, or with nil if the request
// stays here.
func (t *requestTask) freeze(ctx context.Context, msg freezeRequest) {
	if msg.takeover && t.machine.Frozen() {
		t.pendingTakeovers = append(t.pendingTakeovers, msg)
		return
	}
	if t.machine.Moved() || t.machine.Frozen() || (!msg.takeover && t.endsHere(msg.budget)) {
		msg.reply <- nil
		return
	}
	t.step(ctx, request.Freeze{})
	record := t.machine.Record()
	msg.reply <- &record
}

// endsHere reports whether the request is expected to end within the budget, or
// has ended and was delivered.
func (t *requestTask) endsHere(budget time.Duration) bool {
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
	remaining := first + interval*time.Duration(max(t.submission.MaxTokens-emitted, 1))
	return remaining + remaining*finishMarginPercent/100
}

// recordEnd records the metrics of an ended request once, and clears the crash
// evidence of its fingerprint if the response is complete.
func (t *requestTask) recordEnd() {
	if t.endRecorded {
		return
	}
	t.endRecorded = true
	_, _, refusal := t.machine.Ended()
	t.metrics.ended(t.attemptCount, t.machine.Dropped(), refusal)
	if refusal == nil {
		t.quarantine.TrySend(requestCompleted{fingerprint: t.fingerprint})
	}
}

// beyondRecordRefusal refuses a caller that has received frames which the record
// lacks, because a router crashed. The frames of another attempt may differ from
// those that the caller has.
func beyondRecordRefusal() *fleet.Refusal {
	refusal := fleet.Refuse(fleet.RefusedInvalid, 0,
		"Last-Event-ID is beyond the record of this request; submit the request again")
	refusal.Run = fleet.RunUnknown
	return refusal
}
