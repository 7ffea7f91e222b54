package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/duty"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/storereader"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

const (
	// reportInterval is the time between two reports to peers. It grows with
	// their number beyond frequentPeers, since each report costs every instance
	// processor time and bytes.
	reportInterval = 200 * time.Millisecond
	frequentPeers  = 48
	// quietAfter is the time without a report after which a peer gets one only
	// every quietInterval.
	quietAfter    = 5 * time.Second
	quietInterval = 2 * time.Second
	// peerLeftAfter is the time without a report after which a peer no longer
	// has a share of the allowances.
	peerLeftAfter = 30 * time.Second
	// maxDatagram bounds a report, in bytes.
	maxDatagram = 60 << 10
	// maxPeerAddresses bounds the addresses in a report, a random choice of the
	// peers, and maxPeers those known.
	maxPeerAddresses = 6
	maxPeers         = 2048
	// pullAfter is how long an instance waits for the store before it asks a
	// peer that knows a newer configuration.
	pullAfter = 200 * time.Millisecond
	// pullInterval is the least time between two pulls.
	pullInterval = 400 * time.Millisecond
	// pullSpread bounds the random delay of a pull of list changes, for each
	// known peer, so that the first peers that know them are not asked by all.
	pullSpread    = 10 * time.Millisecond
	maxPullSpread = 250 * time.Millisecond
	// remoteAfter is how long list changes are awaited from a peer of the own
	// data centre before another one is asked.
	remoteAfter = 400 * time.Millisecond
	// steadyAfter is how long a peer must have read the instance list without
	// an outage for its reading to show that the store itself was available.
	steadyAfter  = 2500 * time.Millisecond
	peersMailbox = 256
)

// lag tells since when a peer has known more than this instance. Peers that know
// no more do not end it, only progress of this instance does.
type lag struct {
	own    int64
	since  time.Duration
	behind bool
	// read is set once the store was read because of it.
	read bool
}

// observe compares what a peer knows with what this instance knows. It reports
// whether the peer knows more, and how long any peer has known more.
func (l *lag) observe(now time.Duration, own, peer int64) (time.Duration, bool) {
	if own != l.own {
		*l = lag{own: own}
	}
	if peer <= own {
		return 0, false
	}
	if !l.behind {
		l.behind, l.since = true, now
	}
	return now - l.since, true
}

// peer is another instance.
type peer struct {
	address  netip.Addr
	node     string
	boot     string
	heardAt  time.Duration
	sentAt   time.Duration
	everSeen bool
}

type datagram struct {
	from netip.Addr
	data []byte
}

// peersTask owns the datagram socket: it reports to the other instances and
// passes their reports on.
type peersTask struct {
	process  *process
	conn     *net.UDPConn
	received task.Mailbox[datagram]
	found    task.Mailbox[[]netip.Addr]
	peers    map[netip.Addr]*peer
	self     netip.Addr
	boot     string
	// election tells whether this instance reads the store for its data centre.
	election *storereader.Election
	// config and list tell since when peers have known more than this instance.
	config, list lag
	// pullDelay is the random delay of the next pull of list changes.
	pullDelay time.Duration
	lastPull  time.Duration
	pulled    bool
	// pulling is set while a pull is under way.
	pulling atomic.Bool
	puller  *puller
}

func newPeersTask(p *process, boot string) *peersTask {
	t := &peersTask{
		process: p, boot: boot, peers: make(map[netip.Addr]*peer),
		received: task.NewMailbox[datagram](peersMailbox), found: task.NewMailbox[[]netip.Addr](4),
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

// run reports and receives until ctx ends.
func (t *peersTask) run(ctx context.Context) error {
	go t.receive(ctx)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			ticker.Reset(reportInterval * time.Duration(max(len(t.peers), frequentPeers)) / frequentPeers)
			t.electReader()
			t.report(ctx)
			t.expire(ctx)
		case addresses := <-t.found.Receive():
			for _, a := range addresses {
				t.add(a)
			}
		case d := <-t.received.Receive():
			t.handle(ctx, d)
		}
	}
}

