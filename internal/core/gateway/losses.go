package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
)

const (
	// lossTTL is how long an attempt that ended without an answer is kept. An endpoint
	// that crashes leaves the instance list after several missed heartbeats.
	lossTTL = 8 * time.Second
	// checkInterval is the minimum time between two checks of one incarnation.
	checkInterval = 250 * time.Millisecond
	// maxIncarnations bounds the incarnations with lost attempts, maxLosses the lost
	// attempts of each.
	maxIncarnations = 1024
	maxLosses       = 64
)

// incarnation is one process of an endpoint.
type incarnation struct {
	id      fleet.EndpointID
	started int64
}

// loss is an attempt that ended without an answer, or that hangs.
type loss struct {
	at     time.Duration
	traits []quarantine.Trait
}

// losses holds what is known of an incarnation that lost attempts.
type losses struct {
	attempts  []loss
	updatedAt time.Duration
	checkedAt time.Duration
	checked   bool
	// refused is set once the endpoint refused a connection after a loss, ended once
	// the losses were recorded as a crash.
	refused, ended bool
}

// lossLog holds the lost attempts by incarnation, until it is known whether the endpoint
// crashed or the losses are too old.
type lossLog map[incarnation]*losses

// add records a lost attempt. It returns nil if there is no room.
func (l lossLog) add(now time.Duration, i incarnation, traits []quarantine.Trait) *losses {
	r, ok := l[i]
	if !ok {
		l.expire(now)
		if len(l) >= maxIncarnations {
			return nil
		}
		r = &losses{}
		l[i] = r
	}
	r.updatedAt = now
	if len(r.attempts) >= maxLosses {
		r.attempts = r.attempts[1:]
	}
	r.attempts = append(r.attempts, loss{at: now, traits: traits})
	return r
}

// expire drops the incarnations without recent losses.
func (l lossLog) expire(now time.Duration) {
	for i, r := range l {
		if now-r.updatedAt > lossTTL {
			delete(l, i)
		}
	}
}

// needsCheck reports whether the endpoint should be asked for a connection now.
func (r *losses) needsCheck(now time.Duration) bool {
	if r.refused || r.ended || r.checked && now-r.checkedAt < checkInterval {
		return false
	}
	r.checked, r.checkedAt = true, now
	return true
}

// last returns the time of the last loss.
func (r *losses) last() time.Duration { return r.attempts[len(r.attempts)-1].at }

// takeSuspects removes the recent losses and returns their traits and the time of the
// last.
func (r *losses) takeSuspects(now time.Duration) (traits []quarantine.Trait, last time.Duration) {
	for _, a := range r.attempts {
		if now-a.at <= lossTTL {
			traits, last = append(traits, a.traits...), a.at
		}
	}
	r.attempts = nil
	return traits, last
}
