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

// cluster simulates a log service, several followers and the calls between
// them. Calls wait in a list and complete in random order.
type cluster struct {
	now          time.Duration
	log          []Record
	oldestOffset uint64
	logDown      bool
	checkpoints  []*Snapshot
	nodes        []Node
	followers    []*Follower
	generations  []int
	lastNumbers  []Number
	gaps         []bool
	timers       []time.Duration
	calls        []call
	// numberAt[i] is the number that the first i records fold to.
	numberAt       []Number
	acceptedIDs    map[Number]string
	statesByNumber map[Number]map[ObjectKey]string
	// failure describes a wrong response of a peer.
	failure string
}

type call struct {
	node, generation int
	action           FollowerAction
}

func newCluster() *cluster {
	c := &cluster{
		numberAt: []Number{0}, acceptedIDs: map[Number]string{0: ""},
		statesByNumber: map[Number]map[ObjectKey]string{0: {}},
	}
	for i := range 6 {
		dc := fleet.DataCentre("a")
		if i == 5 {
			dc = "b"
		}
		c.nodes = append(c.nodes, Node{Instance: fleet.InstanceID(fmt.Sprint("n", i)), DataCentre: dc})
	}
	c.followers = make([]*Follower, len(c.nodes))
	c.generations = make([]int, len(c.nodes))
	c.lastNumbers = make([]Number, len(c.nodes))
	c.gaps = make([]bool, len(c.nodes))
	c.timers = make([]time.Duration, len(c.nodes))
	return c
}

func (c *cluster) restart(i int) {
	c.followers[i] = NewFollower(c.nodes[i], CheckpointPolicy{Records: 4, Age: time.Hour})
	c.generations[i]++
	c.lastNumbers[i], c.gaps[i], c.timers[i] = 0, false, 0
	c.step(i, Nodes{List: c.nodes})
	c.step(i, Start{})
}

func (c *cluster) step(i int, msg FollowerMessage) {
	for _, action := range c.followers[i].Step(c.now, msg) {
		switch a := action.(type) {
		case ReportStatus:
			c.gaps[i] = a.Status.Gap
		case SetTimer:
			c.timers[i] = a.At
		default:
			c.calls = append(c.calls, call{node: i, generation: c.generations[i], action: action})
		}
	}
}

// appendRecord appends a record and extends the reference fold, which is
// independent of Fold: the first record with the next number is accepted.
func (c *cluster) appendRecord(r Record) {
	r.Offset = uint64(len(c.log))
	c.log = append(c.log, r)
	last := c.numberAt[len(c.numberAt)-1]
	if !r.Malformed && r.Ticket.Number == last+1 {
		state := make(map[ObjectKey]string)
		for k, v := range c.statesByNumber[last] {
			state[k] = v
		}
		for _, o := range r.Ticket.Objects {
			state[o.Key] = string(o.Value)
			if o.Deleted {
				delete(state, o.Key)
			}
		}
		last++
		c.acceptedIDs[last], c.statesByNumber[last] = r.Ticket.ID, state
	}
	c.numberAt = append(c.numberAt, last)
}

func (c *cluster) completeCall(k int) {
	pending := c.calls[k]
	c.calls = append(c.calls[:k:k], c.calls[k+1:]...)
	var reply FollowerMessage
	switch a := pending.action.(type) {
	case ReadTickets:
		reply = c.readTickets(a)
		if reply == nil {
			c.calls = append(c.calls, pending)
			return
		}
	case ReadCheckpoints:
		reply = c.readCheckpoints()
	case AppendCheckpoint:
		reply = CheckpointAppendFailed{}
		if !c.logDown {
			c.checkpoints = append(c.checkpoints, a.Snapshot)
			reply = CheckpointAppended{}
		}
	case FetchPeer:
		for j, n := range c.nodes {
			if n.Instance == a.Peer {
				response := c.followers[j].RespondToFetch(a.After, a.Complete)
				for k, r := range response.Tickets {
					if r.Ticket.Number != a.After+Number(k)+1 {
						c.failure = fmt.Sprintf("node %d returned ticket %d as the one after %d", j, r.Ticket.Number, a.After)
					}
				}
				reply = PeerFetched{Peer: a.Peer, Response: response}
			}
		}
	case Relay:
		for j, n := range c.nodes {
			if n.Instance == a.To {
				c.step(j, TicketsPushed{Records: a.Records})
			}
		}
		return
	default:
		return
	}
	if pending.generation == c.generations[pending.node] {
		c.step(pending.node, reply)
	}
}

func (c *cluster) readTickets(a ReadTickets) FollowerMessage {
	switch {
	case c.logDown:
		return TicketsReadFailed{}
	case a.From < c.oldestOffset && a.From%3 == 0: // the service skips expired records
		return TicketsRead{Records: c.log[c.oldestOffset:min(c.oldestOffset+3, uint64(len(c.log)))]}
	case a.From < c.oldestOffset:
		return TicketsExpired{First: c.oldestOffset}
	case a.From >= uint64(len(c.log)):
		return nil // the long poll stays pending
	default:
		return TicketsRead{Records: c.log[a.From:min(a.From+3, uint64(len(c.log)))]}
	}
}

