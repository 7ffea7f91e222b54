// Package storereader decides which instances read the platform's store for all of
// them. It is a state machine without input or output; time comes in as a value.
package storereader

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// reportTTL is how long an instance counts without a new report.
	reportTTL = 1200 * time.Millisecond
	// storeLostBackoff is how long an instance that could not read the store is passed
	// over. It does not read meanwhile and cannot tell that the store is back.
	storeLostBackoff = 5 * time.Second
)

// Instance is what a report tells about an instance.
type Instance struct {
	Node       string
	DataCentre fleet.DataCentre
	// Leaving is set once the instance was told to stop, StoreLost if it could
	// not read the store lately.
	Leaving, StoreLost bool
}

type candidate struct {
	Instance
	reportedAt time.Duration
	rank       uint64
}

// Election holds the instances of one data centre. The one with the lowest rank
// reads the store; the others learn from it, and from the readers of the other
// data centres, what has changed.
type Election struct {
	self        candidate
	others      map[string]candidate
	storeLostAt time.Duration
	storeLost   bool
}

// NewElection returns a roster that knows only this instance.
func NewElection(node string, dc fleet.DataCentre) *Election {
	return &Election{self: newCandidate(Instance{Node: node, DataCentre: dc}, 0), others: make(map[string]candidate)}
}

func newCandidate(i Instance, now time.Duration) candidate {
	return candidate{Instance: i, reportedAt: now, rank: xxhash.Sum64String(i.Node)}
}

// Observe takes the report of another instance.
func (e *Election) Observe(now time.Duration, i Instance) {
	if i.DataCentre == e.self.DataCentre && i.Node != e.self.Node {
		e.others[i.Node] = newCandidate(i, now)
	}
}

// StoreLost tells that this instance could not read the store, StoreRead that
// it could.
func (e *Election) StoreLost(now time.Duration) { e.storeLost, e.storeLostAt = true, now }

// StoreRead tells that this instance read the store.
func (e *Election) StoreRead() { e.storeLost = false }

// StoreUnavailable reports whether this instance could not read the store lately.
func (e *Election) StoreUnavailable(now time.Duration) bool {
	return e.storeLost && now < e.storeLostAt+storeLostBackoff
}

// IsReader reports whether this instance reads the store for its data centre. If
// none of the instances can, the one with the lowest rank tries.
func (e *Election) IsReader(now time.Duration) bool {
	self := e.self
	self.StoreLost = e.StoreUnavailable(now)
	for node, other := range e.others {
		if now-other.reportedAt > reportTTL {
			delete(e.others, node)
			continue
		}
		if !other.Leaving && other.precedes(self) {
			return false
		}
	}
	return true
}

func (c candidate) precedes(other candidate) bool {
	if c.StoreLost != other.StoreLost {
		return !c.StoreLost
	}
	return c.rank < other.rank
}
