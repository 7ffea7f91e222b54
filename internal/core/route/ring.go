package route

import (
	"cmp"
	"slices"
)

// pointsPerEndpoint is the number of virtual nodes of an endpoint on the ring.
const pointsPerEndpoint = 8

type point struct {
	hash uint64
	slot int32
}

// ring is a consistent-hash ring that selects a bounded set of candidates for a
// key in logarithmic time. All routers select the same set for a key, and adding
// or removing one endpoint changes few sets.
type ring struct {
	points    []point
	endpoints []int32
}

func newRing(states []*state) ring {
	r := ring{points: make([]point, 0, len(states)*pointsPerEndpoint)}
	for _, s := range states {
		r.endpoints = append(r.endpoints, s.ref.slot)
		if len(states) <= maxCandidates {
			continue
		}
		for i := range pointsPerEndpoint {
			r.points = append(r.points, point{hash: mix(s.hash + uint64(i)), slot: s.ref.slot})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.slot, b.slot))
	})
	return r
}

// candidates are the slots compared in one choice.
type candidates struct {
	count int
	slots [maxCandidates + maxHolders]int32
}

func (c *candidates) add(slot int32) {
	for i := range c.count {
		if c.slots[i] == slot {
			return
		}
	}
	if c.count < len(c.slots) {
		c.slots[c.count] = slot
		c.count++
	}
}

// collect adds all endpoints if there are at most maxCandidates, else the
// endpoints that follow the key on the ring.
func (r *ring) collect(key uint64, into *candidates) {
	if len(r.endpoints) <= maxCandidates {
		for _, slot := range r.endpoints {
			into.add(slot)
		}
		return
	}
	at, _ := slices.BinarySearchFunc(r.points, key, func(p point, key uint64) int { return cmp.Compare(p.hash, key) })
	limit := into.count + maxCandidates
	for i := 0; i < len(r.points) && into.count < limit; i++ {
		into.add(r.points[(at+i)%len(r.points)].slot)
	}
}
