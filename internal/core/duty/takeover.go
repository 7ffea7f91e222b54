package duty

import "time"

// Takeover describes what an instance knew when it requested the lease.
type Takeover struct {
	// Previous is the newest record before the request. It is nil if there was none, or if a
	// peer reported only its offset.
	Previous *LeaseRecord
	// RecordAge is the time since this instance first saw that record, 0 if there was none.
	RecordAge time.Duration
}

// Takeover returns how this instance acquired the lease that it held last.
func (l *Lease) Takeover() Takeover { return l.takeover }

func (l *Lease) describeTakeover(now time.Duration) Takeover {
	if l.endOffset == 0 {
		return Takeover{}
	}
	return Takeover{Previous: l.record, RecordAge: now - l.recordSeenAt}
}

// available reports whether this instance may acquire the lease.
func (l *Lease) available(now time.Duration) bool {
	if l.endOffset == 0 || (l.record != nil && l.record.Released) {
		return now >= l.recordSeenAt+l.takeoverJitter
	}
	return now >= l.recordSeenAt+takeoverDelay+l.takeoverJitter
}
