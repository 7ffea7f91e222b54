package dispatch

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/admit"
	"github.com/cornelhold/cornelhold/internal/core/budget"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/route"
)

// service is the state of one service.
type service struct {
	name    fleet.ServiceName
	spec    *config.Service
	table   *route.Table
	budget  *budget.Budget
	latency map[string]*budget.Latency
	lanes   []*lane
	order   admit.Order
	weights map[fleet.TeamName]int
}

// lane is the queue of requests that the same endpoints can serve, so that a
// request without a free endpoint does not hold back others.
type lane struct {
	model, adapter string
	queue          *admit.Queue
	drain          drain
}

// ensureService adds the state of a service that is configured or has endpoints.
func (m *Machine) ensureService(name fleet.ServiceName) {
	if _, ok := m.services[name]; ok {
		return
	}
	svc := &service{
		name: name, table: route.NewTable(m.options.Seed), order: m.options.Order,
		budget:  budget.New(budget.DefaultRatio, budget.DefaultReserve),
		latency: make(map[string]*budget.Latency),
	}
	m.services[name] = svc
	i, _ := slices.BinarySearch(m.names, name)
	m.names = slices.Insert(m.names, i, name)
}

func (s *service) configure(spec *config.Service, weights map[fleet.TeamName]int) {
	s.spec, s.weights = spec, weights
	for _, l := range s.lanes {
		l.queue.SetWeights(weights)
	}
}

// lane returns the lane of a model and adapter, or nil for an adapter that is
// not configured. The lanes are bounded by the configured adapters.
func (s *service) lane(model, adapter string) *lane {
	if len(s.spec.Adapters) == 0 {
		adapter = ""
	} else if adapter != "" && !slices.Contains(s.spec.Adapters, adapter) {
		return nil
	}
	if model != s.spec.Model {
		model = ""
	}
	for _, l := range s.lanes {
		if l.model == model && l.adapter == adapter {
			return l
		}
	}
	l := &lane{model: model, adapter: adapter, queue: admit.NewQueue(s.order)}
	l.queue.SetWeights(s.weights)
	s.lanes = append(s.lanes, l)
	return l
}

// entry describes how long a request may wait. A model request that waits too
// long for its first token becomes late; batch work never does.
func (s *service) entry(now time.Duration, submit Submit) admit.Entry {
	wait := submit.Wait
	if wait <= 0 {
		wait = s.spec.Deadline
	}
	if wait <= 0 {
		wait = defaultWait
	}
	fresh := wait
	if target := s.target(submit); target > 0 && submit.Class != fleet.ClassBatch {
		fresh = min(wait, time.Duration(float64(target)*freshShare))
	}
	return admit.Entry{
		Request: submit.Request, Team: submit.Team, Class: submit.Class,
		Arrived: now, FreshUntil: now + fresh, Deadline: now + wait,
	}
}

// target is the latency target of a request, 0 when there is none.
func (s *service) target(submit Submit) time.Duration {
	if op, ok := s.spec.Operations[submit.Operation]; ok {
		return op.Latency
	}
	return s.spec.FirstToken
}

func (s *service) nextExpiry() (at time.Duration, ok bool) {
	for _, l := range s.lanes {
		if expiry, waits := l.queue.NextExpiry(); waits && (!ok || expiry < at) {
			at, ok = expiry, true
		}
	}
	return at, ok
}

// drain measures how fast a queue that never runs empty is served.
type drain struct {
	interval float64
	last     time.Duration
	samples  int
}

const (
	drainWeight = 0.1
	// minDrainSamples is the number of grants before the rate is trusted.
	minDrainSamples = 10
)

// served records a grant; backlog tells whether others still wait.
func (d *drain) served(now time.Duration, backlog bool) {
	if d.last > 0 {
		sample := (now - d.last).Seconds()
		d.interval += drainWeight * (sample - d.interval)
		d.samples++
	}
	d.last = now
	if !backlog {
		d.last = 0
	}
}

// hopeless tells whether a request would wait past its deadline, and after
// what time a new one would not.
func (l *lane) hopeless(now time.Duration, e admit.Entry) (retryAfter time.Duration, hopeless bool) {
	if l.drain.samples < minDrainSamples || l.queue.Len() == 0 {
		return 0, false
	}
	wait := time.Duration(l.queue.Ahead(e.Team, e.Class) * l.drain.interval * float64(time.Second))
	allowed := e.FreshUntil - now
	return wait - allowed, wait > allowed
}
