// Package policybench measures routing decisions under load. It replays traces
// with fixed seeds through dispatch machines and through simple baselines, in
// virtual time and against in-memory models of endpoints. The simulation is
// deterministic: one commit prints the same figures on every machine.
package policybench

import (
	"container/heap"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
)

// Policy decides where requests run. dispatch.Machine is the policy under test.
type Policy interface {
	Step(now time.Duration, msg dispatch.Message) []dispatch.Action
}

// event is a function that runs at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// timeline runs events in order of virtual time, then of insertion.
type timeline struct {
	now      time.Duration
	sequence uint64
	events   eventHeap
}

func (t *timeline) at(at time.Duration, run func()) {
	t.sequence++
	heap.Push(&t.events, event{at: max(at, t.now), sequence: t.sequence, run: run})
}

func (t *timeline) after(d time.Duration, run func()) { t.at(t.now+d, run) }

// run executes events until the given time or until none is left.
func (t *timeline) run(until time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= until {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return last
}
