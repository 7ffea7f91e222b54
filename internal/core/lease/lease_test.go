package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/proptest"
)

// TestMain fixes the seed, so that every run has the same verdict.
func TestMain(m *testing.M) { proptest.Main(m, 20260101, 400) }

var testShard = Shard{Service: "dial-advisor", DataCentre: "kyushu-a"}

type orderInFlight struct {
	fence Fence
	sent  time.Duration
}

type node struct {
	machine *Machine
	skew    time.Duration
	read    int
	paused  bool
	timerAt time.Duration
	// permit is the copy held by the sender of orders.
	permit  Permit
	appends []Record
	leaving bool
}

// cluster simulates a log and several controllers whose clocks differ.
type cluster struct {
	t *rapid.T
	// rng is uniform, unlike the draws of rapid, which provides its seed.
	rng           *rand.Rand
	now           time.Duration
	log           []Entry
	logDown       bool
	checksFencing bool
	nodes         []*node
	orders        []orderInFlight
	// appliedFence is the fencing token of the last order that took effect.
	appliedFence Fence
	// takeovers counts orders that took effect after one of another holder.
	takeovers int
}

func newCluster(t *rapid.T) *cluster {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	c := &cluster{t: t, rng: rng, now: time.Hour, checksFencing: rapid.Bool().Draw(t, "checked")}
	for i := range 3 {
		name := fmt.Sprintf("n%d", i)
		c.nodes = append(c.nodes, c.startNode(name, time.Duration(i)*time.Minute))
	}
	return c
}

func (c *cluster) startNode(name string, skew time.Duration) *node {
	n := &node{skew: skew, machine: New(Options{Self: Holder{Instance: fleet.InstanceID(name), Incarnation: name}})}
	c.step(n, SetWanted{Shards: []Wanted{{Shard: testShard, ChecksFencing: c.checksFencing, Local: true}}})
	return n
}

func (c *cluster) step(n *node, msg Message) {
	n.timerAt = 0
	for _, action := range n.machine.Step(c.now+n.skew, msg) {
		switch action := action.(type) {
		case Append:
			n.appends = append(n.appends, action.Record)
		case Granted:
			n.permit = action.Permit
		case Lost:
			n.permit = Permit{}
		case SetTimer:
			n.timerAt = action.At
		}
	}
}

// chance returns true with the given probability in percent.
func (c *cluster) chance(percent int) bool {
	return c.rng.IntN(100) < percent
}

// toggle turns a fault on or off with the given probabilities in percent.
func (c *cluster) toggle(state bool, on, off int) bool {
	if state {
		return !c.chance(off)
	}
	return c.chance(on)
}

// runRound advances the time and lets every node append, read and issue orders
// with some probability.
func (c *cluster) runRound() {
	c.advance()
	c.logDown = c.toggle(c.logDown, 2, 15)
	for _, n := range c.nodes {
		if c.chance(70) {
			c.deliverAppend(n)
		}
		n.paused = c.toggle(n.paused, 5, 10)
		if n.paused {
			continue
		}
		c.leaveAtRandom(n)
		if !c.logDown && c.chance(70) {
			c.readLog(n)
		}
		if c.chance(70) && n.permit.Allows(c.now+n.skew) {
			c.orders = append(c.orders, orderInFlight{fence: n.permit.Fence, sent: c.now})
		}
		c.check()
	}
	if len(c.orders) > 0 && c.chance(15) {
		c.deliverOrder()
	}
}

// leaveAtRandom stops a node gracefully and starts its successor process once
// the release has been sent.
func (c *cluster) leaveAtRandom(n *node) {
	switch {
	case !n.leaving && c.chance(2):
		n.leaving = true
		c.step(n, Leave{})
	case n.leaving && len(n.appends) == 0:
		*n = *c.startNode(fmt.Sprintf("%s+", n.machine.options.Self.Instance), n.skew)
	}
}

// deliverAppend appends the oldest pending record to the log, however late. The
// response is always lost; the node finds the record in the stream.
func (c *cluster) deliverAppend(n *node) {
	if len(n.appends) == 0 {
		return
	}
	r := n.appends[0]
	n.appends = n.appends[1:]
	switch {
	case !c.logDown:
		c.log = append(c.log, Entry{Offset: uint64(len(c.log)), Time: c.now, Record: r})
	case !n.paused:
		c.step(n, AppendFailed{ID: r.ID})
	}
}

func (c *cluster) readLog(n *node) {
	entries := c.log[n.read:]
	n.read = len(c.log)
	c.step(n, EntriesRead{Entries: entries, CaughtUp: true})
}

// deliverOrder delivers a random order in flight.
func (c *cluster) deliverOrder() {
	i := c.rng.IntN(len(c.orders))
	o := c.orders[i]
	c.orders = append(c.orders[:i:i], c.orders[i+1:]...)
	c.apply(o)
}

func (c *cluster) apply(o orderInFlight) {
	if c.holderOf(o.fence) == c.holderOf(c.appliedFence) || o.fence >= c.appliedFence {
		if c.holderOf(o.fence) != c.holderOf(c.appliedFence) && c.appliedFence > 0 {
			c.takeovers++
		}
		c.appliedFence = max(c.appliedFence, o.fence)
		return
	}
	if !c.checksFencing {
		c.t.Fatalf("order with fencing token %d took effect after token %d of a later holder", o.fence, c.appliedFence)
	}
}

func (c *cluster) holderOf(f Fence) Holder {
	if int(f) >= len(c.log) {
		return Holder{}
	}
	return c.log[f].Record.Holder
}

