package duty

import (
	"maps"
	"slices"
	"time"
)

const (
	// maxClockDifference bounds the difference between two correct clocks.
	maxClockDifference = 400 * time.Millisecond
	// sampleTTL is how long a sample of a peer's clock is used.
	sampleTTL = 5 * time.Second
)

// ClockEstimate estimates true time from the wall clocks of all instances, each of
// which may have been stepped. Offsets are Unix time minus the time of the local
// monotonic clock.
type ClockEstimate struct {
	offset    time.Duration
	estimated bool
	samples   map[string]clockSample
	// cursor is the position of the next sample that Readings returns.
	cursor int
}

type clockSample struct{ offset, takenAt time.Duration }

// NewClockEstimate returns a ClockEstimate without samples.
func NewClockEstimate() *ClockEstimate { return &ClockEstimate{samples: make(map[string]clockSample)} }

// Update recomputes the estimate from the local wall clock and the samples of
// peers. The estimate is kept while at least a third of the clocks agree with it;
// otherwise the median replaces it.
func (t *ClockEstimate) Update(now, wall time.Duration) {
	offsets := []time.Duration{wall - now}
	for name, s := range t.samples {
		if now-s.takenAt > sampleTTL {
			delete(t.samples, name)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	if t.estimated && len(offsets) == 1 {
		return
	}
	if t.estimated && 3*countAgreeing(offsets, t.offset) >= len(offsets) {
		return
	}
	t.offset, t.estimated = offsets[len(offsets)/2], true
}

// countAgreeing returns the number of offsets within maxClockDifference of
// reference.
func countAgreeing(offsets []time.Duration, reference time.Duration) int {
	n := 0
	for _, o := range offsets {
		if (o - reference).Abs() <= maxClockDifference {
			n++
		}
	}
	return n
}

// AddSample records the wall clock of a peer.
func (t *ClockEstimate) AddSample(now time.Duration, name string, wall time.Duration) {
	t.samples[name] = clockSample{offset: wall - now, takenAt: now}
}

// ClockReading is the wall clock of an instance.
type ClockReading struct {
	Node string
	Wall time.Duration
}

// Readings returns the wall clocks of up to n peers at now, others each time.
func (t *ClockEstimate) Readings(now time.Duration, n int) []ClockReading {
	names := slices.Sorted(maps.Keys(t.samples))
	var readings []ClockReading
	for range min(n, len(names)) {
		name := names[t.cursor%len(names)]
		readings = append(readings, ClockReading{Node: name, Wall: now + t.samples[name].offset})
		t.cursor++
	}
	return readings
}

// TrueTime returns the estimated Unix time.
func (t *ClockEstimate) TrueTime(now time.Duration) time.Duration { return now + t.offset }
