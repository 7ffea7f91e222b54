package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
)

func inEpoch(epoch storelog.Epoch, offset int64) storelog.Position {
	p, _ := storelog.At(epoch, offset)
	return p
}

// lateOrder was given long before now, so that its time is over.
var lateOrder = Order{Service: "s", To: "v2", CompleteBy: 10 * time.Second, Position: inEpoch(0, 5)}

const now = time.Hour

// endpointsOf returns endpoints of a version that have renewed their entries, or not.
func endpointsOf(version fleet.SoftwareVersion, n int, renewed bool) []catalog.Endpoint {
	var list []catalog.Endpoint
	for range n {
		list = append(list, catalog.Endpoint{Service: "s", Version: version, Slots: 4, Renewed: renewed})
	}
	return list
}

func inputsOf(settled bool, endpoints ...[]catalog.Endpoint) Inputs {
	in := Inputs{
		Fence: 9, ListSettled: settled, Instances: 1, Sums: map[Key]Counts{}, Demand: map[fleet.ServiceName]float64{},
		Catalog: catalog.Build(catalog.Catalog{
			Version: 1, Services: map[fleet.ServiceName]catalog.Service{"s": {Name: "s"}},
			Routes: []catalog.Route{{Name: "r", Targets: []catalog.Target{{Service: "s", Weight: 1}}}},
		}),
	}
	for _, list := range endpoints {
		in.Endpoints = append(in.Endpoints, list...)
	}
	return in
}

// savedState returns the state of the record that is written within some time, Running if none is.
func savedState(l *Leader, in Inputs, length time.Duration) State {
	for at := now; at < now+length; at += 100 * time.Millisecond {
		for _, action := range l.Step(at, in) {
			if save, ok := action.(Save); ok && save.Record.State.IsFinal() {
				return save.Record.State
			}
		}
	}
	return Running
}

// TestDoneRolloutIsNotRevertedAfterRollback guards against a rollout that is reverted, with the only
// endpoints that are left, since the store came back from a copy from before its end while all
// instances were restarted (rule RECOVER, review case 15).
func TestDoneRolloutIsNotRevertedAfterRollback(t *testing.T) {
	running := Record{Order: lateOrder, StartedAt: now - time.Minute, Step: StepQuarter}
	newLeader := func(plans ...Plan) *Leader {
		l := NewLeader(Bounds{Share: 0.1, Slack: 50})
		l.Load(now, Stored{Epoch: 1, Records: []Record{running}, Plans: plans})
		return l
	}
	const patience = 20 * time.Second
	newOnes, ended := endpointsOf("v2", 3, true), endpointsOf("v1", 3, false)
	t.Run("ended endpoints are still listed", func(t *testing.T) {
		is, l := is.New(t), newLeader()
		is.Equal(savedState(l, inputsOf(false, newOnes, ended), patience), Running) // their silence shows nothing yet
		is.Equal(savedState(l, inputsOf(true, newOnes, ended), patience), Done)
	})
	t.Run("old endpoints go on", func(t *testing.T) {
		is, l := is.New(t), newLeader()
		is.Equal(savedState(l, inputsOf(true, newOnes, endpointsOf("v1", 3, true)), patience), Reverted)
	})
	t.Run("no endpoint goes on", func(t *testing.T) {
		is, l := is.New(t), newLeader()
		is.Equal(savedState(l, inputsOf(true, endpointsOf("v2", 3, false), endpointsOf("v1", 3, true)), patience), Reverted)
	})
	t.Run("a plan shows the end", func(t *testing.T) {
		is := is.New(t)
		for _, state := range []State{Done, Reverted} {
			l := newLeader(Plan{Service: "s", To: "v2", Order: lateOrder.Position, Fence: 7, Step: StepFull, State: state})
			is.Equal(savedState(l, inputsOf(false, newOnes, ended), patience), state)
		}
	})
}

// TestForgottenRecordIsWrittenAgain guards against a holder that goes back to the state that the
// copy shows, although it knows a later one, and against a rollout that the copy lacks.
func TestForgottenRecordIsWrittenAgain(t *testing.T) {
	is := is.New(t)
	done := Record{Order: lateOrder, StartedAt: now - time.Minute, Step: StepFull, State: Done}
	running := done
	running.Step, running.State = StepProbe, Running
	for _, copied := range [][]Record{nil, {running}} {
		l := NewLeader(Bounds{Share: 0.1, Slack: 50})
		l.Load(now, Stored{Records: []Record{done}})
		l.Unload()
		l.Load(now, Stored{Epoch: 1, Records: copied})
		in := inputsOf(false, endpointsOf("v2", 1, true))
		written := done
		written.Epoch = 1
		is.Equal(l.Step(now, in), []Action{Save{Record: written}})
		is.Equal(len(l.Saved(now)), 1)
		// The state that was published may be lost, too.
		is.Equal(l.Step(now+newsDelay, in), []Action{Publish{Order: lateOrder, State: Done}})
	}
}

// TestReplacedOrderIsNotCarriedOutAgain guards against an order that a later one replaced and that
// is taken for a new one, since the copy from which the store came back shows it as the newest.
func TestReplacedOrderIsNotCarriedOutAgain(t *testing.T) {
	is := is.New(t)
	order := func(to fleet.SoftwareVersion, epoch storelog.Epoch, offset int64) Order {
		return Order{Service: "s", To: to, CompleteBy: time.Minute, Position: inEpoch(epoch, offset)}
	}
	orders := NewOrders()
	is.True(orders.Read(order("v2", 0, 5)))
	is.True(orders.Read(order("v3", 0, 8)))
	is.True(orders.Read(order("v3", 0, 8)))  // read once more
	is.True(!orders.Read(order("v2", 1, 5))) // the copy
	is.True(orders.Read(order("v3", 1, 6)))  // written again at another offset
	is.True(orders.Read(order("v2", 1, 8)))  // a new order at a lost offset
	is.True(!orders.Read(order("v3", 2, 6)))
}

// TestOrderShownAgainKeepsItsRollout guards against a second rollout of an order that the operator
// wrote again, at another offset, after the store came back from an older copy.
func TestOrderShownAgainKeepsItsRollout(t *testing.T) {
	is := is.New(t)
	l := NewLeader(Bounds{Share: 0.1, Slack: 50})
	l.Load(now, Stored{Epoch: 1, Records: []Record{{Order: lateOrder, Epoch: 1, StartedAt: now - time.Minute, Step: StepFull, State: Done}}})
	again := lateOrder
	again.Position = inEpoch(1, 3)
	l.Read(now, again)
	for _, action := range l.Step(now, inputsOf(true, endpointsOf("v2", 1, true))) {
		_, isSave := action.(Save)
		is.True(!isSave)
	}
	plans := l.Plans(now)
	is.Equal(plans[0].Order, again.Position)
	is.Equal(plans[0].State, Done)
}

// TestSilentEndpointsHaveEndedAfterThreeIntervals guards against a rollout taken for done since its
// old endpoints have missed a heartbeat or two.
func TestSilentEndpointsHaveEndedAfterThreeIntervals(t *testing.T) {
	is := is.New(t)
	const interval = 1200 * time.Millisecond
	is.True(!ListSettled(-time.Second, interval)) // the list is older than the epoch
	is.True(!ListSettled(3*interval, interval))
	is.True(ListSettled(3*interval+time.Millisecond, interval))
}
