package dispatch

import (
	"slices"
	"time"

	"github.com/samber/lo"

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
	order   admit.Policy
	weights map[fleet.TeamName]int
	// totalWeight is the sum of the weights, at least 1.
	totalWeight int
	usages      map[fleet.TeamName]*usage
	// teams lists the keys of usages, for repeatable sums.
	teams             []fleet.TeamName
	reserveShare      float64
	reserveValidUntil time.Duration
	// queuedUntil is when the last wait for an endpoint is forgotten.
	contendedUntil time.Duration
	// batchHeld tells that batch work waits until queuedUntil.
	batchBlocked bool
}

// lane is the queue of requests that the same endpoints can serve, so that a
// request without a free endpoint does not hold back others.
type lane struct {
	model, adapter string
	queue          *admit.Queue
	grants         grantRate
}

const (
	// queuedMemory is how long routers keep to their shares of free slots after
	// requests had to wait.
	contentionWindow = 2 * time.Second
	// usageWindow is the time over which the usage of a team is averaged. Few of
	// a team's requests run in one router, so their number varies.
	usageWindow = 10 * time.Second
	// burstFactor is how many times its guaranteed share a team may use at once,
	// plus one attempt, before it is held back without averaging. A larger burst
	// of a flooding team takes slots that other teams miss until it ends.
	burstFactor = 1
	// reservePart is how many times the unused guaranteed shares are kept free, and
	// maxReserve the largest part of the slots. Each router sees few requests of a
	// team, and its bursts exceed the average.
	reserveFactor   = 2.0
	maxReserveShare = 0.4
	// batchReserve is the part of the slots that batch work leaves free, so that
	// it is rarely displaced and computed again.
	batchReserveShare = 0.25
	// activeUsage is the average number of attempts from which a team counts as
	// using the service.
	minActiveUsage  = 0.05
	reserveInterval = 100 * time.Millisecond
)

// usage is the number of attempts of one team that have not ended, without
// batch work, which engines preempt.
type usage struct {
	running   int
	average   float64
	updatedAt time.Duration
}

func (u *usage) add(now time.Duration, delta int) {
	u.average = u.averageAt(now)
	u.running += delta
	u.updatedAt = now
}

func (u *usage) averageAt(now time.Duration) float64 {
	elapsed := (now - u.updatedAt).Seconds()
	weight := elapsed / (elapsed + usageWindow.Seconds())
	return u.average + float64(weight*(float64(u.running)-u.average))
}

func (s *service) usage(team fleet.TeamName) *usage {
	u, ok := s.usages[team]
	if !ok {
		u = &usage{}
		s.teams = append(s.teams, team)
		s.usages[team] = u
	}
	return u
}

// share is the guaranteed share of a team: its part by weight of this router's
// part of the slots.
func (s *service) guaranteedShare(team fleet.TeamName, routers int) float64 {
	return float64(s.table.Slots()*max(s.weights[team], 1)) / float64(s.totalWeight*routers)
}

// exceedsShare tells whether a team uses more than its guaranteed share.
func (s *service) exceedsShare(now time.Duration, team fleet.TeamName, routers int) bool {
	share, u := s.guaranteedShare(team, routers), s.usage(team)
	return u.averageAt(now) > share || float64(u.running) > burstFactor*share+1
}

// reserve is the part of the slots kept for teams that use the service but less
// of it than their guaranteed share. It is computed once in reserveInterval.
func (s *service) reserve(now time.Duration, routers int) float64 {
	if now < s.reserveValidUntil {
		return s.reserveShare
	}
	unused := 0.0
	for _, team := range s.teams {
		used := s.usages[team].averageAt(now)
		if share := s.guaranteedShare(team, routers); used > minActiveUsage && used < share {
			unused += share - used
		}
	}
	s.reserveValidUntil = now + reserveInterval
	s.reserveShare = min(reserveFactor*unused*float64(routers)/float64(max(s.table.Slots(), 1)), maxReserveShare)
	return s.reserveShare
}

