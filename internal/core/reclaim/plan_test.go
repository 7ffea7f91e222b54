package reclaim_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/reclaim"
	"github.com/cornelhold/cornelhold/internal/proptest"
)

// TestMain fixes the seed of the property tests, so that runs are repeatable.
func TestMain(m *testing.M) { proptest.Main(m, 20261204, 500) }

// meetsNotices simulates the transfers in the given order and reports whether
// each completes within its notice.
func meetsNotices(moves []reclaim.Move, batch []reclaim.LeavingEndpoint, link reclaim.Link) bool {
	exported := make([]time.Duration, len(batch))
	sent := link.BusyFor
	for _, m := range moves {
		if m.Method != reclaim.MethodTransfer {
			continue
		}
		for i, e := range batch {
			for _, s := range e.Streams {
				if s.Request != m.Request {
					continue
				}
				tokens := time.Duration(s.PromptTokens + s.Generated)
				exported[i] += tokens * e.Rates.TransferPerToken
				sent += tokens * link.PerToken
				if max(exported[i], sent) > e.Notice {
					return false
				}
			}
		}
	}
	return true
}

func recomputedTokens(moves []reclaim.Move, batch []reclaim.LeavingEndpoint) int {
	total := 0
	for _, m := range moves {
		for _, e := range batch {
			for _, s := range e.Streams {
				if s.Request == m.Request && m.Method == reclaim.MethodRecompute {
					total += s.PromptTokens + s.Generated
				}
			}
		}
	}
	return total
}

// minRecomputed returns the minimum number of recomputed tokens over all sets of
// transfers of one endpoint, with the same margins as the plan, and the total.
func minRecomputed(e reclaim.LeavingEndpoint, link reclaim.Link) (fewest, total int) {
	available := e.Notice - 200*time.Millisecond
	saved := 0
	for set := range 1 << len(e.Streams) {
		tokens, count := 0, 0
		for i, s := range e.Streams {
			if set&(1<<i) != 0 {
				tokens += s.PromptTokens + s.Generated
				count++
			}
		}
		export := time.Duration(tokens)*e.Rates.TransferPerToken + time.Duration(count)*5*time.Millisecond
		if export <= available && link.BusyFor+time.Duration(tokens)*link.PerToken <= available {
			saved = max(saved, tokens)
		}
	}
	for _, s := range e.Streams {
		total += s.PromptTokens + s.Generated
	}
	return total - saved, total
}

func drawLeaving(t *rapid.T, name string, maxStreams int) reclaim.LeavingEndpoint {
	e := reclaim.LeavingEndpoint{
		Endpoint: fleet.EndpointID(name),
		Notice:   time.Duration(rapid.IntRange(300, 30000).Draw(t, "notice")) * time.Millisecond,
		Rates: reclaim.Rates{
			TokenInterval:    50 * time.Millisecond,
			TransferPerToken: time.Duration(rapid.IntRange(0, 2000).Draw(t, "export")) * time.Microsecond,
		},
	}
	for i := range rapid.IntRange(1, maxStreams).Draw(t, "streams") {
		e.Streams = append(e.Streams, reclaim.Stream{
			Request:      fleet.RequestID(fmt.Sprintf("%s-%d", name, i)),
			PromptTokens: rapid.IntRange(1, 8000).Draw(t, "prompt"),
			Generated:    rapid.IntRange(0, 2000).Draw(t, "generated"),
			Remaining:    rapid.IntRange(1, 2000).Draw(t, "remaining"),
		})
	}
	return e
}

func drawLink(t *rapid.T) reclaim.Link {
	return reclaim.Link{
		PerToken: time.Duration(rapid.IntRange(0, 1000).Draw(t, "link")) * time.Microsecond,
		BusyFor:  time.Duration(rapid.IntRange(0, 2000).Draw(t, "busy")) * time.Millisecond,
	}
}

// TestBatchPlanMeetsEveryNotice guards against a plan that omits a stream, or
// includes a transfer that can't complete before its endpoint is reclaimed.
func TestBatchPlanMeetsEveryNotice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var batch []reclaim.LeavingEndpoint
		var want []fleet.RequestID
		for i := range rapid.IntRange(1, 6).Draw(t, "endpoints") {
			batch = append(batch, drawLeaving(t, fmt.Sprint("e", i), 8))
			for _, s := range batch[i].Streams {
				want = append(want, s.Request)
			}
		}
		link := drawLink(t)
		moves := reclaim.PlanBatch(batch, link)
		var got []fleet.RequestID
		for _, m := range moves {
			got = append(got, m.Request)
		}
		slices.Sort(got)
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Fatalf("plan contains streams %v, want %v", got, want)
		}
		if !meetsNotices(moves, batch, link) {
			t.Fatal("a planned transfer completes after the notice of its endpoint")
		}
	})
}

// TestPlanSavesAtLeastHalf guards the approximation bound of the greedy choice:
// it saves at least half of the tokens that the optimal set of transfers saves.
func TestPlanSavesAtLeastHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := drawLeaving(t, "e", 8)
		for i := range e.Streams {
			e.Streams[i].Remaining = 1 << 20
		}
		link := drawLink(t)
		got := recomputedTokens(reclaim.PlanBatch([]reclaim.LeavingEndpoint{e}, link), []reclaim.LeavingEndpoint{e})
		fewest, total := minRecomputed(e, link)
		if e.Rates.TransferPerToken > 0 && 2*(total-got) < total-fewest {
			t.Fatalf("plan recomputes %d tokens, the optimal plan %d of %d", got, fewest, total)
		}
	})
}

// TestLookupFindsHandedOverRecord guards against a handed-over record that a
// reconnecting caller can't find: whichever router left and whichever holder crashed
// since, a lookup queries the other holder.
func TestLookupFindsHandedOverRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var routers []reclaim.Router
		for i := range rapid.IntRange(3, 12).Draw(t, "routers") {
			routers = append(routers, reclaim.Router{
				Instance:   fleet.InstanceID(fmt.Sprint("r", i)),
				DataCentre: fleet.DataCentre(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "dc")),
			})
		}
		id := fleet.RequestID(rapid.StringMatching(`[0-9a-f]{8}`).Draw(t, "id"))
		leaving := rapid.SampledFrom(routers).Draw(t, "leaving")
		holders := reclaim.HandoffCandidates(id, leaving, routers)[:reclaim.HandoffCopies]
		dead := rapid.SampledFrom(holders).Draw(t, "dead")
		remaining := slices.DeleteFunc(slices.Clone(routers), func(r reclaim.Router) bool {
			return r.Instance == leaving.Instance || r.Instance == dead
		})
		candidates := reclaim.LookupCandidates(id, remaining)
		for _, h := range holders {
			if h != dead && !slices.Contains(candidates, h) {
				t.Fatalf("lookup queries %v, which lacks holder %s", candidates, h)
			}
		}
	})
}
