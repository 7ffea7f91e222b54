package handoff_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/handoff"
	"github.com/cornelhold/cornelhold/internal/core/reclaim"
	"github.com/cornelhold/cornelhold/internal/core/request"
	"github.com/cornelhold/cornelhold/internal/proptest"
)

const (
	id         fleet.RequestID = "request"
	team       fleet.TeamName  = "counter"
	frameCount                 = 30
)

// node is one router of the simulation.
type node struct {
	router  reclaim.Router
	alive   bool
	leaving bool
	store   *handoff.RecordStore
	machine *request.Machine
	grants  fleet.AttemptNumber
}

// simulation is one request whose caller moves between routers. Each attempt
// sends different texts, so that the caller detects a record that two attempts
// continued, or one that was continued from an outdated copy.
type simulation struct {
	t        *rapid.T
	now      time.Duration
	nodes    []*node
	origin   *node
	attached *node
	received []string
	// lossesLeft is the number of messages that may still be lost; copyHolderCrashed
	// reports whether a router with a copy crashed since the request last ran.
	lossesLeft        int
	copyHolderCrashed bool
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{t: t}
	for i := range 8 {
		s.nodes = append(s.nodes, &node{
			router: reclaim.Router{Instance: fleet.InstanceID(fmt.Sprint("r", i)), DataCentre: fleet.DataCentre(fmt.Sprint(i % 3))},
			alive:  true, store: handoff.NewRecordStore(),
		})
	}
	s.origin = s.nodes[proptest.Pick(t, len(s.nodes))]
	s.attached = s.origin
	s.attached.machine = request.New(0, id, true)
	s.grant(s.attached)
	return s
}

func (s *simulation) grant(n *node) {
	n.grants++
	n.machine.Step(s.now, request.Granted{Attempt: n.grants, Endpoint: dispatch.Endpoint{ID: "e"}})
}

// emit delivers one frame of the current attempt to the router that runs the
// request.
func (s *simulation) emit() {
	for _, n := range s.nodes {
		if n.machine == nil || !n.alive {
			continue
		}
		next := len(n.machine.Frames(0))
		f := request.Frame{Stream: s.attempt(n), Request: id, Attempt: s.attempt(n), Index: next, Text: fmt.Sprintf("%s.%d/%d ", n.router.Instance, s.attempt(n), next)}
		if next == frameCount-1 {
			f.Finish = "stop"
		}
		n.machine.Step(s.now, f)
	}
}

func (s *simulation) attempt(n *node) fleet.AttemptNumber { return n.machine.Record().Attempts }

// read delivers the record to the caller and checks that it extends what the
// caller received before.
func (s *simulation) read() {
	if s.attached == nil || s.attached.machine == nil {
		return
	}
	record := s.attached.machine.Frames(0)
	if len(record) < len(s.received) || !slices.Equal(record[:len(s.received)], s.received) {
		s.t.Fatalf("caller received %q, but router %s has the record %q", s.received, s.attached.router.Instance, record)
	}
	s.received = slices.Clone(record)
}

func (s *simulation) loseMessage() bool {
	if s.lossesLeft == 0 || !rapid.Bool().Draw(s.t, "lose") {
		return false
	}
	s.lossesLeft--
	return true
}

func (s *simulation) node(instance fleet.InstanceID) *node {
	return s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.router.Instance == instance })]
}

// takeOver handles a call on the router that was queried.
func (n *node) takeOver(s *simulation, call handoff.TakeoverCall) handoff.TakeoverReply {
	if n.machine == nil {
		return n.store.TakeOver(call)
	}
	if call.Peek {
		return handoff.TakeoverReply{Request: n.openRequest()}
	}
	n.machine.Step(s.now, request.Freeze{})
	open := n.openRequest()
	n.store.Put(s.now, *open, call.NewOwner)
	n.machine.Step(s.now, request.HandedOver{})
	n.machine = nil
	return handoff.TakeoverReply{Request: open}
}

func (n *node) openRequest() *handoff.Request {
	return &handoff.Request{ID: id, Team: team, Record: n.machine.Record()}
}

func (s *simulation) liveNodes() []*node {
	return slices.DeleteFunc(slices.Clone(s.nodes), func(n *node) bool { return !n.alive || n.leaving })
}

// reconnect attaches the caller to a random live router.
func (s *simulation) reconnect() {
	live := s.liveNodes()
	n := live[proptest.Pick(s.t, len(live))]
	s.lossesLeft = 1
	if n.machine == nil {
		s.search(n)
	}
	s.attached = n
	s.read()
}

