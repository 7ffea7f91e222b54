package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	tick           = 100 * time.Millisecond
	reportInterval = 2 * tick
	// sumsDelay and planDelay are the ages of what the holder knows of the instances, and they
	// of the plan.
	sumsDelay, planDelay = 400 * time.Millisecond, 400 * time.Millisecond
)

// testBounds are those of the deployments that ask for rollouts.
var testBounds = Bounds{Share: 0.1, Slack: 50, Delay: 6 * time.Second}

// kind is how the new version behaves.
type kind struct {
	name string
	// bad is the share of failing responses, slow that of slow ones, by slowFactor, from a time
	// and a share of the traffic on.
	bad, slow, factor float64
	from              time.Duration
	underShare        float64
	route             string
}

// world simulates the instances of a deployment and a service of which each version has a number
// of endpoints that pause at random: 15% of the time they take 2.5 times longer.
type world struct {
	random    *rand.Rand
	now       time.Duration
	rate      float64
	endpoints int
	kind      kind
	leader    *Leader
	order     Order
	readyAt   time.Duration
	catalog   *catalog.Catalog
	instances []*simulated
	// sums are the counts of the reached instances as the holder knows them.
	sums      Counts
	reached   int
	published []State
	fence     int64
	// storeDown makes all writes fail, holderDown stops the leader.
	storeDown, holderDown bool
	record                *Record
	// exposed and arrived, the latter until the deadline, are counted by the simulation, badAt is the time of the 50th bad
	// response, lastNew that of the last request to the new version.
	exposed, arrived, badCount int
	badAt, lastNew             time.Duration
	finalAt                    time.Duration
	// exposedAtVerdict is the exposure when the last step begins.
	exposedAtVerdict int
	onOldAfterDone   int
	plans            [][]Plan
	ignored          func(Ignored)
	// load is the factor of rate and times of both versions, oldBad the share of failures of the
	// old one.
	load, oldBad float64
	// demand is the load of the service, lostEndpoints the number of new endpoints that are gone.
	demand        float64
	lostEndpoints int
}

// simulated is one instance with its reports, the newest last.
type simulated struct {
	follower *Follower
	counts   Counts
	reports  []Counts
	open     []openAttempt
	cut      bool
}

type openAttempt struct {
	until time.Duration
	isNew bool
}

func newWorld(seed uint64, instances, endpoints int, rate float64, completeBy time.Duration, k kind) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), rate: rate, load: 1, endpoints: endpoints, kind: k, fence: 1, now: time.Second,
		leader: NewLeader(testBounds),
		order:  Order{Service: "s", To: "v2", CompleteBy: completeBy, Position: 5}, readyAt: 2 * time.Second,
		catalog: catalog.Build(catalog.Catalog{
			Routes: []catalog.Route{
				{Name: "a", Targets: []catalog.Target{{Service: "s"}}, LatencyObjective: 150 * time.Millisecond, Timeout: time.Second},
				{Name: "b", Targets: []catalog.Target{{Service: "s"}}, LatencyObjective: 400 * time.Millisecond, Timeout: 4 * time.Second},
			},
			Services: map[fleet.ServiceName]catalog.Service{"s": {Name: "s"}},
		}),
	}
	for range instances {
		w.instances = append(w.instances, newSimulated(w.now))
	}
	w.leader.Load(w.now, Stored{})
	w.leader.Read(w.now, w.order)
	return w
}

// newSimulated returns an instance that has read the order.
func newSimulated(now time.Duration) *simulated {
	i := &simulated{follower: NewFollower()}
	i.follower.Apply(Plan{Service: "s", To: "v2", Order: 5, ConfirmedAt: now})
	return i
}

func (w *world) since() time.Duration { return w.now - time.Second }

func (w *world) list() []catalog.Endpoint {
	var list []catalog.Endpoint
	for n := range w.endpoints {
		list = append(list, catalog.Endpoint{ID: fleet.EndpointID(fmt.Sprint("o", n)), Service: "s", Version: "v1"})
		if w.since() >= w.readyAt && n >= w.lostEndpoints {
			list = append(list, catalog.Endpoint{ID: fleet.EndpointID(fmt.Sprint("n", n)), Service: "s", Version: "v2"})
		}
	}
	return list
}

// paused reports whether an endpoint pauses, which changes every 600 ms.
func (w *world) paused(endpoint int, isNew bool) bool {
	h := uint64(w.now/(600*time.Millisecond))*1_000_003 + uint64(endpoint)*7919
	if isNew {
		h += 104729
	}
	return rand.New(rand.NewPCG(h, 7)).Float64() < 0.15
}

// run simulates until the deadline and some seconds more.
func (w *world) run(each func()) {
	for w.since() < w.order.CompleteBy+testBounds.Delay {
		if each != nil {
			each()
		}
		w.step()
		w.now += tick
	}
}

