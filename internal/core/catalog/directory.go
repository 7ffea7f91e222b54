package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// RecoveryGrace is the time after the store's return within which the entry of a
// live endpoint is written again. Until then a missing entry proves nothing.
const RecoveryGrace = 2 * time.Second

// tombstoneTTL is how long the offset of a removed entry is remembered, so that a
// late copy from a peer does not bring it back.
const tombstoneTTL = 60 * time.Second

// Endpoint is one replica of a service as the instance list describes it.
type Endpoint struct {
	ID         fleet.EndpointID
	Service    fleet.ServiceName
	Address    string
	DataCentre fleet.DataCentre
	Slots      int
	Draining   bool
	// Lapsed endpoints lost their entry in an outage of the store. They may be
	// alive and are used only if there is no other.
	Lapsed bool
	// Reclaimable endpoints can be taken back on short notice.
	Reclaimable bool
	// Started is the start of this incarnation in Unix milliseconds.
	Started int64
	// Sequence counts the heartbeats of this incarnation.
	Sequence int64
}

// Entry is one record of the instance list. A nil Endpoint removes the entry
// or names no endpoint to use.
type Entry struct {
	ID fleet.EndpointID
	// Offset orders the records of the list.
	Offset   int64
	Endpoint *Endpoint
	// Removed is set for a record that removes the entry, as opposed to one
	// that cannot be used.
	Removed bool
}

type listEntry struct {
	endpoint *Endpoint
	// lastState is the newest state that was known, also after the entry was removed.
	lastState *Endpoint
	offset    int64
	// graceUntil is set while the entry is absent because of an outage of
	// the store and the endpoint may still be alive.
	graceUntil time.Duration
	removedAt  time.Duration
}

// Directory folds the records of the instance list. An endpoint leaves at once
// when its entry disappears, except for entries that disappear in an outage of
// the store: these stay for ReturnGrace after its return.
type Directory struct {
	entries map[fleet.EndpointID]*listEntry
	// recoveredAt is the time of the first successful read after an outage.
	recoveredAt time.Duration
	// catchingUp is set while records are applied that were written in an
	// outage.
	catchingUp bool
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{entries: make(map[fleet.EndpointID]*listEntry)}
}

// StoreRecovered tells that the store answers again after an outage. Until
// CaughtUp, the records were written in it.
func (d *Directory) StoreRecovered(now time.Duration) {
	d.recoveredAt, d.catchingUp = now, true
}

// CaughtUp tells that the records that were written in an outage are applied.
func (d *Directory) CaughtUp() { d.catchingUp = false }

// Apply folds one record and reports whether the usable endpoints changed.
func (d *Directory) Apply(now time.Duration, e Entry) bool {
	l, ok := d.entries[e.ID]
	if ok && e.Offset <= l.offset {
		return false
	}
	if !ok {
		l = &listEntry{}
		d.entries[e.ID] = l
	}
	l.offset = e.Offset
	if e.Endpoint == nil {
		return d.remove(now, l, e.Removed)
	}
	return d.update(l, e.Endpoint)
}

func (d *Directory) remove(now time.Duration, l *listEntry, removed bool) bool {
	if l.endpoint == nil {
		l.removedAt = now
		return false
	}
	if removed && !l.endpoint.Draining && d.catchingUp {
		l.graceUntil = d.recoveredAt + RecoveryGrace
		lapsed := *l.endpoint
		lapsed.Lapsed = true
		l.endpoint = &lapsed
		return true
	}
	l.endpoint, l.removedAt = nil, now
	return true
}

// update takes a newer state. A heartbeat that was written late is older than
// what is known and must not bring a leaving endpoint back.
func (d *Directory) update(l *listEntry, e *Endpoint) bool {
	if last := l.lastState; last != nil {
		stale := e.Started < last.Started || (e.Started == last.Started && e.Sequence <= last.Sequence)
		if stale {
			return false
		}
		if e.Started == last.Started && last.Draining {
			e.Draining = true
		}
	}
	old := l.endpoint
	l.endpoint, l.lastState, l.graceUntil, l.removedAt = e, e, 0, 0
	return old == nil || old.Lapsed || old.Draining != e.Draining || old.Address != e.Address ||
		old.Started != e.Started || old.Service != e.Service || old.Slots != e.Slots
}

// Expire drops endpoints whose entry is still missing after ReturnGrace and
// reports whether any was dropped.
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

// Endpoints returns all listed endpoints, also draining ones, ordered by ID.
func (d *Directory) Endpoints() []Endpoint {
	list := make([]Endpoint, 0, len(d.entries))
	for _, l := range d.entries {
		if l.endpoint != nil {
			list = append(list, *l.endpoint)
		}
	}
	slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
