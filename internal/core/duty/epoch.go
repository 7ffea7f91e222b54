package duty

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/storelog"
)

// EpochStart bounds when the current epoch of the store began: when this instance learned of it, or
// earlier if a record that was written in that epoch says so. The zero value is that of the first epoch,
// before which nothing was lost.
type EpochStart struct {
	epoch     storelog.Epoch
	learnedAt time.Duration
	// stated is a time of day at which the epoch had begun, as a record says; 0 if none does.
	stated time.Duration
}

// NewEpochStart returns the start of an epoch of which this instance learned at now.
func NewEpochStart(epoch storelog.Epoch, now time.Duration) EpochStart {
	return EpochStart{epoch: epoch, learnedAt: now}
}

// Observe takes over what the newest record of the lease says.
func (s *EpochStart) Observe(r *LeaseRecord) {
	if r == nil || r.Epoch != s.epoch || r.EpochSince <= 0 {
		return
	}
	if s.stated == 0 || r.EpochSince < s.stated {
		s.stated = r.EpochSince
	}
}

// Since returns a time of day, as Unix time, at which the epoch had begun. It is 0 in the first epoch.
func (s *EpochStart) Since(clock *ClockEstimate) time.Duration {
	if s.epoch == 0 {
		return 0
	}
	learned := clock.TrueTime(s.learnedAt)
	if s.stated > 0 {
		return min(s.stated, learned)
	}
	return learned
}