// receive passes datagrams to the task; those that do not fit are dropped.
func (t *peersTask) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				t.process.log.WithError(err).Warn("receiving peer reports failed")
				sleep(ctx, reportInterval)
			}
			continue
		}
		t.received.TrySend(datagram{from: from.Addr().Unmap(), data: slices.Clone(buf[:n])})
	}
}

// electReader decides whether this instance reads the store for its data centre.
func (t *peersTask) electReader() {
	now := task.BootTime()
	if lostAt := time.Duration(t.process.list.lostAt.Load()); lostAt != 0 {
		t.election.StoreLost(lostAt)
	} else {
		t.election.StoreRead()
	}
	isReader := t.election.IsReader(now)
	if t.process.list.isReader.Swap(isReader) != isReader {
		t.process.log.WithFields(log.Fields{"reads": isReader, "store_lost": t.election.StoreUnavailable(now)}).Info("reader of the store changed")
	}
}

func (t *peersTask) report(ctx context.Context) {
	own, err := t.process.gateway.report(ctx)
	if err != nil {
		return
	}
	now := task.BootTime()
	t.process.duties.hear(peerNews{node: t.process.deployment.Node, own: true, demand: own.Demand, used: own.Used})
	shared := t.process.duties.shared()
	// The age is taken before the state: what is known then is at least as new.
	listAge := t.process.list.age()
	state := t.process.directory.known.Load()
	message := &cornelholdv1.InstanceReport{
		Node: t.process.deployment.Node, Boot: t.boot, Ip: t.process.deployment.IP,
		ConfigVersion: int64(state.Version), ListOffset: state.Offset, WallMs: time.Now().UnixMilli(),
		Windows: lo.Map(shared.windows, encodeWindow), LeaseOffset: shared.leaseOffset, Held: shared.held,
		Leaving: t.process.draining(), ListHealthyMs: t.process.list.healthy().Milliseconds(),
		ListAgeMs: listAge.Milliseconds(), DataCentre: string(t.process.deployment.DataCentre),
		StoreLost: t.election.StoreUnavailable(now),
	}
	encodeReport(own, message)
	for _, p := range t.peers {
		if now-p.heardAt < quietAfter && p.everSeen && len(message.Peers) < maxPeerAddresses {
			message.Peers = append(message.Peers, p.address.String())
		}
	}
	data, err := proto.Marshal(message)
	if err != nil || len(data) > maxDatagram {
		t.process.log.WithField("bytes", len(data)).WithError(err).Warn("peer report not sent")
		return
	}
	for _, p := range t.peers {
		quiet := !p.everSeen || now-p.heardAt > quietAfter
		if quiet && now-p.sentAt < quietInterval && p.sentAt != 0 {
			continue
		}
		p.sentAt = now
		to := netip.AddrPortFrom(p.address, uint16(t.process.deployment.FirstPeerPort))
		// A report that cannot be sent is followed by the next one.
		_, _ = t.conn.WriteToUDPAddrPort(data, to)
	}
}

func (t *peersTask) expire(ctx context.Context) {
	now := task.BootTime()
	for _, p := range t.peers {
		if p.everSeen && now-p.heardAt > peerLeftAfter {
			p.everSeen = false
			t.process.log.WithFields(log.Fields{"peer": p.node, "address": p.address.String()}).Warn("peer lost")
			t.process.gateway.Post(ctx, gateway.PeerLeft{Node: p.node})
		}
	}
}

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
	if !p.everSeen || p.boot != m.GetBoot() {
		t.process.log.WithFields(log.Fields{
			"peer": m.GetNode(), "boot": m.GetBoot(), "address": d.from.String(),
		}).Info("peer found")
	}
	p.node, p.boot, p.heardAt, p.everSeen = m.GetNode(), m.GetBoot(), now, true
	for _, text := range m.GetPeers() {
		if a, err := netip.ParseAddr(text); err == nil {
			t.add(a)
		}
	}
	report := decodeReport(&m)
	t.process.gateway.Post(ctx, report)
	t.process.duties.hear(peerNews{
		node: m.GetNode(), demand: report.Demand, used: report.Used, wall: time.Duration(m.GetWallMs()) * time.Millisecond,
		windows: lo.Map(m.GetWindows(), decodeWindow),
		lease:   duty.LeaseReported{Offset: m.GetLeaseOffset(), Held: m.GetHeld()},
	})
	t.election.Observe(now, storereader.Instance{
		Node: m.GetNode(), DataCentre: fleet.DataCentre(m.GetDataCentre()), Leaving: m.GetLeaving(), StoreLost: m.GetStoreLost(),
	})
	if !m.GetLeaving() {
		t.compare(ctx, now, d.from, &m)
	}
}

