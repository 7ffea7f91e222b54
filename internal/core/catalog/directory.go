package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
)

// RecoveryGrace is the time after the store's recovery within which a live
// endpoint writes its entry again. Until then a missing entry doesn't mean that
// the endpoint has gone.
const RecoveryGrace = 2 * time.Second

// tombstoneTTL is how long the position of a removed entry is kept, so that a late
// copy from a peer does not restore the entry.
const tombstoneTTL = 60 * time.Second

// Endpoint is a replica of a service as described by the instance list.
type Endpoint struct {
	ID         fleet.EndpointID
	Service    fleet.ServiceName
	Address    string
	DataCentre fleet.DataCentre
	// Version is that of the endpoint's software, empty if it is not stated.
	Version  fleet.SoftwareVersion
	Slots    int
	Draining bool
	// Cold is set while the endpoint is not as fast as it will be, since it started recently.
	Cold bool
	// Lapsed is set if the entry was removed during an outage of the store. The
	// endpoint may be alive and is used only if there is no other.
	Lapsed bool
	// Renewed is set once the entry was written after the list of the store's current epoch was first
	// read. Before, the endpoint may have ended without a trace in the list.
	Renewed bool
	// Reclaimable is set if the cloud may take the instance back on short notice.
	Reclaimable bool
	// Started is the start time of this incarnation in Unix milliseconds.
	Started int64
	// Sequence counts the heartbeats of this incarnation.
	Sequence int64
}

// Entry is one record of the instance list.
type Entry struct {
	ID fleet.EndpointID
	// Position is the place of the record in the list's log.
	Position storelog.Position
	// Endpoint is nil if the record removes the entry or describes no usable
	// endpoint.
	Endpoint *Endpoint
	// Removed is set if the record removes the entry, Missing if there is none: a complete list
	// lacks the entry.
	Removed, Missing bool
}

type listEntry struct {
	endpoint *Endpoint
	// lastState is the newest state received; it is kept after the removal.
	lastState *Endpoint
	position  storelog.Position
	// graceUntil is set while the entry is missing because of an outage of the
	// store; the endpoint may still be alive until then.
	graceUntil time.Duration
	removedAt  time.Duration
	// withdrawn is set if the newest record removes the entry, rather than that it is missing.
	withdrawn bool
	// renewed is set once a record at or after the first end of the list was applied.
	renewed bool
}

// Directory folds the records of the instance list. An endpoint is dropped at
// once when its entry is removed, except for entries that were removed during an
// outage of the store: these are kept for RecoveryGrace after its recovery.
type Directory struct {
	entries map[fleet.EndpointID]*listEntry
	// recoveredAt is the time of the first successful read after an outage.
	recoveredAt time.Duration
	// catchingUp is set while records that were written during an outage are
	// applied.
	catchingUp bool
	// firstEnd is the end of the list when it was first read completely in the current epoch.
	firstEnd storelog.Position
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{entries: make(map[fleet.EndpointID]*listEntry)}
}

// StoreRecovered reports that the store is available again after an outage.
// Records applied before CaughtUp were written during the outage.
func (d *Directory) StoreRecovered(now time.Duration) {
	d.recoveredAt, d.catchingUp = now, true
}

// BeginEpoch reports that the list was read completely for the first time in an epoch of the store.
// end is the end of the list then.
func (d *Directory) BeginEpoch(end storelog.Position) {
	d.firstEnd = end
	for _, l := range d.entries {
		l.renewed = false
	}
}

// CaughtUp reports that all records written during an outage are applied.
func (d *Directory) CaughtUp() { d.catchingUp = false }

// Apply folds one record and reports whether the usable endpoints changed.
// Records that are not newer than the entry's last one are ignored.
func (d *Directory) Apply(now time.Duration, e Entry) bool {
	l, ok := d.entries[e.ID]
	if ok && e.Position <= l.position {
		return false
	}
	if !ok {
		l = &listEntry{}
		d.entries[e.ID] = l
	}
	l.position = e.Position
	if e.Endpoint == nil {
		return d.remove(now, l, e)
	}
	renewed := e.Position >= d.firstEnd && !l.renewed
	l.renewed = l.renewed || renewed
	return d.update(l, e.Endpoint) || (renewed && l.endpoint != nil)
}

func (d *Directory) remove(now time.Duration, l *listEntry, e Entry) bool {
	l.withdrawn = !e.Missing
	if l.endpoint == nil {
		l.removedAt = now
		return false
	}
	if e.Removed && !l.endpoint.Draining && d.catchingUp {
		l.graceUntil = d.recoveredAt + RecoveryGrace
		lapsed := *l.endpoint
		lapsed.Lapsed = true
		l.endpoint = &lapsed
		return true
	}
	l.endpoint, l.removedAt = nil, now
	return true
}

// update applies a newer state. A heartbeat whose write was delayed is older
// than the last state and must not make a draining endpoint usable again.
func (d *Directory) update(l *listEntry, e *Endpoint) bool {
	if last := l.lastState; last != nil {
		stale := e.Started < last.Started || (e.Started == last.Started && e.Sequence <= last.Sequence)
		if stale {
			return l.restore(e)
		}
		if e.Started == last.Started && last.Draining {
			e.Draining = true
		}
	}
	old := l.endpoint
	l.endpoint, l.lastState, l.graceUntil, l.removedAt, l.withdrawn = e, e, 0, 0, false
	return old == nil || old.Lapsed || old.Draining != e.Draining || old.Address != e.Address ||
		old.Started != e.Started || old.Service != e.Service || old.Slots != e.Slots ||
		old.Version != e.Version || old.Cold != e.Cold
}

// restore makes an entry that was missing usable again, if the endpoint has written it once more
// as it was. It reports whether that changed the entry.
func (l *listEntry) restore(e *Endpoint) bool {
	last := l.lastState
	isSame := e.Started == last.Started && e.Sequence == last.Sequence
	if !isSame || !l.isMissing() {
		return false
	}
	l.endpoint, l.graceUntil, l.removedAt = last, 0, 0
	return true
}

// isMissing reports whether the entry is gone from the list without a record that removes it, or
// was removed during an outage.
func (l *listEntry) isMissing() bool {
	return l.graceUntil != 0 || (l.endpoint == nil && !l.withdrawn)
}

// Expire drops endpoints whose entry is still missing after RecoveryGrace, and
// tombstones older than tombstoneTTL. It reports whether an endpoint was dropped.
func (d *Directory) Expire(now time.Duration) bool {
	changed := false
	for id, l := range d.entries {
		if l.endpoint != nil && l.graceUntil != 0 && now >= l.graceUntil {
			l.endpoint, l.removedAt = nil, now
			changed = true
		}
		if l.endpoint == nil && now >= l.removedAt+tombstoneTTL {
			delete(d.entries, id)
		}
	}
	return changed
}

// Endpoints returns all endpoints, including draining ones, ordered by ID.
func (d *Directory) Endpoints() []Endpoint {
	list := make([]Endpoint, 0, len(d.entries))
	for _, l := range d.entries {
		if l.endpoint != nil {
			e := *l.endpoint
			e.Renewed = l.renewed
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
