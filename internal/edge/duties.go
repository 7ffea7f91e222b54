package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/core/duty"
	"github.com/cornelhold/cornelhold/internal/core/enginemodel"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quota"
	"github.com/cornelhold/cornelhold/internal/core/scaling"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/internal/core/tally"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

const (
	dutyMailbox = 512
	// dutyTick is the time between two checks for due work.
	dutyTick = 100 * time.Millisecond
	// reportedWindows is the number of usage windows in a report to peers.
	reportedWindows = 3
	// maxOrders bounds the orders sent in one tick.
	maxOrders = 8
	leaseKey  = "duties"
	// demandOfSelf and demandOfOthers name the groups of instances whose demand is added.
	demandOfSelf   = "self"
	demandOfOthers = "others"
)

// clockReadings is the number of wall clocks in a feed.
const clockReadings = 8

// tickUpdate is what this instance states of itself at a tick of the exchange, and what all
// used of the quotas. candidate is set if it may acquire the lease.
type tickUpdate struct {
	own       tally.Tally
	quotaUse  quota.Record
	candidate bool
}

// othersUpdate carries the sums over the other instances: those that report, and those whose reports
// have stopped recently.
type othersUpdate struct{ reached, lost tally.Group }

// peerUpdate is the part of a peer's datagram that concerns the duties. lease is nil if the
// peer states nothing of it.
type peerUpdate struct {
	clocks  []duty.ClockReading
	windows []usageWindow
	lease   *duty.LeaseReported
}

// endpointsUpdate carries a new state of the directory.
type endpointsUpdate struct{ state directoryState }

// windowsRequest requests all usage counts.
type windowsRequest struct{ reply chan<- []usageWindow }

// dutiesSummary is the part of the state that is included in datagrams to peers: the own
// usage counts, those of the data centre, and some wall clocks.
type dutiesSummary struct {
	own, centre   []usageWindow
	clocks        []duty.ClockReading
	leasePosition storelog.Position
	held          bool
}

// dutiesTask owns the lease, the usage counts and the orders. Calls to the
// platform run in their own goroutines and post their results to the mailbox; lease,
// usage and quota calls run one at a time of each kind.
type dutiesTask struct {
	process  *process
	log      log.Interface
	origin   duty.Origin
	mailbox  task.Mailbox[any]
	store    *platform.Store
	cloud    *platform.Cloud
	lease    *duty.Lease
	reporter *duty.Reporter
	usage    *duty.Usage
	clock    *duty.ClockEstimate
	planner  *scaling.Planner
	demand   *scaling.Demand
	state    directoryState
	held     bool
	// fence is the fencing token of the current or the last term.
	fence int64
	// epochStart is when the current epoch of the store began, as far as known.
	epochStart duty.EpochStart
	// holderCalls is the number of calls under the lease that await their result.
	holderCalls int
	// quotaUse is what all instances used of the quotas as of quotaUseAt.
	quotaUse   quota.Record
	quotaUseAt time.Duration
	saving     bool
	savedAt    time.Duration
	engines    engineRecords
	summary    atomic.Pointer[dutiesSummary]
}

func newDutiesTask(p *process, boot string, seed uint64) *dutiesTask {
	t := &dutiesTask{
		process: p, log: p.log, origin: duty.Origin{DataCentre: p.deployment.DataCentre, Boot: p.deployment.Node + "/" + boot},
		mailbox: task.NewMailbox[any](dutyMailbox), store: p.store, cloud: platform.NewCloud(p.deployment.CloudAddr),
		lease: duty.NewLease(duty.LeaseOptions{
			Self: duty.Holder{Node: p.deployment.Node, Boot: boot}, Seed: seed,
			StartedAt: task.BootTime(), ReacquireInterval: p.deployment.Bounds.ReacquireInterval,
		}),
		reporter: duty.NewReporter(max(p.deployment.Bounds.UsageWindow, time.Second)),
		usage:    duty.NewUsage(), clock: duty.NewClockEstimate(), planner: scaling.NewPlanner(), demand: scaling.NewDemand(),
		engines: engineRecords{recorder: enginemodel.NewRecorder()},
	}
	t.summary.Store(&dutiesSummary{leasePosition: -1})
	t.lease.Step(task.BootTime(), duty.LeaseCandidacy{})
	return t
}

// post posts an update to the task. An update dropped because the mailbox is full is
// superseded by the next one.
func (t *dutiesTask) post(update any) { t.mailbox.TrySend(update) }

func (t *dutiesTask) currentSummary() dutiesSummary { return *t.summary.Load() }

// allWindows returns the usage counts of all data centres.
func (t *dutiesTask) allWindows(ctx context.Context) []usageWindow {
	reply := make(chan []usageWindow, 1)
	if !t.mailbox.TrySend(windowsRequest{reply: reply}) {
		return nil
	}
	select {
	case w := <-reply:
		return w
	case <-ctx.Done():
		return nil
	}
}

func (t *dutiesTask) run(ctx context.Context) error {
	ticker := time.NewTicker(dutyTick)
	defer ticker.Stop()
	// The clock estimate must exist before the first request is counted.
	t.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.tick(ctx)
		case s := <-t.process.started.Receive():
			now := task.BootTime()
			t.usage.Add(t.reporter.Window(t.clock.TrueTime(now)), t.origin, s.Team)
		case msg := <-t.mailbox.Receive():
			t.handle(ctx, msg)
		}
	}
}

