package front

import (
	"bytes"
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
	"github.com/cornelhold/cornelhold/internal/core/stream"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/internal/upstream"
	"github.com/cornelhold/cornelhold/platform"
)

const (
	// callerMargin is the time before a caller's deadline at which it gets its
	// final answer, so that the answer arrives in time.
	callerMargin = 20 * time.Millisecond
	// unsafeIdle bounds how long a channel may have been idle that carries a
	// request that must not be repeated. A channel that the endpoint just
	// closed would leave its outcome unknown.
	unsafeIdle = 300 * time.Millisecond
	// idempotentIdle is the same for idempotent requests.
	idempotentIdle = time.Second
	// decisionTimeout bounds the wait for the gateway's first decision.
	decisionTimeout = 2 * time.Second
)

// resultCallerLeft is the outcome of a request whose caller left before its end.
const resultCallerLeft = "caller-left"

// request is the state of one request of a caller.
type request struct {
	channel *channel
	in      incoming
	call    platform.CallerRequest
	id      gateway.RequestID
	replies chan gateway.Action
	events  <-chan upstream.Event
	cancel  context.CancelFunc
	send    gateway.Send
	began   bool
	// head is the head of a stream whose first event has not come yet.
	head      *upstream.StreamHead
	delivered bool
	splitter  stream.Splitter
	// failed is an endpoint's own failure, which the caller gets if the
	// request is not tried again.
	failed *upstream.FullResponse
	// cause is the error of the attempt that failed last.
	cause   string
	closing bool
	outcome Outcome
	giveUp  *task.Timer
	attempt *task.Timer
}

// serve handles one request. It reports whether the channel can carry another.
func (c *channel) serve(ctx context.Context, in incoming) bool {
	if in.refused != 0 {
		r := &request{channel: c, in: in, closing: true}
		r.refuse(in.refused, 0, "malformed or oversized request")
		c.linger()
		return false
	}
	r := newRequest(c, in)
	reusable := r.run(ctx)
	r.outcome.Total = c.server.options.Clock.Now() - in.arrived
	r.outcome.Attempt = r.call.Attempt
	c.server.options.Observer.RequestEnded(r.outcome)
	return reusable && !r.closing
}

func newRequest(c *channel, in incoming) *request {
	r := &request{
		channel: c, in: in, call: platform.DecodeCallerRequest(in.request.Header), id: c.server.options.NextID(),
		replies: make(chan gateway.Action, 4), cancel: func() {},
		giveUp: task.NewTimer(), attempt: task.NewTimer(),
	}
	stage := c.server.options.Stage()
	r.closing = in.request.Close || !in.request.ProtoAtLeast(1, 1) || stage != StageServing
	if id, err := strconv.ParseInt(r.call.LastEventID, 10, 64); err == nil {
		r.splitter.SetLastID(id)
	}
	return r
}

func (r *request) run(ctx context.Context) bool {
	o := r.channel.server.options
	if o.Stage() == StageClosing && (r.call.Deadline == 0 || r.call.Deadline > o.TimeLeft()) {
		return r.refuse(http.StatusServiceUnavailable, time.Millisecond, "this instance shuts down; use another")
	}
	if !o.Gateway.Arrive(gateway.RequestArrived{ID: r.id, Request: r.describe(o.Random())}, r.replies) {
		return r.refuse(http.StatusServiceUnavailable, time.Second, "this instance is overloaded; retry")
	}
	r.giveUp.Arm(decisionTimeout)
	defer r.stop(ctx)
	for {
		select {
		case <-ctx.Done():
			return false
		case <-r.channel.gone:
			r.outcome.Result = resultCallerLeft
			return false
		case <-r.giveUp.C():
			return r.timeout()
		case <-r.attempt.C():
			r.fail(ctx, gateway.FailureTimeout, false)
		case a := <-r.replies:
			if done, reusable := r.act(ctx, a); done {
				return reusable
			}
		case e := <-r.events:
			if done, reusable := r.event(ctx, e); done {
				return reusable
			}
		}
	}
}

// stop ends the attempt under way and the gateway's record.
func (r *request) stop(ctx context.Context) {
	r.cancel()
	r.giveUp.Stop()
	r.attempt.Stop()
	r.channel.server.options.Gateway.Post(ctx, gateway.RequestFinished{ID: r.id, Succeeded: r.outcome.Result == "served"})
}

