package transit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/proptest"
)

// TestQueuedMessagesHaveDelay guards against messages that waited while the receiver
// did not run and count as just sent.
func TestQueuedMessagesHaveDelay(t *testing.T) {
	is := is.New(t)
	const clockDifference = -7 * time.Hour
	var e DelayEstimate
	_, known := e.Observe(0, clockDifference+5*time.Millisecond)
	is.True(!known)
	delay, known := e.Observe(200*time.Millisecond, clockDifference+205*time.Millisecond)
	is.True(known)
	is.True(delay < time.Millisecond)
	delay, _ = e.Observe(400*time.Millisecond, clockDifference+1900*time.Millisecond)
	is.True(delay > 1490*time.Millisecond && delay <= 1500*time.Millisecond)
}

// TestDelayIsWithinBounds guards against estimates above the true delay, or below it by
// more than the delay of the fastest message and the drift, for any delays and clocks.
func TestDelayIsWithinBounds(t *testing.T) {
	proptest.Check(t, proptest.Bounds{Seed: 20261204, Checks: 300}, func(t *rapid.T) {
		clockDifference := time.Duration(rapid.Int64Range(-1e15, 1e15).Draw(t, "clock difference"))
		var e DelayEstimate
		var fastest, sent, received time.Duration
		for i := range rapid.IntRange(2, 40).Draw(t, "messages") {
			sent += time.Duration(rapid.Int64Range(0, 1e9).Draw(t, "pause"))
			delay := time.Duration(rapid.Int64Range(1e6, 3e9).Draw(t, "delay"))
			received = max(received, sent+delay)
			delay = received - sent
			if i == 0 || delay < fastest {
				fastest = delay
			}
			estimated, known := e.Observe(sent, received+clockDifference)
			if !known {
				continue
			}
			drift := time.Duration(received.Seconds() * float64(maxDriftPerSecond))
			if estimated > delay || estimated < delay-fastest-drift {
				t.Fatalf("estimated %s for a delay of %s, the fastest message took %s", estimated, delay, fastest)
			}
		}
	})
}
