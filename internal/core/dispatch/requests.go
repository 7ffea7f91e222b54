package dispatch

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/admit"
	"github.com/cornelhold/cornelhold/internal/core/budget"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/route"
)

// requestState is a request that waits or runs.
type requestState struct {
	submit   Submit
	service  *service
	lane     *lane
	attempts fleet.AttemptNumber
	running  []attempt
	// since is the time of the submission or of the last retry.
	since     time.Duration
	generated int
	// last is the outcome of the last attempt that ended, on the endpoint avoid.
	last  AttemptOutcome
	avoid fleet.EndpointID
	cause budget.Cause
	// suspect: an endpoint crashed while it ran the request.
	suspect bool
}

// attempt is a granted attempt that has not ended.
type attempt struct {
	number   fleet.AttemptNumber
	endpoint fleet.EndpointID
	started  time.Duration
	first    time.Duration
}

func (r *requestState) runsOn(id fleet.EndpointID) bool { return r.on(id) != 0 }

// on returns the attempt that runs on the endpoint, 0 if none does.
func (r *requestState) on(id fleet.EndpointID) fleet.AttemptNumber {
	for _, a := range r.running {
		if a.endpoint == id {
			return a.number
		}
	}
	return 0
}

func (r *requestState) routed() route.Request {
	return route.Request{
		Class: r.submit.Class, Model: r.submit.Model, Adapter: r.submit.Adapter,
		Blocks: r.submit.Prompt.Blocks, Tokens: r.submit.Prompt.Tokens, BlockTokens: blockTokens,
		Generated: r.generated, Avoid: r.avoid,
	}
}

// pump grants waiting requests while endpoints have room, and refuses those
// that can't be served in time.
func (m *Machine) pump(now time.Duration, svc *service) []Action {
	var actions []Action
	svc.batchHeld = false
	for _, l := range svc.lanes {
		for _, e := range l.queue.Expire(now) {
			actions = append(actions, m.expire(now, m.outstanding[e.Request])...)
		}
		l.queue.Serve(func(e admit.Entry) bool {
			grant, ok := m.tryGrant(now, m.outstanding[e.Request])
			if ok {
				l.drain.served(now, l.queue.Len() > 1)
				actions = append(actions, grant)
			}
			return ok
		})
	}
	return actions
}

// tryGrant grants a waiting request if an endpoint has room for it. Batch work
// does not start while requests wait or did a moment ago: it would be displaced
// and its tokens computed again.
func (m *Machine) tryGrant(now time.Duration, r *requestState) (Action, bool) {
	svc, team := r.service, r.submit.Team
	request := r.routed()
	request.Contended = now < svc.queuedUntil
	request.ReserveShare = svc.reserve(now, m.routers)
	request.SpareOnly = svc.exceedsShare(now, team, m.routers)
	if r.submit.Class == fleet.ClassBatch {
		request.SpareOnly, request.ReserveShare = true, batchReserve
		if request.Contended {
			svc.batchHeld = true
			return nil, false
		}
	}
	choice, ok := svc.table.Choose(now, &request)
	if !ok {
		if r.submit.Class != fleet.ClassBatch {
			// Waiting batch work says nothing about the slots that others may use.
			svc.queuedUntil = now + queuedMemory
		}
		return nil, false
	}
	return m.grant(now, r, choice, &request), true
}

func (m *Machine) grant(now time.Duration, r *requestState, c route.Choice, request *route.Request) Action {
	if r.attempts == 0 {
		r.service.budget.Earn()
	}
	r.attempts++
	r.service.table.Start(now, c, request)
	r.service.begin(now, r.submit)
	r.running = append(r.running, attempt{number: r.attempts, endpoint: c.ID, started: now})
	m.armHedge(now, r)
	return Grant{
		Request: r.submit.Request, Attempt: r.attempts, Endpoint: m.endpoints[c.ID], Cause: r.cause,
		Team: r.submit.Team, Class: r.submit.Class, Waited: now - r.since,
	}
}

// expire refuses a request that waited in vain.
func (m *Machine) expire(now time.Duration, r *requestState) []Action {
	m.forget(r)
	refusal := fleet.Refuse(fleet.RefusedDeadline, max(now-r.since, minRetryAfter),
		"no endpoint became free in time; retry after the stated delay")
	if r.service.table.Live() == 0 {
		refusal = fleet.Refuse(fleet.RefusedNoEndpoint, RetryAfterNoEndpoint,
			"service "+string(r.submit.Service)+" has no live endpoint; retry after the stated delay")
	}
	return refuse(r.submit, r.truthful(refusal))
}

