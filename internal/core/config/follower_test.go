package config

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/proptest"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run has the same verdict.
func TestMain(m *testing.M) { proptest.Main(m, 20261204, 500) }

// world is a log service, several followers and the calls between them. Calls
// wait in a list and take effect in random order.
type world struct {
	now         time.Duration
	log         []Record
	first       uint64
	down        bool
	checkpoints []*Snapshot
	nodes       []Node
	followers   []*Follower
	epochs      []int
	reached     []Number
	gaps        []bool
	wakes       []time.Duration
	calls       []call
	// numberAt[i] is the number after the first i records; states by number.
	numberAt []Number
	winners  map[Number]string
	states   map[Number]map[ObjectKey]string
	// fault is the first wrong answer of a peer.
	fault string
}

type call struct {
	node, epoch int
	action      FollowerAction
}

func newWorld() *world {
	w := &world{
		numberAt: []Number{0}, winners: map[Number]string{0: ""},
		states: map[Number]map[ObjectKey]string{0: {}},
	}
	for i := range 6 {
		dc := fleet.DataCentre("a")
		if i == 5 {
			dc = "b"
		}
		w.nodes = append(w.nodes, Node{Instance: fleet.InstanceID(fmt.Sprint("n", i)), DataCentre: dc})
	}
	w.followers = make([]*Follower, len(w.nodes))
	w.epochs = make([]int, len(w.nodes))
	w.reached = make([]Number, len(w.nodes))
	w.gaps = make([]bool, len(w.nodes))
	w.wakes = make([]time.Duration, len(w.nodes))
	return w
}

func (w *world) restart(i int) {
	w.followers[i] = NewFollower(w.nodes[i], CheckpointPolicy{Records: 4, Age: time.Hour})
	w.epochs[i]++
	w.reached[i], w.gaps[i], w.wakes[i] = 0, false, 0
	w.step(i, Nodes{List: w.nodes})
	w.step(i, Start{})
}

func (w *world) step(i int, msg FollowerMessage) {
	for _, action := range w.followers[i].Step(w.now, msg) {
		switch a := action.(type) {
		case Report:
			w.gaps[i] = a.Status.Gap
		case WakeAt:
			w.wakes[i] = a.At
		default:
			w.calls = append(w.calls, call{node: i, epoch: w.epochs[i], action: action})
		}
	}
}

// file appends a record and extends the reference fold, which is independent
// of Fold: the first record with the next number wins.
func (w *world) file(r Record) {
	r.Offset = uint64(len(w.log))
	w.log = append(w.log, r)
	last := w.numberAt[len(w.numberAt)-1]
	if !r.Malformed && r.Ticket.Number == last+1 {
		state := make(map[ObjectKey]string)
		for k, v := range w.states[last] {
			state[k] = v
		}
		for _, o := range r.Ticket.Objects {
			state[o.Key] = string(o.Value)
			if o.Deleted {
				delete(state, o.Key)
			}
		}
		last++
		w.winners[last], w.states[last] = r.Ticket.ID, state
	}
	w.numberAt = append(w.numberAt, last)
}

func (w *world) perform(k int) {
	c := w.calls[k]
	w.calls = append(w.calls[:k:k], w.calls[k+1:]...)
	var reply FollowerMessage
	switch a := c.action.(type) {
	case ReadTickets:
		reply = w.read(a)
		if reply == nil {
			w.calls = append(w.calls, c)
			return
		}
	case ReadCheckpoints:
		reply = w.readCheckpoints()
	case AppendCheckpoint:
		reply = CheckpointFailed{}
		if !w.down {
			w.checkpoints = append(w.checkpoints, a.Snapshot)
			reply = CheckpointAppended{}
		}
	case FetchPeer:
		for j, n := range w.nodes {
			if n.Instance == a.Peer {
				answer := w.followers[j].Answer(a.After, a.Whole)
				for k, r := range answer.Tickets {
					if r.Ticket.Number != a.After+Number(k)+1 {
						w.fault = fmt.Sprintf("node %d answered ticket %d after %d", j, r.Ticket.Number, a.After)
					}
				}
				reply = PeerAnswered{Peer: a.Peer, Answer: answer}
			}
		}
	case Relay:
		for j, n := range w.nodes {
			if n.Instance == a.To {
				w.step(j, Pushed{Records: a.Records})
			}
		}
		return
	default:
		return
	}
	if c.epoch == w.epochs[c.node] {
		w.step(c.node, reply)
	}
}

