package rollout

import "time"

const (
	// canaryPart is the part of the permitted exposure that is planned until the steps after the
	// canary may begin, evaluationPart that for all steps before the last. The rest is for what
	// instances send before they learn of a change, and for the deviations of counts.
	canaryPart, evaluationPart = 0.45, 0.85
	// lastPart is the part that the evaluation at a larger share may reach.
	lastPart = 0.92
	// probePart is the part of the permitted fixed exposure that is planned for the first step.
	probePart = 0.25
	// maxCanaryShare leaves requests on the old versions to compare with where so few arrive that
	// the bound would permit more.
	maxCanaryShare = 0.85
	// minHorizon is the time over which the planned exposure is spread at least: shares over
	// shorter times follow the deviations of counts.
	minHorizon = 1500 * time.Millisecond
	// evaluationTime is the time in which a step shows at 100 requests per second and more that a
	// version is good, beside the time until its responses are counted.
	evaluationTime = 1500 * time.Millisecond
	// newsDelay is the time until all instances follow a change of the plan: three exchanges
	// of 200 ms.
	newsDelay = 600 * time.Millisecond
	// minResponses is the number of responses of the new version that ends the first step,
	// judgedResponses that before it is accepted for a further evaluation or at the latest time,
	// settledResponses otherwise: of several looks at few responses one may be good by chance.
	minResponses, judgedResponses, settledResponses = 10, 26, 34
	// minRate is the rate of requests that is assumed at least, per second.
	minRate = 1
)

// Times are the times of a rollout, counted from its order.
type times struct {
	// ramp is when the steps after the canary may begin, full when the last one may, lastFull the
	// latest time for that, finish when the rollout is completed although requests may still run on
	// the old versions. deadline is the time by which the operator wants it complete.
	ramp, full, lastFull, finish, deadline time.Duration
	// dwell is the least length of a step after the canary.
	dwell time.Duration
}

const (
	minDwell, maxDwell   = 800 * time.Millisecond, 2 * time.Second
	minMargin, maxMargin = 1500 * time.Millisecond, 4 * time.Second
	// dwellShare, marginShare and drainShare are the greatest parts of the time of a rollout for
	// a step after the verdict, for the last writes to the store, and for the requests that run
	// on the old versions.
	dwellShare, marginShare, drainShare = 0.05, 0.125, 0.25
	// rampSteps is the number of steps between the canary and the full share.
	rampSteps = 2
)

// timesOf returns the times of a rollout that takes completeBy. longest is the longest timeout
// of a request.
func timesOf(completeBy, longest time.Duration) times {
	part := func(share float64) time.Duration { return time.Duration(share * float64(completeBy)) }
	t := times{deadline: completeBy, dwell: min(max(part(dwellShare), minDwell), maxDwell)}
	t.finish = completeBy - min(max(part(marginShare), minMargin), maxMargin)
	t.lastFull = t.finish - t.dwell
	t.full = t.finish - max(min(longest, part(drainShare)), t.dwell)
	t.ramp = t.full - rampSteps*(evaluationTime+2*newsDelay)
	return t
}

// Bounds are the limits of the exposure to a bad version.
type Bounds struct {
	// Share of all requests between the order and its deadline, and Slack, a number of
	// requests.
	Share, Slack float64
	// Delay is how long after its deadline a rollout may complete that was delayed, by an
	// unstable store or by endpoints that started late.
	Delay time.Duration
}

// exposure is what is known of the requests that reached a service since the order.
type exposure struct {
	// arrived and exposed are the requests that reached the service and the new version.
	arrived, exposed float64
	// rate is the number of requests per second.
	rate float64
	// share is the share of the new version in the plan, age the age of the counts.
	share float64
	age   time.Duration
}

// permitted returns the exposure that a bad version may reach in total, left being the time
// until the deadline.
func (b Bounds) permitted(e exposure, left time.Duration) float64 {
	return b.Share*(e.arrived+e.rate*max(left, 0).Seconds()) + b.Slack
}

// probeShare returns the share of the first step, in which the slack is used for a second.
func (b Bounds) probeShare(e exposure) float64 {
	return min(probePart*b.Slack/e.rate, maxCanaryShare)
}

// unseen returns the requests that are sent to the new version and not counted before instances
// follow a change made now.
func (e exposure) unseen() float64 { return e.rate * e.share * (e.age + newsDelay).Seconds() }

// isUsedUp reports whether the permitted exposure is reached before a change takes effect.
func (b Bounds) isUsedUp(e exposure, left time.Duration) bool {
	return e.exposed+e.unseen() >= b.permitted(e, left)
}

// canaryShare returns the share that uses a part of the permitted exposure within a time, with what
// was sent and is not counted yet.
func (b Bounds) canaryShare(e exposure, left, within time.Duration, part float64) float64 {
	rest := part*b.permitted(e, left) - e.exposed - e.unseen()
	return min(max(rest/(e.rate*max(within, minHorizon).Seconds()), 0), maxCanaryShare)
}

// isDecisive reports whether enough responses arrive at a share to evaluate the version in a step.
func (e exposure) isDecisive(share float64) bool {
	return e.rate*share*evaluationTime.Seconds() >= judgedResponses
}

// evaluable reports whether the permitted exposure suffices to evaluate the version at a share.
func (b Bounds) evaluable(e exposure, left time.Duration, share float64) bool {
	cost := e.rate * share * (evaluationTime + e.age + newsDelay).Seconds()
	return e.isDecisive(share) && e.exposed+e.unseen()+cost <= lastPart*b.permitted(e, left)
}
