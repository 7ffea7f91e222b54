package order

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/lease"
)

type slotState uint8

const (
	slotNone slotState = iota
	slotRequested
	slotHeld
)

// replica is what the machine knows about one endpoint.
type replica struct {
	endpoint Endpoint
	target   Target
	managed  bool

	status Status
	// fresh is false until a status arrives that was asked for after the last
	// order ended, so that an order is never repeated on old information.
	fresh      bool
	reported   bool
	observedAt time.Duration
	// validUntil is when the status says nothing about the endpoint any more.
	validUntil time.Duration
	// observing is true while an observation asked for at askedAt is open.
	observing     bool
	observeSentAt time.Duration
	// observeNow makes the next step observe the endpoint.
	observeNow  bool
	seq         uint64
	minFreshSeq uint64

	// loadingSince is when the endpoint was first seen loading something else
	// than its target.
	loadingSince time.Duration

	sending bool
	// uncertainUntil is the time until which an order with an unknown outcome can
	// still take effect.
	uncertainUntil time.Duration
	failures       int
	retryAt        time.Duration

	slot slotState
	// clearedForChange is true while the slot was asked for in order to change the
	// replica from the state that it still reports.
	clearedForChange bool
	slotUntil        time.Duration
	slotRetryAt      time.Duration
	// waitSince is when the replica began to wait for a slot.
	waitSince time.Duration
}

// responsive reports whether the endpoint reported recently.
func (r *replica) responsive(now time.Duration) bool {
	return r.reported && now < r.validUntil
}

// changing reports whether an endpoint that reports is about to change.
func (r *replica) changing(now time.Duration) bool {
	if !r.managed || r.endpoint.Leaving || !r.responsive(now) {
		return false
	}
	return !r.upToDate() || !r.status.Ready || r.changePending(now)
}

func (r *replica) ready(now time.Duration) bool {
	return r.responsive(now) && r.status.Ready && !r.endpoint.Leaving
}

// upToDate reports whether the endpoint serves with the target and loads
// nothing else.
func (r *replica) upToDate() bool {
	return r.status.Loaded.Equal(r.target) && r.status.Loading == nil
}

// loadsTarget reports whether the endpoint is busy loading the target.
func (r *replica) loadsTarget() bool {
	return r.status.Loading != nil && r.status.Loading.Equal(r.target)
}

// needsOrder reports whether the endpoint needs an order.
func (r *replica) needsOrder() bool {
	return r.managed && !r.endpoint.Leaving && !r.upToDate() && !r.loadsTarget()
}

// loadingOther reports whether the endpoint is loading another state than the
// target and can be expected to serve soon.
func (r *replica) loadingOther(now time.Duration) bool {
	return r.status.Loading != nil && !r.loadsTarget() && now-r.loadingSince < loadTimeout
}

// changePending reports whether an order is about to change the replica or still
// can.
func (r *replica) changePending(now time.Duration) bool {
	return r.sending || r.slot != slotNone || !r.fresh || now < r.uncertainUntil
}

func (r *replica) clearSlot() {
	r.slot, r.clearedForChange, r.waitSince, r.slotUntil = slotNone, false, 0, 0
}

// shardKey returns the shard that orders for the replica belong to.
func (r *replica) shardKey() lease.Shard { return r.endpoint.Shard }
