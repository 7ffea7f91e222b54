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

func (f *Follower) notePeer(now time.Duration, id fleet.InstanceID, number Number) {
	peer, known := f.peers[id]
	if !known {
		return
	}
	peer.number = max(peer.number, number)
	f.want(now, number)
}

func (f *Follower) want(now time.Duration, number Number) {
	if number <= f.wanted || number <= f.fold.Current().Number {
		return
	}
	if f.wanted <= f.fold.Current().Number {
		f.wantedSince = now
	}
	f.wanted = number
}

func (f *Follower) handleAnswer(now time.Duration, msg PeerAnswered) {
	f.fetching, f.urgent = false, false
	f.notePeer(now, msg.Peer, msg.Answer.Number)
	before := f.fold.Current()
	if msg.Answer.Snapshot != nil {
		f.adopt(msg.Answer.Snapshot)
	}
	f.foldAccepted(now, msg.Answer.Tickets)
	if f.fold.Current() == before {
		// Without this delay, a fleet without a ticket would fetch all the time.
		f.fetchAt = now + RepairDelay
		f.delayPeer(now, msg.Peer, false)
	}
}

func (f *Follower) delayPeer(now time.Duration, id fleet.InstanceID, failed bool) {
	if peer, known := f.peers[id]; known {
		peer.retryAt = now + PeerRetryDelay
		peer.failed = failed
	}
}

func (f *Follower) behind(now time.Duration) bool {
	return f.wanted > f.fold.Current().Number && (f.urgent || now >= f.wantedSince+RepairDelay)
}

func (f *Follower) needsPeer(now time.Duration) bool {
	unknown := f.fold.Current().Number == 0 && (!f.plan.Reads || f.logDown)
	return f.behind(now) || f.gap() || unknown
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
	f.emit(FetchPeer{Peer: peer.node.Instance, After: f.fold.Current().Number, Whole: f.gap()})
}

// choosePeer prefers the highest number, then the same data centre, then an
// order that differs for each asking node so that repairs spread.
func (f *Follower) choosePeer(now time.Duration) *peerState {
	var best *peerState
	for _, peer := range f.peers {
		if now < peer.retryAt {
			continue
		}
		if best == nil || f.comparePeers(peer, best) < 0 {
			best = peer
		}
	}
	return best
}

func (f *Follower) comparePeers(a, b *peerState) int {
	return cmp.Or(
		cmp.Compare(b.number, a.number),
		cmp.Compare(f.distance(a), f.distance(b)),
		cmp.Compare(a.retryAt, b.retryAt),
		cmp.Compare(f.order(a), f.order(b)),
		cmp.Compare(a.node.Instance, b.node.Instance),
	)
}

func (f *Follower) distance(p *peerState) int {
	if p.node.DataCentre == f.self.DataCentre {
		return 0
	}
	return 1
}

func (f *Follower) order(p *peerState) uint64 {
	return xxhash.Sum64String(string(f.self.Instance) + "/" + string(p.node.Instance))
}
