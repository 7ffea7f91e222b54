package route

import (
	"math"
	"slices"
	"time"
)

// Choose returns the endpoint with the lowest cost for the request, or false
// when no endpoint can accept the request now. It allocates nothing.
func (t *Table) Choose(now time.Duration, r *Request) (Choice, bool) {
	t.choices++
	key, hashed := r.key()
	if !hashed {
		key = mix(t.seed ^ t.choices)
	}
	if c, ok := t.chooseFrom(now, r, &t.near, key, hashed); ok {
		return c, true
	}
	if c, ok := t.chooseFrom(now, r, &t.far, key, hashed); ok {
		return c, true
	}
	return t.chooseAvoided(r)
}

// chooseAvoided falls back to the endpoint that the request avoids, if the
// request must run and no other endpoint is available.
func (t *Table) chooseAvoided(r *Request) (Choice, bool) {
	s, ok := t.byID[r.Avoid]
	if !ok || !r.Force || !s.serves(r) {
		return Choice{}, false
	}
	return Choice{ID: s.ID, PrefillTokens: r.prefillTokens(0), slot: s.ref.slot}, true
}

func (t *Table) chooseFrom(now time.Duration, r *Request, from *ring, key uint64, hashed bool) (Choice, bool) {
	if len(from.endpoints) == 0 {
		return Choice{}, false
	}
	var set candidates
	t.match(r, from, &set)
	from.collect(key, &set)
	home := t.home(&set, key)
	chosen, minCost := (*state)(nil), time.Duration(math.MaxInt64)
	for pass := range 2 {
		for _, slot := range set.slots[:set.count] {
			s := t.slots[slot]
			// The second pass admits ejected endpoints, which are better than none.
			if s == nil || !s.serves(r) || s.ID == r.Avoid || slices.Contains(r.Exclude, s.ID) || (pass == 0 && s.outlier.ejectedUntil > now) {
				continue
			}
			if !t.maySend(now, r, s) {
				continue
			}
			cost := t.cost(now, r, s, hashed && slot == home, mix(key^s.hash))
			if cost < minCost {
				chosen, minCost = s, cost
			}
		}
		if chosen != nil {
			return Choice{ID: chosen.ID, PrefillTokens: r.prefillTokens(t.matched(chosen)), slot: chosen.ref.slot}, true
		}
	}
	return Choice{}, false
}

// maySend reports whether the request may be sent to the endpoint. Requests
// beyond a team's guaranteed share are limited to this router's part of the
// free slots. Others may also use another router's part while a margin of
// slots is free. A large cached prefix waives the margin unless the endpoints are
// contended.
func (t *Table) maySend(now time.Duration, r *Request, s *state) bool {
	if r.Force {
		return true
	}
	if s.availableSlots(now, r, t.routerCount, t.routerIndex) > 0 {
		return true
	}
	margin := s.slots() / marginDivisor
	if !r.Contended && t.matched(s)*r.BlockTokens >= shareBypassTokens {
		margin = 0
	}
	return !r.SpareOnly && s.loadFor(r.Class)+margin < s.slots()
}

// match records how many leading blocks the endpoints in the cache hints hold,
// and adds the endpoints with the longest matches to the candidates.
func (t *Table) match(r *Request, from *ring, set *candidates) {
	small := len(from.endpoints) <= maxCandidates
	found := 0
	for i := len(r.Blocks) - 1; i >= 0 && found < maxHolders; i-- {
		h := t.hints.find(r.Blocks[i])
		if h == nil {
			continue
		}
		for _, ref := range h.refs[:h.count] {
			s := t.slots[ref.slot]
			if s == nil || s.ref != ref || s.matchedIn == t.choices {
				continue
			}
			s.matched, s.matchedIn = i+1, t.choices
			found++
			if !small && set.count < maxHolders && s.Distance <= maxNearDistance {
				set.add(ref.slot)
			}
		}
	}
}

func (t *Table) matched(s *state) int {
	if s.matchedIn != t.choices {
		return 0
	}
	return s.matched
}

// home is the slot of the candidate with the highest rendezvous hash among
// those whose load exceeds the mean by at most homeSlack, so that new prefixes
// even out the load. Routers without a cache hint for a prefix mostly agree on
// its home. The result is -1 if there is none.
func (t *Table) home(set *candidates, key uint64) int32 {
	total, live := 0, 0
	for _, slot := range set.slots[:set.count] {
		if s := t.slots[slot]; s != nil && !s.Leaving && !s.absent {
			total += s.load()
			live++
		}
	}
	home, highest := int32(-1), uint64(0)
	for _, slot := range set.slots[:set.count] {
		s := t.slots[slot]
		if s == nil || s.Leaving || s.absent || s.load()*live > total+live*homeSlack {
			continue
		}
		if weight := mix(key ^ s.hash); weight >= highest {
			home, highest = slot, weight
		}
	}
	return home
}

// cost estimates the delay, to this request and to others, of running the
// request on the endpoint. The low bits of spread add up to about one
// microsecond, to break ties differently for each key.
func (t *Table) cost(now time.Duration, r *Request, s *state, home bool, spread uint64) time.Duration {
	matched := t.matched(s)
	prefill := r.prefillTokens(matched)
	cost := max(s.readyAt-now, 0) + time.Duration(prefill)*prefillPerToken
	recomputable := prefill
	if home {
		// Other routers send requests with the same prefix to the home, so it is
		// expected to have the prefix cached.
		recomputable = r.prefillTokens(max(matched, min(len(r.Blocks), affinityBlocks)))
	}
	cost += time.Duration(recomputable) * recomputePerToken
	cost += loadCost(s.loadFor(r.Class), s.slots())
	if s.load() >= s.slots() {
		cost += preemptionWeight
	}
	cost += 2*s.Distance + time.Duration((s.Price-1)*float64(priceWeight))
	cost += time.Duration((s.outlier.relativeTime(t.medianTime.value) - 1) * float64(slownessWeight))
	if r.roleMismatch(s, prefill) {
		cost += roleWeight
	}
	return cost + time.Duration(spread&0x3ff)
}

func loadCost(load, slots int) time.Duration {
	share := float64(load) / float64(slots)
	return time.Duration(share*share*float64(loadWeight)) + time.Duration(max(load+1-slots, 0))*overloadWeight
}

// roleMismatch reports whether the endpoint's role is meant for other requests:
// long prompts go to prefill endpoints, short ones to decode endpoints.
func (r *Request) roleMismatch(s *state, prefill int) bool {
	switch s.Role {
	case RolePrefill:
		return prefill < longPromptTokens
	case RoleDecode:
		return prefill >= longPromptTokens
	default:
		return false
	}
}
