package duty

import (
	"slices"
	"time"
)

const (
	// clockTolerance is the difference between clocks that are not stepped.
	clockTolerance = 400 * time.Millisecond
	// sampleFor is how long a peer's clock counts.
	sampleFor = 5 * time.Second
)

// TimeBase estimates true time from the times of day of all instances, each of
// which may have been stepped. Offsets are the time since 1970 less the time of
// the local steady clock.
type TimeBase struct {
	offset  time.Duration
	known   bool
	samples map[string]clockSample
}

type clockSample struct{ offset, at time.Duration }

// NewTimeBase returns an estimate without samples.
func NewTimeBase() *TimeBase { return &TimeBase{samples: make(map[string]clockSample)} }

// Observe takes the local time of day and updates the estimate. The estimate is
// kept as long as a third of the clocks agree with it.
func (t *TimeBase) Observe(now, wall time.Duration) {
	offsets := []time.Duration{wall - now}
	for name, s := range t.samples {
		if now-s.at > sampleFor {
			delete(t.samples, name)
			continue
		}
		offsets = append(offsets, s.offset)
	}
	slices.Sort(offsets)
	if t.known && len(offsets) == 1 {
		return
	}
	if t.known && 3*agreeing(offsets, t.offset) >= len(offsets) {
		return
	}
	t.offset, t.known = offsets[len(offsets)/2], true
}

func agreeing(offsets []time.Duration, with time.Duration) int {
	n := 0
	for _, o := range offsets {
		if (o - with).Abs() <= clockTolerance {
			n++
		}
	}
	return n
}

// Heard takes the time of day of a peer.
func (t *TimeBase) Heard(now time.Duration, name string, wall time.Duration) {
	t.samples[name] = clockSample{offset: wall - now, at: now}
}

// TrueTime returns the estimated time since 1970.
func (t *TimeBase) TrueTime(now time.Duration) time.Duration { return now + t.offset }
