package rollout

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// shareChange is the relative change of the share from which instances get a new plan.
	shareChange = 0.1
	// rateSmoothing is the weight of a new observation of the rate of requests.
	rateSmoothing = 0.5
)

// view is what the configuration and the list say about a rollout.
type view struct {
	// newReady and oldReady are the endpoints that do not drain, by version.
	newReady, oldReady int
	// newRenewed and oldRenewed are those whose entries were written since the list of the current
	// epoch was first read. Once isSettled, the others have ended.
	newRenewed, oldRenewed int
	isSettled              bool
	objectives             map[string]time.Duration
	longest                time.Duration
}

func viewOf(in Inputs, o Order) view {
	v := view{isSettled: in.ListSettled, objectives: make(map[string]time.Duration)}
	for _, e := range in.Endpoints {
		switch {
		case e.Service != o.Service || e.Draining:
		case e.Version == o.To:
			v.newReady++
			v.newRenewed += lo.Ternary(e.Renewed, 1, 0)
		default:
			v.oldReady++
			v.oldRenewed += lo.Ternary(e.Renewed, 1, 0)
		}
	}
	for i := range in.Catalog.Routes {
		r := &in.Catalog.Routes[i]
		for _, t := range r.Targets {
			if t.Service == o.Service {
				v.objectives[r.Name] = r.LatencyObjective
				v.longest = max(v.longest, r.Timeout)
			}
		}
	}
	return v
}

// run is the rollout of one service.
type run struct {
	record Record
	// isSaved is set once record was written; next is the record to be written, if any.
	isSaved bool
	next    *Record
	// isUncertain is set if a later state may have been lost with an earlier epoch of the store.
	isUncertain bool
	// stepAt is when the current step or state began here.
	stepAt time.Duration
	// published is the state that was last written for the operator.
	published   State
	isPublished bool
	// isExpired is set once the order was reported as one without endpoints.
	isExpired bool

	judge *judge
	view  view
	times times
	// delay is how long after its deadline the rollout may complete.
	delay  time.Duration
	counts Counts
	seen   exposure
	// measured is when the rate was last updated, sent are the requests since then.
	measured  time.Duration
	sent      float64
	samples   int
	instances int
	lost      int

	// planned, share and revision are what instances were told.
	planned   Record
	isPlanned bool
	share     float64
	revision  int64
	// allowed is the share that the bound on exposure allows now, isUsedUp is set once a version
	// that may be bad must get no more requests.
	allowed  float64
	isUsedUp bool
	// demand is the smoothed load of the service.
	demand float64
	// shares are those of the last seconds. canary is that of the canary, isDirect is set if it is
	// the only share at which the version is evaluated, isLate if so little time is left, or the
	// store failed, that responses sent at any share count. isCanary is set once both are decided.
	shares                     []pastShare
	canary                     float64
	isDirect, isLate, isCanary bool
	// canEvaluate is set if exposure and time suffice to evaluate the version in the next step.
	canEvaluate bool
}

func newRun(now time.Duration, r Record) *run {
	return &run{record: r, isSaved: true, stepAt: now, judge: newJudge(), seen: exposure{exposed: float64(r.Exposed), rate: minRate}}
}

// withheldBy returns the versions that get no requests when an order to another version
// replaces the rollout.
func (r *run) withheldBy(to fleet.SoftwareVersion) []fleet.SoftwareVersion {
	list := slices.Clone(r.record.Withheld)
	if r.record.State != Done {
		list = append(list, r.record.Order.To)
	}
	return slices.DeleteFunc(list, func(v fleet.SoftwareVersion) bool { return v == to })
}

// observe takes over the current counts.
func (r *run) observe(now time.Duration, in Inputs, b Bounds) {
	r.view = viewOf(in, r.record.Order)
	r.times = timesOf(r.record.Order.CompleteBy, r.view.longest)
	r.instances, r.lost, r.seen.age, r.delay = in.Instances, in.Lost, in.Age, b.Delay
	counts := in.Sums[Key{Service: r.record.Order.Service, Order: r.record.Order.Position}]
	since := now - r.record.StartedAt
	least, most := r.sentShares(now)
	if mean := r.seen.arrived / max(since, windowLength).Seconds(); r.isDirect && mean > 0 {
		// A smaller share is as much load while more requests arrive.
		least *= max(1, r.seen.rate/(unusualRate*mean))
	}
	r.judge.observe(now, counts, r.view.newReady, r.view.objectives, least, since)
	r.observeDemand(in)
	r.isLate = r.isLate || r.samples == 0 && r.lacksTime(since)
	r.measure(now, counts)
	r.counts = counts
	r.seen.share = most
	left := r.times.deadline - since
	r.isUsedUp = b.isUsedUp(r.seen, left)
	switch {
	case r.samples < 2, r.record.Step == StepWait:
		r.allowed = 0
	case r.record.Step == StepProbe:
		r.allowed = b.probeShare(r.seen)
	default:
		r.allowed = r.canaryShare(b, since, left)
	}
	next := quarterShare
	if r.record.Step >= StepQuarter {
		next = halfShare
	}
	r.canEvaluate = b.evaluable(r.seen, left, next) && since+evaluationTime+r.seen.age+newsDelay < r.times.lastFull
}

