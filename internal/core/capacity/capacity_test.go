package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/lease"
	"github.com/cornelhold/cornelhold/internal/proptest"
)

// TestMain fixes the seed, so that every run has the same verdict.
func TestMain(m *testing.M) { proptest.Main(m, 20260103, 150) }

const startsPerTick = 3

func testSpec(replicas int) *config.Spec {
	price := func(r, o float64) config.Price { return config.Price{Reclaimable: r, OnDemand: o} }
	prices := map[fleet.InstanceClass]config.Price{"big": price(3, 9), "small": price(2, 6)}
	spec := &config.Spec{
		Services: map[fleet.ServiceName]*config.Service{"s": {
			Name: "s", Kind: config.ServiceModel, FirstToken: time.Second,
			Replicas: []config.Replicas{
				{DataCentre: "a", Class: "big", Reclaimable: replicas, OnDemand: 1},
				{DataCentre: "b", Class: "small", Reclaimable: replicas},
			},
		}},
		DataCentres: map[fleet.DataCentre]*config.DataCentre{
			"a": {Name: "a", Region: "r", Prices: prices},
			"b": {Name: "b", Region: "r", Prices: prices},
			"c": {Name: "c", Region: "elsewhere", Prices: prices},
		},
	}
	return spec
}

type event struct {
	at  time.Duration
	run func()
}

type holding struct {
	holder      int
	until, from time.Duration
	moving      bool
}

// world is a cloud and two controllers that take shards over from each other.
type world struct {
	t         *rapid.T
	rng       *rand.Rand
	now       time.Duration
	faults    bool
	spec      *config.Spec
	changedAt time.Duration
	cloud     map[Token]*Instance
	list      []*Instance
	next      int
	refusing  map[fleet.DataCentre]bool
	// hiding makes the list lack a whole data centre.
	hiding   bool
	machines [2]*Machine
	shards   map[lease.Shard]*holding
	events   []event
	started  int
	refused  int
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2)), now: time.Hour, faults: true,
		spec: testSpec(3), cloud: make(map[Token]*Instance), refusing: make(map[fleet.DataCentre]bool),
		shards: make(map[lease.Shard]*holding),
	}
	for i := range w.machines {
		w.machines[i] = New(Options{Seed: uint64(i), MaxStarts: 4, StartsPerTick: startsPerTick})
		w.machines[i].Step(w.now, Configure{Spec: w.spec})
	}
	for _, dc := range []fleet.DataCentre{"a", "b"} {
		w.shards[lease.Shard{Service: "s", DataCentre: dc}] = &holding{holder: w.rng.IntN(2), from: w.now}
	}
	return w
}

func (w *world) chance(percent int) bool { return w.faults && w.rng.IntN(100) < percent }

func (w *world) after(limit time.Duration, run func()) {
	e := event{at: w.now + time.Duration(w.rng.Int64N(int64(limit))), run: run}
	i, _ := slices.BinarySearchFunc(w.events, e.at+1, func(e event, at time.Duration) int { return int(e.at - at) })
	w.events = slices.Insert(w.events, i, e)
}

func (w *world) round() {
	end := w.now + time.Duration(200+w.rng.IntN(800))*time.Millisecond
	if !w.faults {
		end += time.Second
	}
	for len(w.events) > 0 {
		if w.events[0].at > end {
			break
		}
		e := w.events[0]
		w.events = w.events[1:]
		w.now = e.at
		e.run()
	}
	w.now = end
	w.injectFaults()
	w.moveLeases()
	w.deliverList()
	for i := range w.machines {
		if !w.chance(10) {
			w.act(i)
		}
	}
}

