package e2e

import (
	"flag"
	"maps"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
)

const (
	// rollbackAwayTime is how long the store is away before it comes back from an older copy,
	// rollbackBound the time after its return within which the duties are performed again: a usage
	// report is due after 10 s.
	rollbackAwayTime = time.Second
	rollbackBound    = 12 * time.Second
	// rolloutSettleTime is the time after that in which a rollout shows what became of it: the duties
	// are taken over, and replicas that run renew their entries.
	rolloutSettleTime = 14 * time.Second
	heartbeatInterval = 1200 * time.Millisecond
)

// allRollbacks selects all variants of rollbacks of the store. A test run plays those marked as brief.
var allRollbacks = flag.Bool("all-rollbacks", false, "play all variants of rollbacks of the store")

// TestEdgeSurvivesRollbacks guards against state that rests on records which the store has lost, when it
// comes back from an older copy: usage that is not reported any more, or with two counts, fencing
// tokens that fall (rule ONE), a configuration that is not read (rule CONFIG) and requests to a
// removed replica (rule DRAIN). A process that is suspended misses it all.
func TestEdgeSurvivesRollbacks(t *testing.T) {
	for name, c := range map[string]struct {
		rollback            userplatform.Rollback
		away                time.Duration
		twice, kill, missed bool
		brief               bool
	}{
		"running on":       {rollback: userplatform.Rollback{CopyAge: 3 * time.Second}, away: rollbackAwayTime},
		"silent, old copy": {rollback: userplatform.Rollback{CopyAge: time.Minute, Silent: true, RewriteDelay: 500 * time.Millisecond}, away: rollbackAwayTime},
		"long away":        {rollback: userplatform.Rollback{CopyAge: 6 * time.Second, Silent: true}, away: 4 * time.Second},
		"twice":            {rollback: userplatform.Rollback{CopyAge: 2 * time.Second}, away: rollbackAwayTime, twice: true},
		"missed by one":    {rollback: userplatform.Rollback{CopyAge: 4 * time.Second}, away: rollbackAwayTime, missed: true},
		"twice, missed by one": {
			rollback: userplatform.Rollback{CopyAge: 3 * time.Second, Silent: true, RewriteDelay: 500 * time.Millisecond}, away: rollbackAwayTime,
			twice: true, missed: true, brief: true,
		},
		"all killed":          {rollback: userplatform.Rollback{CopyAge: 4 * time.Second}, away: rollbackAwayTime, kill: true},
		"all killed, no copy": {rollback: userplatform.Rollback{CopyAge: time.Minute, Silent: true}, away: rollbackAwayTime, kill: true},
	} {
		if !c.brief && !*allRollbacks {
			continue
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newEdgeFleet(t, 3)
			f.awaitReports("key-1", 0)
			if c.missed {
				is.NoErr(f.Edges[2].Signal(syscall.SIGSTOP))
			}
			f.rollBackStore(c.rollback, c.away, c.kill)
			if c.twice {
				f.rollBackStore(c.rollback, c.away, c.kill)
			}
			if c.missed {
				is.NoErr(f.Edges[2].Signal(syscall.SIGCONT))
			}
			returnedAt := time.Now()
			f.checkChangesAfterRollback()
			f.awaitReports("key-2", returnedAt.Unix())
			f.checkReports()
		})
	}
}

// awaitReports sends requests until the usage of some windows from a time on, as Unix seconds, is
// reported. A window of these fleets lasts a second.
func (f *edgeFleet) awaitReports(key string, from int64) {
	f.t.Helper()
	const windows = 3
	f.eventually(rollbackBound, "reports of the usage", func() bool {
		for _, e := range f.Edges {
			f.do(e, call{method: http.MethodGet, target: "/check/x", key: key})
		}
		reported := make(map[int64]bool)
		for _, r := range f.Cloud.UsageReports() {
			if r.Window > from {
				reported[r.Window] = true
			}
		}
		return len(reported) >= windows
	})
}

// rollBackStore makes the store leave and come back from a copy. kill ends all processes meanwhile
// and starts them again.
func (f *edgeFleet) rollBackStore(b userplatform.Rollback, away time.Duration, kill bool) {
	f.t.Helper()
	f.Store.Suspend(b)
	if kill {
		for _, e := range f.Edges {
			e.Kill()
		}
	}
	time.Sleep(away)
	f.Store.RollBack(b)
	if !kill {
		return
	}
	for _, e := range f.Edges {
		is.New(f.t).NoErr(e.Start())
	}
	f.awaitReady()
}

