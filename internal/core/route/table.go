package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

type endpointID = fleet.EndpointID

// Table holds the endpoints of one service. Invariants: a leaving endpoint is
// never chosen; at most a third of the live endpoints are ejected.
type Table struct {
	seed        uint64
	routerCount int
	routerIndex int
	byID        map[endpointID]*state
	slots       []*state
	free        []int32
	near        ring
	far         ring
	live        int
	// capacity is the number of slots of the live endpoints.
	capacity   int
	hints      hints
	medianTime median
	ejected    []*state
	choices    uint64
	// generations holds the current generation of each entry in slots.
	generations []uint32
}

// NewTable returns an empty table. Routers with different seeds spread requests
// without prefix blocks over different endpoints.
func NewTable(seed uint64) *Table {
	return &Table{seed: mix(seed + 1), routerCount: 1, byID: make(map[endpointID]*state), hints: newHints()}
}

// Replace sets the list of endpoints and keeps the state of those that remain.
// An endpoint that is no longer listed is kept, without new work, until its
// attempts have ended, because it may be listed again while they run.
func (t *Table) Replace(list []Endpoint) {
	next := make(map[endpointID]*state, len(list))
	changed := len(list) != len(t.byID)
	for _, e := range list {
		s, ok := t.byID[e.ID]
		changed = changed || !ok
		if ok {
			e.Leaving = e.Leaving || s.Leaving
			changed = changed || s.absent || e.Leaving != s.Leaving || e.Slots != s.Slots || e.near() != s.near()
			s.Endpoint = e
			s.absent = false
		} else {
			s = t.assignSlot(e)
		}
		next[e.ID] = s
	}
	for id, s := range t.byID {
		if _, stays := next[id]; stays {
			continue
		}
		s.absent = true
		if s.outstanding > 0 {
			next[id] = s
			continue
		}
		t.releaseSlot(s)
	}
	slices.Sort(t.free)
	t.byID = next
	if changed {
		// Most configuration changes leave the endpoints unchanged, and rebuilding
		// the rings of 12,000 endpoints takes tens of milliseconds.
		t.rebuild()
	}
}

func (t *Table) releaseSlot(s *state) {
	t.slots[s.ref.slot] = nil
	t.free = append(t.free, s.ref.slot)
}

func (t *Table) assignSlot(e Endpoint) *state {
	if n := len(t.free); n > 0 {
		slot := t.free[n-1]
		t.free = t.free[:n-1]
		t.generations[slot]++
		t.slots[slot] = newState(e, reference{slot: slot, generation: t.generations[slot]})
		return t.slots[slot]
	}
	slot := int32(len(t.slots))
	s := newState(e, reference{slot: slot})
	t.slots = append(t.slots, s)
	t.generations = append(t.generations, 0)
	return s
}

// rebuild recomputes the rings of near and far live endpoints and their counts.
func (t *Table) rebuild() {
	var near, far []*state
	t.capacity = 0
	for _, s := range t.slots {
		switch {
		case s == nil || s.Leaving || s.absent:
		case s.near():
			near = append(near, s)
		default:
			far = append(far, s)
		}
	}
	byID := func(a, b *state) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(near, byID)
	slices.SortFunc(far, byID)
	t.near, t.far = newRing(near), newRing(far)
	t.live = len(near) + len(far)
	for _, s := range append(near, far...) {
		t.capacity += s.slots()
	}
}

// MarkLeaving excludes an endpoint from all further choices, even if a later
// list has it as not leaving.
func (t *Table) MarkLeaving(id endpointID) {
	if s, ok := t.byID[id]; ok && !s.Leaving {
		s.Leaving = true
		t.rebuild()
	}
}

// SetRouters sets the number of routers that share the endpoints and the
// position of this router among them, from 0.
func (t *Table) SetRouters(count, index int) { t.routerCount, t.routerIndex = max(count, 1), index }

// Live is the number of endpoints that are not leaving.
func (t *Table) Live() int { return t.live }

// Outstanding is the number of attempts on the endpoint that have not ended.
func (t *Table) Outstanding(id endpointID) int {
	if s, ok := t.byID[id]; ok {
		return s.outstanding
	}
	return 0
}

// Start counts an attempt on the chosen endpoint and records that the endpoint
// will have the prompt cached.
func (t *Table) Start(now time.Duration, c Choice, r *Request) {
	s := t.byID[c.ID]
	s.start(now, r.Class, c.PrefillTokens)
	for _, block := range r.Blocks {
		t.hints.add(block, s.ref)
	}
}

// Finish ends an attempt that was started at the given time.
func (t *Table) Finish(now time.Duration, id endpointID, started time.Duration, class fleet.Class) {
	s, ok := t.byID[id]
	if !ok {
		return
	}
	s.finish(now, started, class)
	if s.absent && s.outstanding == 0 {
		delete(t.byID, id)
		t.releaseSlot(s)
	}
}

// Report is the load that an endpoint reported, as of time At.
type Report struct {
	At       time.Duration
	Sequence uint64
	// Requests counts running and waiting requests, Batch those of class batch.
	Requests int
	Batch    int
}

// Report replaces the reported load of an endpoint. Older reports are ignored.
func (t *Table) Report(id endpointID, r Report) {
	if s, ok := t.byID[id]; ok {
		s.report(r)
	}
}

// Slots is the number of slots of all live endpoints.
func (t *Table) Slots() int { return t.capacity }

// UpdateHints applies an event of the endpoint's prefix cache to the hints.
func (t *Table) UpdateHints(id endpointID, stored, evicted []uint64) {
	s, ok := t.byID[id]
	if !ok {
		return
	}
	for _, block := range stored {
		t.hints.add(block, s.ref)
	}
	for _, block := range evicted {
		t.hints.remove(block, s.ref)
	}
}
