package policybench

import (
	"maps"
	"slices"
)

const (
	// goodputShare is the least goodput over peak relative to peak.
	goodputShare = 0.95
	// attemptsBound is the largest number of attempts a request when a data
	// centre is reclaimed.
	attemptsBound = 1.2
	// floodTolerance is the statistical tolerance of shares within the target
	// between two runs with different arrivals.
	floodTolerance = 0.01
	// underTest names the policy under test in the figures.
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

// Run measures all users, scenarios and policies.
func Run() []Figure {
	var figures []Figure
	for _, u := range users() {
		results := map[Scenario]summary{}
		for _, scenario := range Scenarios() {
			base := map[string]summary{}
			for _, p := range baselines() {
				base[p.name] = summarize(simulate(u, scenario, p.build))
			}
			own := summarize(simulate(u, scenario, newUnderTest))
			results[scenario] = own
			figures = append(figures, scenarioFigures(u, scenario, own, base)...)
		}
		figures = append(figures, acrossFigures(u, results)...)
	}
	return figures
}

func scenarioFigures(u *user, scenario Scenario, own summary, base map[string]summary) []Figure {
	prefix := u.name + "/" + string(scenario) + "/"
	var figures []Figure
	for _, p := range baselines() {
		figures = append(figures, plainFigures(prefix+p.name+"/", base[p.name])...)
	}
	prefix += underTest + "/"
	saver := leastRecomputed(base)
	cheapest := saver.cost
	for _, b := range base {
		cheapest = min(cheapest, b.cost)
	}
	figures = append(figures,
		below(prefix+"recomputed_share", own.recomputed, "share", saver.recomputed),
		atMost(prefix+"first_token_p95_vs_baseline", own.firstToken, "s", saver.firstToken),
		atMost(prefix+"first_token_p95", own.firstToken, "s", firstTokenTarget.Seconds()),
		atMost(prefix+"between_tokens_p95", own.betweenTokens, "s", betweenTokensTarget.Seconds()),
		below(prefix+"cost_per_1000", own.cost, "units", cheapest),
		atLeast(prefix+"within_share_vs_baseline", own.within, "share", saver.within),
		info(prefix+"fleet_cost_per_1000", own.fleetCost, "units"),
		atMost(prefix+"lost", float64(own.lost), "requests", 0),
	)
	if own.stock > 0 {
		figures = append(figures, atMost(prefix+"stock_check_p95", own.stock, "s", stockTarget.Seconds()))
	}
	attempts := info(prefix+"attempts", own.attempts, "attempts")
	if scenario == Reclaim {
		attempts = atMost(prefix+"attempts", own.attempts, "attempts", attemptsBound)
	}
	return append(append(figures, attempts), breakdown(prefix, own)...)
}

// leastRecomputed returns the baseline that recomputes least.
func leastRecomputed(base map[string]summary) summary {
	var best summary
	for i, p := range baselines() {
		if b := base[p.name]; i == 0 || b.recomputed < best.recomputed {
			best = b
		}
	}
	return best
}

func plainFigures(prefix string, s summary) []Figure {
	return []Figure{
		info(prefix+"recomputed_share", s.recomputed, "share"),
		info(prefix+"first_token_p95", s.firstToken, "s"),
		info(prefix+"between_tokens_p95", s.betweenTokens, "s"),
		info(prefix+"stock_check_p95", s.stock, "s"),
		info(prefix+"cost_per_1000", s.cost, "units"),
		info(prefix+"within_share", s.within, "share"),
		info(prefix+"attempts", s.attempts, "attempts"),
	}
}

func breakdown(prefix string, s summary) []Figure {
	var figures []Figure
	for _, kind := range slices.Sorted(maps.Keys(s.withinKind)) {
		figures = append(figures, info(prefix+"within_share/kind/"+kind, s.withinKind[kind], "share"))
	}
	for _, team := range slices.Sorted(maps.Keys(s.withinTeam)) {
		figures = append(figures, info(prefix+"within_share/team/"+string(team), s.withinTeam[team], "share"))
	}
	for _, reason := range slices.Sorted(maps.Keys(s.refusals)) {
		figures = append(figures, info(prefix+"refusals/"+string(reason), float64(s.refusals[reason]), "requests"))
	}
	return figures
}

// acrossFigures compares scenarios of one user.
func acrossFigures(u *user, results map[Scenario]summary) []Figure {
	peak, over, flood := results[Peak], results[Over], results[Flood]
	figures := []Figure{
		atLeast(u.name+"/over-peak/"+underTest+"/goodput_vs_peak", ratio(over.goodput, peak.goodput), "share", goodputShare),
	}
	for i, t := range u.teams {
		if i == u.floodTeam {
			continue
		}
		bound := peak.withinTeam[t.name] - floodTolerance
		name := u.name + "/flood/" + underTest + "/guaranteed_share/" + string(t.name)
		figures = append(figures, atLeast(name, flood.withinTeam[t.name], "share", bound))
	}
	return figures
}