// advance moves the time on, delivers orders that have been in flight for
// MaxOrderDelay and fires timers.
func (c *cluster) advance() {
	c.now += time.Duration(1+c.rng.IntN(2500)) * time.Millisecond
	var remaining []orderInFlight
	for _, o := range c.orders {
		if c.now-o.sent >= MaxOrderDelay {
			c.apply(o)
			continue
		}
		remaining = append(remaining, o)
	}
	c.orders = remaining
	for _, n := range c.nodes {
		if !n.paused && n.timerAt > 0 && c.now+n.skew >= n.timerAt {
			c.step(n, Tick{})
		}
	}
}

// endFaults ends all faults and expects that a controller holds the shard within
// two lease durations plus the longest order and acquisition delays.
func (c *cluster) endFaults() {
	c.logDown = false
	end := c.now + 2*Duration + MaxOrderDelay + acquireSpread
	held := false
	for c.now < end {
		c.advance()
		held = false
		for _, n := range c.nodes {
			n.paused = false
			c.deliverAppend(n)
			c.readLog(n)
			held = held || n.permit.Allows(c.now+n.skew)
		}
		c.check()
	}
	if !held {
		c.t.Fatal("no controller holds the shard after the faults ended")
	}
}

func (c *cluster) check() {
	allowed := 0
	for _, n := range c.nodes {
		if n.permit.Allows(c.now + n.skew) {
			allowed++
		}
	}
	if allowed > 1 {
		c.t.Fatalf("%d controllers may issue orders at the same time", allowed)
	}
}

// TestAtMostOneHolderIssuesOrders guards against two controllers that issue
// orders in one shard at once, and against an old order that replaces a newer one
// on endpoints that ignore fencing, under pauses, lost responses, outages and
// delays.
func TestAtMostOneHolderIssuesOrders(t *testing.T) {
	takeovers := 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range 120 {
			c.runRound()
		}
		c.endFaults()
		takeovers += c.takeovers
	})
	t.Logf("%d orders took effect after one of another holder", takeovers)
	if takeovers == 0 {
		t.Fatal("no controller ever took over from another, so the test checked nothing")
	}
}

// TestPartialFoldAgrees guards against a reader that starts in the middle of the
// stream and disagrees with the others about the holder of a shard.
func TestPartialFoldAgrees(t *testing.T) {
	agreed := 0
	rapid.Check(t, func(t *rapid.T) {
		holders := []Holder{{Instance: "a"}, {Instance: "b"}, {Instance: "c"}}
		complete, partial := NewFold(), NewFold()
		start := uint64(rapid.IntRange(1, 20).Draw(t, "start"))
		var now time.Duration
		for offset := range uint64(60) {
			now += time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond
			e := Entry{Offset: offset, Time: now, Record: randomRecord(t, complete, holders, now)}
			complete.Apply(e)
			if offset >= start {
				partial.Apply(e)
			}
			a, _ := complete.Lookup(testShard)
			if b, found := partial.Lookup(testShard); found && a != b {
				t.Fatalf("offset %d: complete fold has lease %+v, partial fold has %+v", offset, a, b)
			} else if found {
				agreed++
			}
		}
	})
	if agreed == 0 {
		t.Fatal("the partial fold never determined a holder, so the test checked nothing")
	}
}

// randomRecord returns a renewal by the holder or an acquisition by any
// controller, which may compete with others or not have read the newest records.
func randomRecord(t *rapid.T, f *Fold, holders []Holder, now time.Duration) Record {
	l, found := f.Lookup(testShard)
	if found && l.live(now) && rapid.Bool().Draw(t, "renew") {
		return Record{Holder: l.Holder, Kind: KindHold, Renewed: []Shard{testShard}, RenewedFrom: l.Granted}
	}
	h := rapid.SampledFrom(holders).Draw(t, "writer")
	return Record{Holder: h, Kind: KindHold, Shards: []Shard{testShard}}
}

// TestReleaseFreesShardAtOnce guards against a graceful stop that leaves a shard
// without a controller until the lease expires, and against a release by a node
// that is not the holder.
func TestReleaseFreesShardAtOnce(t *testing.T) {
	f := NewFold()
	a, b := Holder{Instance: "a"}, Holder{Instance: "b"}
	shards := []Shard{testShard}
	f.Apply(Entry{Offset: 0, Record: Record{Holder: a, Kind: KindHold, Shards: shards}})
	f.Apply(Entry{Offset: 1, Time: 1, Record: Record{Holder: b, Kind: KindRelease, Shards: shards}})
	if got := f.Apply(Entry{Offset: 2, Time: 2, Record: Record{Holder: b, Kind: KindHold, Shards: shards}}); got != nil {
		t.Fatal("a release of another holder freed the shard")
	}
	f.Apply(Entry{Offset: 3, Time: 3, Record: Record{Holder: a, Kind: KindRelease, Shards: shards}})
	got := f.Apply(Entry{Offset: 4, Time: 4, Record: Record{Holder: b, Kind: KindHold, Shards: shards}})
	if len(got) != 1 || got[0].Lease.Fence != 4 {
		t.Fatalf("the released shard was not acquired: %+v", got)
	}
}

// BenchmarkFold applies one renewal of each of 810 nodes with 9 shards each.
func BenchmarkFold(b *testing.B) {
	const nodes, shards = 810, 9
	records := make([]Record, nodes)
	for n := range records {
		r := Record{Holder: Holder{Instance: fleet.InstanceID(fmt.Sprint(n))}, Kind: KindHold}
		r.RenewedFrom = time.Hour
		for s := range shards {
			r.Renewed = append(r.Renewed, Shard{Service: fleet.ServiceName(fmt.Sprint(n, s)), DataCentre: "a"})
		}
		records[n] = r
	}
	f, offset := NewFold(), uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		for _, r := range records {
			f.Apply(Entry{Offset: offset, Time: time.Duration(offset) * time.Millisecond, Record: r})
			offset++
		}
	}
}
