package window

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/proptest"
)

// TestSumCoversItsSpan guards against a sliding sum that forgets an amount
// inside its span or keeps one much longer.
func TestSumCoversItsSpan(t *testing.T) {
	const span = 8 * time.Second
	const width = span / buckets
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
			var least, most float64
			for _, e := range events {
				if now-e.at < span-width {
					least += e.amount
				}
				if now-e.at <= span+width {
					most += e.amount
				}
			}
			got := s.Total(now)
			if got < least-1e-6 || got > most+1e-6 {
				t.Fatalf("sum %v outside %v to %v", got, least, most)
			}
			var parts float64
			for _, p := range s.Slices(now, 4) {
				parts += p
			}
			if parts < got-1e-6 || parts > got+1e-6 {
				t.Fatalf("parts add up to %v instead of %v", parts, got)
			}
		}
	})
}
