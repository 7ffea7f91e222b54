package front

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/evacuation"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/upstream"
	"github.com/cornelhold/cornelhold/platform"
)

// releaseTimeout bounds the call that frees an unused copy; the engine frees it by itself later.
const releaseTimeout = time.Second

// Fates of a stream whose endpoint left.
const (
	fateFinished   = "finished"
	fateMoved      = "moved"
	fateResumed    = "resumed"
	fateLost       = "lost"
	fateCallerLeft = resultCallerLeft
)

// leavingStream is what a request knows of the leaving of its endpoint and of the move of its run.
type leavingStream struct {
	// noticed is set once the gateway asked for the progress, attempts are those until then.
	noticed  bool
	attempts int
	// moved is set once a moved run has produced an event at its destination.
	moved bool
	// transfer is the move in progress, nil if there is none.
	transfer *evacuation.Transfer
	move     gateway.MoveStream
	// startedAt is when the move began, stoppedAt when the run was told to stop.
	startedAt, stoppedAt time.Duration
	events               <-chan upstream.Event
	cancel               context.CancelFunc
	pausing              bool
}

// pace counts the events of the current attempt.
type pace struct {
	events          int
	firstAt, lastAt time.Duration
}

func (p *pace) observe(now time.Duration, events int) {
	if p.events == 0 {
		p.firstAt = now
	}
	p.events += events
	p.lastAt = now
}

// eventTime returns the mean time between two events, 0 if not known.
func (p *pace) eventTime() time.Duration {
	if p.events < 2 {
		return 0
	}
	return (p.lastAt - p.firstAt) / time.Duration(p.events-1)
}

// reportProgress answers the gateway's question how far the stream is. A stream without event ids
// cannot be continued and states no progress.
func (r *request) reportProgress(ctx context.Context) {
	progress := gateway.StreamProgress{ID: r.id}
	if _, ok := r.splitter.LastID(); ok && r.events != nil && r.pace.events > 0 {
		progress.Events, progress.EventTime = r.splitter.EventCount(), r.pace.eventTime()
	}
	if !r.leaving.noticed {
		r.leaving.noticed, r.leaving.attempts = true, r.outcome.Attempts
	}
	r.connection.server.options.Gateway.Post(ctx, progress)
}

// logPlan logs what the gateway decided for the stream of an endpoint that leaves.
func (r *request) logPlan(a gateway.StreamPlanned) {
	r.connection.server.options.Log.WithFields(log.Fields{
		"request": r.callerRequest.Attempt, "endpoint": string(a.Endpoint), "option": a.Option.String(), "left_ms": a.Left.Milliseconds(),
		"tokens": a.Stream.Tokens, "rest_tokens": a.Stream.Rest, "token_us": a.Stream.TokenTime.Microseconds(), "priority": a.Stream.Priority,
	}).Info("stream of leaving endpoint planned")
}

// startMove begins the move of the run. It has no effect if the stream has ended meanwhile, which the
// gateway has been told.
func (r *request) startMove(ctx context.Context, a gateway.MoveStream) {
	if r.events == nil && a.Handle == "" {
		return
	}
	l := &r.leaving
	l.move, l.startedAt = a, r.connection.server.options.Clock.Now()
	var step evacuation.Step
	if a.Handle == "" {
		l.transfer, step = evacuation.NewTransfer()
	} else {
		l.transfer, step = evacuation.NewStoppedTransfer(a.Handle)
	}
	r.moveStep(ctx, step)
}

// moveStep performs a step of the move.
func (r *request) moveStep(ctx context.Context, step evacuation.Step) {
	l := &r.leaving
	switch step {
	case evacuation.StepNone:
	case evacuation.StepCopy:
		r.callSource(ctx, false)
	case evacuation.StepStop:
		l.stoppedAt = r.connection.server.options.Clock.Now()
		r.callSource(ctx, true)
	case evacuation.StepPause:
		l.pausing = true
		r.moveTimer.Arm(evacuation.RetryDelay)
	case evacuation.StepMoved:
		r.leaveStream()
		r.endMove(ctx, gateway.MoveCompleted)
	case evacuation.StepStopped:
		r.leaveStream()
		// The source needs the memory of the run for the next destination.
		r.releaseCopy(l.move.To)
		r.endMove(ctx, gateway.MoveStopped)
	case evacuation.StepAbandon:
		r.releaseCopy(l.move.From)
		r.endMove(ctx, gateway.MoveAbandoned)
	case evacuation.StepBroken:
		r.failAttempt(ctx, gateway.AttemptFailed{Failure: gateway.FailureConnectionLost})
	}
}

// callSource calls the endpoint that runs the request.
func (r *request) callSource(ctx context.Context, stop bool) {
	l, o := &r.leaving, r.connection.server.options
	callCtx, cancel := context.WithCancel(ctx)
	l.cancel = cancel
	l.events = upstream.StartCall(callCtx, o.Pool, l.move.From, platform.MoveCall(r.callerRequest.Attempt, l.move.To.Address, stop))
	r.moveTimer.Arm(l.transfer.CallTime(l.move.By - o.Clock.Now()))
}

