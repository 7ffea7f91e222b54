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

type flight struct {
	fence Fence
	sent  time.Duration
}

type node struct {
	machine *Machine
	skew    time.Duration
	read    int
	paused  bool
	wake    time.Duration
	// permit is the copy that the sender of orders holds.
	permit  Permit
	appends []Record
	leaving bool
}

// world is a log and several controllers whose clocks differ.
type world struct {
	t *rapid.T
	// rng draws with uniform frequencies; its seed comes from rapid.
	rng     *rand.Rand
	now     time.Duration
	log     []Entry
	down    bool
	checked bool
	nodes   []*node
	orders  []flight
	// applied is the fencing number of the last order in effect.
	applied Fence
	// replaced counts orders that took effect after one of another holder.
	replaced int
}

func newWorld(t *rapid.T) *world {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
	w := &world{t: t, rng: rng, now: time.Hour, checked: rapid.Bool().Draw(t, "checked")}
	for i := range 3 {
		name := fmt.Sprintf("n%d", i)
		w.nodes = append(w.nodes, w.boot(name, time.Duration(i)*time.Minute))
	}
	return w
}

func (w *world) boot(name string, skew time.Duration) *node {
	n := &node{skew: skew, machine: New(Options{Self: Holder{Instance: fleet.InstanceID(name), Incarnation: name}})}
	w.step(n, Want{Shards: []Wanted{{Shard: testShard, ChecksFencing: w.checked, Local: true}}})
	return n
}

func (w *world) step(n *node, msg Message) {
	n.wake = 0
	for _, action := range n.machine.Step(w.now+n.skew, msg) {
		switch action := action.(type) {
		case Append:
			n.appends = append(n.appends, action.Record)
		case Granted:
			n.permit = action.Permit
		case Lost:
			n.permit = Permit{}
		case WakeAt:
			n.wake = action.At
		}
	}
}

// chance is true in percent of the draws.
func (w *world) chance(percent int) bool {
	return w.rng.IntN(100) < percent
}

// toggle switches a fault on and off with the given chances in percent.
func (w *world) toggle(state bool, on, off int) bool {
	if state {
		return !w.chance(off)
	}
	return w.chance(on)
}

// round lets time pass and gives every node a chance to act.
func (w *world) round() {
	w.advance()
	w.down = w.toggle(w.down, 2, 15)
	for _, n := range w.nodes {
		if w.chance(70) {
			w.deliverAppend(n)
		}
		n.paused = w.toggle(n.paused, 5, 10)
		if n.paused {
			continue
		}
		w.maybeLeave(n)
		if !w.down && w.chance(70) {
			w.readLog(n)
		}
		if w.chance(70) && n.permit.Allows(w.now+n.skew) {
			w.orders = append(w.orders, flight{fence: n.permit.Fence, sent: w.now})
		}
		w.check()
	}
	if len(w.orders) > 0 && w.chance(15) {
		w.deliverOrder()
	}
}

// maybeLeave stops a node gracefully and starts its successor process once the
// release has left the node.
func (w *world) maybeLeave(n *node) {
	switch {
	case !n.leaving && w.chance(2):
		n.leaving = true
		w.step(n, Leave{})
	case n.leaving && len(n.appends) == 0:
		*n = *w.boot(fmt.Sprintf("%s+", n.machine.options.Self.Instance), n.skew)
	}
}

// deliverAppend lets an append reach the log now, however late it is. Its
// response is always lost; the node finds the record in the stream.
func (w *world) deliverAppend(n *node) {
	if len(n.appends) == 0 {
		return
	}
	r := n.appends[0]
	n.appends = n.appends[1:]
	switch {
	case !w.down:
		w.log = append(w.log, Entry{Offset: uint64(len(w.log)), Time: w.now, Record: r})
	case !n.paused:
		w.step(n, AppendFailed{ID: r.ID})
	}
}

func (w *world) readLog(n *node) {
	entries := w.log[n.read:]
	n.read = len(w.log)
	w.step(n, Observe{Entries: entries, CaughtUp: true})
}

// deliverOrder delivers any order in flight, in any sequence.
func (w *world) deliverOrder() {
	i := w.rng.IntN(len(w.orders))
	o := w.orders[i]
	w.orders = append(w.orders[:i:i], w.orders[i+1:]...)
	w.apply(o)
}