func (w *world) step() {
	for range w.poisson(w.load * w.rate * tick.Seconds()) {
		w.request(w.instances[w.random.IntN(len(w.instances))])
	}
	if w.now%reportInterval == 0 {
		w.sums, w.reached = Counts{}, 0
		for _, i := range w.instances {
			w.report(i)
			if len(i.reports) > 0 {
				w.sums = w.sums.Plus(i.reports[0])
				w.reached++
			}
		}
	}
	var plans []Plan
	if !w.holderDown {
		plans = w.lead()
	}
	w.plans = append(w.plans, plans)
	if n := len(w.plans) - 1 - int(planDelay/tick); n >= 0 {
		for _, i := range w.instances {
			for _, p := range w.plans[n] {
				if !i.cut {
					i.follower.Apply(p)
				}
			}
		}
	}
}

func (w *world) poisson(mean float64) int {
	n, p, limit := 0, 1.0, math.Exp(-mean)
	for p *= w.random.Float64(); p > limit; p *= w.random.Float64() {
		n++
	}
	return n
}

// request simulates one request to an instance.
func (w *world) request(i *simulated) {
	if w.since() <= w.order.CompleteBy {
		w.arrived++
	}
	ready := w.since() >= w.readyAt
	c := i.follower.Choose(w.now, Request{Service: "s", Random: w.random.Float64(), Serves: func(c Choice) bool { return ready || !c.IsNew() }})
	isNew := c.IsNew()
	route, base := "a", 30*time.Millisecond
	if w.random.IntN(3) == 0 {
		route, base = "b", 90*time.Millisecond
	}
	took := time.Duration(w.load * float64(base) * math.Exp(0.4*w.random.NormFloat64()))
	if w.paused(w.random.IntN(w.endpoints), isNew) {
		took = took * 5 / 2
	}
	failed := w.random.Float64() < 0.002
	plan, _ := i.follower.Plan("s")
	side := &i.counts.Old
	if isNew {
		side = &i.counts.New
		w.lastNew = w.now
		w.exposed++
		if k := w.kind; w.since() >= k.from && plan.Share >= k.underShare && (k.route == "" || k.route == route) {
			slow := w.random.Float64() < k.slow
			if slow {
				took = time.Duration(float64(took) * k.factor)
			}
			if w.random.Float64() < k.bad {
				failed = true
			}
			if failed || slow {
				if w.badCount++; w.badCount == 50 {
					w.badAt = w.now
				}
			}
		}
	} else if failed = failed || w.random.Float64() < w.oldBad; len(w.published) > 0 && w.published[len(w.published)-1] == Done && !i.cut {
		w.onOldAfterDone++
	}
	side.Sent++
	i.open = append(i.open, openAttempt{until: w.now + took, isNew: isNew})
	if side.Routes == nil {
		side.Routes = make(map[string]Responses)
	}
	r := side.Routes[route]
	r.Total++
	if failed {
		r.Bad++
	} else {
		r.Times.Observe(took)
	}
	side.Routes[route] = r
}

// report records what an instance states of itself.
func (w *world) report(i *simulated) {
	var open []openAttempt
	i.counts.Old.Active, i.counts.New.Active, i.counts.Moved = 0, 0, 0
	for _, a := range i.open {
		if a.until <= w.now {
			continue
		}
		open = append(open, a)
		if a.isNew {
			i.counts.New.Active++
		} else {
			i.counts.Old.Active++
		}
	}
	i.open = open
	if p, ok := i.follower.Plan("s"); ok && p.MovesAll(w.now) {
		i.counts.Moved = 1
	}
	if i.cut {
		i.reports = nil
		return
	}
	i.reports = append(i.reports, Counts{}.Plus(i.counts))
	if keep := int(sumsDelay/reportInterval) + 1; len(i.reports) > keep {
		i.reports = i.reports[len(i.reports)-keep:]
	}
}

// lead runs the leader for a tick and returns its plans.
func (w *world) lead() []Plan {
	actions := w.leader.Step(w.now, Inputs{
		Fence: w.fence, Catalog: w.catalog, Endpoints: w.list(), Sums: map[Key]Counts{{Service: "s", Order: 5}: w.sums},
		Demand: map[fleet.ServiceName]float64{"s": w.demand},
		Age:    sumsDelay, Instances: w.reached, Lost: len(w.instances) - w.reached,
	})
	for _, a := range actions {
		switch a := a.(type) {
		case Save:
			if w.storeDown {
				w.leader.SaveFailed()
				continue
			}
			w.record = &a.Record
			if a.Record.Step == StepFull && a.Record.State == Running {
				w.exposedAtVerdict = w.exposed
			}
			w.leader.Saved(w.now)
		case Publish:
			if !w.storeDown {
				w.published = append(w.published, a.State)
				if a.State.IsFinal() {
					w.finalAt = w.since()
				}
			}
			w.leader.Published(a, !w.storeDown)
		case Ignored:
			w.ignored(a)
		}
	}
	return w.leader.Plans(w.now)
}

// replaceHolder lets another instance take over after a time without a holder.
func (w *world) replaceHolder() {
	w.fence++
	w.leader = NewLeader(testBounds)
	var records []Record
	if w.record != nil {
		records = append(records, *w.record)
	}
	w.leader.Load(w.now, Stored{Records: records})
	w.leader.Read(time.Second, w.order)
	w.holderDown = false
}

// permitted is the exposure that the operator permits.
func (w *world) permitted() float64 { return 0.1*float64(w.arrived) + 50 }

func (w *world) final() State {
	if len(w.published) == 0 {
		return Running
	}
	return w.published[len(w.published)-1]
}
