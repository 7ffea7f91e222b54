package budget

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatency = time.Microsecond
	maxLatency = time.Minute
	// significantDigits gives a relative error of 1%.
	significantDigits = 2
	// windowSamples is the number of samples after which old ones are dropped.
	windowSamples = 1000
	// minSamples is the number of samples that a percentile needs.
	minSamples = 40
)

// Latency is a histogram of the latencies of one kind of call over a sliding
// window of one to two thousand samples.
type Latency struct {
	current, previous *hdrhistogram.Histogram
}

// NewLatency returns an empty histogram.
func NewLatency() *Latency {
	return &Latency{current: newHistogram(), previous: newHistogram()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatency.Microseconds(), maxLatency.Microseconds(), significantDigits)
}

// Record adds one latency; it is clamped to the range of the histogram.
func (l *Latency) Record(d time.Duration) {
	if l.current.TotalCount() >= windowSamples {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
	}
	_ = l.current.RecordValue(min(max(d, minLatency), maxLatency).Microseconds())
}

// Quantile returns the latency below which the given percentage of calls
// stayed. It reports false while there are too few samples.
func (l *Latency) Quantile(percent float64) (time.Duration, bool) {
	h := l.current
	if h.TotalCount() < windowSamples/2 && l.previous.TotalCount() > h.TotalCount() {
		h = l.previous
	}
	if h.TotalCount() < minSamples {
		return 0, false
	}
	return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond, true
}
