package config

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

type peerState struct {
	node    Node
	number  Number
	retryAt time.Duration
	// failed tells that the last request to the peer failed.
	failed bool
}

func (f *Follower) recordPeerNumber(now time.Duration, id fleet.InstanceID, number Number) {
	peer, found := f.peers[id]
	if !found {
		return
	}
	peer.number = max(peer.number, number)
	f.recordAnnounced(now, number)
}

func (f *Follower) recordAnnounced(now time.Duration, number Number) {
	if number <= f.announced || number <= f.fold.Current().Number {
		return
	}
	if f.announced <= f.fold.Current().Number {
		f.behindSince = now
	}
	f.announced = number
}

func (f *Follower) handleFetched(now time.Duration, msg PeerFetched) {
	f.fetching, f.skipRepairDelay = false, false
	f.recordPeerNumber(now, msg.Peer, msg.Response.Number)
	before := f.fold.Current()
	if msg.Response.Snapshot != nil {
		f.adopt(msg.Response.Snapshot)
	}
	f.foldAccepted(now, msg.Response.Tickets)
	if f.fold.Current() == before {
		// Without this delay, a fleet that has no ticket yet would fetch
		// continuously.
		f.fetchAt = now + RepairDelay
		f.delayPeer(now, msg.Peer, false)
	}
}

func (f *Follower) delayPeer(now time.Duration, id fleet.InstanceID, failed bool) {
	if peer, found := f.peers[id]; found {
		peer.retryAt = now + PeerRetryDelay
		peer.failed = failed
	}
}

func (f *Follower) repairDue(now time.Duration) bool {
	return f.announced > f.fold.Current().Number && (f.skipRepairDelay || now >= f.behindSince+RepairDelay)
}

func (f *Follower) needsPeer(now time.Duration) bool {
	unconfigured := f.fold.Current().Number == 0 && (!f.plan.Reads || f.logDown)
	return f.repairDue(now) || f.hasGap() || unconfigured
}

func (f *Follower) fetchPeer(now time.Duration) {
	if f.fetching || now < f.fetchAt || !f.needsPeer(now) {
		return
	}
	peer := f.choosePeer(now)
	if peer == nil {
		return
	}
	f.fetching = true
	f.emit(FetchPeer{Peer: peer.node.Instance, After: f.fold.Current().Number, Complete: f.hasGap()})
}

// choosePeer prefers the highest number, then the same data centre, then the
// peer with the earliest retryAt, then a hash order that differs between nodes,
// so that fetches spread over the peers.
func (f *Follower) choosePeer(now time.Duration) *peerState {
	var chosen *peerState
	for _, peer := range f.peers {
		if now < peer.retryAt {
			continue
		}
		if chosen == nil || f.comparePeers(peer, chosen) < 0 {
			chosen = peer
		}
	}
	return chosen
}

func (f *Follower) comparePeers(a, b *peerState) int {
	return cmp.Or(
		cmp.Compare(b.number, a.number),
		cmp.Compare(f.distance(a), f.distance(b)),
		cmp.Compare(a.retryAt, b.retryAt),
		cmp.Compare(f.tieBreak(a), f.tieBreak(b)),
		cmp.Compare(a.node.Instance, b.node.Instance),
	)
}

func (f *Follower) distance(p *peerState) int {
	if p.node.DataCentre == f.self.DataCentre {
		return 0
	}
	return 1
}

func (f *Follower) tieBreak(p *peerState) uint64 {
	return xxhash.Sum64String(string(f.self.Instance) + "/" + string(p.node.Instance))
}
