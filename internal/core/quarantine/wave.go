package quarantine

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// waveMinimum and wavePercent tell from which number of leaving endpoints of
	// one data centre on a crash there is not taken as evidence: a single
	// replacement must not hide a poison request, a wave must not accuse anyone.
	waveMinimum = 2
	wavePercent = 10
	// WaveMemory is how long after the last notice of a wave its crashes don't
	// count, since the instance list lags behind the reclaim.
	WaveMemory = 2 * time.Minute
)

// Observed is one endpoint of the instance list.
type Observed struct {
	Endpoint   fleet.EndpointID
	DataCentre fleet.DataCentre
	Leaving    bool
}

// Waves remembers which endpoints have a reclaim notice and which data centres
// are in a reclaim wave.
type Waves struct {
	leaving map[fleet.EndpointID]bool
	waves   map[fleet.DataCentre]bool
	// The last times at which an endpoint was leaving or a data centre was in a
	// wave, for those that no longer are.
	leftAt  map[fleet.EndpointID]time.Duration
	endedAt map[fleet.DataCentre]time.Duration
}

// NewWaves returns an empty memory.
func NewWaves() *Waves {
	return &Waves{
		leftAt:  make(map[fleet.EndpointID]time.Duration),
		endedAt: make(map[fleet.DataCentre]time.Duration),
	}
}

// Observe takes a new instance list at monotonic time now.
func (w *Waves) Observe(now time.Duration, list []Observed) {
	for endpoint := range w.leaving {
		w.leftAt[endpoint] = now
	}
	for dataCentre := range w.waves {
		w.endedAt[dataCentre] = now
	}
	for endpoint, at := range w.leftAt {
		if now-at > WaveMemory {
			delete(w.leftAt, endpoint)
		}
	}
	w.leaving = make(map[fleet.EndpointID]bool)
	w.waves = make(map[fleet.DataCentre]bool)
	total := make(map[fleet.DataCentre]int)
	leaving := make(map[fleet.DataCentre]int)
	for _, o := range list {
		total[o.DataCentre]++
		if o.Leaving {
			leaving[o.DataCentre]++
			w.leaving[o.Endpoint] = true
		}
	}
	for dataCentre, n := range leaving {
		if n >= waveMinimum && n*100 >= total[dataCentre]*wavePercent {
			w.waves[dataCentre] = true
		}
	}
}

// Counts reports whether a crash of the endpoint at monotonic time now is evidence.
func (w *Waves) Counts(now time.Duration, endpoint fleet.EndpointID, dataCentre fleet.DataCentre) bool {
	if w.leaving[endpoint] || w.waves[dataCentre] {
		return false
	}
	if at, ok := w.leftAt[endpoint]; ok && now-at <= WaveMemory {
		return false
	}
	at, ok := w.endedAt[dataCentre]
	return !ok || now-at > WaveMemory
}
