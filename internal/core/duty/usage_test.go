package duty

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/internal/proptest"
)

// usageSimulation simulates the store of decisions and a platform that accepts
// reports, both with lost responses.
type usageSimulation struct {
	random    *rand.Rand
	epoch     storelog.Epoch
	decisions []Decision
	// decidedAt are the times of the decisions.
	decidedAt []time.Duration
	now       time.Duration
	reports   map[int64][]Counts
}

// end returns the position of the next decision.
func (w *usageSimulation) end() storelog.Position {
	end, _ := storelog.At(w.epoch, int64(len(w.decisions)))
	return end
}

func (w *usageSimulation) perform(r *Reporter, a ReporterAction) {
	replyLost := w.random.IntN(4) == 0
	switch a := a.(type) {
	case ReadDecisions:
		if replyLost {
			r.ActionFailed(a)
			return
		}
		r.DecisionsRead(append([]Decision(nil), w.decisions...), w.end())
	case AppendDecision:
		appended := a.At == w.end() && w.random.IntN(4) > 0
		if appended {
			w.decisions, w.decidedAt = append(w.decisions, a.Decision), append(w.decidedAt, w.now)
		}
		if replyLost || !appended {
			r.ActionFailed(a)
			return
		}
		r.DecisionAppended(a.Decision, a.At)
	case SendReport:
		if w.random.IntN(4) == 0 {
			r.ActionFailed(a)
			return
		}
		w.reports[a.Decision.Window] = append(w.reports[a.Decision.Window], maps.Clone(a.Decision.Counts))
		if replyLost {
			r.ActionFailed(a)
			return
		}
		r.ReportAccepted(a.Decision.Window)
	}
}

// TestWindowIsReportedWithOneCount guards against two reports of a window with
// different counts (rule ONE) and against windows that are never reported, while
// holders change, responses are lost and counts still arrive.
func TestWindowIsReportedWithOneCount(t *testing.T) {
	const windowLength = 5 * time.Second
	proptest.Check(t, proptest.Bounds{Seed: 20261204, Checks: 300}, func(t *rapid.T) {
		w := &usageSimulation{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), reports: make(map[int64][]Counts)}
		usage := NewUsage()
		reporter := NewReporter(windowLength)
		first := reporter.Window(1000 * time.Second)
		for now := 1000 * time.Second; now < 1060*time.Second; now += 100 * time.Millisecond {
			usage.Add(reporter.Window(now-time.Duration(w.random.IntN(3000))*time.Millisecond), Origin{"dc", "a/1"}, "team")
			if w.random.IntN(60) == 0 {
				reporter = NewReporter(windowLength)
			}
			if w.random.IntN(60) == 0 {
				reporter.Begin(0)
			}
			w.now = now
			for _, a := range reporter.NextActions(now, now, usage) {
				w.perform(reporter, a)
			}
		}
		w.checkReports(t)
		for window := first; window < reporter.Window(1050*time.Second); window++ {
			if len(w.reports[window]) == 0 {
				t.Fatalf("window %d was not reported", window)
			}
		}
	})
}

// checkReports fails if a window was reported with different counts.
func (w *usageSimulation) checkReports(t *rapid.T) {
	for window, reports := range w.reports {
		for _, counts := range reports {
			if !maps.Equal(counts, reports[0]) {
				t.Fatalf("window %d was reported with %v and %v", window, reports[0], counts)
			}
		}
	}
}

// rollBack replaces the decisions by those of a copy from an earlier time.
func (w *usageSimulation) rollBack(copiedAt time.Duration) {
	kept := 0
	for kept < len(w.decisions) && w.decidedAt[kept] <= copiedAt {
		kept++
	}
	w.decisions, w.decidedAt = slices.Clone(w.decisions[:kept]), slices.Clone(w.decidedAt[:kept])
	w.epoch++
}

// TestWindowIsReportedWithOneCountAfterRollbacks guards against two reports of a window with different
// counts (rule ONE) when the store comes back from an older copy, and against windows that are
// left out although no decision on them can be lost: the holder goes on, or another one or a new
// process without counts takes over.
func TestWindowIsReportedWithOneCountAfterRollbacks(t *testing.T) {
	const windowLength = 5 * time.Second
	proptest.Check(t, proptest.Bounds{Seed: 20261207, Checks: 500}, func(t *rapid.T) {
		w := &usageSimulation{random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)), reports: make(map[int64][]Counts)}
		usage, reporter := NewUsage(), NewReporter(windowLength)
		returned := make(map[int64]bool)
		for now := 1000 * time.Second; now < 1080*time.Second; now += 100 * time.Millisecond {
			w.now = now
			usage.Add(reporter.Window(now-time.Duration(w.random.IntN(3000))*time.Millisecond), Origin{"dc", "a/1"}, "team")
			if w.random.IntN(150) == 0 {
				w.rollBack(now - time.Duration(w.random.IntN(12000))*time.Millisecond)
				// It takes a while until the duties are performed again.
				delay := 4 * time.Second
				if w.random.IntN(2) == 0 {
					delay = time.Second
					reporter.Continue()
				} else {
					usage, reporter = NewUsage(), NewReporter(windowLength)
					// The new holder may learn late of the epoch.
					reporter.Begin(now + time.Duration(w.random.IntN(3000))*time.Millisecond)
				}
				for at := now - retainedWindows*windowLength; at < now+delay; at += windowLength {
					returned[reporter.Window(at)] = true
				}
				now += delay
				continue
			}
			for _, a := range reporter.NextActions(now, now, usage) {
				w.perform(reporter, a)
			}
		}
		w.checkReports(t)
		for window := reporter.Window(1000 * time.Second); window < reporter.Window(1070*time.Second); window++ {
			if len(w.reports[window]) == 0 && !returned[window] {
				t.Fatalf("window %d was not reported", window)
			}
		}
	})
}

