package policybench

import (
	"maps"
	"slices"
)

const (
	// minGoodputRatio bounds the goodput of the over-peak trace relative to that
	// of the peak trace.
	minGoodputRatio = 0.95
	// maxAttemptsPerRequest bounds the mean number of attempts for each request
	// while a data centre is reclaimed.
	maxAttemptsPerRequest = 1.2
	// floodTolerance is how far the share of requests within the target may differ
	// between two traces merely because their arrivals differ.
	floodTolerance = 0.01
	// underTest is the name of the policy under test in the figures.
	underTest = "cornelhold"
)

type namedPolicy struct {
	name  string
	build func(u *user, router int) Policy
}

func baselines() []namedPolicy {
	return []namedPolicy{
		{"round-robin", newBaseline(roundRobin)},
		{"least-outstanding", newBaseline(leastOutstanding)},
		{"two-choices", newBaseline(twoChoices)},
		{"prefix-hash", newBaseline(prefixHash)},
	}
}

// Run simulates every policy in all scenarios of all users.
func Run() []Figure {
	var figures []Figure
	for _, u := range users() {
		results := map[Scenario]summary{}
		for _, scenario := range Scenarios() {
			baselineResults := map[string]summary{}
			for _, p := range baselines() {
				baselineResults[p.name] = summarize(simulate(u, scenario, p.build))
			}
			measured := summarize(simulate(u, scenario, newUnderTest))
			results[scenario] = measured
			figures = append(figures, scenarioFigures(u, scenario, measured, baselineResults)...)
		}
		figures = append(figures, crossScenarioFigures(u, results)...)
	}
	return figures
}

func scenarioFigures(u *user, scenario Scenario, measured summary, baselineResults map[string]summary) []Figure {
	prefix := u.name + "/" + string(scenario) + "/"
	var figures []Figure
	for _, p := range baselines() {
		figures = append(figures, baselineFigures(prefix+p.name+"/", baselineResults[p.name])...)
	}
	prefix += underTest + "/"
	reference := minRecomputedBaseline(baselineResults)
	minCost := reference.cost
	for _, b := range baselineResults {
		minCost = min(minCost, b.cost)
	}
	figures = append(figures,
		below(prefix+"recomputed_share", measured.recomputedShare, "share", reference.recomputedShare),
		atMost(prefix+"first_token_p95_vs_baseline", measured.firstToken, "s", reference.firstToken),
		atMost(prefix+"first_token_p95", measured.firstToken, "s", firstTokenTarget.Seconds()),
		atMost(prefix+"between_tokens_p95", measured.betweenTokens, "s", betweenTokensTarget.Seconds()),
		below(prefix+"cost_per_1000", measured.cost, "units", minCost),
		atLeast(prefix+"within_share_vs_baseline", measured.withinTarget, "share", reference.withinTarget),
		info(prefix+"fleet_cost_per_1000", measured.fleetCost, "units"),
		atMost(prefix+"lost", float64(measured.lost), "requests", 0),
	)
	if measured.stockCheck > 0 {
		figures = append(figures, atMost(prefix+"stock_check_p95", measured.stockCheck, "s", stockTarget.Seconds()))
	}
	attempts := info(prefix+"attempts", measured.attemptsPerRequest, "attempts")
	if scenario == Reclaim {
		attempts = atMost(prefix+"attempts", measured.attemptsPerRequest, "attempts", maxAttemptsPerRequest)
	}
	return append(append(figures, attempts), breakdown(prefix, measured)...)
}

// minRecomputedBaseline returns the summary of the baseline with the smallest
// share of recomputed tokens.
func minRecomputedBaseline(baselineResults map[string]summary) summary {
	var chosen summary
	for i, p := range baselines() {
		if b := baselineResults[p.name]; i == 0 || b.recomputedShare < chosen.recomputedShare {
			chosen = b
		}
	}
	return chosen
}

func baselineFigures(prefix string, s summary) []Figure {
	return []Figure{
		info(prefix+"recomputed_share", s.recomputedShare, "share"),
		info(prefix+"first_token_p95", s.firstToken, "s"),
		info(prefix+"between_tokens_p95", s.betweenTokens, "s"),
		info(prefix+"stock_check_p95", s.stockCheck, "s"),
		info(prefix+"cost_per_1000", s.cost, "units"),
		info(prefix+"within_share", s.withinTarget, "share"),
		info(prefix+"attempts", s.attemptsPerRequest, "attempts"),
	}
}

func breakdown(prefix string, s summary) []Figure {
	var figures []Figure
	for _, kind := range slices.Sorted(maps.Keys(s.withinTargetByKind)) {
		figures = append(figures, info(prefix+"within_share/kind/"+kind, s.withinTargetByKind[kind], "share"))
	}
	for _, team := range slices.Sorted(maps.Keys(s.withinTargetByTeam)) {
		figures = append(figures, info(prefix+"within_share/team/"+string(team), s.withinTargetByTeam[team], "share"))
	}
	for _, reason := range slices.Sorted(maps.Keys(s.refusals)) {
		figures = append(figures, info(prefix+"refusals/"+string(reason), float64(s.refusals[reason]), "requests"))
	}
	return figures
}

// crossScenarioFigures compares the scenarios of one user with each other.
func crossScenarioFigures(u *user, results map[Scenario]summary) []Figure {
	peak, over, flood := results[Peak], results[Over], results[Flood]
	figures := []Figure{
		atLeast(u.name+"/over-peak/"+underTest+"/goodput_vs_peak", ratio(over.goodput, peak.goodput), "share", minGoodputRatio),
	}
	for i, t := range u.teams {
		if i == u.floodTeam {
			continue
		}
		bound := peak.withinTargetByTeam[t.name] - floodTolerance
		name := u.name + "/flood/" + underTest + "/guaranteed_share/" + string(t.name)
		figures = append(figures, atLeast(name, flood.withinTargetByTeam[t.name], "share", bound))
	}
	return figures
}
