package duty

import "time"

// Takeover describes what an instance knew when it requested the lease.
type Takeover struct {
	// Previous is the newest record before the request. It is nil if there was none, or if a
	// peer reported only its offset.
	Previous *LeaseRecord
	// RecordAge is the time since this instance first saw that record, 0 if there was none.
	RecordAge time.Duration
	// Unopposed is set if this instance was the last holder in an earlier epoch of the store and
	// nobody has followed it.
	Unopposed bool
}

// Takeover returns how this instance acquired the lease that it held last.
func (l *Lease) Takeover() Takeover { return l.takeover }

func (l *Lease) describeTakeover(now time.Duration) Takeover {
	if l.end.Offset() == 0 {
		return Takeover{Unopposed: l.isUnopposed(now)}
	}
	return Takeover{Previous: l.record, RecordAge: now - l.recordSeenAt, Unopposed: l.isUnopposed(now)}
}

// available reports whether this instance may acquire the lease.
func (l *Lease) available(now time.Duration) bool {
	switch {
	case l.isUnopposed(now):
		// Its calls of the earlier term have ended.
		return now >= l.validUntil+callTimeout
	case l.end == 0:
		return now >= l.takeoverJitter
	}
	freeAt := l.recordSeenAt
	if !l.isOfEpoch() || !l.record.Released {
		freeAt += takeoverDelay
	}
	return now >= max(freeAt, l.earliestTerm())+l.takeoverJitter
}

// isUnopposed reports whether this instance was the last holder in an earlier epoch and nobody can
// have followed it: in that epoch only takeoverDelay after its last record, in this one only as long
// after the store's return.
func (l *Lease) isUnopposed(now time.Duration) bool { return now < l.unopposedUntil }

// earliestTerm returns when this instance may act again, so that holders don't act in the order
// A, B, A within a short time. A run of the instance does not know when an earlier one acted
// last, only that this was before its own start. An instance that follows itself may act at once.
func (l *Lease) earliestTerm() time.Duration {
	if l.isOfEpoch() && l.record.Holder.Node == l.self.Node {
		return 0
	}
	return max(l.startedAt, l.validUntil) + l.reacquireDelay
}
