package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/procs"
	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
)

const (
	// maxRollbackInterval bounds the random time between two rollbacks, maxAwayTime the time for which
	// the store is away in one.
	maxRollbackInterval = 4 * time.Second
	maxAwayTime         = 2500 * time.Millisecond
	// maxCopyAge bounds the age of the copy from which the store comes back, rewriteDelay the time
	// until the operator and the replicas have written again what was lost.
	maxCopyAge   = 8 * time.Second
	rewriteDelay = 500 * time.Millisecond
)

// injectRollbacks makes the store come back from older copies at random times, beside the other
// faults, until the faults end, and returns what it did. It has random numbers of its own, so that
// the faults of a seed stay the same.
func (r *run) injectRollbacks(ctx context.Context) []string {
	var rollbacks []string
	random := rand.New(rand.NewPCG(r.options.Seed, rollbackStream))
	for time.Since(r.startedAt) < r.options.Length && ctx.Err() == nil {
		sleep(ctx, time.Duration(random.Int64N(int64(maxRollbackInterval))))
		b := userplatform.Rollback{
			CopyAge: time.Duration(random.Int64N(int64(maxCopyAge))), Silent: random.IntN(2) == 0, RewriteDelay: rewriteDelay,
		}
		away := time.Duration(random.Int64N(int64(maxAwayTime)))
		rollbacks = append(rollbacks, r.atNow("store away for %s, back from a copy %s older, silent %t", away.Round(time.Millisecond), b.CopyAge.Round(time.Millisecond), b.Silent))
		r.fleet.Store.Suspend(b)
		sleep(ctx, away)
		r.fleet.Store.RollBack(b)
	}
	return rollbacks
}

// writeHeartbeats writes the entries of all replicas that run, as they do themselves. A copy of the
// store then lacks many of them.
func (r *run) writeHeartbeats() {
	for _, replica := range r.replicas() {
		if _, down := r.crashes.downAt[replica]; !down {
			r.fleet.Announce(replica, "ready")
		}
	}
}

// dutiesTimeout is the time within which usage is reported again once all faults have ended: a
// report is due ten seconds after its window.
const dutiesTimeout = 12 * time.Second

// checkDutiesGoOn checks that usage after the faults is reported.
func (r *run) checkDutiesGoOn(ctx context.Context, recoveredAt time.Time) []string {
	isNew := func(u userplatform.UsageReport) bool { return u.Window > recoveredAt.Unix() }
	err := procs.WaitFor(ctx, dutiesTimeout, "a usage report once all faults have ended", func() bool {
		return slices.ContainsFunc(r.fleet.Cloud.UsageReports(), isNew)
	})
	if err != nil {
		return []string{err.Error()}
	}
	return nil
}

// rollbackStream selects the random numbers of the rollbacks of a seed. The faults have stream 0, the
// clients those from 1 on.
const rollbackStream = 1 << 32
