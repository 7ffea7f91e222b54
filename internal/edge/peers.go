package edge

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/duty"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/storereader"
	"github.com/cornelhold/cornelhold/internal/core/transit"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

const (
	// reportInterval is the time between two reports to peers. With more than
	// maxPeersAtFullRate peers it grows in proportion to their number, to limit the
	// processor time and bandwidth that reports cost each instance.
	reportInterval     = 200 * time.Millisecond
	maxPeersAtFullRate = 48
	// unresponsiveAfter is the time without a report from a peer after which it is
	// sent one only every unresponsiveInterval.
	unresponsiveAfter    = 5 * time.Second
	unresponsiveInterval = 2 * time.Second
	// peerLostAfter is the time without a report after which a peer no longer has a
	// share of the quotas.
	peerLostAfter = 30 * time.Second
	// maxDatagram bounds a report, in bytes.
	maxDatagram = 60 << 10
	// maxPeerAddresses bounds the addresses in a report, which are a random sample
	// of the active peers. maxPeers bounds the number of peers.
	maxPeerAddresses = 6
	maxPeers         = 2048
	peersMailbox     = 256
)

// peer is another instance.
type peer struct {
	address    netip.Addr
	node       string
	boot       string
	lastReport time.Duration
	lastSent   time.Duration
	// active is set from the first report of the peer until it is lost.
	active bool
	// delay estimates how long the reports of the peer were on the way.
	delay transit.DelayEstimate
}

type datagram struct {
	from netip.Addr
	data []byte
}

// peersTask owns the datagram socket: it sends reports to the other instances and
// distributes the reports received from them.
type peersTask struct {
	process    *process
	conn       *net.UDPConn
	received   task.Mailbox[datagram]
	discovered task.Mailbox[[]netip.Addr]
	peers      map[netip.Addr]*peer
	self       netip.Addr
	boot       string
	// election decides whether this instance reads the store for its data centre.
	election *storereader.Election
	// configLag and listLag measure how long this instance has been behind its peers.
	configLag, listLag lag
	// pullDelay is the random delay of the next pull of list changes.
	pullDelay time.Duration
	lastPull  time.Duration
	// pulling is set while a pull is in progress.
	pulling atomic.Bool
	puller  *puller
}

func newPeersTask(p *process, boot string) *peersTask {
	t := &peersTask{
		process: p, boot: boot, peers: make(map[netip.Addr]*peer),
		received: task.NewMailbox[datagram](peersMailbox), discovered: task.NewMailbox[[]netip.Addr](4),
		puller: newPuller(p), election: storereader.NewElection(p.deployment.Node, p.deployment.DataCentre),
	}
	t.self, _ = netip.ParseAddr(p.deployment.IP)
	for _, seed := range p.deployment.Seeds {
		if a, err := netip.ParseAddrPort(seed); err == nil {
			t.add(a.Addr())
		}
	}
	return t
}

// add returns the peer at an address and creates it if needed. It returns nil for
// an invalid address, for that of this instance, and if there are maxPeers peers.
func (t *peersTask) add(a netip.Addr) *peer {
	if a == t.self || !a.IsValid() {
		return nil
	}
	p, ok := t.peers[a]
	if !ok {
		if len(t.peers) >= maxPeers {
			return nil
		}
		p = &peer{address: a}
		t.peers[a] = p
	}
	return p
}

// run exchanges reports with the peers until ctx ends.
func (t *peersTask) run(ctx context.Context) error {
	go t.receive(ctx)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			ticker.Reset(reportInterval * time.Duration(max(len(t.peers), maxPeersAtFullRate)) / maxPeersAtFullRate)
			t.electReader()
			t.report(ctx)
			t.expire(ctx)
		case addresses := <-t.discovered.Receive():
			for _, a := range addresses {
				t.add(a)
			}
		case d := <-t.received.Receive():
			t.handle(ctx, d)
		}
	}
}

// receive posts datagrams to the task; they are dropped while the mailbox is full.
func (t *peersTask) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				t.process.log.WithError(err).Warn("peer reports could not be received")
				sleep(ctx, reportInterval)
			}
			continue
		}
		t.received.TrySend(datagram{from: from.Addr().Unmap(), data: slices.Clone(buf[:n])})
	}
}

// electReader updates whether this instance reads the store for its data centre.
func (t *peersTask) electReader() {
	now := task.BootTime()
	if failedAt := time.Duration(t.process.list.failedAt.Load()); failedAt != 0 {
		t.election.StoreLost(failedAt)
	} else {
		t.election.StoreRead()
	}
	isReader := t.election.IsReader(now)
	if t.process.list.isReader.Swap(isReader) != isReader {
		t.process.log.WithFields(log.Fields{"reads": isReader, "store_lost": t.election.StoreUnavailable(now)}).Info("reader of the store changed")
	}
}

