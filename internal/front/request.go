package front

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
	"github.com/cornelhold/cornelhold/internal/core/stream"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/internal/upstream"
	"github.com/cornelhold/cornelhold/platform"
)

const (
	// deadlineMargin is subtracted from a caller's deadline, so that the final
	// response arrives in time.
	deadlineMargin = 20 * time.Millisecond
	// unsafeMaxIdle bounds how long a reused connection may have been idle for a
	// request that must not be retried. If the endpoint just closed the
	// connection, the outcome of the request would be unknown.
	unsafeMaxIdle = 300 * time.Millisecond
	// idempotentMaxIdle is the same limit for idempotent requests.
	idempotentMaxIdle = time.Second
	// maxDecisionTime bounds the wait for the gateway's first decision.
	maxDecisionTime = 2 * time.Second
	// replyBuffer is the room for actions of the gateway: one that answers a message, and what
	// concerns a stream whose endpoint leaves.
	replyBuffer = 8
)

// maxErrorBodyBytes bounds the body of an error response that is kept during a retry.
const maxErrorBodyBytes = 64 << 10

// resultCallerLeft is the result of a request whose caller disconnected before
// its end.
const resultCallerLeft = "caller-left"

// request is the state of one request of a caller.
type request struct {
	connection    *connection
	incoming      incomingRequest
	callerRequest platform.CallerRequest
	id            gateway.RequestID
	replies       chan gateway.Action
	events        <-chan upstream.Event
	cancel        context.CancelFunc
	send          gateway.Send
	// chosenAt is when the gateway's choice of an endpoint arrived.
	chosenAt time.Duration
	started  bool
	// head is the head of the current attempt's stream until its first event is delivered.
	head *upstream.StreamHead
	// delivered is set once the caller got a part of the response, from any attempt.
	delivered bool
	splitter  stream.Splitter
	// eventsBefore is the number of events of the attempts before the current one.
	eventsBefore int
	// errorResponse is an endpoint's error response, which the caller gets if the
	// request is not retried.
	errorResponse *upstream.FullResponse
	// lastError is the error of the last failed exchange, for the log.
	lastError     string
	closing       bool
	outcome       Outcome
	deadlineTimer *task.Timer
	attemptTimer  *task.Timer
	// pace counts the events of the current attempt.
	pace pace
	// leaving is about the leaving of the endpoint, moveTimer about the move of the run.
	leaving   leavingStream
	moveTimer *task.Timer
}

// serve handles one request. It reports whether the connection can serve another.
func (c *connection) serve(ctx context.Context, in incomingRequest) bool {
	if in.rejection != nil {
		c.reject(in)
		return false
	}
	r := newRequest(c, in)
	reusable := r.run(ctx)
	r.ended()
	return reusable && !r.closing
}

// reject responds to a request that was not read to its end, and closes the connection.
func (c *connection) reject(in incomingRequest) {
	r := &request{connection: c, incoming: in, closing: true}
	if in.request != nil {
		r.callerRequest = platform.DecodeCallerRequest(in.request.Header)
	}
	r.outcome.Reason, r.outcome.Detail = "not-read", in.rejection.remedy
	r.refuse(in.rejection.status, in.rejection.retryAfter, in.rejection.remedy)
	r.ended()
	c.linger()
}

// ended reports the outcome.
func (r *request) ended() {
	options := r.connection.server.options
	r.outcome.Total = options.Clock.Now() - r.incoming.arrived
	r.outcome.Attempt, r.outcome.Leaving = r.callerRequest.Attempt, r.fate()
	options.Observer.RequestEnded(r.outcome)
}