func (r *request) describe(pick float64) gateway.Request {
	req := r.in.request
	path, _, _ := strings.Cut(req.RequestURI, "?")
	deadline := r.call.Deadline
	if deadline > 0 {
		deadline -= min(callerMargin, deadline/4)
	}
	print := xxhash.New()
	_, _ = print.WriteString(req.Method + " " + req.RequestURI + " " + r.call.Key + " ")
	_, _ = print.Write(r.in.body)
	return gateway.Request{
		Host: req.Host, Path: path, Key: r.call.Key, HasKey: r.call.HasKey, Deadline: deadline,
		Waited:       r.channel.server.options.Clock.Now() - r.in.arrived,
		PromptTokens: r.call.PromptTokens, MaxOutputTokens: r.call.MaxOutput, HasTokens: r.call.HasTokens,
		Parts: r.call.Parts, Fingerprint: fleet.Fingerprint(print.Sum64()), Random: pick,
	}
}

func (r *request) act(ctx context.Context, a gateway.Action) (done, reusable bool) {
	switch a := a.(type) {
	case gateway.Send:
		if r.channel.callerLeft() {
			r.outcome.Result = resultCallerLeft
			return true, false
		}
		r.start(ctx, a)
	case gateway.Refuse:
		r.outcome.Detail = a.Detail
		return true, r.final(a.Refusal)
	}
	return false, false
}

func (r *request) start(ctx context.Context, a gateway.Send) {
	clock := r.channel.server.options.Clock
	r.send, r.head = a, nil
	r.outcome.Route, r.outcome.Kind, r.outcome.Team = a.Route.Name, a.Route.Kind.String(), a.Team
	r.outcome.Service, r.outcome.Endpoint, r.outcome.Attempts = a.Endpoint.Service, a.Endpoint.ID, a.Attempt
	now := clock.Now()
	r.channel.server.options.Log.WithFields(log.Fields{
		"request": r.call.Attempt, "endpoint": string(a.Endpoint.ID), "address": a.Endpoint.Address, "attempt": a.Attempt,
		"expected_ms": a.ExpectedFirstByte.Milliseconds(), "active": a.Load.Active, "backlog": a.Load.Backlog,
		"left_ms": (a.DeadlineAt - now).Milliseconds(), "config_version": a.Version,
	}).Info("request sent")
	r.giveUp.Arm(a.DeadlineAt - now)
	if a.AttemptTimeout > 0 {
		r.attempt.Arm(a.AttemptTimeout)
	}
	forward := platform.Forward{
		Endpoint: a.Endpoint.ID, Team: a.Team, Deadline: a.DeadlineAt - now, Priority: a.Priority,
	}
	if id, ok := r.splitter.LastID(); ok && r.delivered {
		forward.LastEventID = strconv.FormatInt(id, 10)
	}
	idle := unsafeIdle
	if a.Route.Kind == catalog.KindIdempotent {
		idle = idempotentIdle
	}
	attempt, cancel := context.WithCancel(ctx)
	r.cancel = cancel
	r.events = upstream.StartExchange(attempt, r.channel.server.options.Pool, upstream.Request{
		Address: a.Endpoint.Address, Method: r.in.request.Method, Target: r.in.request.RequestURI,
		Host: r.in.request.Host, Header: platform.ForwardHeader(r.in.request.Header, forward),
		Body: r.in.body, Attempt: r.call.Attempt, MaxIdle: idle,
	})
}

// fail ends the attempt and asks the gateway whether to try again.
func (r *request) fail(ctx context.Context, f gateway.Failure, stale bool) {
	r.channel.server.options.Log.WithFields(log.Fields{
		"request": r.call.Attempt, "endpoint": string(r.send.Endpoint.ID), "attempt": r.send.Attempt,
		"failure": f.String(), "cause": r.cause, "events": r.splitter.EventCount(), "reused_channel": stale,
	}).Warn("attempt failed")
	r.cause = ""
	r.cancel()
	r.events = nil
	r.attempt.Stop()
	r.splitter.Discard()
	r.outcome.Reason = f.String()
	r.channel.server.options.Gateway.Post(ctx, gateway.AttemptFailed{
		ID: r.id, Failure: f, Delivered: r.delivered, Reused: stale,
	})
}

func (r *request) event(ctx context.Context, e upstream.Event) (done, reusable bool) {
	switch e := e.(type) {
	case upstream.StreamHead:
		r.head = &e
		if !e.Answer.Signed {
			r.fail(ctx, gateway.FailureConnectionLost, false)
		}
	case upstream.StreamData:
		return r.data(ctx, e.Bytes)
	case upstream.StreamEnd:
		return r.end(ctx)
	case upstream.FullResponse:
		return r.complete(ctx, e)
	case upstream.Failed:
		r.cause = e.Cause.Error()
		r.fail(ctx, failureOf(e), e.Reused)
	}
	return false, false
}

func failureOf(e upstream.Failed) gateway.Failure {
	switch {
	case e.Dial:
		return gateway.FailureDial
	case !e.Reset:
		return gateway.FailureTimeout
	default:
		return gateway.FailureConnectionLost
	}
}

