package rollout

import "time"

// quarterShare and halfShare are those of the steps after the canary, smallShare is the greatest of a
// canary that these follow.
const smallShare, quarterShare, halfShare = 0.16, 0.25, 0.5

// pastShare is the share of the new version from a time on.
type pastShare struct {
	at    time.Duration
	share float64
}

// canaryShare returns the share of the canary. Where so few requests arrive that the version can be
// evaluated at a quarter of them or more at once, this is the only evaluation.
func (r *run) canaryShare(b Bounds, since, left time.Duration) float64 {
	rest := b.canaryShare(r.seen, left, r.times.lastFull-since, evaluationPart)
	if !r.isCanary {
		r.isCanary = true
		r.isDirect = rest >= quarterShare || !r.seen.isDecisive(quarterShare)
		r.isLate = r.isLate || r.lacksTime(since)
	}
	switch {
	case rest == 0:
		return 0
	case r.isDirect:
		r.canary = max(r.canary, rest)
	case since < r.times.ramp:
		r.canary = min(b.canaryShare(r.seen, left, r.times.ramp-since, canaryPart), smallShare)
	default:
		r.canary = max(r.canary, min(b.canaryShare(r.seen, left, minHorizon, canaryPart), smallShare))
	}
	return r.canary
}

// lacksTime reports whether so little time is left that two evaluations may not end.
func (r *run) lacksTime(since time.Duration) bool {
	return r.times.lastFull-since < 2*(evaluationTime+r.seen.age+newsDelay)-r.times.dwell
}

// evaluated returns the share from which responses show how the version behaves in the present step.
func (r *run) evaluated() float64 {
	switch {
	case r.isLate:
		return 0
	case r.record.Step == StepHalf:
		return sameLoad * halfShare
	case r.record.Step == StepQuarter:
		return sameLoad * quarterShare
	case r.isDirect:
		return directLoad * r.canary
	default:
		return 0
	}
}

// sentShares returns the least and the greatest share at which requests may have been sent whose
// responses are counted now, or that are not counted yet.
func (r *run) sentShares(now time.Duration) (least, most float64) {
	sentFrom := now - r.seen.age - newsDelay - windowLength
	r.shares = append(r.shares, pastShare{at: now, share: r.share})
	for len(r.shares) > 1 && r.shares[1].at <= sentFrom {
		r.shares = r.shares[1:]
	}
	least = 1
	for _, s := range r.shares {
		most = max(most, s.share)
		if s.share > 0 {
			least = min(least, s.share)
		}
	}
	return least, most
}

// nextStep returns the step that follows. Those at which the version was evaluated already, or cannot be
// evaluated within the permitted exposure or the time left, are left out.
func (r *run) nextStep() Step {
	step := r.record.Step
	if step < StepCanary || step < StepHalf && r.evaluatesNext() {
		return step + 1
	}
	return StepFull
}

// evaluatesNext reports whether the version is evaluated at a larger share before it gets all requests.
func (r *run) evaluatesNext() bool {
	switch {
	case r.view.oldReady == 0 || r.isDirect:
		return false
	case r.record.Step == StepCanary && !r.isLate:
		return true
	default:
		return r.canEvaluate
	}
}

// mayAdvance reports whether the next step may begin. Larger shares need evidence that the version is
// good at the present one.
func (r *run) mayAdvance(now, since time.Duration) bool {
	if r.view.newReady == 0 {
		return false
	}
	switch r.record.Step {
	case StepWait:
		return r.samples >= 2
	case StepProbe:
		return r.judge.responses >= minResponses || now-r.stepAt >= 2*r.times.dwell
	}
	isDue := since >= r.times.full && r.judge.responses >= settledResponses && !r.judge.leansBad()
	if r.record.Step < StepHalf && r.evaluatesNext() {
		isDue = since >= r.times.ramp
	}
	isDue = isDue && now-r.stepAt >= r.times.dwell
	if r.nextStep() == StepFull && !r.carries() {
		return false
	}
	return !r.judge.isSuspect() && (isDue || since >= r.times.lastFull) && r.judge.accepts(r.evaluated())
}

// demandSmoothing is the weight of a new observation of the demand, several times a second. A short peak
// must not decide whether the endpoints suffice.
const demandSmoothing = 0.05

// observeDemand updates the load of the service.
func (r *run) observeDemand(in Inputs) {
	demand := in.Demand[r.record.Order.Service]
	if r.samples == 0 {
		r.demand = demand
	}
	r.demand += demandSmoothing * (demand - r.demand)
}

// carries reports whether the endpoints of the new version can carry the load of the service.
func (r *run) carries() bool {
	return r.view.newReady > 0 && r.demand <= float64(r.view.newReady)
}