func newRequest(c *connection, in incomingRequest) *request {
	r := &request{
		connection: c, incoming: in, callerRequest: platform.DecodeCallerRequest(in.request.Header), id: c.server.options.NextID(),
		replies: make(chan gateway.Action, replyBuffer), cancel: func() {},
		deadlineTimer: task.NewTimer(), attemptTimer: task.NewTimer(), moveTimer: task.NewTimer(),
	}
	stage := c.server.options.Stage()
	r.closing = in.request.Close || !in.request.ProtoAtLeast(1, 1) || stage != StageServing
	if id, err := strconv.ParseInt(r.callerRequest.LastEventID, 10, 64); err == nil {
		r.splitter.SetLastID(id)
	}
	return r
}

func (r *request) run(ctx context.Context) bool {
	o := r.connection.server.options
	if o.Stage() == StageClosing && (r.callerRequest.Deadline == 0 || r.callerRequest.Deadline > o.TimeLeft()) {
		r.outcome.Reason = string(fleet.RefusedDraining)
		return r.refuse(http.StatusServiceUnavailable, time.Millisecond, "this instance shuts down; use another")
	}
	if !o.Gateway.Submit(gateway.RequestArrived{ID: r.id, Request: r.toGatewayRequest(o.Random())}, r.replies) {
		r.outcome.Reason = string(fleet.RefusedOverload)
		return r.refuse(http.StatusServiceUnavailable, time.Second, "this instance is overloaded; retry")
	}
	r.deadlineTimer.Arm(r.decisionTimeout())
	defer r.finish(ctx)
	for {
		select {
		case <-ctx.Done():
			return r.stop()
		case <-r.connection.closed:
			r.outcome.Result = resultCallerLeft
			return false
		case <-r.deadlineTimer.C():
			return r.timeout()
		case <-r.attemptTimer.C():
			r.failAttempt(ctx, gateway.AttemptFailed{Failure: gateway.FailureTimeout})
		case <-r.moveTimer.C():
			r.handleMoveTimer(ctx)
		case e := <-r.leaving.events:
			r.handleMoveEvent(ctx, e)
		case a := <-r.replies:
			if done, reusable := r.handleAction(ctx, a); done {
				return reusable
			}
		case e := <-r.events:
			if done, reusable := r.handleEvent(ctx, e); done {
				return reusable
			}
		}
	}
}

// decisionTimeout returns the time limit of the gateway's first decision: the caller's
// time, up to maxDecisionTime.
func (r *request) decisionTimeout() time.Duration {
	deadline := r.callerRequest.Deadline
	if deadline == 0 {
		return maxDecisionTime
	}
	waited := r.connection.server.options.Clock.Now() - r.incoming.arrived
	return min(deadline-deadlineMargin-waited, maxDecisionTime)
}

// finish cancels the current attempt and reports the end of the request to the
// gateway.
func (r *request) finish(ctx context.Context) {
	r.cancel()
	r.deadlineTimer.Stop()
	r.attemptTimer.Stop()
	r.dropMove()
	r.connection.server.options.Gateway.Post(ctx, gateway.RequestFinished{
		ID: r.id, Succeeded: r.outcome.Result == "served", Events: r.attemptEvents(), AllEvents: r.splitter.EventCount(),
	})
}

func (r *request) toGatewayRequest(random float64) gateway.Request {
	req := r.incoming.request
	path, _, _ := strings.Cut(req.RequestURI, "?")
	deadline := r.callerRequest.Deadline
	if deadline > 0 {
		deadline -= min(deadlineMargin, deadline/4)
	}
	return gateway.Request{
		Host: req.Host, Path: path, Key: r.callerRequest.Key, HasKey: r.callerRequest.HasKey, Deadline: deadline,
		Waited:       r.connection.server.options.Clock.Now() - r.incoming.arrived,
		PromptTokens: r.callerRequest.PromptTokens, MaxOutputTokens: r.callerRequest.MaxOutput, HasTokens: r.callerRequest.HasTokens,
		Parts: r.callerRequest.Parts, Fingerprint: fingerprint(req, r.incoming.body), Random: random,
	}
}

