package member

import (
	"cmp"
	"math"
	"slices"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// MaxPacketBytes bounds the estimated body of a packet, so that it fits into
	// one datagram without fragmentation.
	MaxPacketBytes = 1200
	// maxUpdates bounds the piggybacked updates of a packet.
	maxUpdates = 6
	// backgroundUpdates is the number of entries per packet that are taken from
	// all entries in turn, so that every member eventually receives them all. Two
	// of them would exceed the traffic budget of a node together with the two
	// pushes for each ticket.
	backgroundUpdates = 1
	// updateOverhead is an upper bound of the encoded size of an update without
	// its strings, in bytes.
	updateOverhead = 40
	// packetOverhead bounds kind, sequence and target of a packet, in bytes.
	packetOverhead = 120
	// transmitFactor times the binary logarithm of the number of members is how
	// often an update is sent.
	transmitFactor = 3
)

// EstimateBytes returns an upper bound of the encoded size of an update.
func EstimateBytes(u Update) int {
	return updateOverhead + len(u.Instance) + len(u.DataCentre) + len(u.Region) + len(u.Address)
}

// gossipQueue holds the updates still to be sent, the latest for each member.
type gossipQueue struct {
	items []gossipItem
}

type gossipItem struct {
	update Update
	sent   int
}

func (q *gossipQueue) add(u Update) {
	q.items = slices.DeleteFunc(q.items, func(i gossipItem) bool { return i.update.Instance == u.Instance })
	q.items = append(q.items, gossipItem{update: u})
}

// next returns up to count updates, those sent fewest times first, and drops
// those that have been sent limit times.
func (q *gossipQueue) next(count, limit int) []Update {
	if len(q.items) == 0 {
		return nil
	}
	slices.SortStableFunc(q.items, func(a, b gossipItem) int { return cmp.Compare(a.sent, b.sent) })
	count = min(count, len(q.items))
	updates := make([]Update, 0, count)
	for i := range count {
		updates = append(updates, q.items[i].update)
		q.items[i].sent++
	}
	q.items = slices.DeleteFunc(q.items, func(i gossipItem) bool { return i.sent >= limit })
	return updates
}

// gossip chooses the updates of a packet: a suspicion or death that the receiver
// must refute, then recent updates, then background entries. to is the entry of
// the receiver, nil if there is none; full adds as many background entries as
// fit.
func (m *Machine) gossip(to *entry, full bool) []Update {
	remainingBytes := MaxPacketBytes - packetOverhead - EstimateBytes(m.self)
	updates := make([]Update, 0, maxUpdates)
	add := func(u Update) {
		size := EstimateBytes(u)
		if size > remainingBytes || containsInstance(updates, u.Instance) || u.Instance == m.self.Instance {
			return
		}
		remainingBytes -= size
		updates = append(updates, u)
	}
	if to != nil && (to.State == StateSuspect || to.State == StateDead) {
		add(to.Update)
	}
	limit := transmitFactor * int(math.Ceil(math.Log2(float64(len(m.entries)+2))))
	for _, u := range m.queue.next(maxUpdates-backgroundUpdates, limit) {
		add(u)
	}
	background := backgroundUpdates
	if full {
		background = MaxPacketBytes / updateOverhead
	}
	for range background {
		if e := m.nextBackground(); e != nil && e != to && e.State != StateDead {
			add(e.Update)
		}
	}
	return updates
}

func containsInstance(updates []Update, id fleet.InstanceID) bool {
	return slices.ContainsFunc(updates, func(u Update) bool { return u.Instance == id })
}

// nextBackground returns all entries in turn, nil if there are none.
func (m *Machine) nextBackground() *entry {
	if len(m.gossipOrder) == 0 {
		return nil
	}
	id := m.gossipOrder[0]
	m.gossipOrder = append(m.gossipOrder[1:], id)
	return m.entries[id]
}
