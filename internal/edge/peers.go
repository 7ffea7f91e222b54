package edge

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/duty"
	"github.com/cornelhold/cornelhold/internal/core/exchange"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/storereader"
	"github.com/cornelhold/cornelhold/internal/core/transit"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

const (
	// peerLostAfter is the time without a datagram after which a peer is forgotten.
	peerLostAfter = 30 * time.Second
	// maxDatagram bounds a datagram, in bytes.
	maxDatagram = 60 << 10
	// maxPeers bounds the instances from which datagrams are accepted.
	maxPeers = 2048
	// dutiesAfter is the time after the start in which an instance learns whether others
	// are carriers. It does not try to acquire the lease of the duties before.
	dutiesAfter  = 5 * exchange.Interval
	peersMailbox = 256
)

// peer is another instance from which datagrams arrive.
type peer struct {
	node       string
	boot       string
	receivedAt time.Duration
	// delay estimates how long the datagrams of the peer were on the way.
	delay transit.DelayEstimate
}

type datagram struct {
	from netip.Addr
	data []byte
}

// peersTask owns the datagram socket and the state machine that decides which news this
// instance exchanges with which other one.
type peersTask struct {
	process    *process
	conn       *net.UDPConn
	received   task.Mailbox[datagram]
	discovered task.Mailbox[[]exchange.Instance]
	exchange   *exchange.Exchange
	peers      map[netip.Addr]*peer
	startedAt  time.Duration
	isCarrier  bool
	// election decides whether this instance reads the store for its data centre.
	election *storereader.Election
	// instances is the number of the other instances, carriers that of the carriers of all
	// data centres, as last known.
	instances, carriers int
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
		process: p, peers: make(map[netip.Addr]*peer), startedAt: task.BootTime(),
		received: task.NewMailbox[datagram](peersMailbox), discovered: task.NewMailbox[[]exchange.Instance](4),
		puller: newPuller(p), election: storereader.NewElection(p.deployment.Node, p.deployment.DataCentre),
	}
	t.exchange = exchange.New(exchange.Options{
		Self: exchange.Instance{
			Address: exchange.Address(p.deployment.IP), Node: p.deployment.Node, DataCentre: p.deployment.DataCentre,
			Bandwidth: int64(p.deployment.LinkBytesPerSecond),
		},
		Boot: boot, QuotaWindow: p.deployment.Bounds.QuotaWindow, StartedAt: t.startedAt,
	})
	for _, seed := range p.deployment.Seeds {
		if a, err := netip.ParseAddrPort(seed); err == nil {
			t.learn(exchange.Instance{Address: exchange.Address(a.Addr().String())})
		}
	}
	return t
}

func (t *peersTask) learn(i exchange.Instance) {
	t.exchange.Step(task.BootTime(), exchange.Learned{Instance: i})
}

// run exchanges news with the peers until ctx ends.
func (t *peersTask) run(ctx context.Context) error {
	go t.receive(ctx)
	ticker := time.NewTicker(exchange.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.tick(ctx)
		case instances := <-t.discovered.Receive():
			for _, i := range instances {
				t.learn(i)
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
				sleep(ctx, exchange.Interval)
			}
			continue
		}
		t.received.TrySend(datagram{from: from.Addr().Unmap(), data: slices.Clone(buf[:n])})
	}
}

// tick sends what is due to the other instances.
func (t *peersTask) tick(ctx context.Context) {
	own, err := t.process.gateway.report(ctx)
	if err != nil {
		return
	}
	now := task.BootTime()
	summary := t.process.duties.currentSummary()
	actions := t.exchange.Step(now, exchange.Tick{Own: own.Tally, Leaving: t.process.draining(), Holder: summary.held})
	t.process.duties.post(tickUpdate{own: own.Tally, candidate: t.exchange.IsCarrier() && now-t.startedAt >= dutiesAfter})
	t.updateRole(now)
	t.expire(now)
	state := t.ownState(now, own.Crashes, summary)
	for _, a := range actions {
		switch a := a.(type) {
		case exchange.Send:
			t.send(a, state, summary)
		case exchange.SendFeed:
			t.sendFeed(a, state, summary)
		case exchange.Others:
			t.othersKnown(ctx, a)
		}
	}
}

// updateRole updates whether this instance is a carrier, and whether it reads the store for
// its data centre.
func (t *peersTask) updateRole(now time.Duration) {
	if isCarrier := t.exchange.IsCarrier(); isCarrier != t.isCarrier {
		t.isCarrier = isCarrier
		t.process.log.WithFields(log.Fields{"carrier": isCarrier, "peers": len(t.peers)}).Info("carrier changed")
	}
	if failedAt := time.Duration(t.process.list.failedAt.Load()); failedAt != 0 {
		t.election.StoreLost(failedAt)
	} else {
		t.election.StoreRead()
	}
	isReader := t.exchange.IsSettled(now) && t.election.IsReader(now)
	if t.process.list.isReader.Swap(isReader) != isReader {
		if isReader {
			// Both followers may wait for as long as an instance that is no reader does.
			triggerRead(t.process.configTrigger)
			triggerRead(t.process.listTrigger)
		}
		t.process.log.WithFields(log.Fields{"reads": isReader, "store_lost": t.election.StoreUnavailable(now)}).Info("reader of the store changed")
	}
}

