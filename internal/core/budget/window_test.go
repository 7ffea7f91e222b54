package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSharedBudgetHolds guards against more repeats in a window than the rule
// BUDGET allows over all instances.
func TestSharedBudgetHolds(t *testing.T) {
	const ratio, slack = 0.2, 56.0
	const span = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		budgets := make([]*Shared, n)
		for i := range budgets {
			budgets[i] = NewShared(ratio*0.8, span)
		}
		var requests, extraAttempts []time.Duration
		for now := time.Duration(0); now < 25*time.Second; now += 100 * time.Millisecond {
			for range rapid.IntRange(0, 10).Draw(t, "requests") {
				budgets[rapid.IntRange(0, n-1).Draw(t, "at")].RecordRequest(now)
				requests = append(requests, now)
			}
			for i := range budgets {
				for budgets[i].TryWithdraw(now, slack*0.8/float64(n)) {
					extraAttempts = append(extraAttempts, now)
				}
			}
			countInWindow := func(list []time.Duration, end time.Duration) (count float64) {
				for _, at := range list {
					if at > end-span && at <= end {
						count++
					}
				}
				return count
			}
			// Requests count in the window or the one half a window before it.
			counted := max(countInWindow(requests, now), countInWindow(requests, now-span/2))
			if spent := countInWindow(extraAttempts, now); spent > ratio*counted+slack {
				t.Fatalf("%v repeats for %v requests", spent, counted)
			}
		}
	})
}
