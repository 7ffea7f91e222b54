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
	// windowSamples is the number of samples in one of the two histograms that
	// alternate.
	windowSamples = 1000
	// minSamples is the number of samples required for a percentile.
	minSamples = 40
)

// Latency is a histogram of the latencies of one kind of call. Samples older than
// the last 2*windowSamples are dropped.
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

// Record adds one latency, clamped to the range of the histogram.
func (l *Latency) Record(d time.Duration) {
	if l.current.TotalCount() >= windowSamples {
		l.current, l.previous = l.previous, l.current
		l.current.Reset()
	}
	_ = l.current.RecordValue(min(max(d, minLatency), maxLatency).Microseconds())
}

// Quantile returns the latency that the given percentage of calls did not
// exceed. It reports false if there are fewer than minSamples samples.
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
