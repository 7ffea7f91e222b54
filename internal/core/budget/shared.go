package budget

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/window"
)

// Shared is the retry budget of one instance. It allows a share of the
// instance's requests in a sliding window plus an equal part of a common
// reserve, so that all instances together stay within ratio and reserve.
type Shared struct {
	ratio float64
	// reserveFrom is the time before which the reserve is not used.
	reserveFrom   time.Duration
	requests      *window.Sum
	extraAttempts *window.Sum
}

// NewShared returns a budget that allows ratio extra attempts per request of the
// last span. The reserve is not used before reserveFrom: an instance that was restarted does
// not know what it used in the span before.
func NewShared(ratio float64, span, reserveFrom time.Duration) *Shared {
	return &Shared{ratio: ratio, reserveFrom: reserveFrom, requests: window.New(span), extraAttempts: window.New(span)}
}

// RecordRequest counts a request at now.
func (s *Shared) RecordRequest(now time.Duration) { s.requests.Add(now, 1) }

// TryWithdraw consumes one extra attempt. It reports false if the budget does
// not allow it. reserve is this instance's part of the common reserve.
func (s *Shared) TryWithdraw(now time.Duration, reserve float64) bool {
	if now < s.reserveFrom {
		reserve = 0
	}
	if s.extraAttempts.Total(now)+1 > s.ratio*s.requests.Total(now)+reserve {
		return false
	}
	s.extraAttempts.Add(now, 1)
	return true
}