func (w *world) injectFaults() {
	for _, dc := range []fleet.DataCentre{"a", "b"} {
		w.refusing[dc] = w.faults && (w.refusing[dc] && !w.chance(5) || w.chance(2))
	}
	w.hiding = w.faults && (w.hiding && !w.chance(1) || w.chance(1))
	if w.chance(1) {
		dc := fleet.DataCentre("a")
		for _, i := range w.list { // a wave takes the whole data centre
			if i.Placement.DataCentre == dc && i.State == StateLive {
				w.leave(i)
			}
		}
		w.refusing[dc] = true
	}
	if w.chance(2) {
		w.spec, w.changedAt = testSpec(w.rng.IntN(5)), w.now
		for i := range w.machines {
			spec := w.spec
			w.after(4*time.Second, func() {
				if spec == w.spec {
					w.machines[i].Step(w.now, Configure{Spec: spec})
				}
			})
		}
	}
	for _, i := range w.list {
		if i.State == StateLive && w.chance(1) && w.chance(30) {
			w.leave(i)
		}
	}
}

func (w *world) leave(i *Instance) {
	i.State = StateLeaving
	w.after(20*time.Second, func() { i.State = StateStopped })
}

func (w *world) moveLeases() {
	for _, dc := range []fleet.DataCentre{"a", "b"} {
		shard := lease.Shard{Service: "s", DataCentre: dc}
		h := w.shards[shard]
		if h.moving && w.now >= h.until+lease.SafetyMargin {
			h.moving, h.holder, h.from = false, 1-h.holder, w.now
		}
		h.moving = h.moving || w.chance(4)
		if h.moving {
			continue
		}
		h.until = w.now + lease.Duration - lease.SafetyMargin
		p := lease.Permit{Shard: shard, From: h.from, Until: h.until}
		w.machines[h.holder].Step(w.now, Permitted{Permit: p})
	}
}

// deliverList hands out the list, which lags by up to 3 s.
func (w *world) deliverList() {
	var list []Instance
	for _, i := range w.list {
		hidden := w.hiding && i.Placement.DataCentre == "b" || i.State == StateStopped && i.Token.Generation%2 == 0
		if !hidden {
			list = append(list, *i)
		}
	}
	for _, m := range w.machines {
		if w.rng.IntN(3) > 0 {
			continue
		}
		w.after(3*time.Second, func() { m.Step(w.now, Instances{List: list}) })
	}
}

func (w *world) act(i int) {
	m := w.machines[i]
	ready := make(map[fleet.InstanceID]bool)
	for _, i := range w.list {
		ready[i.ID] = i.State == StateLive
	}
	starts := 0
	for _, action := range m.Step(w.now, Tick{Ready: ready}) {
		switch action := action.(type) {
		case Start:
			starts++
			w.start(m, action)
		case Stop:
			w.stop(m, action)
		}
	}
	if starts > startsPerTick {
		w.t.Fatalf("%d starts in one step", starts)
	}
}

func (w *world) start(m *Machine, s Start) {
	w.after(500*time.Millisecond, func() {
		if !s.Permit.Allows(w.now) {
			m.Step(w.now, StartUnknown{Token: s.Token})
			return
		}
		if w.chance(25) { // the answer is lost, and the call may arrive much later
			w.after(30*time.Second, func() { w.launch(s) })
			w.after(2*time.Second, func() { m.Step(w.now, StartUnknown{Token: s.Token}) })
			return
		}
		instance := w.launch(s)
		w.after(time.Second, func() {
			if instance == nil {
				m.Step(w.now, StartRefused{Token: s.Token, Placement: s.Placement})
				return
			}
			m.Step(w.now, Started{Token: s.Token, Placement: instance.Placement, State: instance.State})
		})
	})
}

// launch is the cloud API: at most one instance for a token.
func (w *world) launch(s Start) *Instance {
	if i := w.cloud[s.Token]; i != nil {
		return i
	}
	if w.refusing[s.Placement.DataCentre] && s.Placement.Market == Reclaimable {
		w.refused++
		return nil
	}
	w.next++
	w.started++
	i := &Instance{ID: fleet.InstanceID(fmt.Sprint(w.next)), Token: s.Token, Placement: s.Placement, State: StateLive}
	w.cloud[s.Token] = i
	w.list = append(w.list, i)
	w.checkSlots()
	return i
}

