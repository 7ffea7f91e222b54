package member_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/member"
	"github.com/cornelhold/cornelhold/internal/peer"
	"github.com/cornelhold/cornelhold/internal/proptest"
)

// TestMain fixes the seed, so that every run has the same verdict.
func TestMain(m *testing.M) { proptest.Main(m, 20261204, 100) }

// datagramOverhead is the size of the IPv4 and UDP headers in bytes.
const datagramOverhead = 28

// sim runs machines in virtual time over a network that delays and loses packets.
type sim struct {
	now    time.Duration
	random *rand.Rand
	nodes  []*node
	byAddr map[string]*node
	events events
	// loss is the probability that a packet is lost.
	loss float64
	// cut reports whether packets from one node to another are lost.
	cut         func(from, to *node) bool
	countBytes  bool
	onAnnounced func(n *node, h member.NumberAnnounced)
	// listChanged tells that a member list changed in the last step.
	listChanged bool
}

type node struct {
	index          int
	identity       member.Identity
	machine        *member.Machine
	running        bool
	pausedUntil    time.Duration
	epoch          int
	live           map[fleet.InstanceID]member.Update
	announcements  int
	sent, received int
}

type event struct {
	at     time.Duration
	order  int
	to     *node
	epoch  int
	packet *member.Packet
	tick   bool
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// newSim starts size members whose configured peers are all others (seeds == 0)
// or only the first ones.
func newSim(size, seeds int, seed uint64) *sim {
	s := &sim{
		random: rand.New(rand.NewPCG(seed, 1)), byAddr: map[string]*node{},
		cut: func(*node, *node) bool { return false },
	}
	for i := range size {
		n := &node{index: i, identity: member.Identity{
			Instance:   fleet.InstanceID(fmt.Sprintf("i-%016x", i)),
			DataCentre: fleet.DataCentre(fmt.Sprint("stara-zagora-", i%7)), Region: fleet.Region(fmt.Sprint("bg-south-", i%3)),
			Address: fmt.Sprintf("10.%d.%d.%d:7100", 100+i/65536, 100+i/256, i%256),
		}}
		s.nodes = append(s.nodes, n)
		s.byAddr[n.identity.Address] = n
	}
	if seeds == 0 {
		seeds = size
	}
	for _, n := range s.nodes {
		s.start(n, seeds)
	}
	return s
}

func (s *sim) start(n *node, seeds int) {
	var peers []member.Identity
	for _, other := range s.nodes[:seeds] {
		peers = append(peers, other.identity)
	}
	n.epoch++
	n.running, n.pausedUntil = true, 0
	n.machine = member.New(member.Options{
		Self: n.identity, Incarnation: uint64(1_700_000_000 + n.epoch), Seed: s.random.Uint64(), Peers: peers,
	})
	s.step(n, member.Start{})
}

func (s *sim) step(n *node, msg member.Message) {
	for _, action := range n.machine.Step(s.now, msg) {
		switch a := action.(type) {
		case member.SendPacket:
			s.send(n, a)
		case member.SetTimer:
			s.push(event{at: a.At, to: n, epoch: n.epoch, tick: true})
		case member.PublishMembers:
			s.listChanged = true
			n.live = map[fleet.InstanceID]member.Update{}
			for _, u := range a.Live {
				n.live[u.Instance] = u
			}
		case member.NumberAnnounced:
			n.announcements++
			if s.onAnnounced != nil {
				s.onAnnounced(n, a)
			}
		}
	}
}

func (s *sim) push(e event) {
	e.order = s.random.IntN(1 << 30)
	heap.Push(&s.events, e)
}

func (s *sim) send(from *node, a member.SendPacket) {
	to, found := s.byAddr[a.Address]
	if !found {
		return
	}
	if s.countBytes {
		data, err := peer.EncodePacket(a.Packet)
		if err != nil || len(data) > member.MaxPacketBytes {
			panic(fmt.Sprint("packet of ", len(data), " bytes: ", err))
		}
		from.sent += len(data) + datagramOverhead
		to.received += len(data) + datagramOverhead
	}
	if s.random.Float64() < s.loss || s.cut(from, to) {
		return
	}
	delay := time.Millisecond + time.Duration(s.random.Int64N(int64(60*time.Millisecond)))
	s.push(event{at: s.now + delay, to: to, packet: &a.Packet})
}

// run advances virtual time and calls onListChange, unless it is nil, after each
// change of a member list.
func (s *sim) run(d time.Duration, onListChange func()) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(event)
		s.now = max(s.now, e.at)
		s.deliver(e)
		if s.listChanged && onListChange != nil {
			onListChange()
		}
		s.listChanged = false
	}
	s.now = end
}

func (s *sim) deliver(e event) {
	switch {
	case !e.to.running, e.tick && e.epoch != e.to.epoch:
	case s.now < e.to.pausedUntil:
		e.at = e.to.pausedUntil
		s.push(e)
	case e.tick:
		s.step(e.to, member.Tick{})
	default:
		s.step(e.to, member.PacketReceived{Packet: *e.packet})
	}
}

func (s *sim) eachRunning(do func(n *node)) {
	for _, n := range s.nodes {
		if n.running {
			do(n)
		}
	}
}

// disagreement describes a node whose list of live members differs from the
// running nodes. It is empty if there is none.
func (s *sim) disagreement() string {
	running := 0
	s.eachRunning(func(*node) { running++ })
	problem := ""
	s.eachRunning(func(n *node) {
		if len(n.live) != running {
			problem = fmt.Sprintf("%s lists %d live members, %d are running", n.identity.Instance, len(n.live), running)
		}
		s.eachRunning(func(other *node) {
			if _, ok := n.live[other.identity.Instance]; !ok {
				problem = fmt.Sprintf("%s does not list %s", n.identity.Instance, other.identity.Instance)
			}
		})
	})
	return problem
}

// listedBy returns how many running nodes list a node as live.
func (s *sim) listedBy(dead *node) int {
	count := 0
	s.eachRunning(func(n *node) {
		if _, listed := n.live[dead.identity.Instance]; listed {
			count++
		}
	})
	return count
}
