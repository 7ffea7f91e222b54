package policybench

import (
	"fmt"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Verdict states whether a figure is within its bound.
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

// atMost returns a figure that must be less than or equal to the bound.
func atMost(name string, value float64, unit string, bound float64) Figure {
	return boundedFigure(name, value, unit, fmt.Sprintf("<=%.4f", bound), value <= bound)
}

// below returns a figure that must be less than the bound.
func below(name string, value float64, unit string, bound float64) Figure {
	return boundedFigure(name, value, unit, fmt.Sprintf("<%.4f", bound), value < bound)
}

// atLeast returns a figure that must be greater than or equal to the bound.
func atLeast(name string, value float64, unit string, bound float64) Figure {
	return boundedFigure(name, value, unit, fmt.Sprintf(">=%.4f", bound), value >= bound)
}

func info(name string, value float64, unit string) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Verdict: Info}
}

func boundedFigure(name string, value float64, unit, bound string, met bool) Figure {
	f := Figure{Name: name, Value: value, Unit: unit, Bound: bound, Verdict: Fail}
	if met {
		f.Verdict = Pass
	}
	return f
}

// summary holds the figures of one run.
type summary struct {
	// cost is the price of the busy time of all endpoints for each thousand
	// requests within the target; fleetCost includes their idle time.
	cost, fleetCost float64
	// recomputedShare relates the tokens that were processed again to the prompt
	// tokens of all admitted requests.
	recomputedShare float64
	// firstToken, betweenTokens and stockCheck are 95th percentiles in seconds.
	firstToken, betweenTokens, stockCheck float64
	// withinTarget and the maps by kind and team are the shares of requests
	// within their latency target.
	withinTarget       float64
	withinTargetByKind map[string]float64
	withinTargetByTeam map[fleet.TeamName]float64
	refusals           map[fleet.RefusalKind]int
	// attemptsPerRequest is the mean over the requests with at least one attempt.
	attemptsPerRequest float64
	// goodput counts requests within the target.
	goodput int
	// lost counts requests that neither ended nor were refused.
	lost int
}

// targetCount counts requests and those of them within their latency target.
type targetCount struct{ within, total int }

func (t targetCount) share() float64 { return ratio(t.within, t.total) }

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func summarize(s *simulation) summary {
	out := summary{refusals: map[fleet.RefusalKind]int{}}
	kinds, teams := map[string]targetCount{}, map[fleet.TeamName]targetCount{}
	var first, intervals, stockChecks []time.Duration
	attempts, started := 0, 0
	for _, p := range s.calls {
		attempts += p.attempts
		if p.attempts > 0 {
			started++
		}
		within := withinTarget(p)
		kinds[p.call.kind] = kinds[p.call.kind].add(within)
		teams[p.call.team] = teams[p.call.team].add(within)
		out.goodput += boolToInt(within)
		switch {
		case p.refusal != "":
			out.refusals[p.refusal]++
		case !p.done:
			out.lost++
		case p.call.kind == kindStock:
			stockChecks = append(stockChecks, p.endAt-p.call.at)
		case p.call.tokens > 1 && p.call.class != fleet.ClassBatch:
			first = append(first, p.firstTokenAt-p.call.at)
			intervals = append(intervals, meanTokenInterval(p))
		}
	}
	out.withinTarget = ratio(out.goodput, len(s.calls))
	out.withinTargetByKind, out.withinTargetByTeam = shares(kinds), shares(teams)
	out.attemptsPerRequest = ratio(attempts, started)
	out.recomputedShare = ratio(s.recomputed, s.promptTokens)
	out.firstToken, out.betweenTokens, out.stockCheck = p95(first), p95(intervals), p95(stockChecks)
	out.cost, out.fleetCost = costs(s, out.goodput)
	return out
}

func (t targetCount) add(within bool) targetCount {
	return targetCount{within: t.within + boolToInt(within), total: t.total + 1}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func shares[K comparable](counts map[K]targetCount) map[K]float64 {
	out := make(map[K]float64, len(counts))
	for k, t := range counts {
		out[k] = t.share()
	}
	return out
}

// meanTokenInterval returns the mean time between the tokens of a request.
func meanTokenInterval(p *progress) time.Duration {
	return (p.endAt - p.firstTokenAt) / time.Duration(p.call.tokens-1)
}

// withinTarget reports whether a request ended within its latency target. Batch
// work has no latency target: it only has to end.
func withinTarget(p *progress) bool {
	if !p.done || p.refusal != "" {
		return false
	}
	duration := p.endAt - p.call.at
	switch p.call.kind {
	case kindStock:
		return duration <= stockTarget
	case kindWorkOrder, kindCutOrder:
		return duration <= orderTarget
	case kindProof:
		return true
	default:
		return p.firstTokenAt-p.call.at <= firstTokenTarget && meanTokenInterval(p) <= betweenTokensTarget
	}
}

func p95(values []time.Duration) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)*95/100].Seconds()
}

// costs returns the price of the busy time and of the whole trace for each
// thousand requests within the target.
func costs(s *simulation, goodput int) (used, total float64) {
	for _, n := range s.nodes {
		used += n.price * n.busyTime.Hours()
		total += n.price * traceDuration.Hours()
	}
	thousands := float64(max(goodput, 1)) / 1000
	return used / thousands, total / thousands
}
