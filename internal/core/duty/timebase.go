package duty

import (
	"slices"
	"time"
)

const (
	// maxClockDifference is the difference between clocks that are not stepped.
	maxClockDifference = 400 * time.Millisecond
	// sampleTTL is how long a peer's clock counts.
	sampleTTL = 5 * time.Second
)

// ClockEstimate estimates true time from the times of day of all instances, each of
// which may have been stepped. Offsets are the time since 1970 less the time of
// the local steady clock.
type ClockEstimate struct {
	offset    time.Duration
	estimated bool
	samples   map[string]clockSample
}

type clockSample struct{ offset, takenAt time.Duration }

// NewClockEstimate returns an estimate without samples.
func NewClockEstimate() *ClockEstimate { return &ClockEstimate{samples: make(map[string]clockSample)} }

// Update takes the local time of day and updates the estimate. The estimate is
// kept as long as a third of the clocks agree with it.
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

func countAgreeing(offsets []time.Duration, reference time.Duration) int {
	n := 0
	for _, o := range offsets {
		if (o - reference).Abs() <= maxClockDifference {
			n++
		}
	}
	return n
}

// AddSample takes the time of day of a peer.
func (t *ClockEstimate) AddSample(now time.Duration, name string, wall time.Duration) {
	t.samples[name] = clockSample{offset: wall - now, takenAt: now}
}

// TrueTime returns the estimated time since 1970.
func (t *ClockEstimate) TrueTime(now time.Duration) time.Duration { return now + t.offset }
