package dispatch

import (
	"container/heap"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/budget"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// hedgePercentile is the percentile of an operation's latency after which a
	// call is hedged, so that about one call in twenty is.
	hedgePercentile = 95
	// minHedgeDelay prevents hedges of very fast calls due to jitter.
	minHedgeDelay = 5 * time.Millisecond
)

// hedgeTimer is the time to hedge an attempt that is still the only one running.
type hedgeTimer struct {
	at      time.Duration
	request fleet.RequestID
	attempt fleet.AttemptNumber
}

// hedgeTimers is a min-heap by time. Entries of ended requests are dropped when
// they are due.
type hedgeTimers []hedgeTimer

func (h hedgeTimers) Len() int           { return len(h) }
func (h hedgeTimers) Less(i, j int) bool { return h[i].at < h[j].at }
func (h hedgeTimers) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *hedgeTimers) Push(x any) { *h = append(*h, x.(hedgeTimer)) }

// Pop implements heap.Interface.
func (h *hedgeTimers) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (h hedgeTimers) next() (at time.Duration, ok bool) {
	if len(h) == 0 {
		return 0, false
	}
	return h[0].at, true
}

func (s *service) recordLatency(operation string, elapsed time.Duration) {
	l, ok := s.latency[operation]
	if !ok {
		if _, configured := s.spec.Operations[operation]; !configured {
			return
		}
		l = budget.NewLatency()
		s.latency[operation] = l
	}
	l.Record(elapsed)
}

// hedgeDelay is a percentile of the operation's latency histogram, or half its
// latency target until the histogram has enough samples. It returns false for
// requests that are not hedged: streams, calls that are not idempotent, and
// calls without a latency target.
func (s *service) hedgeDelay(submit Submit) (time.Duration, bool) {
	op, ok := s.spec.Operations[submit.Operation]
	if !ok || !submit.Idempotent || !op.Idempotent || op.Latency == 0 {
		return 0, false
	}
	if l, ok := s.latency[submit.Operation]; ok {
		if delay, enough := l.Quantile(hedgePercentile); enough {
			return max(delay, minHedgeDelay), true
		}
	}
	return op.Latency / 2, true
}

func (m *Machine) scheduleHedge(now time.Duration, r *requestState) {
	if r.attempts != 1 || r.service.spec == nil {
		return
	}
	if delay, ok := r.service.hedgeDelay(r.submit); ok {
		heap.Push(&m.hedges, hedgeTimer{at: now + delay, request: r.submit.Request, attempt: r.attempts})
	}
}

// hedge grants a second attempt to each call whose hedge delay has passed.
func (m *Machine) hedge(now time.Duration) []Action {
	var actions []Action
	for len(m.hedges) > 0 && m.hedges[0].at <= now {
		timer := heap.Pop(&m.hedges).(hedgeTimer)
		r, ok := m.outstanding[timer.request]
		if !ok || len(r.running) != 1 || r.running[0].number != timer.attempt {
			continue
		}
		if grant, ok := m.grantHedge(now, r); ok {
			actions = append(actions, grant)
		}
	}
	return actions
}

func (m *Machine) grantHedge(now time.Duration, r *requestState) (Action, bool) {
	request := r.routeRequest()
	request.Avoid = r.running[0].endpoint
	choice, ok := r.service.table.Choose(now, &request)
	if !ok || !r.service.budget.TryWithdraw() {
		return nil, false
	}
	r.cause = budget.CauseSlow
	grant := m.grant(now, r, choice, &request).(Grant)
	grant.Hedge = true
	return grant, true
}