// compare asks a peer for what this instance lacks: its first snapshot, a
// configuration that the store has not delivered, or changes of the instance
// list that another instance has read.
func (t *peersTask) compare(ctx context.Context, now time.Duration, from netip.Addr, m *cornelholdv1.InstanceReport) {
	state := t.process.directory.known.Load()
	behind := t.configBehind(now, state.Version, catalog.Version(m.GetConfigVersion()))
	listed := t.listBehind(now, state.Offset, m)
	wanted := !t.pulled || listed || behind
	if !wanted || now-t.lastPull < pullInterval || !t.pulling.CompareAndSwap(false, true) {
		return
	}
	t.lastPull, t.pulled = now, true
	steady := time.Duration(m.GetListHealthyMs())*time.Millisecond >= steadyAfter
	go func() {
		defer t.pulling.Store(false)
		t.puller.pull(ctx, from, *state, steady)
	}()
}

// configBehind reports whether a peer has known a newer configuration for so
// long that it is asked. The store is read first.
func (t *peersTask) configBehind(now time.Duration, own, peer catalog.Version) bool {
	behindFor, behind := t.config.observe(now, int64(own), int64(peer))
	if !behind {
		return false
	}
	if !t.config.read && !t.process.list.isReader.Load() {
		t.config.read = true
		wake(t.process.wakeConfig)
	}
	return behindFor > pullAfter
}

// listBehind reports whether a peer is asked for changes of the list. An
// instance that reads the store itself asks only if it cannot.
func (t *peersTask) listBehind(now time.Duration, own int64, m *cornelholdv1.InstanceReport) bool {
	list := &t.process.list
	behindFor, behind := t.list.observe(now, own, m.GetListOffset())
	if !behind {
		if !list.isReader.Load() {
			list.heard(now-time.Duration(m.GetListAgeMs())*time.Millisecond, time.Duration(m.GetListHealthyMs())*time.Millisecond)
		}
		return false
	}
	if behindFor == 0 {
		t.pullDelay = time.Duration(rand.Float64() * float64(min(pullSpread*time.Duration(len(t.peers)), maxPullSpread)))
	}
	drain := t.process.deployment.Bounds.Drain
	if behindFor > shareOf(drain, listBehindShare) && !t.list.read {
		// Peers may be slow to answer, or stop.
		t.list.read = true
		wake(t.process.wakeList)
	}
	if m.GetDataCentre() != string(t.process.deployment.DataCentre) && behindFor < remoteAfter {
		return false
	}
	reading := list.isReader.Load() && !t.election.StoreUnavailable(now)
	return (!reading && behindFor >= t.pullDelay) || list.age() > shareOf(drain, listStaleShare)
}

// joinThroughStore registers this instance and learns the addresses of others.
func (t *peersTask) joinThroughStore(ctx context.Context) error {
	record := platform.Record{Key: t.process.deployment.Node, Value: []byte(t.process.deployment.IP)}
	for registered := false; ctx.Err() == nil; {
		if !registered {
			_, err := t.process.store.Append(ctx, platform.TopicMembers, record)
			registered = err == nil
		}
		batch, err := t.process.store.Newest(ctx, platform.TopicMembers)
		if err == nil && registered {
			return t.found.Send(ctx, parseAddresses(batch.Records))
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