// report sends a report to all peers, and less often to unresponsive ones.
func (t *peersTask) report(ctx context.Context) {
	ownReport, err := t.process.gateway.report(ctx)
	if err != nil {
		return
	}
	now := task.BootTime()
	t.process.duties.postPeerUpdate(peerUpdate{node: t.process.deployment.Node, isSelf: true, demand: ownReport.Demand, used: ownReport.Used})
	summary := t.process.duties.currentSummary()
	// The age is read before the state, so that the state is at least as new as the
	// reported age.
	listAge, sentAt := t.process.list.age(), task.BootTime()
	state := t.process.directory.published.Load()
	message := &cornelholdv1.InstanceReport{
		Node: t.process.deployment.Node, Boot: t.boot, Ip: t.process.deployment.IP,
		ConfigVersion: int64(state.Version), ListOffset: state.Offset, WallMs: time.Now().UnixMilli(),
		Windows: lo.Map(summary.windows, encodeWindow), LeaseOffset: summary.leaseOffset, Held: summary.held,
		Leaving: t.process.draining(), ListHealthyMs: t.process.list.healthyFor().Milliseconds(),
		ListAgeMs: listAge.Milliseconds(), DataCentre: string(t.process.deployment.DataCentre),
		StoreLost: t.election.StoreUnavailable(now), SentMs: sentAt.Milliseconds(),
	}
	encodeReport(ownReport, message)
	encodeCrashes(ownReport.Crashes, t.process.clock.Now(), message)
	for _, p := range t.peers {
		if now-p.lastReport < unresponsiveAfter && p.active && len(message.Peers) < maxPeerAddresses {
			message.Peers = append(message.Peers, p.address.String())
		}
	}
	data, err := proto.Marshal(message)
	if err != nil || len(data) > maxDatagram {
		t.process.log.WithField("bytes", len(data)).WithError(err).Warn("peer report could not be encoded or is too large")
		return
	}
	for _, p := range t.peers {
		unresponsive := !p.active || now-p.lastReport > unresponsiveAfter
		if unresponsive && now-p.lastSent < unresponsiveInterval && p.lastSent != 0 {
			continue
		}
		p.lastSent = now
		to := netip.AddrPortFrom(p.address, uint16(t.process.deployment.FirstPeerPort))
		// A lost report is superseded by the next one.
		_, _ = t.conn.WriteToUDPAddrPort(data, to)
	}
}

// expire removes lost peers from the shares of the quotas. Their addresses are kept.
func (t *peersTask) expire(ctx context.Context) {
	now := task.BootTime()
	for _, p := range t.peers {
		if p.active && now-p.lastReport > peerLostAfter {
			p.active = false
			t.process.log.WithFields(log.Fields{"peer": p.node, "address": p.address.String()}).Warn("peer lost")
			t.process.gateway.Post(ctx, gateway.PeerLeft{Node: p.node})
		}
	}
}

// handle decodes a report and distributes it. Malformed reports are counted and
// dropped.
func (t *peersTask) handle(ctx context.Context, d datagram) {
	var m cornelholdv1.InstanceReport
	if err := proto.Unmarshal(d.data, &m); err != nil || m.GetNode() == "" || m.GetBoot() == "" {
		t.process.metrics.malformed.WithLabelValues("peer").Inc()
		return
	}
	now := task.BootTime()
	p := t.add(d.from)
	if p == nil {
		return
	}
	if p.boot != m.GetBoot() {
		p.delay = transit.DelayEstimate{}
	}
	if !p.active || p.boot != m.GetBoot() {
		t.process.log.WithFields(log.Fields{
			"peer": m.GetNode(), "boot": m.GetBoot(), "address": d.from.String(),
		}).Info("peer found")
	}
	p.node, p.boot, p.lastReport, p.active = m.GetNode(), m.GetBoot(), now, true
	for _, text := range m.GetPeers() {
		if a, err := netip.ParseAddr(text); err == nil {
			t.add(a)
		}
	}
	reported := newReportedState(now, p, &m)
	report := decodeReport(&m)
	report.Crashes = decodeCrashes(&m, t.process.clock.At(reported.sentAt))
	t.process.gateway.Post(ctx, report)
	t.process.duties.postPeerUpdate(peerUpdate{
		node: m.GetNode(), demand: report.Demand, used: report.Used, wallClock: time.Duration(m.GetWallMs()) * time.Millisecond,
		windows: lo.Map(m.GetWindows(), decodeWindow),
		lease:   duty.LeaseReported{Offset: m.GetLeaseOffset(), Held: m.GetHeld()},
	})
	t.election.Observe(now, storereader.Instance{
		Node: m.GetNode(), DataCentre: fleet.DataCentre(m.GetDataCentre()), Leaving: m.GetLeaving(), StoreLost: m.GetStoreLost(),
	})
	if !m.GetLeaving() {
		t.pullIfBehind(ctx, now, d.from, reported)
	}
}

// joinThroughStore registers the address of this instance in the store and posts
// the addresses of the others to the task.
func (t *peersTask) joinThroughStore(ctx context.Context) error {
	record := platform.Record{Key: t.process.deployment.Node, Value: []byte(t.process.deployment.IP)}
	for registered := false; ctx.Err() == nil; {
		if !registered {
			_, err := t.process.store.Append(ctx, platform.TopicMembers, record)
			registered = err == nil
		}
		batch, err := t.process.store.Newest(ctx, platform.TopicMembers)
		if err == nil && registered {
			return t.discovered.Send(ctx, parseAddresses(batch.Records))
		}
		sleep(ctx, time.Second)
	}
	return nil
}

func parseAddresses(records []platform.Record) []netip.Addr {
	return lo.FilterMap(records, func(r platform.Record, _ int) (netip.Addr, bool) {
		a, err := netip.ParseAddr(string(r.Value))
		return a, err == nil
	})
}
