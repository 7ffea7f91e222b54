package rollout

import (
	"math"
	"time"
)

const (
	// buckets is the number of buckets of a Histogram. They cover the time from firstBucket,
	// below any latency that callers notice, to 8 s, and each is longer than the one before by
	// the factor of the square root of 2.
	buckets     = 24
	firstBucket = 2 * time.Millisecond
	// bucketsPerOctave is the number of buckets in which times double.
	bucketsPerOctave = 2
)

// Histogram counts responses by their time to the first byte.
type Histogram [buckets]int64

// Observe counts a response.
func (h *Histogram) Observe(t time.Duration) { h[bucketOf(t)]++ }

func bucketOf(t time.Duration) int {
	if t <= firstBucket {
		return 0
	}
	i := int(math.Ceil(bucketsPerOctave * math.Log2(float64(t)/float64(firstBucket))))
	return min(i, buckets-1)
}

// total returns the number of responses.
func (h Histogram) total() int64 { return h.from(0) }

// from returns the number of responses in a bucket and those above it.
func (h Histogram) from(bucket int) int64 {
	var n int64
	for _, count := range h[min(bucket, buckets):] {
		n += count
	}
	return n
}

// median returns the bucket of the median.
func (h Histogram) median() int {
	half, n := (h.total()+1)/2, int64(0)
	for i, count := range h {
		if n += count; n >= half {
			return i
		}
	}
	return buckets - 1
}

func (h Histogram) plus(other Histogram, sign int64) Histogram {
	for i := range h {
		h[i] += sign * other[i]
	}
	return h
}

// Responses counts the responses of one version on one route.
type Responses struct {
	// Total counts the responses, Bad those that were server errors, were reset, malformed
	// or unsigned.
	Total, Bad int64
	Times      Histogram
}

func (r Responses) plus(other Responses, sign int64) Responses {
	return Responses{Total: r.Total + sign*other.Total, Bad: r.Bad + sign*other.Bad, Times: r.Times.plus(other.Times, sign)}
}

// isValid reports whether no count is negative.
func (r Responses) isValid() bool {
	for _, n := range r.Times {
		if n < 0 {
			return false
		}
	}
	return r.Total >= 0 && r.Bad >= 0
}

// VersionCounts counts what happened with one version since the order.
type VersionCounts struct {
	// Sent counts the requests sent, also repeated ones, Active those that are not ended.
	Sent, Active int64
	Routes       map[string]Responses
}

func (c VersionCounts) plus(other VersionCounts, sign int64) VersionCounts {
	sum := VersionCounts{Sent: c.Sent + sign*other.Sent, Active: c.Active + sign*other.Active, Routes: make(map[string]Responses)}
	for route, r := range c.Routes {
		sum.Routes[route] = r
	}
	for route, r := range other.Routes {
		sum.Routes[route] = sum.Routes[route].plus(r, sign)
	}
	return sum
}

// pooled returns the responses of all routes without their times, which differ by route.
func (c VersionCounts) pooled() Responses {
	var sum Responses
	for _, r := range c.Routes {
		sum.Total += r.Total
		sum.Bad += r.Bad
	}
	return sum
}

// Counts is what one instance, or several together, counted of a rollout since its order.
type Counts struct {
	Old, New VersionCounts
	// Moved is the number of instances that send nothing more to the old versions.
	Moved int64
}

// Plus returns the sum of both.
func (c Counts) Plus(other Counts) Counts { return c.add(other, 1) }

// Minus returns the counts without a part that was added before.
func (c Counts) Minus(other Counts) Counts { return c.add(other, -1) }

func (c Counts) add(other Counts, sign int64) Counts {
	return Counts{Old: c.Old.plus(other.Old, sign), New: c.New.plus(other.New, sign), Moved: c.Moved + sign*other.Moved}
}

// sent returns the requests sent to all versions.
func (c Counts) sent() int64 { return c.Old.Sent + c.New.Sent }
