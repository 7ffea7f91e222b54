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

// replica is the state of one endpoint.
type replica struct {
	endpoint Endpoint
	target   Target
	// managed reports whether the endpoint has a target and receives orders.
	managed bool

	status Status
	// fresh is false until a status arrives that was requested after the last
	// order ended, so that an order is never repeated on outdated information.
	fresh      bool
	reported   bool
	observedAt time.Duration
	// validUntil is when status expires.
	validUntil time.Duration
	// observing is true while the observation sent at observeSentAt is pending.
	observing     bool
	observeSentAt time.Duration
	// observeNow makes the next step observe the endpoint.
	observeNow bool
	// seq is the number of the last observation. Reports of observations before
	// minFreshSeq are ignored.
	seq         uint64
	minFreshSeq uint64

	// loadingSince is when the endpoint was first seen loading something else
	// than its target.
	loadingSince time.Duration

	sending bool
	// uncertainUntil is when an order with an unknown outcome can no longer take
	// effect.
	uncertainUntil time.Duration
	failures       int
	retryAt        time.Duration

	slot slotState
	// clearedForChange is true if the slot was requested to change the replica
	// from the state that it still reports.
	clearedForChange bool
	// slotUntil is when the slot expires, slotRetryAt the time before which it is
	// not requested again.
	slotUntil   time.Duration
	slotRetryAt time.Duration
	// waitSince is when the replica started to wait for a slot.
	waitSince time.Duration
}

// responsive reports whether the last status of the endpoint is still valid.
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

// loadingOther reports whether the endpoint is loading a state other than the
// target and is expected to serve soon.
func (r *replica) loadingOther(now time.Duration) bool {
	return r.status.Loading != nil && !r.loadsTarget() && now-r.loadingSince < loadTimeout
}

// changePending reports whether an order is about to change the replica or may
// still do so.
func (r *replica) changePending(now time.Duration) bool {
	return r.sending || r.slot != slotNone || !r.fresh || now < r.uncertainUntil
}

func (r *replica) clearSlot() {
	r.slot, r.clearedForChange, r.waitSince, r.slotUntil = slotNone, false, 0, 0
}

// shardKey returns the shard whose holder may order the replica.
func (r *replica) shardKey() lease.Shard { return r.endpoint.Shard }
