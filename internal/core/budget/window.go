package budget

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/window"
)

// Shared bounds the extra attempts of one instance so that all instances
// together stay within a bound: a share of the requests in a sliding window,
// plus an equal part of a common reserve.
type Shared struct {
	ratio         float64
	requests      *window.Sum
	extraAttempts *window.Sum
}

// NewShared returns a budget with extra attempts worth ratio of the requests
// of the last span.
func NewShared(ratio float64, span time.Duration) *Shared {
	return &Shared{ratio: ratio, requests: window.New(span), extraAttempts: window.New(span)}
}

// RecordRequest counts a request.
func (s *Shared) RecordRequest(now time.Duration) { s.requests.Add(now, 1) }

// TryWithdraw takes one extra attempt if the budget allows it. reserve is this
// instance's part of the common reserve.
func (s *Shared) TryWithdraw(now time.Duration, reserve float64) bool {
	if s.extraAttempts.Total(now)+1 > s.ratio*s.requests.Total(now)+reserve {
		return false
	}
	s.extraAttempts.Add(now, 1)
	return true
}
