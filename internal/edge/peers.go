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
	"github.com/cornelhold/cornelhold/internal/core/exchange"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
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
	// storeReturned receives that the store came back from an older copy, rejoin how many instances
	// then register again.
	storeReturned task.Mailbox[platform.EpochObserved]
	rejoin        task.Mailbox[instancesKnown]
	exchange      *exchange.Exchange
	peers         map[netip.Addr]*peer
	startedAt     time.Duration
	isCarrier     bool
	// election decides whether this instance reads the store for its data centre.
	election *storereader.Election
	// instances is the number of the other instances, carriers that of the carriers of all
	// data centres, as last known.
	instances, carriers int
	// own is what this instance reported last, known the number of known instances that the turns task
	// was told.
	own   gateway.Report
	known int
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
		storeReturned: task.NewMailbox[platform.EpochObserved](1), rejoin: task.NewMailbox[instancesKnown](1),
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
		case <-t.storeReturned.Receive():
			t.rejoin.TrySend(instancesKnown(t.instances + 1)) // one that waits covers this one
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
	t.own = own
	t.shareKnownAddresses()
	now := task.BootTime()
	summary := t.process.duties.currentSummary()
	actions := t.exchange.Step(now, exchange.Tick{Own: own.Tally, Leaving: t.process.draining(), Holder: summary.held})
	update := tickUpdate{own: own.Tally, quotaUse: own.QuotaUse, candidate: t.exchange.IsCarrier() && now-t.startedAt >= dutiesAfter}
	t.process.duties.post(update)
	t.process.rollouts.post(update)
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

// othersKnown distributes the sums over the other instances.
func (t *peersTask) othersKnown(ctx context.Context, o exchange.Others) {
	if o.Reached.Instances != t.instances {
		t.process.crashes.submitInstances(o.Reached.Instances + 1)
	}
	t.process.list.instances.Store(int64(o.Reached.Instances + 1))
	t.instances, t.carriers = o.Reached.Instances, len(o.CarrierNodes)
	t.process.gateway.Post(ctx, gateway.OthersReported{
		Reached: o.Reached, Lost: o.Lost, Relays: o.Carrier, RelayNodes: o.CarrierNodes,
	})
	t.process.duties.post(othersUpdate{reached: o.Reached, lost: o.Lost})
	t.process.rollouts.post(othersUpdate{reached: o.Reached, lost: o.Lost})
	t.process.turns.post(newTurnsSums(o, t.own))
}

// shareKnownAddresses tells the turns task which instances are known, if there are more than before.
func (t *peersTask) shareKnownAddresses() {
	list, n := t.exchange.KnownInstances()
	if n == t.known {
		return
	}
	known := make(map[netip.Addr]bool, n)
	for a := range list {
		if address, err := netip.ParseAddr(string(a)); err == nil {
			known[address] = true
		}
	}
	if t.process.turns.post(knownInstances{addresses: known}) {
		t.known = n
	}
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
	if plans := decodePlans(m.GetRollouts(), t.process.clock.At(reported.sentAt)); len(plans) > 0 {
		t.process.gateway.Post(ctx, gateway.RolloutsReported{Plans: plans})
	}
	t.process.store.LearnEpoch(storelog.Epoch(m.GetStoreEpoch()))
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
		lease:   &duty.LeaseReported{Position: storelog.Position(m.GetLeasePosition()), Held: m.GetHeld()},
	}
	return u
}