// fingerprint identifies a request among those of its team: a team may have several keys.
func fingerprint(req *http.Request, body []byte) fleet.Fingerprint {
	hash := xxhash.New()
	_, _ = hash.WriteString(req.Method + " " + req.RequestURI + " ")
	_, _ = hash.Write(body)
	return fleet.Fingerprint(hash.Sum64())
}

func (r *request) handleAction(ctx context.Context, a gateway.Action) (done, reusable bool) {
	switch a := a.(type) {
	case gateway.Send:
		if r.connection.callerLeft() {
			r.outcome.Result = resultCallerLeft
			return true, false
		}
		r.startAttempt(ctx, a)
	case gateway.ReportProgress:
		r.reportProgress(ctx)
	case gateway.StreamPlanned:
		r.logPlan(a)
	case gateway.MoveStream:
		r.startMove(ctx, a)
	case gateway.Refuse:
		r.outcome.Detail = a.Detail
		return true, r.finishRefused(a.Refusal)
	}
	return false, false
}

func (r *request) startAttempt(ctx context.Context, a gateway.Send) {
	clock := r.connection.server.options.Clock
	r.send, r.head, r.eventsBefore, r.pace = a, nil, r.splitter.EventCount(), pace{}
	r.outcome.Route, r.outcome.Kind, r.outcome.Team = a.Route.Name, a.Route.Kind.String(), a.Team
	r.outcome.Service, r.outcome.Endpoint, r.outcome.Attempts = a.Endpoint.Service, a.Endpoint.ID, a.Attempt
	now := clock.Now()
	r.chosenAt = now
	if r.errorResponse != nil && len(r.errorResponse.Body) > maxErrorBodyBytes {
		r.errorResponse = nil
	}
	r.deadlineTimer.Arm(a.DeadlineAt - now)
	if a.AttemptTimeout > 0 {
		r.attemptTimer.Arm(a.AttemptTimeout)
	}
	forward := platform.Forward{
		Endpoint: a.Endpoint.ID, Team: a.Team, Deadline: a.DeadlineAt - now, Priority: a.Priority,
		Copy: platform.RunCopy(a.Copy), FetchFrom: a.FetchFrom,
	}
	if id, ok := r.splitter.LastID(); ok && r.delivered {
		forward.LastEventID = strconv.FormatInt(id, 10)
	}
	maxIdle := unsafeMaxIdle
	if a.Route.Kind == catalog.KindIdempotent {
		maxIdle = idempotentMaxIdle
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	r.cancel = cancel
	r.events = upstream.StartExchange(attemptCtx, r.connection.server.options.Pool, upstream.Request{
		Address: a.Endpoint.Address, Method: r.incoming.request.Method, Target: r.incoming.request.RequestURI,
		Host: r.incoming.request.Host, Header: platform.ForwardHeader(r.incoming.request.Header, forward),
		Body: r.incoming.body, AttemptID: r.callerRequest.Attempt, SendBy: a.SendBy, MaxIdle: maxIdle,
	})
}

// requestSent records that the request was written to its endpoint, with the inputs
// of the choice and the time that each step took.
func (r *request) requestSent(w upstream.RequestWritten) {
	a := r.send
	delay := w.Connect + w.Write
	r.connection.server.options.Observer.RequestSent(SendTimes{Kind: a.Route.Kind.String(), Delay: delay, ListAge: a.ListAge + delay})
	fields := log.Fields{
		"request": r.callerRequest.Attempt, "endpoint": string(a.Endpoint.ID), "address": a.Endpoint.Address, "attempt": a.Attempt,
		"endpoint_version": string(a.Endpoint.Version),
		"expected_ms":      a.ExpectedFirstByte.Milliseconds(), "active": a.Load.Active, "backlog": a.Load.Backlog,
		"left_ms": (a.DeadlineAt - r.chosenAt).Milliseconds(), "config_version": a.Version,
		"list_position": a.ListPosition, "list_age_ms": a.ListAge.Milliseconds(),
		"chosen_ms": (r.chosenAt - r.incoming.arrived).Milliseconds(), "connect_ms": w.Connect.Milliseconds(),
		"write_ms": w.Write.Milliseconds(), "reused_channel": w.Reused,
	}
	if t := a.Turn; t != nil {
		fields["turn_place"], fields["turn_expected_ms"], fields["turn_waited_ms"] = t.Place, t.Expected.Milliseconds(), t.Waited.Milliseconds()
	}
	r.connection.server.options.Log.WithFields(fields).Info("request sent")
}

// failAttempt cancels the attempt and reports its failure to the gateway, which
// decides on a retry.
func (r *request) failAttempt(ctx context.Context, failed gateway.AttemptFailed) {
	r.connection.server.options.Log.WithFields(log.Fields{
		"request": r.callerRequest.Attempt, "endpoint": string(r.send.Endpoint.ID), "attempt": r.send.Attempt,
		"failure": failed.Failure.String(), "cause": r.lastError, "events": r.splitter.EventCount(), "reused_channel": failed.Reused,
		"endpoint_started": r.send.Endpoint.Started, "traits": quarantine.JoinTraits(r.send.Traits),
	}).Warn("attempt failed")
	r.lastError = ""
	r.dropMove()
	r.leaveStream()
	r.outcome.Reason = failed.Failure.String()
	failed.ID = r.id
	r.connection.server.options.Gateway.Post(ctx, failed)
}

func (r *request) handleEvent(ctx context.Context, e upstream.Event) (done, reusable bool) {
	switch e := e.(type) {
	case upstream.RequestWritten:
		r.requestSent(e)
	case upstream.StreamHead:
		r.noticeState(ctx, e.Decoded)
		r.head = &e
		if !e.Decoded.Signed {
			r.failAttempt(ctx, gateway.AttemptFailed{Failure: gateway.FailureConnectionLost})
		}
	case upstream.StreamData:
		return r.handleData(ctx, e.Bytes)
	case upstream.StreamEnd:
		if !e.Delimited && r.expectsClose() {
			// Only the end of the connection told the end of the body.
			r.streamClosed(ctx)
			return false, false
		}
		return r.handleEnd(ctx, e.Delimited)
	case upstream.FullResponse:
		r.noticeState(ctx, e.Decoded)
		return r.handleFullResponse(ctx, e)
	case upstream.Failed:
		if e.Reset && r.expectsClose() {
			r.streamClosed(ctx)
			return false, false
		}
		r.lastError = e.Cause.Error()
		r.failAttempt(ctx, gateway.AttemptFailed{Failure: toFailure(e), Reused: e.Reused, Refused: e.Refused})
	}
	return false, false
}

// noticeState reports to the gateway what a response states of its endpoint: that it is about
// to leave, or wants a pause.
func (r *request) noticeState(ctx context.Context, response platform.EndpointResponse) {
	e := r.send.Endpoint
	if response.Leaving {
		r.connection.server.options.Gateway.Post(ctx, gateway.EndpointLeaving{Endpoint: e.ID, Started: e.Started})
	}
	if response.Pause > 0 {
		r.connection.server.options.Gateway.Post(ctx, gateway.EndpointPaused{Endpoint: e.ID, Started: e.Started, Length: response.Pause})
	}
	if response.PauseMalformed {
		r.connection.server.options.Log.WithFields(log.Fields{
			"request": r.callerRequest.Attempt, "endpoint": string(e.ID),
		}).Warn("endpoint asked for a pause of a malformed length; ignored")
	}
}

func toFailure(e upstream.Failed) gateway.Failure {
	switch {
	case e.NotSentInTime:
		return gateway.FailureNotSentInTime
	case e.DialFailed:
		return gateway.FailureDial
	case !e.Reset:
		return gateway.FailureTimeout
	default:
		return gateway.FailureConnectionLost
	}
}
