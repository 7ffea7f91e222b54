package edge

import (
	"net/netip"
	"slices"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/exchange"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/task"
)

// ownState returns the part of a datagram that describes this instance.
func (t *peersTask) ownState(now time.Duration, crashes gateway.CrashReport, summary dutiesSummary) *cornelholdv1.InstanceReport {
	// The age is read before the state, so that the state is at least as new as the
	// reported age.
	listAge, sentAt := t.process.list.age(), task.BootTime()
	state := t.process.directory.published.Load()
	m := &cornelholdv1.InstanceReport{
		ConfigVersion: int64(state.Version), ConfigBytes: int64(state.ConfigBytes), ListPosition: int64(state.Position), WallMs: time.Now().UnixMilli(),
		StoreEpoch: int64(t.process.store.Epoch()), LeasePosition: int64(summary.leasePosition), ListHealthyMs: t.process.list.healthyFor().Milliseconds(),
		ListAgeMs: listAge.Milliseconds(), StoreLost: t.election.StoreUnavailable(now), SentMs: sentAt.Milliseconds(),
	}
	encodeCrashes(crashes, t.process.clock.Now(), m)
	m.Rollouts = encodePlans(t.process.gateway.rolloutPlans(), t.process.clock.Now())
	return m
}

// send sends a message of the exchange together with the state of this instance.
func (t *peersTask) send(a exchange.Send, state *cornelholdv1.InstanceReport, summary dutiesSummary) {
	m := proto.CloneOf(state)
	encodeExchange(a.Message, m)
	if m.Report != nil {
		m.Windows = lo.Map(summary.own, encodeWindow)
	}
	if m.Digest != nil {
		m.Digest.Windows = lo.Map(summary.centre, encodeWindow)
	}
	if data, ok := t.encode(m); ok {
		for _, to := range a.To {
			t.write(data, to)
		}
	}
}

// sendFeed sends a feed. What differs by receiver is appended to the encoded message, which
// is the same as a merge of both.
func (t *peersTask) sendFeed(a exchange.SendFeed, state *cornelholdv1.InstanceReport, summary dutiesSummary) {
	m := proto.CloneOf(state)
	encodeExchange(a.Message, m)
	m.Feed.Clocks = encodeClocks(summary.clocks)
	data, ok := t.encode(m)
	if !ok {
		return
	}
	for i, to := range a.To {
		own, ok := t.encode(&cornelholdv1.InstanceReport{Feed: &cornelholdv1.DeploymentFeed{Included: a.Included[i]}})
		if ok {
			t.write(slices.Concat(data, own), to)
		}
	}
}

func (t *peersTask) encode(m *cornelholdv1.InstanceReport) ([]byte, bool) {
	data, err := proto.Marshal(m)
	if err != nil || len(data) > maxDatagram {
		t.process.log.WithField("bytes", len(data)).WithError(err).Warn("peer report could not be encoded or is too large")
		return nil, false
	}
	return data, true
}

func (t *peersTask) write(data []byte, to exchange.Address) {
	address, err := netip.ParseAddr(string(to))
	if err != nil {
		t.process.metrics.malformed.WithLabelValues("peer").Inc()
		return
	}
	// A lost datagram is superseded by the next one.
	_, _ = t.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(address, uint16(t.process.deployment.FirstPeerPort)))
}
