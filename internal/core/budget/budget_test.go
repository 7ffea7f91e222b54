package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestBudgetIsNeverExceeded guards against retries that multiply load.
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
				t.Fatalf("%d attempts for %d requests", withdrawals, deposits)
			}
			if b.Balance() > DefaultReserve || b.Balance() < -DefaultReserve {
				t.Fatalf("level %.1f", b.Balance())
			}
		}
	})
}

// TestHedgeDelayFollowsLatency guards the percentile that sets hedge delays.
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
	is.True(d <= 1010*time.Microsecond) // old samples are forgotten
}
