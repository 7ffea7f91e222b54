package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestBudgetIsNeverExceeded guards against retries that multiply load: for any
// order of operations, granted attempts stay within ratio and reserve.
func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(DefaultRatio, DefaultReserve)
		deposits, withdrawals := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0, 1:
				b.Deposit()
				deposits++
			case 2:
				if b.TryWithdraw() {
					withdrawals++
				}
			case 3:
				if rapid.IntRange(0, 9).Draw(t, "owes") == 0 {
					b.Overdraw()
				}
			}
			// The tolerance covers the rounding of the sum of tenths.
			if float64(withdrawals) > DefaultReserve+DefaultRatio*float64(deposits)+1e-9 {
				t.Fatalf("%d extra attempts granted for %d requests, want at most reserve + ratio * requests", withdrawals, deposits)
			}
			if b.Balance() > DefaultReserve || b.Balance() < -DefaultReserve {
				t.Fatalf("balance is %.1f, want at most one reserve above or below 0", b.Balance())
			}
		}
	})
}

// TestHedgeDelayFollowsLatency guards against a wrong percentile as the hedge
// delay: from too few samples, too coarse or from outdated samples.
func TestHedgeDelayFollowsLatency(t *testing.T) {
	is := is.New(t)
	l := NewLatency()
	_, ok := l.Quantile(95)
	is.True(!ok) // no delay from too few samples
	for i := range 100 {
		l.Record(time.Duration(i+1) * time.Millisecond)
	}
	d, ok := l.Quantile(95)
	is.True(ok)
	is.True(d >= 95*time.Millisecond && d <= 96*time.Millisecond) // 1% resolution
	for range 2 * windowSamples {
		l.Record(time.Millisecond)
	}
	d, _ = l.Quantile(95)
	is.True(d <= 1010*time.Microsecond) // old samples are dropped
}