func (w *world) apply(o flight) {
	if w.holderOf(o.fence) == w.holderOf(w.applied) || o.fence >= w.applied {
		if w.holderOf(o.fence) != w.holderOf(w.applied) && w.applied > 0 {
			w.replaced++
		}
		w.applied = max(w.applied, o.fence)
		return
	}
	if !w.checked {
		w.t.Fatalf("order with number %d replaced the order %d of a later holder", o.fence, w.applied)
	}
}

func (w *world) holderOf(f Fence) Holder {
	if int(f) >= len(w.log) {
		return Holder{}
	}
	return w.log[f].Record.Holder
}

// advance moves time; orders that reach their longest delay are delivered.
func (w *world) advance() {
	w.now += time.Duration(1+w.rng.IntN(2500)) * time.Millisecond
	var open []flight
	for _, o := range w.orders {
		if w.now-o.sent >= MaxOrderDelay {
			w.apply(o)
			continue
		}
		open = append(open, o)
	}
	w.orders = open
	for _, n := range w.nodes {
		if !n.paused && n.wake > 0 && w.now+n.skew >= n.wake {
			w.step(n, Tick{})
		}
	}
}

// heal ends all faults and expects that a controller holds the shard within
// the time of two leases and the longest order delay.
func (w *world) heal() {
	w.down = false
	end := w.now + 2*Duration + MaxOrderDelay + acquireSpread
	held := false
	for w.now < end {
		w.advance()
		held = false
		for _, n := range w.nodes {
			n.paused = false
			w.deliverAppend(n)
			w.readLog(n)
			held = held || n.permit.Allows(w.now+n.skew)
		}
		w.check()
	}
	if !held {
		w.t.Fatal("no controller holds the shard after the faults ended")
	}
}

func (w *world) check() {
	allowed := 0
	for _, n := range w.nodes {
		if n.permit.Allows(w.now + n.skew) {
			allowed++
		}
	}
	if allowed > 1 {
		w.t.Fatalf("%d controllers may issue orders at the same time", allowed)
	}
}

// TestAtMostOneHolderIssuesOrders guards against two controllers that order in
// one shard, and against an old order that replaces a newer one on endpoints
// that ignore fencing, under pauses, lost responses, outages and delays.
func TestAtMostOneHolderIssuesOrders(t *testing.T) {
	replaced := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 120 {
			w.round()
		}
		w.heal()
		replaced += w.replaced
	})
	t.Logf("%d orders took effect after one of another holder", replaced)
	if replaced == 0 {
		t.Fatal("no controller ever replaced another; the test proves nothing")
	}
}

// TestFoldStartedLateAgrees guards against a reader that starts in the middle
// of the stream and disagrees with the others about the holder for ever.
func TestFoldStartedLateAgrees(t *testing.T) {
	agreed := 0
	rapid.Check(t, func(t *rapid.T) {
		holders := []Holder{{Instance: "a"}, {Instance: "b"}, {Instance: "c"}}
		whole, late := NewFold(), NewFold()
		start := uint64(rapid.IntRange(1, 20).Draw(t, "start"))
		var now time.Duration
		for offset := range uint64(60) {
			now += time.Duration(rapid.IntRange(0, 6000).Draw(t, "ms")) * time.Millisecond
			e := Entry{Offset: offset, Time: now, Record: write(t, whole, holders, now)}
			whole.Apply(e)
			if offset >= start {
				late.Apply(e)
			}
			a, _ := whole.Lookup(testShard)
			if b, known := late.Lookup(testShard); known && a != b {
				t.Fatalf("at offset %d: %+v and %+v", offset, a, b)
			} else if known {
				agreed++
			}
		}
	})
	if agreed == 0 {
		t.Fatal("the late fold never knew a holder; the test proves nothing")
	}
}

// write returns a renewal of the holder, or an acquisition by any controller:
// of a free shard, in a race, or by one that is far behind.
func write(t *rapid.T, f *Fold, holders []Holder, now time.Duration) Record {
	l, known := f.Lookup(testShard)
	if known && l.live(now) && rapid.Bool().Draw(t, "renew") {
		return Record{Holder: l.Holder, Kind: KindHold, Renewed: []Shard{testShard}, RenewedFrom: l.Granted}
	}
	h := rapid.SampledFrom(holders).Draw(t, "writer")
	return Record{Holder: h, Kind: KindHold, Shards: []Shard{testShard}}
}

// TestReleaseFreesShardAtOnce guards against a graceful stop that leaves the
// shard without a controller until the lease expires.
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

// BenchmarkFold applies one renewal round of 810 nodes with 9 shards each.
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