// begin counts an attempt.
func (s *service) startAttempt(now time.Duration, submit Submit) {
	if submit.Class != fleet.ClassBatch {
		s.usage(submit.Team).add(now, 1)
	}
}

// finish ends the accounting of an attempt.
func (s *service) finishAttempt(now time.Duration, r *requestState, a attempt) {
	s.table.Finish(now, a.endpoint, a.startedAt, r.submit.Class)
	if r.submit.Class != fleet.ClassBatch {
		s.usage(r.submit.Team).add(now, -1)
	}
}

// ensureService adds the state of a service that is configured or has endpoints.
func (m *Machine) ensureService(name fleet.ServiceName) {
	if _, ok := m.services[name]; ok {
		return
	}
	svc := &service{
		name: name, table: route.NewTable(m.options.Seed), order: m.options.QueuePolicy,
		budget:  budget.New(budget.DefaultRatio, budget.DefaultReserve),
		latency: make(map[string]*budget.Latency), usages: make(map[fleet.TeamName]*usage), totalWeight: 1,
	}
	svc.table.SetRouters(m.routerCount, m.routerIndex)
	m.services[name] = svc
	i, _ := slices.BinarySearch(m.serviceNames, name)
	m.serviceNames = slices.Insert(m.serviceNames, i, name)
}

func (s *service) configure(spec *config.Service, weights map[fleet.TeamName]int) {
	s.spec, s.weights = spec, weights
	s.totalWeight = max(lo.Sum(lo.Values(weights)), 1)
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
func (s *service) queueEntry(now time.Duration, submit Submit) admit.Entry {
	wait := submit.MaxWait
	if wait <= 0 {
		wait = s.spec.Deadline
	}
	if wait <= 0 {
		wait = defaultWait
	}
	fresh := wait
	if target := s.latencyTarget(submit); target > 0 && submit.Class != fleet.ClassBatch {
		fresh = min(wait, time.Duration(float64(target)*freshFraction))
	}
	return admit.Entry{
		Request: submit.Request, Team: submit.Team, Class: submit.Class,
		Arrived: now, FreshUntil: now + fresh, Deadline: now + wait,
	}
}

// target is the latency target of a request, 0 when there is none.
func (s *service) latencyTarget(submit Submit) time.Duration {
	if op, ok := s.spec.Operations[submit.Operation]; ok {
		return op.Latency
	}
	return s.spec.FirstToken
}

// nextExpiry is the next time at which pump has something to do without a
// message.
func (s *service) nextDeadline() (at time.Duration, ok bool) {
	if s.batchBlocked {
		at, ok = s.contendedUntil, true
	}
	for _, l := range s.lanes {
		if deadline, waits := l.queue.NextExpiry(); waits && (!ok || deadline < at) {
			at, ok = deadline, true
		}
	}
	return at, ok
}

// drain measures how fast a queue that never runs empty is served.
type grantRate struct {
	interval float64
	last     time.Duration
	samples  int
}

const (
	grantRateWeight = 0.1
	// minDrainSamples is the number of grants before the rate is trusted.
	minGrantSamples = 10
)

// served records a grant; backlog tells whether others still wait.
func (g *grantRate) record(now time.Duration, backlog bool) {
	if g.last > 0 {
		sample := (now - g.last).Seconds()
		g.interval += grantRateWeight * (sample - g.interval)
		g.samples++
	}
	g.last = now
	if !backlog {
		g.last = 0
	}
}

// hopeless tells whether a request would wait past its deadline, and after
// what time a new one would not.
func (l *lane) wouldBeLate(now time.Duration, e admit.Entry) (retryAfter time.Duration, late bool) {
	if l.grants.samples < minGrantSamples || l.queue.Len() == 0 {
		return 0, false
	}
	wait := time.Duration(l.queue.Ahead(e.Team, e.Class) * l.grants.interval * float64(time.Second))
	maxWait := e.FreshUntil - now
	return wait - maxWait, wait > maxWait
}
