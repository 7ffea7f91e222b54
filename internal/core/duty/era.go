package duty

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/storelog"
)

// EraStart bounds when the current era of the store began: when this instance learned of it, or
// earlier if a record that was written in that era says so. The zero value is that of the first era,
// before which nothing was lost.
type EraStart struct {
	era       storelog.Era
	learnedAt time.Duration
	// stated is a time of day at which the era had begun, as a record says; 0 if none does.
	stated time.Duration
}

// NewEraStart returns the start of an era of which this instance learned at now.
func NewEraStart(era storelog.Era, now time.Duration) EraStart {
	return EraStart{era: era, learnedAt: now}
}

// Observe takes over what the newest record of the lease says.
func (s *EraStart) Observe(r *LeaseRecord) {
	if r == nil || r.Era != s.era || r.EraSince <= 0 {
		return
	}
	if s.stated == 0 || r.EraSince < s.stated {
		s.stated = r.EraSince
	}
}

// Since returns a time of day, as Unix time, at which the era had begun. It is 0 in the first era.
func (s *EraStart) Since(clock *ClockEstimate) time.Duration {
	if s.era == 0 {
		return 0
	}
	learned := clock.TrueTime(s.learnedAt)
	if s.stated > 0 {
		return min(s.stated, learned)
	}
	return learned
}