func (c *cluster) readCheckpoints() FollowerMessage {
	if c.logDown {
		return CheckpointsReadFailed{}
	}
	var newest *Snapshot
	for _, s := range c.checkpoints {
		if newest == nil || s.Number > newest.Number || s.Number == newest.Number && s.Offset > newest.Offset {
			newest = s
		}
	}
	return CheckpointsRead{Newest: newest}
}

// check verifies after every step that numbers never decrease, that each number
// has one accepted ticket and one state, and that each snapshot is the fold of
// the prefix that its offset names.
func (c *cluster) check(t *rapid.T) {
	if c.failure != "" {
		t.Fatal(c.failure)
	}
	for i, f := range c.followers {
		s := f.Current()
		if s.Number < c.lastNumbers[i] {
			t.Fatalf("node %d went back from %d to %d", i, c.lastNumbers[i], s.Number)
		}
		c.lastNumbers[i] = s.Number
		if s.TicketID != c.acceptedIDs[s.Number] {
			t.Fatalf("node %d has ticket %q at number %d, want %q", i, s.TicketID, s.Number, c.acceptedIDs[s.Number])
		}
		if s.Number != c.numberAt[s.Offset] {
			t.Fatalf("node %d has number %d at offset %d, the records before it fold to %d", i, s.Number, s.Offset, c.numberAt[s.Offset])
		}
		state := make(map[ObjectKey]string)
		for _, o := range s.Objects {
			state[o.Key] = string(o.Value)
		}
		if !reflect.DeepEqual(state, c.statesByNumber[s.Number]) {
			t.Fatalf("node %d has state %v at number %d, want %v", i, state, s.Number, c.statesByNumber[s.Number])
		}
	}
}

// runUntilStable restores the log service, completes all calls and delivers
// heartbeats for 30 s.
func (c *cluster) runUntilStable(t *rapid.T) {
	c.logDown = false
	for tick := range 120 {
		c.now += 250 * time.Millisecond
		for i := range c.followers {
			if c.timers[i] > 0 && c.now >= c.timers[i] {
				c.timers[i] = 0
				c.step(i, Tick{})
			}
			for _, f := range c.followers {
				if tick%4 == 0 {
					c.step(i, PeerNumber{Peer: f.self.Instance, Number: f.Current().Number})
				}
			}
		}
		for range len(c.calls) {
			c.completeCall(0)
			c.check(t)
		}
	}
}

// expiredAreCovered reports whether a checkpoint or a follower covers all
// expired records.
func (c *cluster) expiredAreCovered() bool {
	coveredOffset := uint64(0)
	for _, s := range c.checkpoints {
		coveredOffset = max(coveredOffset, s.Offset)
	}
	for _, f := range c.followers {
		coveredOffset = max(coveredOffset, f.Current().Offset)
	}
	return coveredOffset >= c.oldestOffset
}

// TestFollowersAgree guards against followers that go back to an older number,
// diverge from each other or never reach the last number (G7) under concurrent
// tickets of several operators, repeated appends, log outages, expired records,
// stale checkpoints, late responses and restarts.
func TestFollowersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster()
		for i := range c.nodes {
			c.restart(i)
		}
		ticketCount := 0
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			c.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(c.nodes)-1).Draw(t, "node")
			switch event := rapid.IntRange(0, 19).Draw(t, "event"); {
			case event < 5: // operators file competing tickets for nearby numbers
				ticketCount++
				number := c.numberAt[len(c.numberAt)-1] + Number(rapid.IntRange(0, 3).Draw(t, "ahead"))
				key := ObjectKey{Kind: "k", Name: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "object"))}
				c.appendRecord(Record{Ticket: Ticket{
					ID: fmt.Sprint("t", ticketCount), Number: number,
					Objects: []Object{{Key: key, Value: []byte(fmt.Sprint(ticketCount)), Deleted: ticketCount%5 == 0}},
				}})
			case event == 5 && len(c.log) > 0: // a lost response made an operator append again
				c.appendRecord(c.log[rapid.IntRange(0, len(c.log)-1).Draw(t, "again")])
			case event == 6:
				c.appendRecord(Record{Malformed: true})
			case event == 7:
				c.logDown = !c.logDown
			case event == 8:
				c.oldestOffset = uint64(rapid.IntRange(int(c.oldestOffset), len(c.log)).Draw(t, "first"))
			case event == 9:
				c.restart(i)
				for j := range c.nodes { // sometimes all instances are replaced at once
					if i == 0 {
						c.restart(j)
					}
				}
			case event == 10:
				peer := c.followers[rapid.IntRange(0, len(c.nodes)-1).Draw(t, "peer")]
				c.step(i, PeerNumber{Peer: peer.self.Instance, Number: peer.Current().Number})
			case event == 11:
				c.step(i, Tick{})
			case len(c.calls) > 0:
				c.completeCall(rapid.IntRange(0, len(c.calls)-1).Draw(t, "call"))
			}
			c.check(t)
		}
		covered := c.expiredAreCovered()
		c.runUntilStable(t)
		last := c.numberAt[len(c.numberAt)-1]
		for i, f := range c.followers {
			if covered && f.Current().Number != last {
				t.Fatalf("node %d is still at number %d, want %d", i, f.Current().Number, last)
			}
			if f.Current().Number != last && f.plan.Reads && !c.gaps[i] {
				t.Fatalf("node %d is still at number %d and reports no gap", i, f.Current().Number)
			}
		}
	})
}

