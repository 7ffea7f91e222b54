package gateway

import (
	"maps"
	"math"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/rollout"
	"github.com/cornelhold/cornelhold/internal/core/tally"
)

// abandonedShare is the share of its time after which a request that ended without a response
// counts as one that took so long.
const abandonedShare = 0.5

// rollouts is what this instance knows and counts of rollouts.
type rollouts struct {
	follower *rollout.Follower
	counts   map[rollout.Key]*rollout.Counts
	// lost holds the lost attempts of which it is not known whether their endpoint has ended.
	// One that has ended is no evidence against its version.
	lost map[incarnation]*lostAttempts
}

type lostAttempts struct {
	updatedAt time.Duration
	attempts  []lostAttempt
}

// lostAttempt is a response that was reset, malformed or unsigned.
type lostAttempt struct {
	key     rollout.Key
	isNew   bool
	route   string
	started bool
}

func newRollouts() rollouts {
	return rollouts{
		follower: rollout.NewFollower(), counts: make(map[rollout.Key]*rollout.Counts), lost: make(map[incarnation]*lostAttempts),
	}
}

func (m *Machine) rolloutsReported(now time.Duration, msg RolloutsReported) {
	for _, p := range msg.Plans {
		if m.rollouts.follower.Apply(p) {
			m.notes = append(m.notes, RolloutPlanned{Plan: p})
			maps.DeleteFunc(m.rollouts.counts, func(k rollout.Key, _ *rollout.Counts) bool {
				return k.Service == p.Service && k.Order < p.Order && p.Fence != 0
			})
		}
	}
	maps.DeleteFunc(m.rollouts.lost, func(_ incarnation, l *lostAttempts) bool { return now-l.updatedAt > lossTTL })
}

// Rollouts returns the known plans of rollouts and the new orders.
func (m *Machine) Rollouts() []rollout.Plan { return m.rollouts.follower.Plans() }

// chooseVersion chooses the version of the endpoints for the next attempt of a request.
func (m *Machine) chooseVersion(now time.Duration, o *openRequest) {
	o.version = m.rollouts.follower.Choose(now, rollout.Request{
		Service: o.service, Previous: o.version, Bound: o.everStarted, Random: versionRandom(o.request.Random),
		Serves: func(c rollout.Choice) bool { return m.serves(o.service, c) },
	})
}

// versionRandom derives a random number from the one of the request, which also decides on
// its service and its endpoint.
func versionRandom(random float64) float64 {
	const mantissaBits = 53
	return float64(mixHash(math.Float64bits(random))>>(64-mantissaBits)) / (1 << mantissaBits)
}

// serves reports whether a service has an endpoint that a choice of the version allows.
func (m *Machine) serves(s fleet.ServiceName, c rollout.Choice) bool {
	for _, e := range m.byService[s] {
		if !e.Draining && c.Allows(e.Version) {
			return true
		}
	}
	return false
}

// side returns the counts of one version.
func (r *rollouts) side(key rollout.Key, isNew bool) *rollout.VersionCounts {
	c, ok := r.counts[key]
	if !ok {
		c = &rollout.Counts{
			Old: rollout.VersionCounts{Routes: make(map[string]rollout.Responses)},
			New: rollout.VersionCounts{Routes: make(map[string]rollout.Responses)},
		}
		r.counts[key] = c
	}
	if isNew {
		return &c.New
	}
	return &c.Old
}

// countSent counts an attempt that is sent now.
func (m *Machine) countSent(o *openRequest) {
	var key rollout.Key
	if key, o.counted = o.version.Key(); o.counted {
		m.rollouts.side(key, o.version.IsNew()).Sent++
	}
}

// count applies a change to the counts of the responses to which the current attempt belongs.
func (m *Machine) count(o *openRequest, change func(*rollout.Responses)) {
	key, ok := o.version.Key()
	if !ok || !o.counted {
		return
	}
	side := m.rollouts.side(key, o.version.IsNew())
	responses := side.Routes[o.route.Name]
	change(&responses)
	side.Routes[o.route.Name] = responses
}

