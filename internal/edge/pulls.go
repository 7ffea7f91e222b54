package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
)

const (
	// configPullDelay is how long an instance waits for the store to deliver a newer
	// configuration before it pulls it from a peer, if it is too large to be pulled by
	// all at once.
	configPullDelay = 200 * time.Millisecond
	// configPullShare is the share of the bound within which a configuration must be
	// active that its transfer from one peer to all that pull from it may take.
	// configReadShare is the share after which an instance that still lacks it reads the
	// store.
	configPullShare = 0.1
	configReadShare = 0.3
	// minPullInterval is the minimum time between two pulls.
	minPullInterval = 400 * time.Millisecond
	// pullJitterPerPeer times the number of other instances, at most maxPullJitter, bounds the
	// random delay before a pull of list changes. It spreads the load on the first
	// peers that have them.
	pullJitterPerPeer = 10 * time.Millisecond
	maxPullJitter     = 250 * time.Millisecond
	// remotePullDelay is how long an instance waits for list changes from a peer in
	// its own data centre before it pulls from other data centres.
	remotePullDelay = 400 * time.Millisecond
	// minHealthyTime is how long a peer must have read the instance list without
	// failure to prove that the store itself was available.
	minHealthyTime = 2500 * time.Millisecond
)

// reportedState is how much of the store a peer has read, as its report states.
type reportedState struct {
	// sentAt is the local boot time at which the report was sent, as estimated.
	sentAt  time.Duration
	version catalog.Version
	// configBytes is the size of the peer's configuration, 0 if it is not known.
	configBytes  int64
	listPosition storelog.Position
	dataCentre   fleet.DataCentre
	// listCompleteAt is the local boot time at which the peer's list was complete. It
	// is valid if listAgeKnown is set.
	listCompleteAt time.Duration
	listAgeKnown   bool
	// healthyFor is how long the peer's reads of the list have succeeded.
	healthyFor time.Duration
}

// newReportedState decodes a report that is processed at the local boot time now. The
// report may have waited while this instance did not run or a link was busy, so its
// delay is part of the age of the list.
func newReportedState(now time.Duration, from *peer, m *cornelholdv1.InstanceReport) reportedState {
	delay, known := from.delay.Observe(milliseconds(m.GetSentMs()), now)
	return reportedState{
		sentAt:  now - delay,
		version: catalog.Version(m.GetConfigVersion()), listPosition: storelog.Position(m.GetListPosition()), configBytes: m.GetConfigBytes(),
		dataCentre:     fleet.DataCentre(m.GetDataCentre()),
		listCompleteAt: now - delay - milliseconds(m.GetListAgeMs()), listAgeKnown: known && m.GetSentMs() > 0,
		healthyFor: milliseconds(m.GetListHealthyMs()),
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// lag measures how long this instance has been behind its peers. A report of a peer
// that is equally far behind does not end it; only progress of this instance does.
type lag struct {
	ownVersion int64
	since      time.Duration
	behind     bool
	// storeReadTriggered is set once the lag has triggered a read of the store.
	storeReadTriggered bool
}

// observe compares the version or offset of a peer with that of this instance. It
// reports whether this instance is behind the peer, and how long it has been behind
// any peer.
func (l *lag) observe(now time.Duration, ownVersion, peerVersion int64) (time.Duration, bool) {
	if ownVersion != l.ownVersion {
		*l = lag{ownVersion: ownVersion}
	}
	if peerVersion <= ownVersion {
		return 0, false
	}
	if !l.behind {
		l.behind, l.since = true, now
	}
	return now - l.since, true
}

// pullIfBehind starts a pull from a peer if this instance lacks its first snapshot,
// a configuration that the store has not delivered, or changes of the instance list
// that another instance has read.
func (t *peersTask) pullIfBehind(ctx context.Context, now time.Duration, from netip.Addr, reported reportedState) {
	state := t.process.directory.published.Load()
	configNeeded := t.needsConfigPull(now, state.Version, reported)
	listNeeded := t.needsListPull(now, state.Position, reported)
	t.process.confirmList(ctx)
	wanted := t.puller.usagePulls.Load() == 0 || listNeeded || configNeeded
	if !wanted || now-t.lastPull < minPullInterval || !t.pulling.CompareAndSwap(false, true) {
		return
	}
	t.lastPull = now
	go func() {
		defer t.pulling.Store(false)
		t.puller.pull(ctx, from, *state, reported.healthyFor)
	}()
}

// needsConfigPull reports whether the configuration is pulled from a peer. One that would
// take long to send to all that pull from the peer is read from the store first.
func (t *peersTask) needsConfigPull(now time.Duration, own catalog.Version, reported reportedState) bool {
	behindFor, behind := t.configLag.observe(now, int64(own), int64(reported.version))
	if !behind {
		return false
	}
	pullDelay, readDelay := configPullDelay, time.Duration(0)
	if t.isQuickToPull(reported.configBytes) {
		pullDelay, readDelay = 0, shareOf(t.process.deployment.Bounds.ConfigApply, configReadShare)
	}
	if behindFor >= readDelay && !t.configLag.storeReadTriggered && !t.process.list.isReader.Load() {
		t.configLag.storeReadTriggered = true
		triggerRead(t.process.configTrigger)
	}
	return behindFor >= pullDelay
}

// isQuickToPull reports whether a peer with a link like that of this instance can send a
// number of bytes quickly to all instances that turn to it: those that a carrier feeds.
func (t *peersTask) isQuickToPull(bytes int64) bool {
	if bytes <= 0 || t.carriers == 0 {
		return false
	}
	receivers := (t.instances + t.carriers) / t.carriers
	limit := shareOf(t.process.deployment.Bounds.ConfigApply, configPullShare).Seconds() * t.process.deployment.LinkBytesPerSecond
	return float64(bytes)*float64(receivers) <= limit
}

// needsListPull reports whether list changes are pulled from a peer. The reader of
// the data centre pulls only if it cannot read the store or its list is stale.
func (t *peersTask) needsListPull(now time.Duration, own storelog.Position, reported reportedState) bool {
	list := &t.process.list
	behindFor, behind := t.listLag.observe(now, int64(own), int64(reported.listPosition))
	if !behind {
		if !list.isReader.Load() && reported.listAgeKnown {
			list.recordPeerRead(reported.listCompleteAt, reported.healthyFor)
		}
		return false
	}
	if behindFor == 0 {
		t.pullDelay = time.Duration(rand.Float64() * float64(min(pullJitterPerPeer*time.Duration(t.instances), maxPullJitter)))
	}
	drain := t.process.deployment.Bounds.Drain
	if behindFor > shareOf(drain, listBehindShare) && !t.listLag.storeReadTriggered {
		// Peers may respond slowly or stop, so the store is read as well.
		t.listLag.storeReadTriggered = true
		triggerRead(t.process.listTrigger)
	}
	if reported.dataCentre != t.process.deployment.DataCentre && behindFor < remotePullDelay {
		return false
	}
	readsStore := list.isReader.Load() && !t.election.StoreUnavailable(now)
	return (!readsStore && behindFor >= t.pullDelay) || list.age() > shareOf(drain, listStaleShare)
}
