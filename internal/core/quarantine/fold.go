// Package quarantine folds crash evidence from the log and decides which request
// fingerprints are quarantined, that is refused because they crash endpoints.
package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// CrashThreshold is the number of crash events from which a fingerprint may be
	// quarantined.
	CrashThreshold = 3
	// EvidenceTTL is the time, by log time, after which a crash event no longer
	// counts.
	EvidenceTTL = 6 * time.Hour
	// maxEvents bounds the memory of the fold; the oldest events are evicted.
	maxEvents = 4096
)

// Event identifies one crash. An incarnation is one process of an endpoint, so it
// crashes at most once.
type Event struct {
	Endpoint    fleet.EndpointID
	Incarnation string
}

// Evidence is one record of the crash stream. Several routers may report the same
// crash, each with the fingerprints that it was running on the endpoint.
type Evidence struct {
	Event        Event
	Fingerprints []fleet.Fingerprint
	// Cleared are fingerprints that completed, so that their earlier events no
	// longer count.
	Cleared []fleet.Fingerprint
}

// Fold is the crash evidence of all records below an offset. Invariant: counts[f]
// is the number of events that contain fingerprint f.
type Fold struct {
	nextOffset uint64
	events     map[Event]*eventState
	order      []Event
	counts     map[fleet.Fingerprint]int
}

type eventState struct {
	time         time.Duration
	fingerprints map[fleet.Fingerprint]bool
}

// NewFold returns a fold without evidence.
func NewFold() *Fold {
	return &Fold{events: make(map[Event]*eventState), counts: make(map[fleet.Fingerprint]int)}
}

// NextOffset is the offset of the next record to apply.
func (f *Fold) NextOffset() uint64 { return f.nextOffset }

// SkipTo advances to an offset, past records that have expired or could not be
// decoded.
func (f *Fold) SkipTo(offset uint64) { f.nextOffset = max(f.nextOffset, offset) }

// Apply folds one record. logTime is the append time of the record, since the
// Unix epoch. Records below NextOffset are ignored.
func (f *Fold) Apply(offset uint64, logTime time.Duration, e Evidence) {
	if offset < f.nextOffset {
		return
	}
	f.nextOffset = offset + 1
	f.expire(logTime)
	for _, fingerprint := range e.Cleared {
		f.clear(fingerprint)
	}
	if len(e.Fingerprints) > 0 {
		f.add(logTime, e)
	}
}

func (f *Fold) add(logTime time.Duration, e Evidence) {
	recorded, ok := f.events[e.Event]
	if !ok {
		recorded = &eventState{time: logTime, fingerprints: make(map[fleet.Fingerprint]bool)}
		f.events[e.Event] = recorded
		f.order = append(f.order, e.Event)
	}
	for _, fingerprint := range e.Fingerprints {
		if !recorded.fingerprints[fingerprint] {
			recorded.fingerprints[fingerprint] = true
			f.counts[fingerprint]++
		}
	}
}

func (f *Fold) expire(now time.Duration) {
	for len(f.order) > 0 {
		oldest := f.events[f.order[0]]
		if len(f.order) <= maxEvents && now-oldest.time < EvidenceTTL {
			return
		}
		for fingerprint := range oldest.fingerprints {
			f.decrement(fingerprint)
		}
		delete(f.events, f.order[0])
		f.order = f.order[1:]
	}
}

func (f *Fold) clear(fingerprint fleet.Fingerprint) {
	if f.counts[fingerprint] == 0 {
		return
	}
	for _, e := range f.events {
		delete(e.fingerprints, fingerprint)
	}
	delete(f.counts, fingerprint)
}

func (f *Fold) decrement(fingerprint fleet.Fingerprint) {
	f.counts[fingerprint]--
	if f.counts[fingerprint] <= 0 {
		delete(f.counts, fingerprint)
	}
}

// EventCount is the number of crash events that contain the fingerprint.
func (f *Fold) EventCount(fingerprint fleet.Fingerprint) int { return f.counts[fingerprint] }

// Quarantined returns the quarantined fingerprints in ascending order.
func (f *Fold) Quarantined() []fleet.Fingerprint {
	var refused []fleet.Fingerprint
	for _, fingerprint := range slices.Sorted(maps.Keys(f.counts)) {
		if f.IsQuarantined(fingerprint) {
			refused = append(refused, fingerprint)
		}
	}
	return refused
}

// IsQuarantined reports whether at least CrashThreshold events contain the
// fingerprint and none of them contains another one with at least as many events.
func (f *Fold) IsQuarantined(fingerprint fleet.Fingerprint) bool {
	count := f.counts[fingerprint]
	if count < CrashThreshold {
		return false
	}
	for _, e := range f.events {
		if e.fingerprints[fingerprint] && f.hasEqualSuspect(e, fingerprint, count) {
			return false
		}
	}
	return true
}

func (f *Fold) hasEqualSuspect(e *eventState, fingerprint fleet.Fingerprint, count int) bool {
	for other := range e.fingerprints {
		if other != fingerprint && f.counts[other] >= count {
			return true
		}
	}
	return false
}

// AddLocal adds evidence of the local instance before it is read back from the
// log. Applying the record later has no further effect, because adding the same
// evidence is idempotent.
func (f *Fold) AddLocal(logTime time.Duration, e Evidence) {
	for _, fingerprint := range e.Cleared {
		f.clear(fingerprint)
	}
	if len(e.Fingerprints) > 0 {
		f.add(logTime, e)
	}
}
