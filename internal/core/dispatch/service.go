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
	name        fleet.ServiceName
	spec        *config.Service
	table       *route.Table
	budget      *budget.Budget
	latency     map[string]*budget.Latency
	lanes       []*lane
	queuePolicy admit.Policy
	weights     map[fleet.TeamName]int
	// totalWeight is the sum of the weights, at least 1.
	totalWeight int
	usages      map[fleet.TeamName]*usage
	// teams lists the keys of usages in a fixed order, so that floating-point
	// sums are repeatable.
	teams             []fleet.TeamName
	reserveShare      float64
	reserveValidUntil time.Duration
	// contendedUntil is the time until which the endpoints count as contended;
	// each failed grant extends it.
	contendedUntil time.Duration
	// batchBlocked is set while batch work waits for contendedUntil to pass.
	batchBlocked bool
}

// lane is the queue of the requests for one model and adapter, which the same
// endpoints can serve. Separate lanes avoid head-of-line blocking between
// requests that need different endpoints.
type lane struct {
	model, adapter string
	queue          *admit.Queue
	grants         grantRate
}

const (
	// contentionWindow is the time after a request had to wait during which the
	// endpoints count as contended: batch work does not start, and a cached prefix
	// does not waive the margin for using another router's slots.
	contentionWindow = 2 * time.Second
	// usageWindow is the time over which the usage of a team is averaged. Each
	// router runs few requests of a team, so their number fluctuates.
	usageWindow = 10 * time.Second
	// burstFactor is the multiple of its guaranteed share, plus one attempt, that
	// a team may use at any moment even if its average is lower. With a larger
	// one, a flooding team occupies slots that other teams lack until its burst
	// ends.
	burstFactor = 1
	// reserveFactor is the multiple of the unused guaranteed shares that is kept
	// free, and maxReserveShare the upper limit as a fraction of the slots. The
	// factor exceeds 1 because each router sees few requests of a team, whose
	// bursts exceed the average.
	reserveFactor   = 2.0
	maxReserveShare = 0.4
	// batchReserveShare is the fraction of the slots that batch work leaves free,
	// so that it is rarely preempted and computed again.
	batchReserveShare = 0.25
	// minActiveUsage is the average number of running attempts above which a team
	// counts as using the service.
	minActiveUsage = 0.05
	// reserveInterval is the minimum time between computations of the reserve.
	reserveInterval = 100 * time.Millisecond
)

// usage counts the running attempts of one team, except batch work, which
// engines preempt. average is the moving average as of updatedAt.
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

// guaranteedShare is the number of slots guaranteed to a team in this router: the
// router's part of all slots, divided among teams by weight.
func (s *service) guaranteedShare(team fleet.TeamName, routers int) float64 {
	return float64(s.table.Slots()*max(s.weights[team], 1)) / float64(s.totalWeight*routers)
}

// exceedsShare reports whether a team uses more than its guaranteed share, on
// average or in a burst.
func (s *service) exceedsShare(now time.Duration, team fleet.TeamName, routers int) bool {
	share, u := s.guaranteedShare(team, routers), s.usage(team)
	return u.averageAt(now) > share || float64(u.running) > burstFactor*share+1
}

// reserve is the fraction of the slots kept free for active teams that use less
// than their guaranteed share. It is cached for reserveInterval.
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

// startAttempt starts the accounting of an attempt in the usage of its team.
func (s *service) startAttempt(now time.Duration, submit Submit) {
	if submit.Class != fleet.ClassBatch {
		s.usage(submit.Team).add(now, 1)
	}
}

// finishAttempt ends the accounting of an attempt in the routing table and in the
// usage of its team.
func (s *service) finishAttempt(now time.Duration, r *requestState, a attempt) {
	s.table.Finish(now, a.endpoint, a.startedAt, r.submit.Class)
	if r.submit.Class != fleet.ClassBatch {
		s.usage(r.submit.Team).add(now, -1)
	}
}

// ensureService creates the state of a service if it does not exist yet.
func (m *Machine) ensureService(name fleet.ServiceName) {
	if _, ok := m.services[name]; ok {
		return
	}
	svc := &service{
		name: name, table: route.NewTable(m.options.Seed), queuePolicy: m.options.QueuePolicy,
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
// not configured. The configured adapters bound the number of lanes.
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
	l := &lane{model: model, adapter: adapter, queue: admit.NewQueue(s.queuePolicy)}
	l.queue.SetWeights(s.weights)
	s.lanes = append(s.lanes, l)
	return l
}

// queueEntry returns the queue entry of a request, with the times at which it
// becomes late and expires. Batch requests and requests without a latency target
// do not become late before they expire.
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

// latencyTarget is the latency target of a request, or 0.
func (s *service) latencyTarget(submit Submit) time.Duration {
	if op, ok := s.spec.Operations[submit.Operation]; ok {
		return op.Latency
	}
	return s.spec.FirstToken
}

// nextDeadline is the next time at which grantWaiting must run even without a
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

// grantRate measures the rate of grants while the queue is backlogged. interval
// is the exponentially weighted moving average of the time between grants, in
// seconds.
type grantRate struct {
	interval float64
	last     time.Duration
	samples  int
}

const (
	grantRateWeight = 0.1
	// minGrantSamples is the number of samples before the rate is used.
	minGrantSamples = 10
)

// record adds a grant; backlog reports whether other requests still wait.
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

// wouldBeLate reports whether a request would probably wait past FreshUntil, and
// the time after which a new one would not.
func (l *lane) wouldBeLate(now time.Duration, e admit.Entry) (retryAfter time.Duration, late bool) {
	if l.grants.samples < minGrantSamples || l.queue.Len() == 0 {
		return 0, false
	}
	wait := time.Duration(l.queue.Ahead(e.Team, e.Class) * l.grants.interval * float64(time.Second))
	maxWait := e.FreshUntil - now
	return wait - maxWait, wait > maxWait
}