func (w *world) read(a ReadTickets) FollowerMessage {
	switch {
	case w.down:
		return TicketsFailed{}
	case a.From < w.first && a.From%3 == 0: // the service skips expired records
		return TicketsRead{Records: w.log[w.first:min(w.first+3, uint64(len(w.log)))]}
	case a.From < w.first:
		return TicketsExpired{First: w.first}
	case a.From >= uint64(len(w.log)):
		return nil // the long poll stays open
	default:
		return TicketsRead{Records: w.log[a.From:min(a.From+3, uint64(len(w.log)))]}
	}
}

func (w *world) readCheckpoints() FollowerMessage {
	if w.down {
		return CheckpointsFailed{}
	}
	var newest *Snapshot
	for _, s := range w.checkpoints {
		if newest == nil || s.Number > newest.Number || s.Number == newest.Number && s.Offset > newest.Offset {
			newest = s
		}
	}
	return CheckpointsRead{Newest: newest}
}

// check holds after every step: numbers never decrease, each number has one
// winner and one state, and each snapshot is the fold of the prefix it names.
func (w *world) check(t *rapid.T) {
	if w.fault != "" {
		t.Fatal(w.fault)
	}
	for i, f := range w.followers {
		s := f.Current()
		if s.Number < w.reached[i] {
			t.Fatalf("node %d went back from %d to %d", i, w.reached[i], s.Number)
		}
		w.reached[i] = s.Number
		if s.TicketID != w.winners[s.Number] {
			t.Fatalf("node %d has ticket %q at number %d, the winner is %q", i, s.TicketID, s.Number, w.winners[s.Number])
		}
		if s.Number != w.numberAt[s.Offset] {
			t.Fatalf("node %d claims number %d for the prefix %d, which folds to %d", i, s.Number, s.Offset, w.numberAt[s.Offset])
		}
		state := make(map[ObjectKey]string)
		for _, o := range s.Objects {
			state[o.Key] = string(o.Value)
		}
		if !reflect.DeepEqual(state, w.states[s.Number]) {
			t.Fatalf("node %d has state %v at number %d, want %v", i, state, s.Number, w.states[s.Number])
		}
	}
}

// settle heals the log service, performs all calls and lets heartbeats pass.
func (w *world) settle(t *rapid.T) {
	w.down = false
	for tick := range 120 {
		w.now += 250 * time.Millisecond
		for i := range w.followers {
			if w.wakes[i] > 0 && w.now >= w.wakes[i] {
				w.wakes[i] = 0
				w.step(i, Wake{})
			}
			for _, f := range w.followers {
				if tick%4 == 0 {
					w.step(i, PeerNumber{Peer: f.self.Instance, Number: f.Current().Number})
				}
			}
		}
		for range len(w.calls) {
			w.perform(0)
			w.check(t)
		}
	}
}

// covered reports whether some checkpoint or follower knows all records that
// have expired.
func (w *world) covered() bool {
	known := uint64(0)
	for _, s := range w.checkpoints {
		known = max(known, s.Offset)
	}
	for _, f := range w.followers {
		known = max(known, f.Current().Offset)
	}
	return known >= w.first
}

