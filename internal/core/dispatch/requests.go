package dispatch

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/admit"
	"github.com/cornelhold/cornelhold/internal/core/budget"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/route"
)

// requestState is the state of a waiting or running request.
type requestState struct {
	submit   Submit
	service  *service
	lane     *lane
	attempts fleet.AttemptNumber
	running  []attempt
	// waitingSince is the time of the submission or of the last retry.
	waitingSince time.Duration
	generated    int
	// lastOutcome is the outcome of the last attempt that ended; avoid is the
	// endpoint of the last attempt that was retried.
	lastOutcome AttemptOutcome
	avoid       fleet.EndpointID
	cause       budget.Cause
	// crashSuspect is set when an endpoint crashed while it ran the request.
	crashSuspect bool
}

// attempt is a granted attempt that has not ended. firstTokenAt is 0 until its
// first token arrives.
type attempt struct {
	number       fleet.AttemptNumber
	endpoint     fleet.EndpointID
	startedAt    time.Duration
	firstTokenAt time.Duration
}

func (r *requestState) runsOn(id fleet.EndpointID) bool { return r.attemptOn(id) != 0 }

// attemptOn returns the number of the attempt that runs on the endpoint, or 0.
func (r *requestState) attemptOn(id fleet.EndpointID) fleet.AttemptNumber {
	for _, a := range r.running {
		if a.endpoint == id {
			return a.number
		}
	}
	return 0
}

func (r *requestState) routeRequest() route.Request {
	return route.Request{
		Class: r.submit.Class, Model: r.submit.Model, Adapter: r.submit.Adapter,
		Blocks: r.submit.Prompt.Blocks, Tokens: r.submit.Prompt.Tokens, BlockTokens: blockTokens,
		Generated: r.generated, Avoid: r.avoid,
	}
}

// grantWaiting grants waiting requests while endpoints have capacity, and refuses
// those that have expired.
func (m *Machine) grantWaiting(now time.Duration, svc *service) []Action {
	var actions []Action
	svc.batchBlocked = false
	for _, l := range svc.lanes {
		for _, e := range l.queue.Expire(now) {
			actions = append(actions, m.expire(now, m.outstanding[e.Request])...)
		}
		l.queue.Serve(func(e admit.Entry) bool {
			grant, ok := m.tryGrant(now, m.outstanding[e.Request])
			if ok {
				l.grants.record(now, l.queue.Len() > 1)
				actions = append(actions, grant)
			}
			return ok
		})
	}
	return actions
}

// tryGrant grants a waiting request if an endpoint has capacity for it. Batch
// work does not start while other requests wait or did within contentionWindow:
// it would be preempted and its tokens computed again.
func (m *Machine) tryGrant(now time.Duration, r *requestState) (Action, bool) {
	svc, team := r.service, r.submit.Team
	request := r.routeRequest()
	request.Contended = now < svc.contendedUntil
	request.ReserveShare = svc.reserve(now, m.routerCount)
	request.SpareOnly = svc.exceedsShare(now, team, m.routerCount)
	if r.submit.Class == fleet.ClassBatch {
		request.SpareOnly, request.ReserveShare = true, batchReserveShare
		if request.Contended {
			svc.batchBlocked = true
			return nil, false
		}
	}
	choice, ok := svc.table.Choose(now, &request)
	if !ok {
		if r.submit.Class != fleet.ClassBatch {
			// Batch work may use fewer slots, so its waiting does not show that
			// endpoints are contended.
			svc.contendedUntil = now + contentionWindow
		}
		return nil, false
	}
	return m.grant(now, r, choice, &request), true
}

func (m *Machine) grant(now time.Duration, r *requestState, c route.Choice, request *route.Request) Action {
	if r.attempts == 0 {
		r.service.budget.Deposit()
	}
	r.attempts++
	r.service.table.Start(now, c, request)
	r.service.startAttempt(now, r.submit)
	r.running = append(r.running, attempt{number: r.attempts, endpoint: c.ID, startedAt: now})
	m.scheduleHedge(now, r)
	return Grant{
		Request: r.submit.Request, Attempt: r.attempts, Endpoint: m.endpoints[c.ID], Cause: r.cause,
		Team: r.submit.Team, Class: r.submit.Class, Waited: now - r.waitingSince,
	}
}

// expire refuses a request that was not granted in time.
func (m *Machine) expire(now time.Duration, r *requestState) []Action {
	m.deleteRequest(r)
	refusal := fleet.Refuse(fleet.RefusedDeadline, max(now-r.waitingSince, minRetryAfter),
		"no endpoint became free in time; retry after the stated delay")
	if r.service.table.Live() == 0 {
		refusal = fleet.Refuse(fleet.RefusedNoEndpoint, RetryAfterNoEndpoint,
			"service "+string(r.submit.Service)+" has no live endpoint; retry after the stated delay")
	}
	return refuse(r.submit, r.withRunState(refusal))
}

