package quarantine

import (
	"math"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// CrashThreshold is the number of crash events from which a fingerprint may be
	// quarantined.
	CrashThreshold = 3
	// EvidenceTTL is the time, by log time, after which a crash event no longer
	// counts.
	EvidenceTTL = 6 * time.Hour
	// maxFoldEvents bounds the memory of the fold; the oldest events are evicted.
	maxFoldEvents = 4096
	// maxFoldSuspects bounds the suspects of one crash.
	maxFoldSuspects = 1024
	// forever lies after all log times: a router waits by its own clock until the records
	// of the others have arrived.
	forever = time.Duration(math.MaxInt64)
)

// Evidence is one record of the crash stream. Several routers may report the same
// crash, each with the fingerprints that it was running on the endpoint.
type Evidence struct {
	Event        Event
	Fingerprints []fleet.Fingerprint
	// Cleared are fingerprints that completed, so that their earlier events no
	// longer count.
	Cleared []fleet.Fingerprint
}

// Fold is the crash evidence of all records below an offset.
type Fold struct {
	nextOffset uint64
	table      *Table
}

// NewFold returns a fold without evidence.
func NewFold() *Fold {
	return &Fold{table: NewTable(Limits{
		Threshold: CrashThreshold, TTL: EvidenceTTL, ClearMemory: EvidenceTTL, MaxEvents: maxFoldEvents, MaxSuspects: maxFoldSuspects,
	})}
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
	f.AddLocal(logTime, e)
}

// AddLocal adds evidence of the local instance before it is read back from the
// log. Applying the record later has no further effect, because adding the same
// evidence is idempotent.
func (f *Fold) AddLocal(logTime time.Duration, e Evidence) {
	f.table.expire(logTime)
	for _, fingerprint := range e.Cleared {
		f.table.Clear(logTime, logTime, RequestTrait(fingerprint))
	}
	f.table.Add(logTime, logTime, e.Event, lo.Map(e.Fingerprints, toTrait))
}

func toTrait(f fleet.Fingerprint, _ int) Trait { return RequestTrait(f) }

// EventCount is the number of crash events that contain the fingerprint.
func (f *Fold) EventCount(fingerprint fleet.Fingerprint) int {
	return f.table.Count(RequestTrait(fingerprint))
}

// Quarantined returns the quarantined fingerprints.
func (f *Fold) Quarantined() []fleet.Fingerprint {
	// All suspects of the log are whole requests, so that each cause is one.
	return lo.Map(f.table.Causes(forever), func(c Cause, _ int) fleet.Fingerprint { return fleet.Fingerprint(c.Traits[0].ID) })
}

// IsQuarantined reports whether the fingerprint is a cause of crashes.
func (f *Fold) IsQuarantined(fingerprint fleet.Fingerprint) bool {
	return lo.Contains(f.Quarantined(), fingerprint)
}