// handleMoveEvent processes an event of the call in progress.
func (r *request) handleMoveEvent(ctx context.Context, e upstream.Event) {
	var answer evacuation.Answer
	switch e := e.(type) {
	case upstream.FullResponse:
		var err error
		if answer, err = platform.DecodeMoveAnswer(e.Status, e.Body); err != nil {
			r.moveLog().WithError(err).Warn("malformed answer to the move of a stream")
		}
	case upstream.Failed:
		answer.Kind = evacuation.AnswerLost
		if !e.Sent {
			answer.Kind = evacuation.AnswerNotSent
		}
	case upstream.StreamEnd:
		answer.Kind = evacuation.AnswerLost
	default:
		return
	}
	r.endCall()
	r.moveStep(ctx, r.leaving.transfer.Answered(answer))
}

// handleMoveTimer ends the pause before a repeated call, or a call for which the time is over.
func (r *request) handleMoveTimer(ctx context.Context) {
	l := &r.leaving
	switch {
	case l.transfer == nil:
	case l.pausing:
		l.pausing = false
		r.moveStep(ctx, l.transfer.Resume())
	default:
		r.endCall()
		r.moveStep(ctx, l.transfer.TimeOver())
	}
}

// expectsClose reports whether the stream is closed without its end because its run is moved.
func (r *request) expectsClose() bool {
	return r.leaving.transfer != nil && r.leaving.transfer.ExpectsClose()
}

// streamClosed processes a close of the stream that the move explains. A connection that timed out is
// none: behind a link that is cut, the run may go on.
func (r *request) streamClosed(ctx context.Context) {
	r.leaveStream()
	r.moveStep(ctx, r.leaving.transfer.StreamClosed())
}

// leaveStream ends the exchange of a run that has stopped. Events of it that were not delivered are
// sent again when it goes on.
func (r *request) leaveStream() {
	r.cancel()
	r.events = nil
	r.attemptTimer.Stop()
	r.splitter.Discard()
}

func (r *request) endCall() {
	l := &r.leaving
	r.moveTimer.Stop()
	if l.cancel != nil {
		l.cancel()
	}
	l.cancel, l.events = nil, nil
}

// endMove reports the end of the move to the gateway, which decides how the request goes on.
func (r *request) endMove(ctx context.Context, outcome gateway.MoveOutcome) {
	l, o := &r.leaving, r.connection.server.options
	r.endCall()
	moved := gateway.StreamMoved{
		ID: r.id, Outcome: outcome, Reason: l.transfer.Reason(), Handle: l.transfer.Handle(), Created: l.transfer.Created(),
	}
	now, stopped := o.Clock.Now(), time.Duration(0)
	if l.stoppedAt >= l.startedAt {
		stopped = now - l.stoppedAt
	}
	r.moveLog().WithFields(log.Fields{
		"outcome": outcome.String(), "answer": moved.Reason.String(), "tokens": l.move.Tokens, "events": r.splitter.EventCount(),
		"created": moved.Created, "total_ms": (now - l.startedAt).Milliseconds(), "stop_ms": stopped.Milliseconds(),
		"left_ms": (l.move.By - now).Milliseconds(),
	}).Info("stream move ended")
	l.transfer = nil
	o.Observer.MoveEnded(r.send.Team, r.send.Route.Name, outcome.String(), moved.Reason.String())
	o.Gateway.Post(ctx, moved)
}

func (r *request) moveLog() *log.Entry {
	return r.connection.server.options.Log.WithFields(log.Fields{
		"request": r.callerRequest.Attempt, "from": string(r.leaving.move.From.ID), "to": string(r.leaving.move.To.ID),
	})
}

// dropMove ends a move whose request has ended or failed meanwhile.
func (r *request) dropMove() {
	r.endCall()
	if r.leaving.transfer != nil {
		r.releaseCopy(r.leaving.move.From)
		r.leaving.transfer = nil
	}
}

// releaseCopy frees the copy of the run, which takes a slot of the destination: at the destination
// only, or at both ends if it is called at the source.
func (r *request) releaseCopy(at catalog.Endpoint) {
	handle, pool := r.leaving.transfer.Handle(), r.connection.server.options.Pool
	if handle == "" {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		upstream.Call(ctx, pool, at, platform.ReleaseCall(handle))
	}()
}

// fate returns what became of a stream whose endpoint left, "" for other requests.
func (r *request) fate() string {
	switch {
	case !r.leaving.noticed:
		return ""
	case r.outcome.Result == resultCallerLeft:
		return fateCallerLeft
	case r.outcome.Result != "served":
		return fateLost
	case r.outcome.Attempts > r.leaving.attempts:
		return fateResumed
	case r.leaving.moved:
		return fateMoved
	default:
		return fateFinished
	}
}