// TestFollowersAgree guards G7 under racing operators, repeated appends, log
// outages, retention, stale checkpoints, late answers and restarts: no reader
// reverts, none diverges, and all reach the last number afterwards.
func TestFollowersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		for i := range w.nodes {
			w.restart(i)
		}
		filed := 0
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")
			switch event := rapid.IntRange(0, 19).Draw(t, "event"); {
			case event < 5: // operators race for nearby numbers
				filed++
				number := w.numberAt[len(w.numberAt)-1] + Number(rapid.IntRange(0, 3).Draw(t, "ahead"))
				key := ObjectKey{Kind: "k", Name: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "object"))}
				w.file(Record{Ticket: Ticket{
					ID: fmt.Sprint("t", filed), Number: number,
					Objects: []Object{{Key: key, Value: []byte(fmt.Sprint(filed)), Deleted: filed%5 == 0}},
				}})
			case event == 5 && len(w.log) > 0: // a lost response made an operator append again
				w.file(w.log[rapid.IntRange(0, len(w.log)-1).Draw(t, "again")])
			case event == 6:
				w.file(Record{Malformed: true})
			case event == 7:
				w.down = !w.down
			case event == 8:
				w.first = uint64(rapid.IntRange(int(w.first), len(w.log)).Draw(t, "first"))
			case event == 9:
				w.restart(i)
				for j := range w.nodes { // sometimes all instances are replaced at once
					if i == 0 {
						w.restart(j)
					}
				}
			case event == 10:
				peer := w.followers[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "peer")]
				w.step(i, PeerNumber{Peer: peer.self.Instance, Number: peer.Current().Number})
			case event == 11:
				w.step(i, Wake{})
			case len(w.calls) > 0:
				w.perform(rapid.IntRange(0, len(w.calls)-1).Draw(t, "call"))
			}
			w.check(t)
		}
		covered := w.covered()
		w.settle(t)
		last := w.numberAt[len(w.numberAt)-1]
		for i, f := range w.followers {
			if covered && f.Current().Number != last {
				t.Fatalf("node %d stays at %d, the last number is %d", i, f.Current().Number, last)
			}
			if f.Current().Number != last && f.plan.Reads && !w.gaps[i] {
				t.Fatalf("node %d stays at %d without reporting a gap", i, f.Current().Number)
			}
		}
	})
}

func find[A FollowerAction](actions []FollowerAction) (found A, ok bool) {
	for _, action := range actions {
		if a, is := action.(A); is {
			found, ok = a, true
		}
	}
	return found, ok
}

// TestFollowerWakesItself guards against a follower that waits for ever when
// nothing else sends it messages: after a log failure, a late push or a gap.
func TestFollowerWakesItself(t *testing.T) {
	is := is.New(t)
	self, peer := Node{Instance: "a", DataCentre: "dc"}, Node{Instance: "b", DataCentre: "dc"}
	f := NewFollower(self, CheckpointPolicyFor(24*time.Hour))
	f.Step(0, Nodes{List: []Node{self, peer}})
	_, ok := find[ReadCheckpoints](f.Step(0, Start{}))
	is.True(ok)
	wake, ok := find[WakeAt](f.Step(time.Second, CheckpointsFailed{}))
	is.True(ok) // the failed read is repeated
	_, ok = find[ReadCheckpoints](f.Step(wake.At, Wake{}))
	is.True(ok)
	f.Step(wake.At, PeerAnswered{Peer: "b"})
	one := Ticket{ID: "t1", Number: 1}
	f.Step(wake.At, CheckpointsRead{})
	f.Step(wake.At, TicketsRead{Records: []Record{{Ticket: one}}})
	wake, ok = find[WakeAt](f.Step(5*time.Second, PeerNumber{Peer: "b", Number: 2}))
	is.True(ok)
	is.True(wake.At <= 5*time.Second+RepairDelay) // a missed push is repaired
	fetch, ok := find[FetchPeer](f.Step(wake.At, Wake{}))
	is.True(ok)
	is.Equal(fetch, FetchPeer{Peer: "b", After: 1})
	actions := f.Step(wake.At, TicketsExpired{First: 4})
	report, _ := find[Report](actions)
	is.True(report.Status.Gap)
	f.Step(wake.At, PeerFailed{Peer: "b"})
	stale := &Snapshot{Number: 1, TicketID: "t1", Offset: 3}
	_, ok = find[ReadTickets](f.Step(wake.At, CheckpointsRead{Newest: stale}))
	is.True(!ok) // a checkpoint that leaves a hole doesn't end the gap
	covering := &Snapshot{Number: 1, TicketID: "t1", Offset: 4}
	read, ok := find[ReadTickets](f.Step(wake.At, CheckpointsRead{Newest: covering}))
	is.True(ok) // the same number with a further offset ends it
	is.Equal(read.From, uint64(4))
}

