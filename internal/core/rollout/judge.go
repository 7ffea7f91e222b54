package rollout

import (
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

const (
	// falseAlarmRate is the probability at which a good version is reverted: operators
	// rely on rollouts of good versions to complete.
	falseAlarmRate = 1e-3
	// testRate is that of the tests, which assume independent responses. Pauses of endpoints make
	// responses slow together, also those of several endpoints at once.
	testRate = falseAlarmRate / 5
	// minBadRate and minSlowRate are shares that a good version may have in any case, as with
	// an old version that has had few responses.
	minBadRate, minSlowRate = 0.01, 0.02
	// slowFactor is the number of buckets above the median of the old versions from which a
	// response is slow: twice the time.
	slowFactor = bucketsPerOctave
	// objectiveShare is the share of the latency objective that a slow response takes at
	// least. Callers do not notice less, and cold caches may cost that much.
	objectiveShare = 0.25
	// windowLength is the time between two evaluations. It exceeds the interval of reports.
	windowLength = 500 * time.Millisecond
	// referenceWindows is the number of windows of old responses that new ones are compared
	// with, so that both are of the same time.
	referenceWindows = 10
	// leaningPart is the part of the threshold from which the share of a version must not grow
	// while there is time to learn more, suspectPart that from which it never grows. A version
	// that is suspect when the rollout has to be completed is reverted.
	leaningPart, suspectPart = 1.0 / 3, 0.7
	// minReference is the number of old responses that show the times of a route.
	minReference = 20
	// minCurrent is the number of old responses in a window that are compared with new ones of the
	// same window: a burst or a loss of endpoints makes both worse.
	minCurrent = 3
	// unusualRate is the rate of requests, relative to the mean, from which they may be slow
	// because of it, besides the random deviation of a count.
	unusualRate = 1.25
	// unusualWindows is the number of windows after which the requests of a burst have ended, and
	// over which one is noticed where few requests arrive.
	unusualWindows = 4
	// perEndpoint is the number of responses of one endpoint in one window that count. What makes
	// more of them slow, such as a pause of the endpoint, is the same.
	perEndpoint = 1
)

// badRates and slowRates are the shares of bad and of slow responses, beyond those of the old
// versions, that the tests look for. The lower ones find a version that is bad at times, the
// higher ones need fewer responses if most are.
var (
	badRates  = [...]float64{0.1, 0.5}
	slowRates = [...]float64{0.2, 0.6}
)

// allRoutes names the tests over the responses of all routes.
const allRoutes = ""

// scores are the scores of the tests for bad and for slow responses.
type scores struct {
	bad  [len(badRates)]float64
	slow [2 * len(slowRates)]float64
}

// plus adds the scores of a window.
func (s scores) plus(window scores) scores {
	for i := range s.bad {
		s.bad[i] = max(0, s.bad[i]+window.bad[i])
	}
	for i := range s.slow {
		s.slow[i] = max(0, s.slow[i]+window.slow[i])
	}
	return s
}

func (s scores) highest() float64 { return max(slices.Max(s.bad[:]), slices.Max(s.slow[:])) }

// judge tests sequentially whether the new version is worse than the old ones. Each test adds up
// the logarithm of the probability ratio of the observed responses under the hypotheses that the
// new version is worse and that it is not, and starts again from 0 when it becomes negative, so
// that a version that turns bad late is noticed as soon. The union bound over the responses at
// which the version may turn bad gives the threshold for testRate.
type judge struct {
	last     Counts
	started  bool
	windowAt time.Duration
	// reference are the last windows of the old versions, the newest last.
	reference []VersionCounts
	startedAt time.Duration
	// mostEndpoints is the greatest number of endpoints of the new version so far.
	mostEndpoints int
	// sent are the requests sent in the last windows, the newest last.
	sent         []int64
	unusualUntil time.Duration
	// tests are the scores by route.
	tests     map[string]scores
	responses int64
	// evidence are the samples of the windows since the first response, the newest last.
	evidence []evidence
	// isSlow is set once the ranks of the times show that the version is slower.
	isSlow bool
}

func newJudge() *judge {
	return &judge{tests: make(map[string]scores)}
}

// observe processes the counts of all instances. endpoints is the number of endpoints of the
// new version, objectives are the latency objectives by route, share is the least share at which
// the responses counted since the last call may have been sent, running the time since the order.
func (j *judge) observe(now time.Duration, counts Counts, endpoints int, objectives map[string]time.Duration, share float64, running time.Duration) {
	if j.started && now-j.windowAt < windowLength {
		return
	}
	window := counts.Minus(j.last)
	j.windowAt, j.last = now, counts
	if !window.isValid() {
		// An instance was lost with its counts. The next window counts from here.
		return
	}
	// The first window covers all responses since the order, which a former holder observed.
	// At which shares they were sent is not known.
	windows, isFirst := 1.0, !j.started
	if isFirst {
		share, windows = 0, float64(running)/float64(windowLength)
		j.startedAt = now
	} else {
		j.reference = append(j.reference[max(0, len(j.reference)-referenceWindows+1):], window.Old)
	}
	j.started, j.mostEndpoints = true, max(j.mostEndpoints, endpoints)
	unusual := j.isUnusual(now, window, counts, endpoints)
	j.addEvidence(counts, window, share, routeWindow{endpoints: endpoints, unusual: unusual, spans: windows}, objectives)
	var all scores
	for route, r := range window.New.Routes {
		old := j.referenceOf(counts, func(c VersionCounts) Responses { return c.Routes[route] })
		current := window.Old.Routes[route]
		s := scores{bad: badScores(r, old, current)}
		if !unusual || current.Total >= minCurrent {
			s.slow = slowScores(r.Times, old.Times, current.Times, endpoints, objectives[route])
		}
		j.tests[route] = j.tests[route].plus(s)
		for i := range s.slow {
			all.slow[i] += s.slow[i]
		}
		j.responses += r.Total
	}
	all.bad = badScores(window.New.pooled(), j.referenceOf(counts, VersionCounts.pooled), window.Old.pooled())
	j.tests[allRoutes] = j.tests[allRoutes].plus(all)
}

// referenceOf returns the responses of the old versions in the newest windows that have enough of
// them, or all since the order.
func (j *judge) referenceOf(counts Counts, part func(VersionCounts) Responses) Responses {
	var sum Responses
	for _, w := range slices.Backward(j.reference) {
		if sum = sum.plus(part(w), 1); sum.Total >= minReference {
			return sum
		}
	}
	return part(counts.Old)
}

// isUnusual reports whether more requests arrived lately than before, or endpoints of the new
// version were lost. Slow responses then show nothing without old ones of the same time.
func (j *judge) isUnusual(now time.Duration, window, counts Counts, endpoints int) bool {
	const deviations = 2 // of a count whose mean is its variance
	mean := float64(counts.sent()) * windowLength.Seconds() / max(now-j.startedAt, windowLength).Seconds()
	isMore := func(sent int64, windows int) bool {
		expected := mean * float64(windows)
		return float64(sent) > unusualRate*expected+deviations*math.Sqrt(expected)
	}
	j.sent = append(j.sent[max(0, len(j.sent)-unusualWindows+1):], window.sent())
	if endpoints < j.mostEndpoints || isMore(window.sent(), 1) || isMore(lo.Sum(j.sent), len(j.sent)) {
		j.unusualUntil = now + unusualWindows*windowLength
	}
	return now < j.unusualUntil
}

func (c Counts) isValid() bool {
	for _, v := range []VersionCounts{c.Old, c.New} {
		if v.Sent < 0 {
			return false
		}
		for _, r := range v.Routes {
			if !r.isValid() {
				return false
			}
		}
	}
	return true
}

// badScores returns the scores of the bad responses of a window.
func badScores(r, old, current Responses) (list [len(badRates)]float64) {
	expected := max(referenceRate(float64(old.Bad), float64(old.Total)), currentRate(current.Bad, current.Total)) + minBadRate
	for i, excess := range badRates {
		list[i] = score(float64(r.Bad), float64(max(r.Total, r.Bad)), expected, excess)
	}
	return list
}

// slowScores returns the same for slow responses: first of those that are slow, then of those that are
// slow and of those that are very slow.
func slowScores(times, old, current Histogram, endpoints int, objective time.Duration) (list [2 * len(slowRates)]float64) {
	n, reference := float64(times.total()), float64(old.total())
	if n == 0 || reference < minReference {
		return list
	}
	weight := min(1, float64(perEndpoint*max(endpoints, 1))/n)
	expected := func(from int) float64 {
		// One slow and one quick response more keep the estimate from few responses off 0.
		return max(referenceRate(float64(old.from(from))+1, reference+2), currentRate(current.from(from), current.total())) + minSlowRate
	}
	from := slowFrom(old, objective)
	slow, verySlow := weight*float64(times.from(from)), weight*float64(times.from(from+slowFactor))
	for i, excess := range slowRates {
		list[i] = score(slow, weight*n, expected(from), excess)
		list[len(slowRates)+i] = gradedScore(slow, verySlow, weight*n, expected(from), expected(from+slowFactor), excess)
	}
	return list
}

// gradedScore returns the logarithm of the probability ratio of slow and of very slow responses among n
// if half of the excess is very slow.
func gradedScore(slow, verySlow, n, expected, expectedVery, excess float64) float64 {
	const maxRate, leastRate = 0.98, 0.01
	expected = min(expected, maxRate/2)
	expectedVery = min(expectedVery, expected-leastRate)
	worse := min(expected+excess, maxRate)
	worseVery := min(expectedVery+excess/2, worse-leastRate)
	return verySlow*math.Log(worseVery/expectedVery) + (slow-verySlow)*math.Log((worse-worseVery)/(expected-expectedVery)) +
		(n-slow)*math.Log((1-worse)/(1-expected))
}

// slowFrom returns the bucket from which a response is slow.
func slowFrom(old Histogram, objective time.Duration) int {
	return max(old.median()+slowFactor, bucketOf(time.Duration(objectiveShare*float64(objective)))+1)
}

// referenceRate returns a share with the standard error of its estimate added.
func referenceRate(count, n float64) float64 {
	if n == 0 {
		return 0
	}
	rate := min(count/n, 1)
	return rate + math.Sqrt(rate*(1-rate)/n)
}

// currentRate returns a share in the current window with the standard error of its estimate
// subtracted, 0 if the window has too few responses.
func currentRate(count, n int64) float64 {
	if n < minCurrent {
		return 0
	}
	rate := min(float64(count)/float64(n), 1)
	return max(rate-math.Sqrt(rate*(1-rate)/float64(n)), 0)
}

// score returns the logarithm of the probability ratio of events among n responses at the rates
// expected+excess and expected.
func score(events, n, expected, excess float64) float64 {
	const maxRate = 0.98
	expected = min(expected, maxRate/2)
	worse := min(expected+excess, maxRate)
	return events*math.Log(worse/expected) + (n-events)*math.Log((1-worse)/(1-expected))
}

// threshold returns the score from which a version is bad.
func (j *judge) threshold() float64 {
	tests := float64(len(j.tests) * (len(badRates) + 2*len(slowRates)))
	return math.Log(max(tests, 1) * float64(1+j.responses) / testRate)
}

// score returns the highest score of all tests.
func (j *judge) score() float64 {
	highest := 0.0
	for _, s := range j.tests {
		highest = max(highest, s.highest())
	}
	return highest
}

func (j *judge) isBad() bool { return j.isSlow || j.score() >= j.threshold() }

// leansBad reports whether more should be known of the version before its share grows.
func (j *judge) leansBad() bool { return j.score() >= leaningPart*j.threshold() }

// isSuspect reports whether the version is so probably bad that its share must not grow.
func (j *judge) isSuspect() bool { return j.score() >= suspectPart*j.threshold() }
