// Package feed decides which instances read the platform's store for all of
// them. It is a state machine without input or output; time comes in as a value.
package feed

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// heardFor is how long an instance counts without a new report.
	heardFor = 1200 * time.Millisecond
	// lostFor is how long an instance that could not read the store is passed
	// over. It does not read meanwhile and cannot tell that the store is back.
	lostFor = 5 * time.Second
)

// Instance is what a report tells about an instance.
type Instance struct {
	Node       string
	DataCentre fleet.DataCentre
	// Leaving is set once the instance was told to stop, StoreLost if it could
	// not read the store lately.
	Leaving, StoreLost bool
}

type heard struct {
	Instance
	at   time.Duration
	rank uint64
}

// Roster holds the instances of one data centre. The one with the lowest rank
// reads the store; the others learn from it, and from the readers of the other
// data centres, what has changed.
type Roster struct {
	self   heard
	others map[string]heard
	lostAt time.Duration
	lost   bool
}

// NewRoster returns a roster that knows only this instance.
func NewRoster(node string, dc fleet.DataCentre) *Roster {
	return &Roster{self: newHeard(Instance{Node: node, DataCentre: dc}, 0), others: make(map[string]heard)}
}

func newHeard(i Instance, now time.Duration) heard {
	return heard{Instance: i, at: now, rank: xxhash.Sum64String(i.Node)}
}

// Hear takes the report of another instance.
func (r *Roster) Hear(now time.Duration, i Instance) {
	if i.DataCentre == r.self.DataCentre && i.Node != r.self.Node {
		r.others[i.Node] = newHeard(i, now)
	}
}

// StoreLost tells that this instance could not read the store, StoreRead that
// it could.
func (r *Roster) StoreLost(now time.Duration) { r.lost, r.lostAt = true, now }

// StoreRead tells that this instance read the store.
func (r *Roster) StoreRead() { r.lost = false }

// Lost reports whether this instance could not read the store lately.
func (r *Roster) Lost(now time.Duration) bool { return r.lost && now < r.lostAt+lostFor }

// Reads reports whether this instance reads the store for its data centre. If
// none of the instances can, the one with the lowest rank tries.
func (r *Roster) Reads(now time.Duration) bool {
	self := r.self
	self.StoreLost = r.Lost(now)
	for node, other := range r.others {
		if now-other.at > heardFor {
			delete(r.others, node)
			continue
		}
		if !other.Leaving && other.before(self) {
			return false
		}
	}
	return true
}

func (h heard) before(other heard) bool {
	if h.StoreLost != other.StoreLost {
		return !h.StoreLost
	}
	return h.rank < other.rank
}