// TestLostDecisionIsNotMadeAgain guards against a second report, without counts, of a window that
// was reported before the store came back from an older copy and all machines were restarted
// (rule ONE, review case 11).
func TestLostDecisionIsNotMadeAgain(t *testing.T) {
	const windowLength, returnedAt = 5 * time.Second, 1000 * time.Second
	is := is.New(t)
	r := NewReporter(windowLength)
	r.Begin(returnedAt)
	// The copy has the decision on a window before. The one on window 198, until 995 s, is lost.
	end, _ := storelog.At(2, 7)
	r.DecisionsRead([]Decision{{Window: 197, Counts: Counts{"team": 3}}}, end)
	var leftOut, decided []int64
	for now := returnedAt; now < returnedAt+20*time.Second; now += 100 * time.Millisecond {
		for _, action := range r.NextActions(now, now, NewUsage()) {
			switch a := action.(type) {
			case LeaveOut:
				leftOut = append(leftOut, a.Window)
			case AppendDecision:
				decided = append(decided, a.Decision.Window)
				r.DecisionAppended(a.Decision, a.At)
			case SendReport:
				r.ReportAccepted(a.Decision.Window)
			}
		}
	}
	is.Equal(leftOut, []int64{198})
	is.Equal(decided, []int64{199, 200, 201, 202})
}

// TestCountsOfKilledInstanceAreKept guards against losing the counts of an
// instance that was killed.
func TestCountsOfKilledInstanceAreKept(t *testing.T) {
	is := is.New(t)
	u := NewUsage()
	u.Add(7, Origin{"dc", "a/1"}, "team")
	u.Merge(7, Origin{"dc", "b/1"}, Counts{"team": 5})
	u.Merge(7, Origin{"dc", "b/1"}, Counts{"team": 3}) // outdated report
	u.Merge(7, Origin{"dc", "b/2"}, Counts{"team": 1}) // same instance after a restart
	is.Equal(u.Total(7)[fleet.TeamName("team")], int64(7))
}

// TestTrueTimeToleratesClockSteps guards against usage counted in the wrong window
// while the wall clocks of some machines are stepped.
func TestTrueTimeToleratesClockSteps(t *testing.T) {
	is := is.New(t)
	const epoch = 1_000_000 * time.Second
	clock := NewClockEstimate()
	clock.Update(0, epoch)
	for now := time.Duration(0); now < 20*time.Second; now += 200 * time.Millisecond {
		step := time.Duration(0)
		if now > 5*time.Second && now < 11*time.Second {
			step = 2400 * time.Millisecond
		}
		clock.AddSample(now, "b", epoch+now)
		clock.AddSample(now, "c", epoch+now+step)
		clock.Update(now, epoch+now+step)
		is.Equal(clock.TrueTime(now), epoch+now)
	}
	// An instance that starts with a stepped clock gets the time from its peers.
	fresh := NewClockEstimate()
	fresh.Update(0, epoch+2400*time.Millisecond)
	for _, name := range []string{"b", "c", "d"} {
		fresh.AddSample(time.Second, name, epoch+time.Second)
	}
	fresh.Update(time.Second, epoch+3400*time.Millisecond)
	is.Equal(fresh.TrueTime(time.Second), epoch+time.Second)
}

// TestTotalsOfDataCentresAreMerged guards against usage that is counted twice or lost where
// an instance knows both the counts of origins and reported totals: the true number is at
// least the higher of both for each data centre.
func TestTotalsOfDataCentresAreMerged(t *testing.T) {
	is := is.New(t)
	u := NewUsage()
	u.Merge(7, Origin{"near", "a/1"}, Counts{"team": 5})
	u.MergeTotal(7, "near", Counts{"team": 4, "other": 2}) // lacks one of a/1, knows a killed instance
	u.MergeTotal(7, "far", Counts{"team": 3})
	u.MergeTotal(7, "far", Counts{"team": 1}) // outdated
	is.Equal(u.Total(7), Counts{"team": 8, "other": 2})
	totals := make(map[fleet.DataCentre]Counts)
	u.EachTotal(7, func(_ int64, dc fleet.DataCentre, counts Counts) { totals[dc] = counts })
	is.Equal(totals, map[fleet.DataCentre]Counts{"near": {"team": 5, "other": 2}, "far": {"team": 3}})
	u.EachOf(Origin{"near", "a/1"}, 7, func(_ int64, counts Counts) { counts["team"] = 100 }) // a copy
	is.Equal(u.Total(7)["team"], int64(8))
}
