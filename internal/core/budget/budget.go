// Package budget implements retry budgets. Retries and hedges share one budget,
// whatever their cause, so that failures never multiply load.
package budget

// Cause is the reason for an extra attempt, a label of the attempt counters.
type Cause string

// Causes.
const (
	// CauseFailure: the previous attempt failed, lost its connection or was
	// rejected.
	CauseFailure Cause = "failure"
	// CauseReclaim: the endpoint of the previous attempt is being reclaimed.
	CauseReclaim Cause = "reclaim"
	// CauseSlow: the previous attempt exceeds the hedge delay.
	CauseSlow Cause = "slow"
)

const (
	// DefaultRatio is the number of extra attempts that one request adds to the
	// budget. With the reserve it keeps attempts below the design bound of 1.2 a
	// request.
	DefaultRatio = 0.1
	// DefaultReserve is the capacity of the budget in extra attempts; it also
	// allows retries while there is little traffic.
	DefaultReserve = 10
)

// Budget is a token bucket that requests fill and extra attempts drain.
// Invariant: attempts granted by TryWithdraw number at most the reserve plus the
// ratio times the requests.
type Budget struct {
	ratio   float64
	reserve float64
	balance float64
}

// New returns a full budget. ratio is in extra attempts per request; reserve,
// the capacity, is in extra attempts.
func New(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, balance: reserve}
}

// Deposit adds the ratio for one accepted request.
func (b *Budget) Deposit() { b.balance = min(b.balance+b.ratio, b.reserve) }

// TryWithdraw consumes one extra attempt. It reports false if none is left.
func (b *Budget) TryWithdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Overdraw consumes an extra attempt even if none is left: an accepted request
// must survive an announced reclaim. The debt, which is at most one reserve,
// blocks TryWithdraw until deposits have repaid it.
func (b *Budget) Overdraw() { b.balance = max(b.balance-1, -b.reserve) }

// Balance returns the number of extra attempts left; it is negative in debt.
func (b *Budget) Balance() float64 { return b.balance }
