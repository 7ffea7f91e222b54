// Package budget limits extra attempts. Retries and hedges draw on one budget,
// whatever their cause, so that failures never multiply load.
package budget

// Cause tells why an extra attempt is made. It labels the counters.
type Cause string

// Causes.
const (
	// CauseFailure: the attempt before failed, broke or was rejected.
	CauseFailure Cause = "failure"
	// CauseReclaim: the endpoint of the attempt before is leaving.
	CauseReclaim Cause = "reclaim"
	// CauseSlow: the attempt before takes longer than most calls do.
	CauseSlow Cause = "slow"
)

const (
	// DefaultRatio is the number of extra attempts that one request earns. With
	// the reserve it keeps attempts below the design bound of 1.2 a request.
	DefaultRatio = 0.1
	// DefaultReserve is the number of extra attempts that may be made at once;
	// it also allows retries while there is little traffic.
	DefaultReserve = 10
)

// Budget is a token bucket that requests fill and extra attempts empty.
// Invariant: elective attempts number at most the reserve plus the ratio
// times the requests.
type Budget struct {
	ratio   float64
	reserve float64
	balance float64
}

// New returns a full budget. ratio is in extra attempts a request, reserve in
// extra attempts.
func New(ratio, reserve float64) *Budget {
	return &Budget{ratio: ratio, reserve: reserve, balance: reserve}
}

// Deposit adds the share of one accepted request.
func (b *Budget) Deposit() { b.balance = min(b.balance+b.ratio, b.reserve) }

// TryWithdraw takes one extra attempt and reports false when none is left.
func (b *Budget) TryWithdraw() bool {
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Overdraw records an extra attempt that must be made although none may be left,
// because an accepted request survives an announced reclaim. The debt, which is
// at most one reserve, blocks elective attempts until it is earned back.
func (b *Budget) Overdraw() { b.balance = max(b.balance-1, -b.reserve) }

// Balance is the number of extra attempts left; it is negative while in debt.
func (b *Budget) Balance() float64 { return b.balance }