// measure updates the rate and the exposure. Counts of instances that were lost stay in them.
func (r *run) measure(now time.Duration, counts Counts) {
	sent := float64(max(counts.sent()-r.counts.sent(), 0))
	exposed := float64(max(counts.New.Sent-r.counts.New.Sent, 0))
	if r.samples == 0 {
		r.seen.arrived = float64(counts.sent())
		r.seen.exposed = max(r.seen.exposed, float64(counts.New.Sent))
	} else {
		r.seen.arrived += sent
		r.seen.exposed += exposed
		r.sent += sent
		if now-r.measured < windowLength {
			return
		}
		rate := r.sent / (now - r.measured).Seconds()
		if r.samples > 1 {
			rate = r.seen.rate*(1-rateSmoothing) + rate*rateSmoothing
		}
		r.seen.rate = max(rate, minRate)
	}
	r.samples++
	r.measured, r.sent = now, 0
}

// decide returns the next record, nil if there is no change.
func (r *run) decide(now time.Duration) *Record {
	if r.isUncertain {
		return r.decideUncertain()
	}
	since := now - r.record.StartedAt
	lastFull, deadline := r.times.lastFull, r.times.deadline
	if r.isLate {
		// The version could not be evaluated in time for reasons that it has no part in.
		lastFull, deadline = lastFull+r.delay, deadline+r.delay
	}
	next := r.record
	next.Exposed = int64(r.seen.exposed)
	switch step := r.record.Step; {
	case step == StepWait && r.view.newReady == 0:
		return nil
	case r.judge.isBad(), r.judge.isSuspect() && (r.isUsedUp || since >= r.times.finish):
		next.State = Reverted
	case step < StepFull && since >= lastFull && !(r.carries() && r.judge.accepts(r.evaluated())),
		step == StepFull && since >= deadline && !r.carries(),
		step < StepQuarter && since >= r.times.deadline+r.delay:
		// Nothing shows that the version is good, or it has too few endpoints.
		next.State = Reverted
	case step == StepFull:
		if r.mayComplete(now, since) {
			next.State = Done
		}
	case r.mayAdvance(now, since):
		next.Step = r.nextStep()
	}
	if next.Step == r.record.Step && next.State == r.record.State {
		return nil
	}
	return &next
}

// mayComplete reports whether the rollout is done: nothing runs on the old versions any more,
// or the time for that is over.
func (r *run) mayComplete(now, since time.Duration) bool {
	if !r.carries() || r.judge.isSuspect() || now-r.stepAt < r.times.dwell {
		return false
	}
	moved := r.lost == 0 && r.counts.Moved >= int64(r.instances) && r.counts.Old.Active <= 0 && !r.judge.leansBad()
	return moved || since >= r.times.finish
}

// expired reports once that the version had no endpoint until the deadline.
func (r *run) expired(now time.Duration) bool {
	if r.isExpired || r.record.Step != StepWait || r.view.newReady > 0 || now-r.record.StartedAt < r.times.deadline {
		return false
	}
	r.isExpired = true
	return true
}

// saved makes the next record take effect.
func (r *run) saved(now time.Duration) {
	if r.next.Step != r.record.Step || r.next.State != r.record.State {
		r.stepAt = now
	}
	r.record, r.next, r.isSaved = *r.next, nil, true
}

// needsPublish reports whether the state is to be written for the operator. An order that waits
// for endpoints has no state yet.
func (r *run) needsPublish() bool {
	return r.isSaved && (r.record.Step != StepWait || r.record.State.IsFinal()) && (!r.isPublished || r.published != r.record.State)
}

// isFollowed reports whether all instances follow the state. Done is not written before, since the
// old endpoints end with it.
func (r *run) isFollowed(now time.Duration) bool {
	return r.record.State != Done || now-r.stepAt >= newsDelay
}

// planState returns the state that instances follow. They leave a bad version before that is
// recorded.
func (r *run) planState() State {
	if r.next != nil && r.next.State == Reverted {
		return Reverted
	}
	return r.record.State
}

// plannedShare returns the share of the new version.
func (r *run) plannedShare() float64 {
	switch {
	case r.planState() == Reverted:
		return 0
	case r.record.State == Done:
		return 1
	}
	switch r.record.Step {
	case StepProbe, StepCanary:
		return r.allowed
	case StepQuarter, StepHalf:
		if r.isUsedUp {
			return 0
		}
		return lo.Ternary(r.record.Step == StepHalf, halfShare, quarterShare)
	case StepFull:
		return 1
	default:
		return 0
	}
}

// changes reports whether instances need a new plan.
func (r *run) changes(share float64) bool {
	if r.planned.State != r.planState() || r.planned.Step != r.record.Step || r.planned.Order != r.record.Order {
		return true
	}
	difference := share - r.share
	return difference > shareChange*r.share || difference < -shareChange*r.share
}

func (r *run) status(now time.Duration) Status {
	return Status{
		Record: r.record, Since: now - r.record.StartedAt, Share: r.plannedShare(),
		Arrived: r.seen.arrived, Exposed: r.seen.exposed, Rate: r.seen.rate,
		Old: r.counts.Old.pooled(), New: r.counts.New.pooled(), ActiveOld: r.counts.Old.Active, Moved: r.counts.Moved,
		Instances: r.instances, Demand: r.demand, NewReady: r.view.newReady, Score: r.judge.score(), Threshold: r.judge.threshold(),
		Slow: r.judge.isSlow, Accepted: r.judge.accepts(r.evaluated()), Rank: rankingOf(r.judge.samples(r.evaluated())).rank,
	}
}
