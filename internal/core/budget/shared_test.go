package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSharedBudgetHolds guards against more extra attempts in a window than the
// rule BUDGET allows for all instances together.
func TestSharedBudgetHolds(t *testing.T) {
	checkSharedBudget(t, func(*rapid.T, time.Duration, []*Shared) {})
}

// TestSharedBudgetHoldsOverRestarts guards against instances that use the reserve once more
// after a restart, which is over the limit if all of them are restarted at once or one after
// the other (rule BUDGET).
func TestSharedBudgetHoldsOverRestarts(t *testing.T) {
	checkSharedBudget(t, func(t *rapid.T, now time.Duration, budgets []*Shared) {
		all := rapid.IntRange(0, 49).Draw(t, "restart all") == 0
		for i := range budgets {
			if all || rapid.IntRange(0, 49).Draw(t, "restart") == 0 {
				budgets[i] = NewShared(testRatio*0.8, testSpan, now+testSpan)
			}
		}
	})
}

const (
	testRatio, testSlack = 0.2, 56.0
	testSpan             = 10 * time.Second
)

// checkSharedBudget plays instances that use all that their budgets allow. disturb may replace
// budgets.
func checkSharedBudget(t *testing.T, disturb func(t *rapid.T, now time.Duration, budgets []*Shared)) {
	t.Helper()
	const ratio, slack, span = testRatio, testSlack, testSpan
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 9).Draw(t, "instances")
		budgets := make([]*Shared, n)
		for i := range budgets {
			budgets[i] = NewShared(ratio*0.8, span, 0)
		}
		var requests, extraAttempts []time.Duration
		for now := time.Duration(0); now < 25*time.Second; now += 100 * time.Millisecond {
			disturb(t, now, budgets)
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
			// The rule compares with the requests of the window or of the one
			// that began half a window earlier, whichever are more.
			counted := max(countInWindow(requests, now), countInWindow(requests, now-span/2))
			if spent := countInWindow(extraAttempts, now); spent > ratio*counted+slack {
				t.Fatalf("%v extra attempts for %v requests, want at most %v", spent, counted, ratio*counted+slack)
			}
		}
	})
}