// TestAnswerHasNoHole guards peers against a list of tickets that lacks those
// between an adopted snapshot and its predecessor.
func TestAnswerHasNoHole(t *testing.T) {
	is := is.New(t)
	f := NewFollower(Node{Instance: "a"}, CheckpointPolicyFor(24*time.Hour))
	f.Step(0, Pushed{Records: []Record{{Ticket: Ticket{ID: "t1", Number: 1}}}})
	f.Step(0, CheckpointsRead{Newest: &Snapshot{Number: 7, TicketID: "t7", Offset: 7}})
	f.Step(0, Pushed{Records: []Record{{Offset: 7, Ticket: Ticket{ID: "t8", Number: 8}}}})
	is.Equal(f.Answer(6, false).Snapshot, f.Current())
	is.Equal(len(f.Answer(7, false).Tickets), 1)
}

// TestPlanCoversDataCentre guards the distribution: two readers for each data
// centre, every other node has exactly one parent that relays to it.
func TestPlanCoversDataCentre(t *testing.T) {
	for _, size := range []int{1, 2, 9, 100, 810} {
		is := is.New(t)
		var nodes []Node
		for i := range size {
			nodes = append(nodes, Node{
				Instance: fleet.InstanceID(fmt.Sprint("i", i)), DataCentre: fleet.DataCentre(fmt.Sprint("dc", i%7)),
			})
		}
		readers := map[fleet.DataCentre]int{}
		parents := map[fleet.InstanceID]fleet.InstanceID{}
		writers := 0
		for _, n := range nodes {
			plan := PlanFor(n, nodes)
			if plan.Reads {
				readers[n.DataCentre]++
			}
			if plan.WritesCheckpoints {
				writers++
			}
			is.True(len(plan.RelayTo) <= RelayFanOut)
			for _, child := range plan.RelayTo {
				is.Equal(parents[child], fleet.InstanceID("")) // one parent only
				parents[child] = n.Instance
			}
		}
		is.Equal(writers, 1)
		for _, n := range nodes {
			plan := PlanFor(n, nodes)
			is.Equal(parents[n.Instance], plan.Parent)
			is.Equal(plan.Reads, plan.Parent == "")
		}
		for dc, count := range readers {
			local := 0
			for _, n := range nodes {
				if n.DataCentre == dc {
					local++
				}
			}
			is.Equal(count, min(local, ReadersPerDataCentre))
		}
	}
}

// BenchmarkFoldDay folds the 52,000 tickets of a day over 400 objects of
// 600 bytes and takes the checkpoints that are due.
func BenchmarkFoldDay(b *testing.B) {
	const ticketsPerDay, objects = 52_000, 400
	value := make([]byte, 600)
	for b.Loop() {
		fold := NewFold()
		policy := CheckpointPolicyFor(24 * time.Hour)
		var mark *CheckpointMark
		checkpoints := 0
		for i := range ticketsPerDay {
			key := ObjectKey{Kind: "service", Name: fmt.Sprint(i % objects)}
			fold.Apply(uint64(i), Ticket{ID: "t", Number: Number(i + 1), Objects: []Object{{Key: key, Value: value}}})
			if policy.Due(0, fold.Current(), mark) {
				mark = &CheckpointMark{Offset: fold.Current().Offset}
				checkpoints++
			}
		}
		b.ReportMetric(float64(checkpoints), "checkpoints")
	}
}
