package policybench

import (
	"fmt"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Verdict tells whether a figure keeps its bound.
type Verdict string

// Verdicts. Info marks a figure without a bound.
const (
	Pass Verdict = "pass"
	Fail Verdict = "fail"
	Info Verdict = "info"
)

// Figure is one measured value.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// Bound is empty for a figure without a bound.
	Bound   string  `json:"bound"`
	Verdict Verdict `json:"verdict"`
}

// String returns the line that the benchmark prints.
func (f Figure) String() string {
	bound := f.Bound
	if bound == "" {
		bound = "-"
	}
	return fmt.Sprintf("%s %.4f %s %s %s", f.Name, f.Value, f.Unit, bound, f.Verdict)
}

// atMost returns a figure that must not exceed the bound.
func atMost(name string, value float64, unit string, bound float64) Figure {
	return judged(name, value, unit, fmt.Sprintf("<=%.4f", bound), value <= bound)
}

// below returns a figure that must be less than the bound.
func below(name string, value float64, unit string, bound float64) Figure {
	return judged(name, value, unit, fmt.Sprintf("<%.4f", bound), value < bound)
}

// atLeast returns a figure that must reach the bound.
func atLeast(name string, value float64, unit string, bound float64) Figure {
	return judged(name, value, unit, fmt.Sprintf(">=%.4f", bound), value >= bound)
}

func info(name string, value float64, unit string) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Verdict: Info}
}

func judged(name string, value float64, unit, bound string, kept bool) Figure {
	f := Figure{Name: name, Value: value, Unit: unit, Bound: bound, Verdict: Fail}
	if kept {
		f.Verdict = Pass
	}
	return f
}

// summary holds the figures of one run.
type summary struct {
	// cost is the price of the engine time used, for each thousand requests
	// within the target; fleetCost counts idle time too.
	cost, fleetCost float64
	recomputed      float64
	// firstToken and stock are 95th percentiles in seconds.
	firstToken, betweenTokens, stock float64
	within                           float64
	withinKind                       map[string]float64
	withinTeam                       map[fleet.TeamName]float64
	refusals                         map[fleet.RefusalKind]int
	attempts                         float64
	// goodput counts requests within the target.
	goodput int
	// lost counts requests that neither ended nor were refused.
	lost int
}

type tally struct{ good, all int }

func (t tally) share() float64 { return ratio(t.good, t.all) }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func summarize(s *simulation) summary {
	out := summary{refusals: map[fleet.RefusalKind]int{}}
	kinds, teams := map[string]tally{}, map[fleet.TeamName]tally{}
	var first, gaps, stock []time.Duration
	attempts, started := 0, 0
	for _, p := range s.order {
		attempts += p.attempts
		if p.attempts > 0 {
			started++
		}
		good := withinTarget(p)
		kinds[p.call.kind] = kinds[p.call.kind].add(good)
		teams[p.call.team] = teams[p.call.team].add(good)
		out.goodput += count(good)
		switch {
		case p.refusal != "":
			out.refusals[p.refusal]++
		case !p.done:
			out.lost++
		case p.call.kind == kindStock:
			stock = append(stock, p.end-p.call.at)
		case p.call.tokens > 1 && p.call.class != fleet.ClassBatch:
			first = append(first, p.first-p.call.at)
			gaps = append(gaps, gap(p))
		}
	}
	out.within = ratio(out.goodput, len(s.order))
	out.withinKind, out.withinTeam = shares(kinds), shares(teams)
	out.attempts = ratio(attempts, started)
	out.recomputed = ratio(s.recomputed, s.promptTokens)
	out.firstToken, out.betweenTokens, out.stock = p95(first), p95(gaps), p95(stock)
	out.cost, out.fleetCost = costs(s, out.goodput)
	return out
}

func (t tally) add(good bool) tally { return tally{good: t.good + count(good), all: t.all + 1} }

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

func shares[K comparable](tallies map[K]tally) map[K]float64 {
	out := make(map[K]float64, len(tallies))
	for k, t := range tallies {
		out[k] = t.share()
	}
	return out
}

func gap(p *progress) time.Duration {
	return (p.end - p.first) / time.Duration(p.call.tokens-1)
}

// withinTarget tells whether a request ended within its latency target. Batch
// work has no latency target and only has to end.
func withinTarget(p *progress) bool {
	if !p.done || p.refusal != "" {
		return false
	}
	took := p.end - p.call.at
	switch p.call.kind {
	case kindStock:
		return took <= stockTarget
	case kindWorkOrder, kindCutOrder:
		return took <= orderTarget
	case kindProof:
		return true
	default:
		return p.first-p.call.at <= firstTokenTarget && gap(p) <= betweenTokensTarget
	}
}

func p95(values []time.Duration) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)*95/100].Seconds()
}

func costs(s *simulation, goodput int) (used, whole float64) {
	for _, n := range s.nodes {
		used += n.price * n.busy.Hours()
		whole += n.price * traceLength.Hours()
	}
	thousands := float64(max(goodput, 1)) / 1000
	return used / thousands, whole / thousands
}