func (w *world) checkSlots() {
	live := make(map[Slot]int)
	for _, i := range w.list {
		if i.State == StateLive {
			live[i.Token.Slot]++
		}
		if live[i.Token.Slot] > 1 {
			w.t.Fatalf("slot %+v has two live instances", i.Token.Slot)
		}
	}
}

func (w *world) stop(m *Machine, s Stop) {
	w.after(time.Second, func() {
		for _, i := range w.list {
			if i.ID != s.Instance || i.State != StateLive {
				continue
			}
			if w.wanted(i.Token.Slot) && w.now-w.changedAt > 10*time.Second {
				w.t.Fatalf("the controller stopped the instance of slot %+v, which the ticket wants", i.Token.Slot)
			}
			w.leave(i)
		}
		m.Step(w.now, StopDone{Instance: s.Instance})
	})
}

func (w *world) wanted(slot Slot) bool { return slices.Contains(Slots(w.spec.Services["s"]), slot) }

// TestEverySlotHasOneInstance guards against a second instance for a slot,
// against slots that stay empty after refusals, against instances that nobody
// stops and against a storm of starts, under lost responses, late starts,
// takeovers, waves of reclaims and refusals, a list that lags and tickets.
func TestEverySlotHasOneInstance(t *testing.T) {
	started, refused := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range 400 {
			w.round()
		}
		w.faults = false
		for range 400 { // beyond the longest back-off and the scale-down delay
			w.round()
		}
		live := 0
		for _, i := range w.list {
			if i.State == StateLive {
				live++
				if !w.wanted(i.Token.Slot) {
					t.Fatalf("surplus instance in slot %+v was not stopped", i.Token.Slot)
				}
			}
		}
		if want := len(Slots(w.spec.Services["s"])); live != want {
			t.Fatalf("%d instances run, the ticket wants %d", live, want)
		}
		started += w.started
		refused += w.refused
	})
	t.Logf("%d instances started, %d starts refused", started, refused)
	if started == 0 || refused == 0 {
		t.Fatal("nothing was started or refused; the test proves nothing")
	}
}

// TestPlacementOrder guards against a fallback that ignores price or region.
func TestPlacementOrder(t *testing.T) {
	spec := testSpec(1)
	spec.Services["s"].Replicas[1].Class = "big"
	slot := Slot{Shard: lease.Shard{Service: "s", DataCentre: "a"}, Class: "big", Market: Reclaimable}
	want := []Placement{{"a", "big", Reclaimable}, {"b", "big", Reclaimable}, {"a", "big", OnDemand}, {"b", "big", OnDemand}}
	if got := placements(spec, slot); !slices.Equal(got, want) {
		t.Fatalf("placements %v, want %v", got, want)
	}
	spec.Services["s"].FirstToken = 0
	spec.Services["s"].Class = fleet.ClassBatch
	if got := placements(spec, slot); !slices.Equal(got, want[:2]) {
		t.Fatalf("a service without a latency target takes on-demand instances: %v", got)
	}
}

// BenchmarkPlan runs one step with 12,000 filled slots in 20 services.
func BenchmarkPlan(b *testing.B) {
	const services, perService = 20, 600
	m := New(Options{MaxStarts: 16, StartsPerTick: 4})
	spec := &config.Spec{Services: map[fleet.ServiceName]*config.Service{}}
	var list []Instance
	for n := range services {
		name := fleet.ServiceName(fmt.Sprint("s", n))
		spec.Services[name] = &config.Service{Name: name, Replicas: []config.Replicas{{DataCentre: "a", Class: "big", Reclaimable: perService}}}
		for i, slot := range Slots(spec.Services[name]) {
			list = append(list, Instance{ID: fleet.InstanceID(fmt.Sprint(n, i)), Token: Token{Slot: slot, Generation: 1}, State: StateLive})
		}
		m.Step(0, Permitted{Permit: lease.Permit{Shard: lease.Shard{Service: name, DataCentre: "a"}, Until: time.Hour}})
	}
	m.Step(0, Configure{Spec: spec})
	m.Step(0, Instances{List: list})
	b.ReportAllocs()
	for b.Loop() {
		m.Step(time.Second, Tick{})
	}
}