// ownState returns the part of a datagram that describes this instance.
func (t *peersTask) ownState(now time.Duration, crashes gateway.CrashReport, summary dutiesSummary) *cornelholdv1.InstanceReport {
	// The age is read before the state, so that the state is at least as new as the
	// reported age.
	listAge, sentAt := t.process.list.age(), task.BootTime()
	state := t.process.directory.published.Load()
	m := &cornelholdv1.InstanceReport{
		ConfigVersion: int64(state.Version), ConfigBytes: int64(state.ConfigBytes), ListOffset: state.Offset, WallMs: time.Now().UnixMilli(),
		LeaseOffset: summary.leaseOffset, ListHealthyMs: t.process.list.healthyFor().Milliseconds(),
		ListAgeMs: listAge.Milliseconds(), StoreLost: t.election.StoreUnavailable(now), SentMs: sentAt.Milliseconds(),
	}
	encodeCrashes(crashes, t.process.clock.Now(), m)
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

// othersKnown distributes the sums over the other instances.
func (t *peersTask) othersKnown(ctx context.Context, o exchange.Others) {
	t.instances, t.carriers = o.Reached.Instances, len(o.CarrierNodes)
	t.process.gateway.Post(ctx, gateway.OthersReported{
		Reached: o.Reached, Lost: o.Lost, Relays: o.Carrier, RelayNodes: o.CarrierNodes,
	})
	t.process.duties.post(othersUpdate{reached: o.Reached, lost: o.Lost})
}

// expire forgets peers from which nothing has arrived for long.
func (t *peersTask) expire(now time.Duration) {
	for address, p := range t.peers {
		if now-p.receivedAt > peerLostAfter {
			delete(t.peers, address)
			t.process.log.WithFields(log.Fields{"peer": p.node, "address": address.String()}).Info("peer lost")
		}
	}
}

// handle decodes a datagram and distributes it. Malformed ones are counted and dropped.
func (t *peersTask) handle(ctx context.Context, d datagram) {
	var m cornelholdv1.InstanceReport
	if err := proto.Unmarshal(d.data, &m); err != nil || m.GetNode() == "" || m.GetBoot() == "" {
		t.process.metrics.malformed.WithLabelValues("peer").Inc()
		return
	}
	now := task.BootTime()
	p := t.peer(d.from, &m)
	if p == nil {
		return
	}
	p.receivedAt = now
	message := decodeExchange(d.from.String(), &m)
	for _, a := range t.exchange.Step(now, exchange.Received{Message: message}) {
		if others, ok := a.(exchange.Others); ok {
			t.othersKnown(ctx, others)
		}
	}
	reported := newReportedState(now, p, &m)
	if crashes := decodeCrashes(&m, t.process.clock.At(reported.sentAt)); !crashes.IsEmpty() {
		t.process.gateway.Post(ctx, gateway.CrashesReported{Report: crashes})
	}
	t.process.duties.post(newPeerUpdate(&m))
	if message.NamesSender() {
		t.election.Observe(now, storereader.Instance{
			Node: m.GetNode(), DataCentre: fleet.DataCentre(m.GetDataCentre()), Leaving: m.GetLeaving(), StoreLost: m.GetStoreLost(),
		})
	}
	if !m.GetLeaving() {
		t.pullIfBehind(ctx, now, d.from, reported)
	}
}

// peer returns the peer at an address, nil if there are too many. A new boot of the peer
// replaces it.
func (t *peersTask) peer(from netip.Addr, m *cornelholdv1.InstanceReport) *peer {
	p, ok := t.peers[from]
	if ok && p.boot == m.GetBoot() {
		return p
	}
	if !ok && len(t.peers) >= maxPeers {
		return nil
	}
	p = &peer{node: m.GetNode(), boot: m.GetBoot()}
	t.peers[from] = p
	t.process.log.WithFields(log.Fields{"peer": p.node, "boot": p.boot, "address": from.String()}).Info("peer found")
	return p
}

// newPeerUpdate returns the part of a datagram that concerns the duties.
func newPeerUpdate(m *cornelholdv1.InstanceReport) peerUpdate {
	u := peerUpdate{
		clocks:  append(decodeClocks(m.GetFeed().GetClocks()), duty.ClockReading{Node: m.GetNode(), Wall: milliseconds(m.GetWallMs())}),
		windows: append(lo.Map(m.GetWindows(), decodeWindow), lo.Map(m.GetDigest().GetWindows(), decodeWindow)...),
		lease:   &duty.LeaseReported{Offset: m.GetLeaseOffset(), Held: m.GetHeld()},
	}
	return u
}

// joinThroughStore registers this instance in the store and posts the others to the task.
func (t *peersTask) joinThroughStore(ctx context.Context) error {
	record := platform.Record{Key: t.process.deployment.Node, Value: formatInstance(t.process.deployment)}
	for registered := false; ctx.Err() == nil; {
		if !registered {
			_, err := t.process.store.Append(ctx, platform.TopicMembers, record)
			registered = err == nil
		}
		batch, err := t.process.store.Newest(ctx, platform.TopicMembers)
		if err == nil && registered {
			return t.discovered.Send(ctx, parseInstances(batch.Records))
		}
		sleep(ctx, time.Second)
	}
	return nil
}

// formatInstance returns the content of the record of an instance: its address, data centre
// and bandwidth.
func formatInstance(d platform.Deployment) []byte {
	return fmt.Appendf(nil, "%s %s %d", d.IP, d.DataCentre, int64(d.LinkBytesPerSecond))
}

// parseInstances decodes the records of instances. Those of older versions have an address
// only. Malformed ones are left out.
func parseInstances(records []platform.Record) []exchange.Instance {
	return lo.FilterMap(records, func(r platform.Record, _ int) (exchange.Instance, bool) {
		fields := append(strings.Fields(string(r.Value)), "", "", "")
		a, err := netip.ParseAddr(fields[0])
		bandwidth, _ := strconv.ParseInt(fields[2], 10, 64) // 0 if it is not stated
		return exchange.Instance{
			Address: exchange.Address(a.String()), Node: r.Key, DataCentre: fleet.DataCentre(fields[1]), Bandwidth: bandwidth,
		}, err == nil
	})
}
