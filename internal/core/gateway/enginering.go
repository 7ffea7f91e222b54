package gateway

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// ringPoints is the number of points of each endpoint on a ring, ringCandidates that of the endpoints
	// compared for a session, ringSteps the number of points looked at to find usable ones. The endpoints
	// compared are drawn evenly to within 1/sqrt(ringPoints x ringCandidates) = 12%.
	ringPoints     = 4
	ringCandidates = 16
	ringSteps      = 4 * ringCandidates
)

// ring holds points of endpoints in the order of their hashes. The endpoints that follow the hash of a
// session are its candidates at all instances, so that a choice need not scan all endpoints.
type ring []ringPoint

// preferredEndpoints are the engines that all instances prefer for a session, and the draining one that
// they preferred before.
type preferredEndpoints struct{ first, second, former *endpoint }

type ringPoint struct {
	hash     uint64
	endpoint *endpoint
}

// update returns the ring for a list of endpoints. Only the points of new endpoints are sorted, since the
// list changes often while thousands of endpoints start.
func (r ring) update(list []*endpoint) ring {
	listed := make(map[*endpoint]bool, len(list))
	for _, e := range list {
		listed[e] = true
	}
	kept := make(ring, 0, len(list)*ringPoints)
	for _, p := range r {
		if _, ok := listed[p.endpoint]; ok {
			kept = append(kept, p)
			listed[p.endpoint] = false
		}
	}
	var added ring
	for _, e := range list {
		for i := uint64(1); listed[e] && i <= ringPoints; i++ {
			added = append(added, ringPoint{hash: mixHash(e.hash + i*hashStep), endpoint: e})
		}
	}
	if len(added) == 0 {
		return kept
	}
	byHash := func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) }
	slices.SortFunc(added, byHash)
	merged := make(ring, 0, len(kept)+len(added))
	for _, p := range kept {
		n := 0
		for n < len(added) && byHash(added[n], p) < 0 {
			n++
		}
		merged = append(append(merged, added[:n]...), p)
		added = added[n:]
	}
	return append(merged, added...)
}

// hashStep makes the hashes of consecutive numbers differ (the increment of SplitMix64).
const hashStep = 0x9e3779b97f4a7c15

// preferredEndpoints returns the two endpoints that all instances prefer for a session without
// coordination, by rendezvous hashing of the session and its candidates. Each is preferred for a share
// of the sessions in proportion to its speed. They are the same in all data centres, so that the shared
// parts of prompts are read once; the way to another data centre is part of the cost of an endpoint,
// which short parts do not outweigh. Both are stored in the request, with the draining one that was
// preferred before, if any.
func (m *Machine) preferredEndpoints(now time.Duration, o *openRequest, r ring) (first, second *endpoint) {
	shared := sharedParts(o.request.Parts)
	if len(shared) == 0 || len(r) == 0 {
		return nil, nil
	}
	session := mixHash(shared[len(shared)-1].ID * hashStep)
	start, _ := slices.BinarySearchFunc(r, session, func(p ringPoint, hash uint64) int { return cmp.Compare(p.hash, hash) })
	var seen [ringCandidates]*endpoint
	n := 0
	firstRank, secondRank, formerRank := math.Inf(1), math.Inf(1), math.Inf(1)
	var former *endpoint
	for i := range min(ringSteps, len(r)) {
		e := r[(start+i)%len(r)].endpoint
		if rank := e.rank(session); e.notice != nil && rank < formerRank {
			former, formerRank = e, rank
		}
		if slices.Contains(seen[:n], e) || !m.mayUse(now, o, e) {
			continue
		}
		if _, leaving := m.leavingSince(e); leaving {
			continue
		}
		seen[n] = e
		n++
		switch rank := e.rank(session); {
		case rank < firstRank:
			first, second, firstRank, secondRank = e, first, rank, firstRank
		case rank < secondRank:
			second, secondRank = e, rank
		}
		if n == len(seen) {
			break
		}
	}
	o.preferred = preferredEndpoints{first: first, second: second}
	if formerRank < firstRank {
		o.preferred.former = former
	}
	return first, second
}

// rank returns the rank of an endpoint for a session. The lowest of several ranks belongs to each
// endpoint with a probability in proportion to its speed.
func (e *endpoint) rank(session uint64) float64 {
	uniform := (float64(mixHash(e.hash^session)>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) * e.slowness.Base()
}
