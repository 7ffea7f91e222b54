package rollout

import "math"

const (
	// slowRank is the probability at which a response of a version that is about three times
	// slower takes longer than one of the old versions, slowRankRare that of one that is not
	// quite twice as slow. A good one has 0.5.
	slowRank, slowRankRare = 0.9, 0.75
	// equalRank is that of a version that is hardly slower. One that exceeds it significantly is not
	// accepted while few responses are known.
	equalRank = 0.5
	// tolerableRank is that of a version that is slower by about a third.
	tolerableRank = 0.65
	// rankDeviations is the number of standard deviations that acceptRate corresponds to.
	rankDeviations = 3.3
	// minCompared is the number of times of either version that are compared at least.
	minCompared = 8
)

// comparison holds times of both versions on one route, in the same conditions. Ranks need fewer
// responses of the old versions than their median and the share above a multiple of it.
type comparison struct {
	old, new Histogram
	// independent is the number of new responses without those that are slow for the same reason.
	independent float64
}

func (c comparison) plus(other comparison) comparison {
	return comparison{old: c.old.plus(other.old, 1), new: c.new.plus(other.new, 1), independent: c.independent + other.independent}
}

// floored returns the histogram without the differences of times that callers don't notice.
func (h Histogram) floored(bucket int) Histogram {
	for i := range min(bucket, buckets-1) {
		h[bucket] += h[i]
		h[i] = 0
	}
	return h
}

// rank returns the share of pairs of a new and an old response in which the new one takes longer;
// equal ones count half.
func (c comparison) rank() float64 {
	var longer, below float64
	for i, n := range c.new {
		longer += float64(n) * (below + float64(c.old[i])/2)
		below += float64(c.old[i])
	}
	return longer / max(float64(c.new.total()*c.old.total()), 1)
}

// variance returns the variance of the rank if it is at a given one (Hanley and McNeil, 1982). Pauses
// spread the times of both versions more than the distributions assumed there, so the greater of its
// two terms is taken for both.
func (c comparison) variance(rank float64) float64 {
	m, n := max(c.independent, 1), max(float64(c.old.total()), 1)
	square := rank * rank
	spread := max(rank/(2-rank), 2*square/(1+rank)) - square
	return (rank*(1-rank) + (m+n-2)*spread) / (m * n)
}

// ranking combines comparisons, each with a weight as in the test of van Elteren.
type ranking struct {
	list []comparison
	// rank is the weighted mean of the ranks, independent and old are the numbers of times.
	rank, weights, independent, old float64
}

func newRanking(list []comparison) ranking {
	r := ranking{list: list}
	for _, c := range list {
		r.independent += c.independent
		r.old += float64(c.old.total())
		r.rank += c.weight() * c.rank()
		r.weights += c.weight()
	}
	r.rank /= max(r.weights, 1e-9)
	return r
}

func (c comparison) weight() float64 {
	n := float64(c.old.total())
	return c.independent * n / (c.independent + n + 1)
}

// exceeds reports whether the rank exceeds another by the significant number of standard deviations,
// below whether it lies below.
func (r ranking) exceeds(rank float64) bool { return r.rank-rank >= r.margin(rank) }
func (r ranking) below(rank float64) bool   { return rank-r.rank >= r.margin(rank) }

// margin returns the significant deviation from a rank, infinite if too few times are known.
func (r ranking) margin(rank float64) float64 {
	if r.independent < minCompared || r.old < minCompared || r.weights == 0 {
		return math.Inf(1)
	}
	variance := 0.0
	for _, c := range r.list {
		if c.weight() > 0 {
			variance += c.weight() * c.weight() * c.variance(rank)
		}
	}
	return rankDeviations * math.Sqrt(variance) / r.weights
}

// isQuick reports whether the version is not slower, isSlow whether it is.
func (r ranking) isQuick() bool {
	if r.independent >= rareResponses {
		return r.below(slowRankRare)
	}
	return r.below(slowRank) && !r.exceeds(equalRank)
}

func (r ranking) isSlow() bool { return r.exceeds(tolerableRank) }
