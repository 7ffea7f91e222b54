package front

import (
	"bytes"
	"context"
	"net/http"

	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/upstream"
	"github.com/cornelhold/cornelhold/platform"
)

func (r *request) responseStarted(ctx context.Context) {
	r.attemptTimer.Stop()
	if !r.started {
		r.outcome.Wait = r.connection.server.options.Clock.Now() - r.incoming.arrived
		r.started = true
	}
	events := r.attemptEvents()
	if expected := r.send.ExpectedFirstByte; events > 0 && expected > 0 {
		r.outcome.FirstEvent = r.connection.server.options.Clock.Now() - r.chosenAt
		r.outcome.FirstEventRatio = float64(r.outcome.FirstEvent) / float64(expected)
	}
	r.connection.server.options.Gateway.Post(ctx, gateway.ResponseStarted{ID: r.id, Events: events})
}

// attemptEvents returns the number of events of the current attempt.
func (r *request) attemptEvents() int { return r.splitter.EventCount() - r.eventsBefore }

func (r *request) handleData(ctx context.Context, data []byte) (done, reusable bool) {
	first := r.splitter.EventCount() == 0 || !r.attemptDelivered()
	before := r.splitter.EventCount()
	events, err := r.splitter.Push(data)
	if len(events) > 0 {
		r.pace.observe(r.connection.server.options.Clock.Now(), r.splitter.EventCount()-before)
		r.leaving.moved = r.leaving.moved || r.send.Copy.Handle != ""
		if first {
			r.responseStarted(ctx)
		}
		if done, reusable := r.deliver(events, false); done {
			return done, reusable
		}
	}
	if err != nil {
		r.lastError = err.Error()
		r.failAttempt(ctx, gateway.AttemptFailed{Failure: gateway.FailureConnectionLost})
	}
	return false, false
}

// deliver writes stream data to the caller, preceded by the head if it was not
// written yet. last ends the body.
func (r *request) deliver(data []byte, last bool) (done, reusable bool) {
	var out bytes.Buffer
	if !r.delivered {
		out = *responseHead(r.head.Status, platform.ResponseHeader(r.head.Header), -1, r.closing)
		r.outcome.Status = r.head.Status
	}
	r.delivered, r.head = true, nil
	appendChunk(&out, data)
	if last {
		out.WriteString(lastChunk)
	}
	if err := r.connection.write(out.Bytes()); err != nil {
		r.outcome.Result = resultCallerLeft
		return true, false
	}
	if last {
		r.outcome.Result = "served"
	}
	return last, last
}

// attemptDelivered reports whether the caller got an event of the current attempt. Events of
// earlier attempts do not count.
func (r *request) attemptDelivered() bool { return r.head == nil }

// handleEnd ends the response, unless the stream was broken off: inside an event, or before
// the first one of this attempt if only the end of the connection tells the end of the body.
func (r *request) handleEnd(ctx context.Context, delimited bool) (done, reusable bool) {
	rest, complete := r.splitter.End()
	if !complete || !delimited && !r.attemptDelivered() {
		r.lastError = "the stream ended inside an event or without one"
		r.failAttempt(ctx, gateway.AttemptFailed{Failure: gateway.FailureConnectionLost})
		return false, false
	}
	if !r.delivered {
		r.responseStarted(ctx)
	}
	return r.deliver(rest, true)
}

func (r *request) handleFullResponse(ctx context.Context, e upstream.FullResponse) (done, reusable bool) {
	success := e.Status >= 200 && e.Status < 300
	switch {
	case e.Decoded.NotExecuted, r.send.Copy.Handle != "" && e.Status == http.StatusServiceUnavailable:
		// A run that cannot go on with its copy does not go on at all.
		r.failAttempt(ctx, gateway.AttemptFailed{Failure: gateway.FailureRejected})
		return false, false
	case success && !e.Decoded.Signed, r.delivered:
		r.failAttempt(ctx, gateway.AttemptFailed{Failure: gateway.FailureConnectionLost})
		return false, false
	case e.Status >= 500 || impliesNotRun(e.Status):
		r.responseStarted(ctx)
		r.errorResponse = &e
		r.failAttempt(ctx, gateway.AttemptFailed{Failure: gateway.FailureErrorResponse})
		return false, false
	}
	r.responseStarted(ctx)
	if success {
		r.outcome.Result = "served"
	}
	return true, r.writeResponse(e)
}

// impliesNotRun reports whether callers conclude from a status that the request
// was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (r *request) writeResponse(e upstream.FullResponse) bool {
	r.outcome.Status = e.Status
	head := responseHead(e.Status, platform.ResponseHeader(e.Header), len(e.Body), r.closing)
	return r.connection.write(head.Bytes(), e.Body) == nil
}