func lastAction[A FollowerAction](actions []FollowerAction) (found A, ok bool) {
	for _, action := range actions {
		if a, is := action.(A); is {
			found, ok = a, true
		}
	}
	return found, ok
}

// TestFollowerRetriesWithoutMessages guards against a follower that sets no
// timer after a log failure, a missed push or a gap and then waits for ever when
// no other message arrives.
func TestFollowerRetriesWithoutMessages(t *testing.T) {
	is := is.New(t)
	self, peer := Node{Instance: "a", DataCentre: "dc"}, Node{Instance: "b", DataCentre: "dc"}
	f := NewFollower(self, CheckpointPolicyFor(24*time.Hour))
	f.Step(0, Nodes{List: []Node{self, peer}})
	_, ok := lastAction[ReadCheckpoints](f.Step(0, Start{}))
	is.True(ok)
	timer, ok := lastAction[SetTimer](f.Step(time.Second, CheckpointsReadFailed{}))
	is.True(ok) // the failed read is repeated
	_, ok = lastAction[ReadCheckpoints](f.Step(timer.At, Tick{}))
	is.True(ok)
	f.Step(timer.At, PeerFetched{Peer: "b"})
	one := Ticket{ID: "t1", Number: 1}
	f.Step(timer.At, CheckpointsRead{})
	f.Step(timer.At, TicketsRead{Records: []Record{{Ticket: one}}})
	timer, ok = lastAction[SetTimer](f.Step(5*time.Second, PeerNumber{Peer: "b", Number: 2}))
	is.True(ok)
	is.True(timer.At <= 5*time.Second+RepairDelay) // a missed push is repaired
	fetch, ok := lastAction[FetchPeer](f.Step(timer.At, Tick{}))
	is.True(ok)
	is.Equal(fetch, FetchPeer{Peer: "b", After: 1})
	actions := f.Step(timer.At, TicketsExpired{First: 4})
	report, _ := lastAction[ReportStatus](actions)
	is.True(report.Status.Gap)
	f.Step(timer.At, PeerFetchFailed{Peer: "b"})
	stale := &Snapshot{Number: 1, TicketID: "t1", Offset: 3}
	_, ok = lastAction[ReadTickets](f.Step(timer.At, CheckpointsRead{Newest: stale}))
	is.True(!ok) // a checkpoint that does not cover all expired records leaves the gap open
	covering := &Snapshot{Number: 1, TicketID: "t1", Offset: 4}
	read, ok := lastAction[ReadTickets](f.Step(timer.At, CheckpointsRead{Newest: covering}))
	is.True(ok) // the same number with a higher offset closes it
	is.Equal(read.From, uint64(4))
}

// TestFetchResponseHasNoGap guards against a response that lists tickets without
// those between an adopted snapshot and the earlier cached tickets.
func TestFetchResponseHasNoGap(t *testing.T) {
	is := is.New(t)
	f := NewFollower(Node{Instance: "a"}, CheckpointPolicyFor(24*time.Hour))
	f.Step(0, TicketsPushed{Records: []Record{{Ticket: Ticket{ID: "t1", Number: 1}}}})
	f.Step(0, CheckpointsRead{Newest: &Snapshot{Number: 7, TicketID: "t7", Offset: 7}})
	f.Step(0, TicketsPushed{Records: []Record{{Offset: 7, Ticket: Ticket{ID: "t8", Number: 8}}}})
	is.Equal(f.RespondToFetch(6, false).Snapshot, f.Current())
	is.Equal(len(f.RespondToFetch(7, false).Tickets), 1)
}

// TestPlanCoversDataCentre guards against nodes that receive no tickets: each
// data centre has two readers, and every other node exactly one parent.
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

// BenchmarkFoldDay folds 52,000 tickets, one day's worth, over 400 objects of
// 600 bytes and counts the checkpoints that become due.
func BenchmarkFoldDay(b *testing.B) {
	const ticketsPerDay, objects = 52_000, 400
	value := make([]byte, 600)
	for b.Loop() {
		fold := NewFold()
		policy := CheckpointPolicyFor(24 * time.Hour)
		var mark *CheckpointPosition
		checkpoints := 0
		for i := range ticketsPerDay {
			key := ObjectKey{Kind: "service", Name: fmt.Sprint(i % objects)}
			fold.Apply(uint64(i), Ticket{ID: "t", Number: Number(i + 1), Objects: []Object{{Key: key, Value: value}}})
			if policy.Due(0, fold.Current(), mark) {
				mark = &CheckpointPosition{Offset: fold.Current().Offset}
				checkpoints++
			}
		}
		b.ReportMetric(float64(checkpoints), "checkpoints")
	}
}
