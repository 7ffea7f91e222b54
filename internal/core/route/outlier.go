package route

import "time"

const (
	// timeAverageWeight is the weight of one sample in the exponentially weighted
	// moving average.
	timeAverageWeight = 0.25
	// minOutlierSamples is the number of samples before an endpoint is compared
	// with the median.
	minOutlierSamples = 3
	// ejectionRatio is the ratio of an endpoint's average time to the median from
	// which it is ejected.
	ejectionRatio = 2.0
	// ejectionShareDivisor limits ejected endpoints to one in three.
	ejectionShareDivisor = 3
	// baseEjectionTime is the length of an endpoint's first ejection; each further
	// one takes twice as long, up to maxEjectionTime.
	baseEjectionTime = 10 * time.Second
	maxEjectionTime  = 160 * time.Second
	// medianStep is the relative change of the running median per sample.
	medianStep = 0.02
)

// outlierState holds the moving average of the time, in seconds, that an
// endpoint takes for one unit of work, and its ejection.
type outlierState struct {
	average      float64
	samples      int
	ejectedUntil time.Duration
	// nextEjection is the length of the next ejection; 0 before the first.
	nextEjection time.Duration
}

func (s *outlierState) add(sample float64) {
	if s.samples == 0 {
		s.average = sample
	}
	s.average += timeAverageWeight * (sample - s.average)
	s.samples++
}

// relativeTime is the average divided by the median of all endpoints, at
// least 1.
func (s *outlierState) relativeTime(typical float64) float64 {
	if s.samples < minOutlierSamples || typical == 0 {
		return 1
	}
	return max(s.average/typical, 1)
}

// median estimates the median of a stream of samples in constant space.
type median struct {
	value float64
}

func (m *median) add(sample float64) {
	switch {
	case m.value == 0:
		m.value = sample
	case sample > m.value:
		m.value *= 1 + medianStep
	case sample < m.value:
		m.value /= 1 + medianStep
	}
}

// Observe records the time that an endpoint took for one unit of work: the
// interval between tokens of a model, or the whole call of a plain service. An
// endpoint that reaches ejectionRatio is ejected temporarily, unless more than a
// third of the live endpoints would then be ejected.
func (t *Table) Observe(now time.Duration, id endpointID, elapsed time.Duration) {
	s, ok := t.byID[id]
	if !ok || elapsed <= 0 || s.Leaving || s.absent {
		return
	}
	sample := elapsed.Seconds()
	t.medianTime.add(sample)
	s.outlier.add(sample)
	if s.outlier.relativeTime(t.medianTime.value) < ejectionRatio || s.outlier.ejectedUntil > now {
		return
	}
	if t.Ejected(now)+1 > t.ejectLimit() {
		return
	}
	t.eject(now, s)
}

func (t *Table) eject(now time.Duration, s *state) {
	length := min(max(s.outlier.nextEjection, baseEjectionTime), maxEjectionTime)
	s.outlier = outlierState{ejectedUntil: now + length, nextEjection: length * 2}
	t.ejected = append(t.ejected, s)
}

// ejectLimit is the largest number of endpoints ejected at once.
func (t *Table) ejectLimit() int { return t.live / ejectionShareDivisor }

// Ejected is the number of live endpoints that are ejected now.
func (t *Table) Ejected(now time.Duration) int {
	current := t.ejected[:0]
	for _, s := range t.ejected {
		if s.outlier.ejectedUntil > now && !s.Leaving && !s.absent && t.byID[s.ID] == s {
			current = append(current, s)
		}
	}
	t.ejected = current
	return len(current)
}
