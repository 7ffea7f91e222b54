package enginemodel

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// recordedChange is the relative change of a speed from which a new record is worth writing.
	recordedChange = 0.1
	// restoredWeight is the weight of restored sums: enough for the service to be known, little
	// enough that requests correct them within a second or two.
	restoredWeight = 2 * knownWeight
	// restoredTokens is the same for the tokens of a route.
	restoredTokens = 10 * priorRouteTokens
)

// Recorder decides which services need a new record of what was learned of them.
type Recorder struct{ recorded map[fleet.ServiceName]Speeds }

// NewRecorder returns a recorder that knows of no record.
func NewRecorder() *Recorder { return &Recorder{recorded: make(map[fleet.ServiceName]Speeds)} }

// Due returns the known services whose speeds differ from those recorded.
func (r *Recorder) Due(s Sums) []fleet.ServiceName {
	var due []fleet.ServiceName
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		v := speedsOf(s.Services[name], 0)
		if old, ok := r.recorded[name]; v.known && (!ok || v.differs(old)) {
			due = append(due, name)
		}
	}
	return due
}

// Recorded notes that the sums of a service were recorded.
func (r *Recorder) Recorded(name fleet.ServiceName, s ServiceSums) { r.recorded[name] = speedsOf(s, 0) }

func (v Speeds) differs(o Speeds) bool {
	changed := func(a, b float64) bool { return math.Abs(a-b) > recordedChange*b }
	return changed(v.readPerToken, o.readPerToken) || changed(v.firstFixed, o.firstFixed) ||
		changed(v.step(1), o.step(1)) || changed(v.requestTime, o.requestTime)
}

// Restore sets what was recorded before the start. It counts as a few requests and decays.
func (m *Model) Restore(now time.Duration, recorded Sums) {
	m.restored, m.restoredAt = NewSums(), now
	for name, s := range recorded.Services {
		if n := s.First.Certain.N; n > restoredWeight {
			s.add(s, restoredWeight/n-1)
		}
		// The rate of requests from before the start says nothing of the present.
		s.Read = 0
		m.restored.Services[name] = s
	}
	for key, s := range recorded.Routes {
		if tokens := max(s.MaxOutput, s.Shared); tokens > restoredTokens {
			s.add(s, restoredTokens/tokens-1)
		}
		m.restored.Routes[key] = s
	}
	for name, v := range m.speeds {
		*v = speedsOf(m.serviceSums(now, name), m.counts[name])
	}
}
