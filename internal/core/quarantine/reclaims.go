package quarantine

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// waveMinimum and wavePercent tell from which number of leaving endpoints of
	// one data centre on a crash there is not taken as evidence: a single
	// replacement must not hide a poison request, a wave must not accuse anyone.
	minBatchSize    = 2
	minBatchPercent = 10
	// WaveMemory is how long after the last notice of a wave its crashes don't
	// count, since the instance list lags behind the reclaim.
	ReclaimGrace = 2 * time.Minute
)

// Observed is one endpoint of the instance list.
type ListedEndpoint struct {
	Endpoint   fleet.EndpointID
	DataCentre fleet.DataCentre
	Leaving    bool
}

// Waves remembers which endpoints have a reclaim notice and which data centres
// are in a reclaim wave.
type ReclaimTracker struct {
	leaving map[fleet.EndpointID]bool
	batches map[fleet.DataCentre]bool
	// The last times at which an endpoint was leaving or a data centre was in a
	// wave, for those that no longer are.
	lastLeaving map[fleet.EndpointID]time.Duration
	lastBatch   map[fleet.DataCentre]time.Duration
}

// NewWaves returns an empty memory.
func NewReclaimTracker() *ReclaimTracker {
	return &ReclaimTracker{
		lastLeaving: make(map[fleet.EndpointID]time.Duration),
		lastBatch:   make(map[fleet.DataCentre]time.Duration),
	}
}

// Observe takes a new instance list at monotonic time now.
func (t *ReclaimTracker) UpdateList(now time.Duration, list []ListedEndpoint) {
	for endpoint := range t.leaving {
		t.lastLeaving[endpoint] = now
	}
	for dataCentre := range t.batches {
		t.lastBatch[dataCentre] = now
	}
	for endpoint, at := range t.lastLeaving {
		if now-at > ReclaimGrace {
			delete(t.lastLeaving, endpoint)
		}
	}
	t.leaving = make(map[fleet.EndpointID]bool)
	t.batches = make(map[fleet.DataCentre]bool)
	total := make(map[fleet.DataCentre]int)
	leaving := make(map[fleet.DataCentre]int)
	for _, o := range list {
		total[o.DataCentre]++
		if o.Leaving {
			leaving[o.DataCentre]++
			t.leaving[o.Endpoint] = true
		}
	}
	for dataCentre, n := range leaving {
		if n >= minBatchSize && n*100 >= total[dataCentre]*minBatchPercent {
			t.batches[dataCentre] = true
		}
	}
}

// Counts reports whether a crash of the endpoint at monotonic time now is evidence.
func (t *ReclaimTracker) IsEvidence(now time.Duration, endpoint fleet.EndpointID, dataCentre fleet.DataCentre) bool {
	if t.leaving[endpoint] || t.batches[dataCentre] {
		return false
	}
	if at, ok := t.lastLeaving[endpoint]; ok && now-at <= ReclaimGrace {
		return false
	}
	at, ok := t.lastBatch[dataCentre]
	return !ok || now-at > ReclaimGrace
}