func (t *dutiesTask) handle(ctx context.Context, msg any) {
	now := task.BootTime()
	switch msg := msg.(type) {
	case tickUpdate:
		t.quotaUse, t.quotaUseAt = msg.quotaUse, now
		t.engines.own = msg.own.Engines
		t.demand.Report(now, demandOfSelf, 1, msg.own)
		t.stepLease(ctx, now, duty.LeaseCandidacy{Allowed: msg.candidate})
	case othersUpdate:
		t.engines.others = msg.reached.Tally.Engines
		t.demand.Report(now, demandOfOthers, msg.reached.Instances, msg.reached.Tally)
	case peerUpdate:
		t.applyPeer(ctx, now, msg)
	case endpointsUpdate:
		t.state = msg.state
	case platform.EpochObserved:
		t.epochStart = duty.NewEpochStart(msg.Epoch, now)
		t.stepLease(ctx, now, duty.LeaseEpochBegan{Epoch: msg.Epoch})
	case rolloutsRunning:
		t.planner.Hold(msg.services)
	case windowsRequest:
		msg.reply <- t.totals(0, func(fleet.DataCentre) bool { return true })
	case callFinished:
		msg.apply(now)
	}
}

// applyPeer applies a peer's datagram.
func (t *dutiesTask) applyPeer(ctx context.Context, now time.Duration, u peerUpdate) {
	for _, w := range u.windows {
		switch {
		case w.isTotal():
			t.usage.MergeTotal(w.number, w.origin.DataCentre, w.counts)
		case w.origin != t.origin:
			t.usage.Merge(w.number, w.origin, w.counts)
		}
	}
	for _, c := range u.clocks {
		if c.Node != t.process.deployment.Node {
			t.clock.AddSample(now, c.Node, c.Wall)
		}
	}
	if u.lease != nil {
		t.stepLease(ctx, now, *u.lease)
	}
}

// totals returns the usage counts of the included data centres in the windows from and
// later.
func (t *dutiesTask) totals(from int64, include func(dc fleet.DataCentre) bool) []usageWindow {
	var list []usageWindow
	t.usage.EachTotal(from, func(number int64, dc fleet.DataCentre, counts duty.Counts) {
		if include(dc) {
			list = append(list, usageWindow{number: number, origin: duty.Origin{DataCentre: dc}, counts: counts})
		}
	})
	return list
}

func (t *dutiesTask) tick(ctx context.Context) {
	now := task.BootTime()
	t.clock.Update(now, time.Duration(time.Now().UnixNano()))
	if t.process.draining() {
		t.stepLease(ctx, now, duty.LeaseRelease{CallsPending: t.holderCalls > 0})
	} else {
		t.stepLease(ctx, now, duty.LeaseTick{})
	}
	fence, held := t.lease.Fence(now)
	t.updateHolder(held, fence)
	if held {
		t.performDuties(ctx, now, fence)
	}
	t.publish(now, held)
	t.process.rollouts.post(leadership{held: held, fence: fence, at: now, wall: time.Unix(0, int64(t.clock.TrueTime(now)))})
}

func (t *dutiesTask) publish(now time.Duration, held bool) {
	from := t.reporter.Window(t.clock.TrueTime(now)) - reportedWindows + 1
	summary := dutiesSummary{leasePosition: t.lease.NewestPosition(), held: held, clocks: t.clock.Readings(now, clockReadings)}
	t.usage.EachOf(t.origin, from, func(number int64, counts duty.Counts) {
		summary.own = append(summary.own, usageWindow{number: number, origin: t.origin, counts: counts})
	})
	summary.centre = t.totals(from, func(dc fleet.DataCentre) bool { return dc == t.origin.DataCentre })
	t.summary.Store(&summary)
}

// updateHolder logs when this instance acquires or loses the duties. A new holder
// discards state that the previous holder may have changed.
func (t *dutiesTask) updateHolder(held bool, fence int64) {
	if held == t.held && (!held || fence == t.fence) {
		return
	}
	t.held, t.fence = held, fence
	if held {
		t.logTakeover(fence)
		if t.lease.Takeover().Unopposed {
			t.reporter.Continue()
		} else {
			t.reporter.Begin(t.epochStart.Since(t.clock))
		}
		t.planner.Reset(storelog.Position(fence).Offset() > 1)
		t.engines.recorder = enginemodel.NewRecorder()
		return
	}
	t.log.WithField("fence", fence).Warn("duties lost")
}

// logTakeover logs what the acquisition of the lease rested on: the newest record before it,
// whose it was and how long this instance had known it.
func (t *dutiesTask) logTakeover(fence int64) {
	takeover := t.lease.Takeover()
	fields := log.Fields{
		"fence": fence, "epoch": t.lease.Epoch(), "unopposed": takeover.Unopposed, "record_age_ms": takeover.RecordAge.Milliseconds(),
	}
	if previous := takeover.Previous; previous != nil {
		fields["previous_holder"], fields["previous_position"] = previous.Holder.Node, previous.Position
		fields["released"] = previous.Released
	}
	t.log.WithFields(fields).Info("duties taken")
}

// performDuties starts the calls that are due for the holder.
func (t *dutiesTask) performDuties(ctx context.Context, now time.Duration, fence int64) {
	holder := platform.LeaseHolder{Node: t.process.deployment.Node, Fence: fence, CheckedAt: now}
	for _, a := range t.reporter.NextActions(now, t.clock.TrueTime(now), t.usage) {
		t.performReport(ctx, holder, a)
	}
	t.saveQuotaUse(ctx, now)
	t.saveEngines(ctx, now)
	if t.state.Catalog == nil {
		return
	}
	for range maxOrders {
		order, ok := t.planner.NextOrder(now, t.state.Catalog, t.state.Endpoints, t.demand)
		if !ok {
			return
		}
		t.sendOrder(ctx, holder, order)
	}
}

func (t *dutiesTask) stepLease(ctx context.Context, now time.Duration, msg duty.LeaseMessage) {
	for _, action := range t.lease.Step(now, msg) {
		t.performLease(ctx, action)
	}
}