func (s *simulation) search(n *node) {
	var listed []reclaim.Router
	for _, other := range s.liveNodes() {
		listed = append(listed, other.router)
	}
	call := handoff.TakeoverCall{ID: id, Team: team, NewOwner: n.router.Instance}
	routers := append([]fleet.InstanceID{s.origin.router.Instance}, reclaim.LookupCandidates(id, listed)...)
	lookup := handoff.NewSearch(call, n.router.Instance, routers)
	lookup.Responded(n.router.Instance, n.takeOver(s, call))
	for {
		to, call, ok := lookup.Next()
		if !ok {
			break
		}
		other := s.node(to)
		if !other.alive || s.loseMessage() {
			lookup.Failed(to)
			continue
		}
		reply := other.takeOver(s, call)
		if s.loseMessage() {
			lookup.Failed(to)
			continue
		}
		lookup.Responded(to, reply)
	}
	found, moving := lookup.Result()
	if found == nil {
		s.t.Fatalf("router %s did not find the request (moving: %v)", n.router.Instance, moving)
	}
	n.machine, _ = request.Restore(s.now, id, found.Record)
	n.grants = 0
	n.machine.Step(s.now, request.CallerAttached{})
	if ended, _, _ := n.machine.Ended(); !ended {
		s.grant(n)
	}
	s.copyHolderCrashed = false
}

// drain makes a random router leave: its request and the records it stores are
// offered to peers, and one message may be lost.
func (s *simulation) drain() {
	live := s.liveNodes()
	if len(live) < 5 {
		return
	}
	n := live[proptest.Pick(s.t, len(live))]
	n.leaving = true
	s.lossesLeft = 1
	if n.machine != nil {
		n.machine.Step(s.now, request.Freeze{})
		if s.offer(n, *n.openRequest()) == 0 {
			s.t.Fatal("no peer accepted the request")
		}
		n.machine.Step(s.now, request.HandedOver{})
		n.machine = nil
		s.copyHolderCrashed = false
	}
	for _, r := range n.store.Unclaimed() {
		s.offer(n, r)
	}
	if s.attached == n {
		s.attached = nil
	}
	n.alive = false
}

func (s *simulation) offer(n *node, r handoff.Request) int {
	var routers []reclaim.Router
	for _, other := range s.liveNodes() {
		routers = append(routers, other.router)
	}
	copies := 0
	for _, instance := range reclaim.HandoffCandidates(id, n.router, routers) {
		if copies == reclaim.HandoffCopies {
			break
		}
		if s.loseMessage() {
			continue
		}
		stored := s.node(instance).store.Put(s.now, r, "")
		if stored && !s.loseMessage() {
			copies++
		}
	}
	return copies
}

// kill stops a router that does not run the request, without notice. Only one may
// die between runs of the request, since there are two copies of its record.
func (s *simulation) kill() {
	live := s.liveNodes()
	n := live[proptest.Pick(s.t, len(live))]
	if len(live) < 5 || n.machine != nil || s.copyHolderCrashed {
		return
	}
	s.copyHolderCrashed = true
	n.alive = false
	if s.attached == n {
		s.attached = nil
	}
}

func (s *simulation) check() {
	running := 0
	for _, n := range s.nodes {
		if n.alive && n.machine != nil {
			running++
		}
	}
	if running > 1 {
		s.t.Fatalf("%d routers run the request, want at most 1", running)
	}
	for i, text := range s.received {
		if !strings.HasSuffix(text, fmt.Sprintf("/%d ", i)) {
			s.t.Fatalf("caller received %q at position %d", text, i)
		}
	}
}

// TestMovedRequestIsComplete guards against a handoff that duplicates or loses
// tokens: for any order of reclaims, crashes of single routers, lost messages and
// reconnects, at most one router runs the request, and the caller receives one
// complete response with each token exactly once.
func TestMovedRequestIsComplete(t *testing.T) {
	proptest.Check(t, proptest.Bounds{Seed: 20261204, Checks: 1000, Steps: 30}, func(t *rapid.T) {
		s := newSimulation(t)
		actions := []func(){s.emit, s.emit, s.emit, s.read, s.read, s.reconnect, s.reconnect, s.drain, s.kill}
		for range 40 {
			s.now += time.Second
			actions[proptest.Pick(t, len(actions))]()
			s.check()
		}
		s.reconnect()
		for range frameCount {
			s.emit()
		}
		s.read()
		if len(s.received) != frameCount {
			t.Fatalf("caller received %d frames, want %d", len(s.received), frameCount)
		}
	})
}
