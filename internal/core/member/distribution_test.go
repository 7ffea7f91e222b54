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

// cluster adds a follower to each node of a sim, a log that holds one record for
// each ticket, and calls between followers.
type cluster struct {
	*sim
	followers map[*node]*config.Follower
	records   []config.Record
	active    map[*node]time.Duration
	polls     map[*node]config.ReadTickets
	byID      map[fleet.InstanceID]*node
	later     []timed
}

type timed struct {
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
	s.onHeard = func(n *node, h member.Heard) {
		f.stepFollower(n, config.PeerNumber{Peer: h.Instance, Number: h.Number})
	}
	return f
}

func (f *cluster) after(d time.Duration, do func()) {
	f.later = append(f.later, timed{at: f.now + d, do: do})
}

func (f *cluster) stepFollower(n *node, msg config.FollowerMessage) {
	if !n.running {
		return
	}
	for _, action := range f.followers[n].Step(f.now, msg) {
		f.perform(n, action)
	}
}

func (f *cluster) perform(n *node, action config.FollowerAction) {
	switch a := action.(type) {
	case config.ReadCheckpoints:
		f.after(logDelay, func() { f.stepFollower(n, config.CheckpointsRead{}) })
	case config.ReadTickets:
		f.polls[n] = a
		f.answerPoll(n)
	case config.AppendCheckpoint:
		f.after(logDelay, func() { f.stepFollower(n, config.CheckpointAppended{}) })
	case config.Relay:
		f.call(n, f.byID[a.To], func(to *node) { f.stepFollower(to, config.TicketsPushed{Records: a.Records}) }, func() {})
	case config.FetchPeer:
		failed := func() { f.stepFollower(n, config.PeerFetchFailed{Peer: a.Peer}) }
		f.call(n, f.byID[a.Peer], func(to *node) {
			answer := f.followers[to].RespondToFetch(a.After, a.Complete)
			f.stepFollower(n, config.PeerFetched{Peer: a.Peer, Response: answer})
		}, failed)
	case config.Activate:
		f.active[n] = f.now
		f.step(n, member.SetNumber{Number: a.Snapshot.Number})
	case config.SetTimer:
		f.after(a.At-f.now, func() { f.stepFollower(n, config.Tick{}) })
	}
}

// call reaches a running peer after a delay; a lost call ends by its timeout.
func (f *cluster) call(_, to *node, reached func(to *node), failed func()) {
	if !to.running || f.random.Float64() < f.loss {
		f.after(callTimeout, failed)
		return
	}
	f.after(time.Duration(2+f.random.IntN(60))*time.Millisecond, func() { reached(to) })
}

func (f *cluster) answerPoll(n *node) {
	poll, waiting := f.polls[n]
	if !waiting || poll.From >= uint64(len(f.records)) {
		return
	}
	delete(f.polls, n)
	records := f.records[poll.From:]
	f.after(logDelay, func() { f.stepFollower(n, config.TicketsRead{Records: records}) })
}

func (f *cluster) file() {
	number := config.Number(len(f.records) + 1)
	f.records = append(f.records, config.Record{
		Offset: uint64(len(f.records)), Ticket: config.Ticket{ID: fmt.Sprint("t", number), Number: number},
	})
	for _, n := range f.nodes {
		f.answerPoll(n)
	}
}

// runCluster advances virtual time in steps of a few milliseconds.
func (f *cluster) runCluster(d time.Duration) {
	const step = 5 * time.Millisecond
	for end := f.now + d; f.now < end; {
		f.run(step, nil)
		due := f.later
		f.later = nil
		for _, t := range due {
			if t.at <= f.now {
				t.do()
			} else {
				f.later = append(f.later, t)
			}
		}
	}
}

// TestActiveEverywhere guards G7: a ticket is active on all nodes within 4 s of
// its append, with 5% of packets and calls lost and with one node in fifty
// having died just before, readers and inner nodes of the relay trees included.
func TestActiveEverywhere(t *testing.T) {
	for _, size := range []int{9, 100, 810} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			is := is.New(t)
			s := newSim(size, 0, 2)
			s.loss = statedLoss
			f := newCluster(s)
			f.runCluster(3 * time.Second)
			for i, n := range s.nodes {
				n.running = i%50 != 8
			}
			worst := time.Duration(0)
			for range 3 {
				filed := f.now
				f.file()
				f.runCluster(activationBound)
				s.eachRunning(func(n *node) {
					is.Equal(f.followers[n].Current().Number, config.Number(len(f.records)))
					worst = max(worst, f.active[n]-filed)
				})
			}
			t.Logf("%d nodes: active everywhere after %v at most", size, worst)
		})
	}
}