// truthful sets the run state of a refusal: a request that had an attempt is
// known not to have run only if the endpoint rejected that attempt.
func (r *requestState) truthful(refusal *fleet.Refusal) *fleet.Refusal {
	if r.attempts > 0 && (r.attempts > 1 || r.last != AttemptRejected) {
		refusal.Run = fleet.RunUnknown
	}
	return refusal
}

func (m *Machine) forget(r *requestState) {
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
	m.releaseAll(now, r)
	if refusal := m.denyRetry(r, msg); refusal != nil {
		m.forget(r)
		return append(refuse(r.submit, refusal), m.pump(now, r.service)...)
	}
	r.since, r.generated, r.avoid = now, msg.Generated, msg.Avoid
	request := r.routed()
	request.Force = true
	r.suspect = r.suspect || msg.Isolate
	if choice, ok := m.chooseIsolated(now, r, &request); ok {
		return append([]Action{m.grant(now, r, choice, &request)}, m.pump(now, r.service)...)
	}
	// Every endpoint is gone: the request waits for a replacement.
	entry := r.service.entry(now, r.submit)
	entry.BypassLimit = true
	r.lane.queue.Push(entry)
	return nil
}

// denyRetry charges the budget. An announced reclaim must be survived, so its
// retries are made in debt when the budget is empty.
func (m *Machine) denyRetry(r *requestState, msg Retry) *fleet.Refusal {
	if !r.submit.Idempotent && r.last != AttemptRejected {
		refusal := fleet.Refuse(fleet.RefusedOutcomeUnknown, 0, "the call may have run and may not be repeated; check its effect")
		refusal.Run = fleet.RunUnknown
		return refusal
	}
	r.cause = budget.CauseFailure
	if m.departed.has(msg.Avoid) {
		r.cause = budget.CauseReclaim
		if !r.service.budget.Spend() {
			r.service.budget.Owe()
		}
		return nil
	}
	if r.service.budget.Spend() {
		return nil
	}
	return r.truthful(fleet.Refuse(fleet.RefusedRetryBudget, RetryAfterNoEndpoint,
		"too many attempts of this service fail; retry after the stated delay"))
}

func (m *Machine) firstToken(now time.Duration, msg FirstToken) {
	r, ok := m.outstanding[msg.Request]
	if !ok {
		return
	}
	for i := range r.running {
		if r.running[i].number == msg.Attempt {
			r.running[i].first = now
		}
	}
}

func (m *Machine) end(now time.Duration, msg Ended) []Action {
	r, ok := m.outstanding[msg.Request]
	if !ok {
		return nil
	}
	r.last = msg.Outcome
	i := slices.IndexFunc(r.running, func(a attempt) bool { return a.number == msg.Attempt })
	if i >= 0 {
		a := r.running[i]
		r.running = slices.Delete(r.running, i, i+1)
		r.service.finish(now, r, a)
		m.observe(now, r, a, msg)
	}
	if msg.Final {
		m.releaseAll(now, r)
		m.forget(r)
	}
	return m.pump(now, r.service)
}

// observe feeds the ejection rule and the latency histogram.
func (m *Machine) observe(now time.Duration, r *requestState, a attempt, msg Ended) {
	if r.submit.Operation != "" {
		if msg.Outcome == AttemptCompleted {
			r.service.record(r.submit.Operation, now-a.started)
			r.service.table.Observe(now, a.endpoint, now-a.started)
		}
		return
	}
	if tokens := msg.Generated - r.generated; a.first > 0 && tokens > 1 {
		r.service.table.Observe(now, a.endpoint, (now-a.first)/time.Duration(tokens-1))
	}
}

func (m *Machine) cancel(now time.Duration, msg Cancel) []Action {
	r, ok := m.outstanding[msg.Request]
	if !ok {
		return nil
	}
	r.lane.queue.Remove(r.submit.Team, r.submit.Class, msg.Request)
	m.releaseAll(now, r)
	m.forget(r)
	return m.pump(now, r.service)
}

// releaseAll ends the accounting of all running attempts.
func (m *Machine) releaseAll(now time.Duration, r *requestState) {
	for _, a := range r.running {
		r.service.finish(now, r, a)
	}
	r.running = r.running[:0]
}