// countResponse counts a response that begins. Cold endpoints show nothing of the speed of
// their version.
func (m *Machine) countResponse(now time.Duration, o *openRequest) {
	m.rollouts.confirmLosses(incarnation{id: o.endpoint.ID, started: o.endpoint.Started})
	m.count(o, func(r *rollout.Responses) {
		r.Total++
		if !o.endpoint.Cold && m.mayCrash(o.endpoint) {
			r.Times.Observe(now - o.sentAt)
		}
	})
}

// countFailure counts a failed attempt. Endpoints that leave are no evidence.
func (m *Machine) countFailure(now time.Duration, o *openRequest, f Failure) {
	e := o.endpoint
	if !o.counted || !m.mayCrash(e) {
		return
	}
	switch f {
	case FailureErrorResponse:
		m.count(o, func(r *rollout.Responses) { r.Bad++ })
	case FailureTimeout:
		m.countSlow(now, o)
	case FailureConnectionLost:
		key, _ := o.version.Key()
		m.rollouts.addLost(now, incarnation{id: e.ID, started: e.Started}, lostAttempt{
			key: key, isNew: o.version.IsNew(), route: o.route.Name, started: o.started,
		})
	case FailureDial, FailureRejected, FailureNotSentInTime:
	}
}

// countAbandoned counts an attempt whose caller left or whose time was over.
func (m *Machine) countAbandoned(now time.Duration, o *openRequest) {
	if o.counted && m.mayCrash(o.endpoint) && now-o.sentAt >= time.Duration(abandonedShare*float64(o.deadlineAt-o.sentAt)) {
		m.countSlow(now, o)
	}
}

// countSlow counts an attempt without a response as one that took until now.
func (m *Machine) countSlow(now time.Duration, o *openRequest) {
	m.count(o, func(r *rollout.Responses) {
		r.Total++
		if !o.endpoint.Cold {
			r.Times.Observe(now - o.sentAt)
		}
	})
}

// addLost keeps a lost attempt until it is known whether the endpoint has ended.
func (r *rollouts) addLost(now time.Duration, i incarnation, a lostAttempt) {
	l, ok := r.lost[i]
	if !ok {
		if len(r.lost) >= maxIncarnations {
			return
		}
		l = &lostAttempts{}
		r.lost[i] = l
	}
	l.updatedAt = now
	if len(l.attempts) < maxLosses {
		l.attempts = append(l.attempts, a)
	}
}

// confirmLosses counts the lost attempts of an incarnation that goes on as bad responses.
func (r *rollouts) confirmLosses(i incarnation) {
	l, ok := r.lost[i]
	if !ok {
		return
	}
	delete(r.lost, i)
	for _, a := range l.attempts {
		side := r.side(a.key, a.isNew)
		responses := side.Routes[a.route]
		if !a.started {
			responses.Total++
		}
		responses.Bad++
		side.Routes[a.route] = responses
	}
}

// reportRollouts adds the counts of the running rollouts to the report of this instance.
func (m *Machine) reportRollouts(now time.Duration, t tally.Tally) {
	for _, p := range m.rollouts.follower.Plans() {
		plan, _ := m.rollouts.follower.Plan(p.Service)
		if plan.State.IsFinal() {
			continue
		}
		counts := rollout.Counts{}
		if known, ok := m.rollouts.counts[plan.Key()]; ok {
			// A copy, since the counts change while the report is encoded.
			counts = counts.Plus(*known)
		}
		if plan.MovesAll(now) {
			counts.Moved = 1
		}
		t.Rollouts[plan.Key()] = counts
	}
	if len(t.Rollouts) == 0 {
		return
	}
	for _, o := range m.open {
		plan, ok := m.rollouts.follower.Plan(o.service)
		counts, reported := t.Rollouts[plan.Key()]
		if !ok || !reported || o.endpoint == nil {
			continue
		}
		if o.endpoint.Version == plan.To {
			counts.New.Active++
		} else {
			counts.Old.Active++
		}
		t.Rollouts[plan.Key()] = counts
	}
}
