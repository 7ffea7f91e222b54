// Package window sums amounts over a sliding span of time.
package window

import "time"

// bucketCount is the number of buckets into which a span is divided. A sum
// covers its span and up to one bucket more.
const bucketCount = 32

// Sum is the sum of the amounts added within the last span.
type Sum struct {
	bucketWidth time.Duration
	buckets     [bucketCount + 1]float64
	total       float64
	// newestIndex is the start time of the newest bucket in bucket widths.
	newestIndex int64
}

// New returns an empty sum over span. Buckets are at least 1 ms wide.
func New(span time.Duration) *Sum {
	return &Sum{bucketWidth: max(span/bucketCount, time.Millisecond)}
}

// Add adds an amount at now. A negative amount corrects earlier ones.
func (s *Sum) Add(now time.Duration, amount float64) {
	s.advance(now)
	s.buckets[s.newestIndex%(bucketCount+1)] += amount
	s.total += amount
}

// Total returns the sum at now; it is never negative.
func (s *Sum) Total(now time.Duration) float64 {
	s.advance(now)
	return max(s.total, 0)
}

// Slices returns the sum at now for each of n consecutive parts of the span of
// equal length, the newest first.
func (s *Sum) Slices(now time.Duration, n int) []float64 {
	s.advance(now)
	parts := make([]float64, n)
	for age := range int64(bucketCount + 1) {
		index := s.newestIndex - age
		if index < 0 {
			break
		}
		parts[min(int(age)*n/bucketCount, n-1)] += s.buckets[index%(bucketCount+1)]
	}
	return parts
}

func (s *Sum) advance(now time.Duration) {
	index := int64(now / s.bucketWidth)
	if index-s.newestIndex > bucketCount {
		s.buckets, s.total, s.newestIndex = [bucketCount + 1]float64{}, 0, index
		return
	}
	for s.newestIndex < index {
		s.newestIndex++
		s.total -= s.buckets[s.newestIndex%(bucketCount+1)]
		s.buckets[s.newestIndex%(bucketCount+1)] = 0
	}
}
