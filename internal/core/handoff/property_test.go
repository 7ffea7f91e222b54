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

// world is one request whose caller moves between routers. Every attempt
// answers with its own texts, so that a record that is continued twice, or
// from an old copy, is noticed by the caller.
type simulation struct {
	t        *rapid.T
	now      time.Duration
	nodes    []*node
	origin   *node
	attached *node
	received []string
	// losses is how many more answers are lost, killed whether a holder died
	// since the request last ran.
	lossesLeft int
	holderDied bool
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

// emit lets the running router receive one frame of its current attempt.
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

// read delivers the record to the caller and checks that it continues what the
// caller has.
func (s *simulation) read() {
	if s.attached == nil || s.attached.machine == nil {
		return
	}
	record := s.attached.machine.Frames(0)
	if len(record) < len(s.received) || !slices.Equal(record[:len(s.received)], s.received) {
		s.t.Fatalf("the caller has %q, router %s continues %q", s.received, s.attached.router.Instance, record)
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

// take is the router's side of a call.
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

// reconnect lets the caller come back through any router.
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
		taken := other.takeOver(s, call)
		if s.loseMessage() {
			lookup.Failed(to)
			continue
		}
		lookup.Responded(to, taken)
	}
	found, moving := lookup.Result()
	if found == nil {
		s.t.Fatalf("router %s does not find the request (moving: %v)", n.router.Instance, moving)
	}
	n.machine, _ = request.Restore(s.now, id, found.Record)
	n.grants = 0
	n.machine.Step(s.now, request.CallerAttached{})
	if ended, _, _ := n.machine.Ended(); !ended {
		s.grant(n)
	}
	s.holderDied = false
}

// drain makes a router leave: its request and the records it holds move to
// peers, of which one may die at that moment.
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
		s.holderDied = false
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

// kill ends a router without notice that does not run the request. Two copies
// survive one death.
func (s *simulation) kill() {
	live := s.liveNodes()
	n := live[proptest.Pick(s.t, len(live))]
	if len(live) < 5 || n.machine != nil || s.holderDied {
		return
	}
	s.holderDied = true
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
		s.t.Fatalf("%d routers run the request", running)
	}
	for i, text := range s.received {
		if !strings.HasSuffix(text, fmt.Sprintf("/%d ", i)) {
			s.t.Fatalf("position %d holds %q", i, text)
		}
	}
}

// TestRequestMovesWhole guards the handoff between routers: in any order of
// reclaims, deaths of single holders, lost messages and reconnects, one router
// at most runs the request and the caller gets one answer, each token once.
func TestRequestMovesWhole(t *testing.T) {
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
			t.Fatalf("the caller got %d of %d frames", len(s.received), frameCount)
		}
	})
}
