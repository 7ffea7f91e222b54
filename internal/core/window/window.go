// Package window sums amounts over a sliding span of time.
package window

import "time"

// buckets is the resolution of a sum. A sum covers its span and up to one
// bucket more.
const buckets = 32

// Sum is the sum of the amounts of the last span.
type Sum struct {
	width   time.Duration
	amounts [buckets + 1]float64
	total   float64
	// newest is the index in time of the newest bucket.
	newest int64
}

// New returns an empty sum over span.
func New(span time.Duration) *Sum {
	return &Sum{width: max(span/buckets, time.Millisecond)}
}

// Add adds an amount at now. Negative amounts take back earlier ones.
func (s *Sum) Add(now time.Duration, amount float64) {
	s.advance(now)
	s.amounts[s.newest%(buckets+1)] += amount
	s.total += amount
}

// Total returns the sum at now.
func (s *Sum) Total(now time.Duration) float64 {
	s.advance(now)
	return max(s.total, 0)
}

// Slices returns the sum at now divided into n parts of equal length, the
// newest first.
func (s *Sum) Slices(now time.Duration, n int) []float64 {
	s.advance(now)
	parts := make([]float64, n)
	for age := range int64(buckets + 1) {
		index := s.newest - age
		if index < 0 {
			break
		}
		parts[min(int(age)*n/buckets, n-1)] += s.amounts[index%(buckets+1)]
	}
	return parts
}

func (s *Sum) advance(now time.Duration) {
	index := int64(now / s.width)
	if index-s.newest > buckets {
		s.amounts, s.total, s.newest = [buckets + 1]float64{}, 0, index
		return
	}
	for s.newest < index {
		s.newest++
		s.total -= s.amounts[s.newest%(buckets+1)]
		s.amounts[s.newest%(buckets+1)] = 0
	}
}