// TestRolloutStaysFinalAfterRollback guards against a rollout that is reverted after it was done, with
// the only replicas that are left (rule RECOVER, review case 15), or carried out again after it was
// reverted, since the copy from which the store comes back says that it runs; and against one that is
// reverted since the store came back midway.
func TestRolloutStaysFinalAfterRollback(t *testing.T) {
	if *allRollbacks {
		t.Run("midway", checkRolloutGoesOn)
	}
	for name, c := range map[string]struct {
		fault userplatform.Fault
		state string
		kill  bool
		brief bool
	}{
		"done":             {fault: userplatform.FaultNone, state: "v2 done"},
		"done, all killed": {fault: userplatform.FaultNone, state: "v2 done", kill: true, brief: true},
		"reverted":         {fault: userplatform.FaultServerError, state: "v2 reverted"},
	} {
		if !c.brief && !*allRollbacks {
			continue
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newEdgeFleet(t, 3)
			f.awaitHolder()
			stop := rolloutLoad(f.Edges)
			old := slices.Clone(f.PlainReplicas)
			f.OrderRollout("v2", rolloutTime)
			added := f.addVersion("v2", c.fault)
			f.eventually(rolloutTime, "the rollout to end", f.hasRolloutState(c.state))
			ended, left := old, added // the operator ends the replicas of the other version
			if c.state == "v2 reverted" {
				ended, left = added, old
			}
			time.Sleep(time.Second)
			for _, r := range ended {
				f.RemoveEntry(r)
				r.Crash()
			}
			stop()
			f.rollBackStore(userplatform.Rollback{CopyAge: 6 * time.Second}, rollbackAwayTime, c.kill)
			for returnedAt := time.Now(); time.Since(returnedAt) < rolloutSettleTime; time.Sleep(heartbeatInterval) {
				for _, r := range left {
					f.Announce(r, "ready")
				}
			}
			states := f.RolloutStates()
			is.Equal(states[len(states)-1], c.state)
			for _, e := range f.Edges {
				is.Equal(requestOnce(e.FrontAddress, "after-rollback-"+e.Name), http.StatusOK)
			}
			f.checkReports()
		})
	}
}

// checkRolloutGoesOn checks that a rollout is done in time if the store comes back from an older copy
// midway.
func checkRolloutGoesOn(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 3)
	f.awaitHolder()
	stop := rolloutLoad(f.Edges)
	f.OrderRollout("v2", rolloutTime)
	f.addVersion("v2", userplatform.FaultNone)
	f.eventually(rolloutTime/3, "the rollout to run", f.hasRolloutState("v2 running"))
	time.Sleep(2 * time.Second)
	f.rollBackStore(userplatform.Rollback{CopyAge: 3 * time.Second, Silent: true}, rollbackAwayTime, false)
	const storeDelay = 6 * time.Second // outer-ms
	f.eventually(rolloutTime+storeDelay, "the rollout to be done", f.hasRolloutState("v2 done"))
	is.True(!slices.Contains(f.RolloutStates(), "v2 reverted"))
	is.True(stop().isServed())
}

// checkChangesAfterRollback changes the configuration and removes a replica, and checks that all
// processes follow.
func (f *edgeFleet) checkChangesAfterRollback() {
	f.t.Helper()
	is := is.New(f.t)
	time.Sleep(contactTime)
	f.Configure(f.Config("plain", "key-2"))
	f.RemoveEntry(f.PlainReplicas[0])
	time.Sleep(max(configBound, drainBound))
	before := len(f.PlainReplicas[0].Runs())
	for range 6 {
		for _, e := range f.Edges {
			resp, _, _ := f.do(e, call{method: http.MethodGet, target: "/check/x", key: "key-2"})
			is.Equal(resp.StatusCode, http.StatusOK)
			resp, _, _ = f.do(e, call{method: http.MethodGet, target: "/check/x", key: "key-1"})
			is.Equal(resp.StatusCode, http.StatusUnauthorized)
		}
	}
	is.Equal(len(f.PlainReplicas[0].Runs()), before)
}

// contactTime is the time without disruption after which the bounds hold.
const contactTime = 3 * time.Second

// checkReports checks that no window was reported with two counts and that fencing tokens did not
// fall.
func (f *edgeFleet) checkReports() {
	f.t.Helper()
	counts := make(map[int64]map[string]int)
	fence := int64(0)
	for _, r := range f.Cloud.UsageReports() {
		if known, ok := counts[r.Window]; ok && !maps.Equal(known, r.Counts) {
			f.t.Errorf("window %d was reported with %v and %v", r.Window, known, r.Counts)
		}
		counts[r.Window] = r.Counts
		if r.Fence < fence {
			f.t.Errorf("%s reports with fencing token %d after %d", r.Holder, r.Fence, fence)
		}
		fence = r.Fence
	}
}