// withRunState sets the run state of a refusal to unknown if the request may have
// run: it had an attempt that was not rejected, or more than one.
func (r *requestState) withRunState(refusal *fleet.Refusal) *fleet.Refusal {
	if r.attempts > 0 && (r.attempts > 1 || r.lastOutcome != AttemptRejected) {
		refusal.Run = fleet.RunUnknown
	}
	return refusal
}

func (m *Machine) deleteRequest(r *requestState) {
	if _, ok := m.outstanding[r.submit.Request]; !ok {
		return
	}
	delete(m.outstanding, r.submit.Request)
	m.limiter.Release(r.submit.Team)
}

func (m *Machine) retry(now time.Duration, msg Retry) []Action {
	r, ok := m.outstanding[msg.Request]
	if !ok {
		return nil
	}
	r.lane.queue.Remove(r.submit.Team, r.submit.Class, msg.Request)
	m.finishAttempts(now, r)
	if refusal := m.chargeRetry(r, msg); refusal != nil {
		m.deleteRequest(r)
		return append(refuse(r.submit, refusal), m.grantWaiting(now, r.service)...)
	}
	r.waitingSince, r.generated, r.avoid = now, msg.Generated, msg.Avoid
	request := r.routeRequest()
	request.Force = true
	r.crashSuspect = r.crashSuspect || msg.Isolate
	if choice, ok := m.chooseIsolated(now, r, &request); ok {
		return append([]Action{m.grant(now, r, choice, &request)}, m.grantWaiting(now, r.service)...)
	}
	// No endpoint is live: the request waits for a replacement.
	entry := r.service.queueEntry(now, r.submit)
	entry.BypassLimit = true
	r.lane.queue.Push(entry)
	return nil
}

// chargeRetry charges a retry to the retry budget, or returns a refusal if the
// retry is not allowed. A request must survive an announced reclaim, so its retry
// overdraws an empty budget.
func (m *Machine) chargeRetry(r *requestState, msg Retry) *fleet.Refusal {
	if !r.submit.Idempotent && r.lastOutcome != AttemptRejected {
		refusal := fleet.Refuse(fleet.RefusedOutcomeUnknown, 0, "the call may have run and may not be repeated; check its effect")
		refusal.Run = fleet.RunUnknown
		return refusal
	}
	r.cause = budget.CauseFailure
	if m.leaving.contains(msg.Avoid) {
		r.cause = budget.CauseReclaim
		if !r.service.budget.TryWithdraw() {
			r.service.budget.Overdraw()
		}
		return nil
	}
	if r.service.budget.TryWithdraw() {
		return nil
	}
	return r.withRunState(fleet.Refuse(fleet.RefusedRetryBudget, RetryAfterNoEndpoint,
		"too many attempts of this service fail; retry after the stated delay"))
}

func (m *Machine) firstToken(now time.Duration, msg FirstToken) {
	r, ok := m.outstanding[msg.Request]
	if !ok {
		return
	}
	for i := range r.running {
		if r.running[i].number == msg.Attempt {
			r.running[i].firstTokenAt = now
		}
	}
}

func (m *Machine) attemptEnded(now time.Duration, msg AttemptEnded) []Action {
	r, ok := m.outstanding[msg.Request]
	if !ok {
		return nil
	}
	r.lastOutcome = msg.Outcome
	i := slices.IndexFunc(r.running, func(a attempt) bool { return a.number == msg.Attempt })
	if i >= 0 {
		a := r.running[i]
		r.running = slices.Delete(r.running, i, i+1)
		r.service.finishAttempt(now, r, a)
		m.observe(now, r, a, msg)
	}
	if msg.Final {
		m.finishAttempts(now, r)
		m.deleteRequest(r)
	}
	return m.grantWaiting(now, r.service)
}

// observe records the time of an attempt for outlier ejection and in the latency
// histogram of its operation.
func (m *Machine) observe(now time.Duration, r *requestState, a attempt, msg AttemptEnded) {
	if r.submit.Operation != "" {
		if msg.Outcome == AttemptCompleted {
			r.service.recordLatency(r.submit.Operation, now-a.startedAt)
			r.service.table.Observe(now, a.endpoint, now-a.startedAt)
		}
		return
	}
	if tokens := msg.Generated - r.generated; a.firstTokenAt > 0 && tokens > 1 {
		r.service.table.Observe(now, a.endpoint, (now-a.firstTokenAt)/time.Duration(tokens-1))
	}
}

func (m *Machine) cancel(now time.Duration, msg Cancel) []Action {
	r, ok := m.outstanding[msg.Request]
	if !ok {
		return nil
	}
	r.lane.queue.Remove(r.submit.Team, r.submit.Class, msg.Request)
	m.finishAttempts(now, r)
	m.deleteRequest(r)
	return m.grantWaiting(now, r.service)
}

// finishAttempts ends the accounting of all running attempts.
func (m *Machine) finishAttempts(now time.Duration, r *requestState) {
	for _, a := range r.running {
		r.service.finishAttempt(now, r, a)
	}
	r.running = r.running[:0]
}
