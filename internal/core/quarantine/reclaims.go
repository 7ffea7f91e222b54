package quarantine

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// minBatchSize and minBatchPercent are the number and the percentage of leaving
	// endpoints of one data centre from which they count as a batch reclaim. Crashes
	// in the data centre are then no evidence, since the reclaim may cause them. A
	// single replacement stays below the limits and does not hide a poison request.
	minBatchSize    = 2
	minBatchPercent = 10
	// ReclaimGrace is the time after the last list with a leaving endpoint or a
	// batch reclaim during which crashes still don't count, since the instance list
	// lags behind the reclaim.
	ReclaimGrace = 2 * time.Minute
)

// ListedEndpoint is one endpoint of the instance list.
type ListedEndpoint struct {
	Endpoint   fleet.EndpointID
	DataCentre fleet.DataCentre
	Leaving    bool
}

// ReclaimTracker tracks which endpoints are being reclaimed and which data centres
// are in a batch reclaim, to exclude their crashes from the evidence.
type ReclaimTracker struct {
	leaving map[fleet.EndpointID]bool
	batches map[fleet.DataCentre]bool
	// lastLeaving and lastBatch are the latest times at which an endpoint was
	// leaving or a data centre was in a batch reclaim.
	lastLeaving map[fleet.EndpointID]time.Duration
	lastBatch   map[fleet.DataCentre]time.Duration
}

// NewReclaimTracker returns a tracker without any reclaims.
func NewReclaimTracker() *ReclaimTracker {
	return &ReclaimTracker{
		lastLeaving: make(map[fleet.EndpointID]time.Duration),
		lastBatch:   make(map[fleet.DataCentre]time.Duration),
	}
}

// UpdateList replaces the instance list at monotonic time now.
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

// IsEvidence reports whether a crash of the endpoint at monotonic time now is
// evidence against the requests that it ran.
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