func (r *request) begin(ctx context.Context) {
	r.attempt.Stop()
	if !r.began {
		r.outcome.Wait = r.channel.server.options.Clock.Now() - r.in.arrived
		r.began = true
	}
	r.channel.server.options.Gateway.Post(ctx, gateway.ResponseStarted{ID: r.id})
}

func (r *request) data(ctx context.Context, data []byte) (done, reusable bool) {
	first := r.splitter.EventCount() == 0 || r.head != nil
	events := r.splitter.Push(data)
	if len(events) == 0 {
		return false, false
	}
	if first {
		r.begin(ctx)
	}
	return r.deliver(events, false)
}

// deliver writes stream bytes, after the head if it was not written yet.
func (r *request) deliver(data []byte, last bool) (done, reusable bool) {
	var out bytes.Buffer
	if !r.delivered {
		out = *answerHead(r.head.Status, platform.ResponseHeader(r.head.Header), -1, r.closing)
		r.outcome.Status = r.head.Status
	}
	r.delivered, r.head = true, nil
	appendChunk(&out, data)
	if last {
		out.WriteString(lastChunk)
	}
	if err := r.channel.write(out.Bytes()); err != nil {
		r.outcome.Result = resultCallerLeft
		return true, false
	}
	if last {
		r.outcome.Result = "served"
	}
	return last, last
}

func (r *request) end(ctx context.Context) (done, reusable bool) {
	if !r.delivered {
		r.begin(ctx)
	}
	return r.deliver(r.splitter.Remainder(), true)
}

func (r *request) complete(ctx context.Context, e upstream.FullResponse) (done, reusable bool) {
	success := e.Status >= 200 && e.Status < 300
	switch {
	case e.Answer.NotExecuted:
		r.fail(ctx, gateway.FailureRejected, false)
		return false, false
	case success && !e.Answer.Signed, r.delivered:
		r.fail(ctx, gateway.FailureConnectionLost, false)
		return false, false
	case e.Status >= 500 || promisesNotRun(e.Status):
		r.begin(ctx)
		r.failed = &e
		r.fail(ctx, gateway.FailureErrorResponse, false)
		return false, false
	}
	r.begin(ctx)
	if success {
		r.outcome.Result = "served"
	}
	return true, r.answer(e)
}

// promisesNotRun reports whether a status tells callers that the request was
// not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

func (r *request) answer(e upstream.FullResponse) bool {
	r.outcome.Status = e.Status
	out := answerHead(e.Status, platform.ResponseHeader(e.Header), len(e.Body), r.closing)
	out.Write(e.Body)
	return r.channel.write(out.Bytes()) == nil
}

// final gives the caller the outcome of a request that is not tried again.
func (r *request) final(refusal *fleet.Refusal) bool {
	if r.outcome.Reason == "" {
		r.outcome.Reason = string(refusal.Kind)
	}
	if r.delivered {
		r.outcome.Result = "broken-off"
		return false
	}
	if r.failed != nil && !promisesNotRun(r.failed.Status) {
		r.outcome.Result = "failed"
		return r.answer(*r.failed)
	}
	return r.refuse(statusOf(refusal), refusal.RetryAfter, refusal.Remedy)
}

func statusOf(refusal *fleet.Refusal) int {
	switch refusal.Kind {
	case fleet.RefusedNotFound:
		return http.StatusNotFound
	case fleet.RefusedUnauthorized:
		return http.StatusUnauthorized
	case fleet.RefusedTeamLimit:
		return http.StatusTooManyRequests
	case fleet.RefusedDeadline:
		return http.StatusGatewayTimeout
	}
	if refusal.Run == fleet.RunNotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// timeout ends a request whose time is over.
func (r *request) timeout() bool {
	r.cancel()
	r.outcome.Reason = "deadline"
	if r.delivered {
		r.outcome.Result = "broken-off"
		return false
	}
	if r.outcome.Attempts == 0 {
		return r.refuse(http.StatusServiceUnavailable, time.Second, "no decision in time; retry")
	}
	return r.refuse(http.StatusGatewayTimeout, 0, "the endpoint did not answer in time; check the outcome before a repeat")
}

// refuse answers with a status of the system's own.
func (r *request) refuse(status int, retryAfter time.Duration, remedy string) bool {
	if r.outcome.Result == "" {
		r.outcome.Result = "refused"
	}
	r.outcome.Status = status
	body := []byte(remedy + "\n")
	out := answerHead(status, platform.RefusalHeader(r.call.Attempt, retryAfter), len(body), r.closing)
	if r.in.request == nil || r.in.request.Method != http.MethodHead {
		out.Write(body)
	}
	return r.channel.write(out.Bytes()) == nil
}
