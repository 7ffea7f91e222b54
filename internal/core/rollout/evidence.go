package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// acceptRate is the probability at which a version as bad as the tests look for is accepted
	// by chance.
	acceptRate = 3e-4
	// acceptBad is the share of bad responses, beyond that of the old versions, that an accepted
	// version does not have. About 30 responses show that. acceptBadRare and acceptSlowRare are
	// those of bad and of slow ones where there are rareResponses.
	acceptBad, acceptBadRare, acceptSlowRare = 0.3, 0.1, 0.2
	rareResponses                            = 150
	// routeResponses is the number of responses from which a route needs evidence of its own.
	// Rarer ones are covered by that over all routes only.
	routeResponses = 60
	// sameLoad is the part of a share from which responses show how a version behaves at it, and
	// directLoad that where there are only as many responses as one evaluation needs.
	sameLoad, directLoad = 0.8, 0.36
	// maxEvidence is the number of windows that are kept: a minute.
	maxEvidence = 120
)

// sample counts responses of the new version beside the share expected of them.
type sample struct {
	total, bad, expectedBad   float64
	timed, slow, expectedSlow float64
	// usual and unusual are the times of both versions, those of a burst or after a loss of
	// endpoints apart.
	usual, unusual comparison
}

func (s sample) plus(other sample) sample {
	return sample{
		total: s.total + other.total, bad: s.bad + other.bad, expectedBad: s.expectedBad + other.expectedBad,
		timed: s.timed + other.timed, slow: s.slow + other.slow, expectedSlow: s.expectedSlow + other.expectedSlow,
		usual: s.usual.plus(other.usual), unusual: s.unusual.plus(other.unusual),
	}
}

// evidence are the samples by route of a window.
type evidence struct {
	// share is the least share of the new version at which the responses may have been sent.
	share  float64
	routes map[string]sample
}

// addEvidence adds the samples of a window. common is the same for all routes.
func (j *judge) addEvidence(counts, window Counts, share float64, common routeWindow, objectives map[string]time.Duration) {
	e := evidence{share: share, routes: make(map[string]sample)}
	for route, old := range window.Old.Routes {
		w := common
		w.new, w.old, w.objective = window.New.Routes[route], old, objectives[route]
		w.reference = j.referenceOf(counts, func(c VersionCounts) Responses { return c.Routes[route] })
		e.routes[route] = w.sample()
	}
	j.evidence = append(j.evidence[max(0, len(j.evidence)-maxEvidence+1):], e)
	j.isSlow = j.isSlow || rankingOf(j.samples(0)).isSlow()
}

// samples returns the sums by route. Responses to the new version that were sent at less than a share
// are left out, old ones are not.
func (j *judge) samples(share float64) map[string]sample {
	routes := make(map[string]sample)
	for _, e := range j.evidence {
		for route, s := range e.routes {
			if e.share < share {
				s = sample{usual: comparison{old: s.usual.old}, unusual: comparison{old: s.unusual.old}}
			}
			routes[route] = routes[route].plus(s)
		}
	}
	return routes
}

// accepts reports whether the responses sent at a share or a greater one show that the version is
// good.
func (j *judge) accepts(share float64) bool {
	routes := j.samples(share)
	var all sample
	for _, s := range routes {
		if s.total >= routeResponses && (!s.isGood() || !newRanking(s.comparisons()).isQuick()) {
			return false
		}
		all = all.plus(s)
	}
	return all.total >= judgedResponses && all.isGood() && rankingOf(routes).isQuick()
}

func (s sample) comparisons() []comparison { return []comparison{s.usual, s.unusual} }

// rankingOf compares the times of all routes.
func rankingOf(routes map[string]sample) ranking {
	var list []comparison
	for _, route := range slices.Sorted(maps.Keys(routes)) {
		list = append(list, routes[route].comparisons()...)
	}
	return newRanking(list)
}

// isGood tests the hypotheses that the version has a greater share of bad or of very slow responses.
func (s sample) isGood() bool {
	isGood := func(n, events, expected, excess float64) bool {
		return refutation(n, events, expected/max(n, 1)+excess) >= -math.Log(acceptRate)
	}
	return isGood(s.total, s.bad, s.expectedBad, acceptBad) &&
		(s.total < rareResponses || isGood(s.total, s.bad, s.expectedBad, acceptBadRare)) &&
		(s.timed < rareResponses || isGood(s.timed, s.slow, s.expectedSlow, acceptSlowRare))
}

// refutation returns the logarithm of the probability ratio of events among n responses at their
// observed rate and at a given one, 0 unless they are rarer. By Chernoff's bound so few events have
// at most the probability e^-refutation at that rate.
func refutation(n, events, rate float64) float64 {
	const maxRate = 0.95
	rate = min(rate, maxRate)
	observed := events / max(n, 1)
	if observed >= rate {
		return 0
	}
	sum := (1 - observed) * math.Log((1-observed)/(1-rate))
	if observed > 0 {
		sum += observed * math.Log(observed/rate)
	}
	return n * sum
}

// routeWindow is what was counted in a window on a route.
type routeWindow struct {
	// new and old are the responses of the window, reference are those of the old versions that show
	// what to expect.
	new, old, reference Responses
	objective           time.Duration
	endpoints           int
	unusual             bool
	// spans is the number of windows that this one stands for.
	spans float64
}

// sample returns the sample of a window. The responses of one endpoint in one window are not independent.
func (w routeWindow) sample() sample {
	s := sample{total: float64(max(w.new.Total, w.new.Bad)), bad: float64(w.new.Bad)}
	s.expectedBad = s.total * max(rateOf(w.reference.Bad, w.reference.Total), currentRate(w.old.Bad, w.old.Total))
	n := float64(w.new.Times.total())
	independent := min(n, float64(perEndpoint*max(w.endpoints, 1))*max(w.spans, 1))
	floor := bucketOf(time.Duration(objectiveShare * float64(w.objective)))
	c := comparison{old: w.old.Times.floored(floor), new: w.new.Times.floored(floor), independent: independent}
	if w.unusual {
		if n > 0 {
			// Old responses after the end of a burst are not compared with new ones in it.
			s.unusual = c
		}
		return s
	}
	s.usual = c
	if reference := w.reference.Times; n > 0 && reference.total() >= minReference {
		from, weight := slowFrom(reference, w.objective), independent/n
		s.timed, s.slow = independent, weight*float64(w.new.Times.from(from))
		s.expectedSlow = s.timed * max(rateOf(reference.from(from), reference.total()), currentRate(w.old.Times.from(from), w.old.Times.total()))
	}
	return s
}

func rateOf(count, n int64) float64 {
	if n <= 0 {
		return 0
	}
	return min(float64(count)/float64(n), 1)
}
