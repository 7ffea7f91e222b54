package window

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/proptest"
)

// TestSumCoversSpan guards against a sliding sum that drops an amount inside
// its span or keeps one for more than one bucket longer.
func TestSumCoversSpan(t *testing.T) {
	const span = 8 * time.Second
	const width = span / bucketCount
	type event struct {
		at     time.Duration
		amount float64
	}
	proptest.Check(t, proptest.Bounds{Seed: 20261204, Checks: 300}, func(t *rapid.T) {
		s := New(span)
		var events []event
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "pause"))
			amount := float64(rapid.IntRange(0, 100).Draw(t, "amount"))
			s.Add(now, amount)
			events = append(events, event{now, amount})
			var minSum, maxSum float64
			for _, e := range events {
				if now-e.at < span-width {
					minSum += e.amount
				}
				if now-e.at <= span+width {
					maxSum += e.amount
				}
			}
			got := s.Total(now)
			if got < minSum-1e-6 || got > maxSum+1e-6 {
				t.Fatalf("sum is %v, want %v to %v", got, minSum, maxSum)
			}
			var sliceTotal float64
			for _, p := range s.Slices(now, 4) {
				sliceTotal += p
			}
			if sliceTotal < got-1e-6 || sliceTotal > got+1e-6 {
				t.Fatalf("slices add up to %v, want %v", sliceTotal, got)
			}
		}
	})
}
