// Package storereader elects the instance of each data centre that reads the
// platform's store on behalf of the others. It performs no input or output; the
// caller passes in the time.
package storereader

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// reportTTL is how long an instance stays a candidate after its last report.
	reportTTL = 1200 * time.Millisecond
	// storeLostBackoff is how long an instance ranks last after a failed read of
	// the store. It does not read during that time, so it cannot detect recovery.
	storeLostBackoff = 5 * time.Second
)

// Instance is the state of an instance as it reports it.
type Instance struct {
	Node       string
	DataCentre fleet.DataCentre
	// Leaving is set once the instance is shutting down, StoreLost if it recently
	// failed to read the store.
	Leaving, StoreLost bool
}

type candidate struct {
	Instance
	reportedAt time.Duration
	rank       uint64
}

// Election tracks the instances of one data centre. The one with the lowest
// rank reads the store; the others receive changes from it and from the readers
// of the other data centres.
type Election struct {
	self        candidate
	others      map[string]candidate
	storeLostAt time.Duration
	storeLost   bool
}

// NewElection returns an election in which this instance is the only candidate.
func NewElection(node string, dc fleet.DataCentre) *Election {
	return &Election{self: newCandidate(Instance{Node: node, DataCentre: dc}, 0), others: make(map[string]candidate)}
}

func newCandidate(i Instance, now time.Duration) candidate {
	return candidate{Instance: i, reportedAt: now, rank: xxhash.Sum64String(i.Node)}
}

// Observe records the report of another instance. Reports from other data
// centres are ignored.
func (e *Election) Observe(now time.Duration, i Instance) {
	if i.DataCentre == e.self.DataCentre && i.Node != e.self.Node {
		e.others[i.Node] = newCandidate(i, now)
	}
}

// StoreLost records that this instance failed to read the store.
func (e *Election) StoreLost(now time.Duration) { e.storeLost, e.storeLostAt = true, now }

// StoreRead records that this instance read the store.
func (e *Election) StoreRead() { e.storeLost = false }

// StoreUnavailable reports whether this instance failed to read the store within
// the last storeLostBackoff.
func (e *Election) StoreUnavailable(now time.Duration) bool {
	return e.storeLost && now < e.storeLostAt+storeLostBackoff
}

// IsReader reports whether this instance reads the store for its data centre. If
// no instance can read it, the one with the lowest rank tries.
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

// precedes orders candidates by store access first and rank second.
func (c candidate) precedes(other candidate) bool {
	if c.StoreLost != other.StoreLost {
		return !c.StoreLost
	}
	return c.rank < other.rank
}
