package route

import "time"

const (
	// speedWeight is the weight of one sample in the moving average.
	timeAverageWeight = 0.25
	// minSpeedSamples is the number of samples before an endpoint is judged.
	minOutlierSamples = 3
	// ejectFactor is how many times the typical time an endpoint must take to
	// be ejected.
	ejectionRatio = 2.0
	// ejectShareDivisor bounds the ejected endpoints to one in three.
	ejectionShareDivisor = 3
	// ejectTime is the length of the first ejection; each further one in a row
	// takes twice as long, up to maxEjectTime.
	baseEjectionTime = 10 * time.Second
	maxEjectionTime  = 160 * time.Second
	// typicalStep is the relative step of the running median.
	medianStep = 0.02
)

// speed is a moving average of the time that an endpoint takes.
type outlierState struct {
	average      float64
	samples      int
	ejectedUntil time.Duration
	nextEjection time.Duration
}

func (s *outlierState) add(sample float64) {
	if s.samples == 0 {
		s.average = sample
	}
	s.average += timeAverageWeight * (sample - s.average)
	s.samples++
}

// slowness is the average relative to the typical time, at least 1.
func (s *outlierState) relativeTime(typical float64) float64 {
	if s.samples < minOutlierSamples || typical == 0 {
		return 1
	}
	return max(s.average/typical, 1)
}

// median follows the median of a stream of samples in constant space.
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

// Observe records how long an endpoint took for one unit of work: the time
// between tokens of a model, or the whole call of a plain service. An endpoint
// that is far slower than its peers is ejected for a time, unless the share of
// ejected endpoints would exceed one third.
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
