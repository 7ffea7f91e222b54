package member_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/member"
)

const (
	// activationBound is the time until a ticket is active everywhere (G7).
	activationBound = 4 * time.Second
	// callTimeout is the limit of a call to a peer.
	callTimeout = time.Second
	// logDelay is how long a long poll takes to return a new record.
	logDelay = 50 * time.Millisecond
)

// cluster adds to a sim a follower on each node, a log with one record for each
// ticket, and calls between the followers.
type cluster struct {
	*sim
	followers     map[*node]*config.Follower
	records       []config.Record
	active        map[*node]time.Duration
	polls         map[*node]config.ReadTickets
	byID          map[fleet.InstanceID]*node
	pendingEvents []timedEvent
}

type timedEvent struct {
	at time.Duration
	do func()
}

func newCluster(s *sim) *cluster {
	f := &cluster{
		sim: s, followers: map[*node]*config.Follower{}, active: map[*node]time.Duration{},
		polls: map[*node]config.ReadTickets{}, byID: map[fleet.InstanceID]*node{},
	}
	nodes := identities(s)
	for _, n := range s.nodes {
		f.byID[n.identity.Instance] = n
	}
	for i, n := range s.nodes {
		f.followers[n] = config.NewFollower(nodes[i], config.CheckpointPolicyFor(24*time.Hour))
		f.stepFollower(n, config.Nodes{List: nodes})
		f.stepFollower(n, config.Start{})
	}
	s.onAnnounced = func(n *node, h member.NumberAnnounced) {
		f.stepFollower(n, config.PeerNumber{Peer: h.Instance, Number: h.Number})
	}
	return f
}

func (f *cluster) after(d time.Duration, do func()) {
	f.pendingEvents = append(f.pendingEvents, timedEvent{at: f.now + d, do: do})
}

func (f *cluster) stepFollower(n *node, msg config.FollowerMessage) {
	if !n.running {
		return
	}
	for _, action := range f.followers[n].Step(f.now, msg) {
		f.handleAction(n, action)
	}
}

func (f *cluster) handleAction(n *node, action config.FollowerAction) {
	switch a := action.(type) {
	case config.ReadCheckpoints:
		f.after(logDelay, func() { f.stepFollower(n, config.CheckpointsRead{}) })
	case config.ReadTickets:
		f.polls[n] = a
		f.completePoll(n)
	case config.AppendCheckpoint:
		f.after(logDelay, func() { f.stepFollower(n, config.CheckpointAppended{}) })
	case config.Relay:
		f.call(n, f.byID[a.To], func(to *node) { f.stepFollower(to, config.TicketsPushed{Records: a.Records}) }, func() {})
	case config.FetchPeer:
		failed := func() { f.stepFollower(n, config.PeerFetchFailed{Peer: a.Peer}) }
		f.call(n, f.byID[a.Peer], func(to *node) {
			response := f.followers[to].RespondToFetch(a.After, a.Complete)
			f.stepFollower(n, config.PeerFetched{Peer: a.Peer, Response: response})
		}, failed)
	case config.Activate:
		f.active[n] = f.now
		f.step(n, member.SetNumber{Number: a.Snapshot.Number})
	case config.SetTimer:
		f.after(a.At-f.now, func() { f.stepFollower(n, config.Tick{}) })
	}
}

// call invokes reached on a running peer after a delay, or failed after the
// timeout if the call is lost.
func (f *cluster) call(_, to *node, reached func(to *node), failed func()) {
	if !to.running || f.random.Float64() < f.loss {
		f.after(callTimeout, failed)
		return
	}
	f.after(time.Duration(2+f.random.IntN(60))*time.Millisecond, func() { reached(to) })
}

func (f *cluster) completePoll(n *node) {
	poll, waiting := f.polls[n]
	if !waiting || poll.From >= uint64(len(f.records)) {
		return
	}
	delete(f.polls, n)
	records := f.records[poll.From:]
	f.after(logDelay, func() { f.stepFollower(n, config.TicketsRead{Records: records}) })
}

func (f *cluster) appendTicket() {
	number := config.Number(len(f.records) + 1)
	f.records = append(f.records, config.Record{
		Offset: uint64(len(f.records)), Ticket: config.Ticket{ID: fmt.Sprint("t", number), Number: number},
	})
	for _, n := range f.nodes {
		f.completePoll(n)
	}
}

// runCluster advances virtual time in steps of a few milliseconds.
func (f *cluster) runCluster(d time.Duration) {
	const step = 5 * time.Millisecond
	for end := f.now + d; f.now < end; {
		f.run(step, nil)
		due := f.pendingEvents
		f.pendingEvents = nil
		for _, t := range due {
			if t.at <= f.now {
				t.do()
			} else {
				f.pendingEvents = append(f.pendingEvents, t)
			}
		}
	}
}

// TestActiveEverywhere guards against tickets that become active late on some
// nodes (G7): the bound is 4 s after the append, with 5% of packets and calls
// lost and with one node in fifty having just failed, readers and inner nodes of
// the relay trees included.
func TestActiveEverywhere(t *testing.T) {
	for _, size := range []int{9, 100, 810} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			s := newSim(size, 0, 2)
			s.loss = maxTolerableLoss
			f := newCluster(s)
			f.runCluster(3 * time.Second)
			for i, n := range s.nodes {
				n.running = i%50 != 8
			}
			maxDelay := time.Duration(0)
			for range 3 {
				appendedAt := f.now
				f.appendTicket()
				f.runCluster(activationBound)
				s.eachRunning(func(n *node) {
					is.Equal(f.followers[n].Current().Number, config.Number(len(f.records)))
					maxDelay = max(maxDelay, f.active[n]-appendedAt)
				})
			}
			t.Logf("%d nodes: ticket active on all nodes within %v", size, maxDelay)
		})
	}
}
