package edge

import (
	"context"
	"errors"
	"maps"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/core/duty"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quota"
	"github.com/cornelhold/cornelhold/internal/core/scaling"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

const (
	dutyMailbox = 512
	// dutyTick is the time between two looks at what is due.
	dutyTick = 100 * time.Millisecond
	// sharedWindows is the number of usage windows in a report to peers.
	sharedWindows = 3
	// maxOrders bounds the orders sent in one tick.
	maxOrders = 8
	leaseKey  = "duties"
)

// peerNews is what a peer's report says about the duties.
type peerNews struct {
	node string
	// own is set for the news of this instance itself.
	own     bool
	demand  map[fleet.ServiceName]float64
	used    map[fleet.TeamName]quota.Usage
	wall    time.Duration
	windows []usageWindow
	lease   duty.LeaseReported
}

// endpointsNews is the state of the directory.
type endpointsNews struct{ state directoryState }

// windowsRequest asks for all usage counts.
type windowsRequest struct{ reply chan<- []usageWindow }

// finished carries the result of a call back to the task.
type finished struct{ apply func(now time.Duration) }

// sharedDuties is published for the report to peers.
type sharedDuties struct {
	windows     []usageWindow
	leaseOffset int64
	held        bool
}

// dutiesTask owns the lease, the usage counts and the orders. Calls to the
// platform run beside it, one of each kind at a time, and post their results.
type dutiesTask struct {
	process  *process
	log      log.Interface
	origin   string
	mailbox  task.Mailbox[any]
	store    *platform.Store
	cloud    *platform.Cloud
	lease    *duty.Lease
	reporter *duty.Reporter
	usage    *duty.Usage
	base     *duty.ClockEstimate
	planner  *scaling.Planner
	demand   *scaling.Demand
	state    directoryState
	held     bool
	// use is what the instances used of the allowances lately.
	use      map[string]instanceUse
	saving   bool
	savedAt  time.Duration
	snapshot atomic.Pointer[sharedDuties]
}

func newDutiesTask(p *process, boot string, seed uint64) *dutiesTask {
	t := &dutiesTask{
		process: p, log: p.log, origin: p.deployment.Node + "/" + boot,
		mailbox: task.NewMailbox[any](dutyMailbox), store: p.store, cloud: platform.NewCloud(p.deployment.CloudAddr),
		lease:    duty.NewLease(duty.Holder{Node: p.deployment.Node, Boot: boot}, seed),
		reporter: duty.NewReporter(max(p.deployment.Bounds.UsageWindow, time.Second)),
		usage:    duty.NewUsage(), base: duty.NewClockEstimate(), planner: scaling.NewPlanner(), demand: scaling.NewDemand(),
		use: make(map[string]instanceUse),
	}
	t.snapshot.Store(&sharedDuties{leaseOffset: -1})
	return t
}

// hear passes news of a peer on. News that do not fit are followed by others.
func (t *dutiesTask) hear(n peerNews) { t.mailbox.TrySend(n) }

func (t *dutiesTask) shared() sharedDuties { return *t.snapshot.Load() }

// allWindows returns the usage counts of all origins.
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
	// Requests that begin before the first tick must find their window.
	t.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			t.tick(ctx)
		case s := <-t.process.began.Receive():
			now := task.BootTime()
			t.usage.Add(t.reporter.Window(t.base.TrueTime(now)), t.origin, s.Team)
		case msg := <-t.mailbox.Receive():
			t.handle(ctx, msg)
		}
	}
}

func (t *dutiesTask) handle(ctx context.Context, msg any) {
	now := task.BootTime()
	switch msg := msg.(type) {
	case peerNews:
		for _, w := range msg.windows {
			if w.origin != t.origin {
				t.usage.Merge(w.number, w.origin, w.counts)
			}
		}
		if msg.node != "" {
			t.demand.Report(now, msg.node, msg.demand)
			t.use[msg.node] = instanceUse{used: msg.used, at: now}
		}
		if msg.node != "" && !msg.own {
			t.base.AddSample(now, msg.node, msg.wall)
			t.stepLease(ctx, now, msg.lease)
		}
	case endpointsNews:
		t.state = msg.state
	case windowsRequest:
		msg.reply <- t.windows(0, func(string) bool { return true })
	case finished:
		msg.apply(now)
	}
}

// windows returns copies of the usage counts of some origins from a window on.
func (t *dutiesTask) windows(from int64, wanted func(origin string) bool) []usageWindow {
	var list []usageWindow
	t.usage.Each(from, func(number int64, origin string, counts duty.Counts) {
		if wanted(origin) {
			list = append(list, usageWindow{number: number, origin: origin, counts: maps.Clone(counts)})
		}
	})
	return list
}

func (t *dutiesTask) tick(ctx context.Context) {
	now := task.BootTime()
	t.base.Update(now, time.Duration(time.Now().UnixNano()))
	if t.process.draining() {
		t.stepLease(ctx, now, duty.LeaseRelease{})
	} else {
		t.stepLease(ctx, now, duty.LeaseTick{})
	}
	fence, held := t.lease.Authority(now)
	t.noteHolder(held, fence)
	if held {
		t.act(ctx, now, fence)
	}
	t.publish(now, held)
}

func (t *dutiesTask) publish(now time.Duration, held bool) {
	from := t.reporter.Window(t.base.TrueTime(now)) - sharedWindows + 1
	own := t.windows(from, func(origin string) bool { return origin == t.origin })
	t.snapshot.Store(&sharedDuties{windows: own, leaseOffset: t.lease.NewestOffset(), held: held})
}

// noteHolder logs a change of the holder and drops what only a holder knows.
func (t *dutiesTask) noteHolder(held bool, fence int64) {
	if held == t.held {
		return
	}
	t.held = held
	if held {
		t.log.WithField("fence", fence).Info("duties taken")
		t.reporter.Invalidate()
		t.planner.Reset(fence > 1)
		return
	}
	t.log.WithField("fence", fence).Warn("duties lost")
}

func (t *dutiesTask) act(ctx context.Context, now time.Duration, fence int64) {
	by := platform.LeaseHolder{Node: t.process.deployment.Node, Fence: fence}
	for _, a := range t.reporter.NextActions(now, t.base.TrueTime(now), t.usage) {
		t.performReport(ctx, by, a)
	}
	t.saveAllowances(ctx, now)
	if t.state.Catalog == nil {
		return
	}
	for range maxOrders {
		order, ok := t.planner.NextOrder(now, t.state.Catalog, t.state.Endpoints, t.demand)
		if !ok {
			return
		}
		t.order(ctx, by, order)
	}
}

// call runs a call to the platform beside the task and applies its result in it.
func (t *dutiesTask) call(ctx context.Context, call func() func(now time.Duration)) {
	go func() {
		apply := call()
		_ = t.mailbox.Send(ctx, finished{apply: apply})
	}()
}

func (t *dutiesTask) stepLease(ctx context.Context, now time.Duration, msg duty.LeaseMessage) {
	for _, action := range t.lease.Step(now, msg) {
		t.performLease(ctx, action)
	}
}

func (t *dutiesTask) performLease(ctx context.Context, action duty.LeaseAction) {
	answer := func(msg duty.LeaseMessage) func(time.Duration) {
		return func(now time.Duration) { t.stepLease(ctx, now, msg) }
	}
	t.call(ctx, func() func(time.Duration) {
		switch a := action.(type) {
		case duty.ReadLease:
			return answer(t.readLease(ctx))
		case duty.AppendLease:
			return answer(t.appendLease(ctx, a))
		}
		return answer(duty.LeaseTick{})
	})
}

func (t *dutiesTask) readLease(ctx context.Context) duty.LeaseMessage {
	batch, err := t.store.Newest(ctx, platform.TopicLease)
	if err != nil {
		t.log.WithError(err).Warn("lease not read")
		return duty.LeaseReadFailed{}
	}
	read := duty.LeaseRead{End: batch.End}
	for _, r := range batch.Records {
		record, err := decodeLease(r)
		if err != nil {
			t.log.WithError(err).Warn("lease record left out")
			continue
		}
		read.Record = &record
	}
	return read
}

func (t *dutiesTask) appendLease(ctx context.Context, a duty.AppendLease) duty.LeaseMessage {
	value, err := encodeLease(a.Record)
	if err == nil {
		var offset int64
		offset, err = t.store.AppendAt(ctx, platform.TopicLease, a.At, platform.Record{Key: leaseKey, Value: value})
		if err == nil {
			return duty.LeaseAppended{Offset: offset}
		}
	}
	if !errors.Is(err, platform.ErrConflict) {
		t.log.WithError(err).WithField("at", a.At).Warn("lease not appended")
	}
	return duty.LeaseAppendFailed{}
}

func (t *dutiesTask) performReport(ctx context.Context, by platform.LeaseHolder, action duty.ReporterAction) {
	t.call(ctx, func() func(time.Duration) {
		switch a := action.(type) {
		case duty.ReadDecisions:
			return t.readDecisions(ctx)
		case duty.AppendDecision:
			return t.appendDecision(ctx, a)
		case duty.SendReport:
			return t.sendReport(ctx, by, a)
		}
		return func(time.Duration) {}
	})
}

func (t *dutiesTask) readDecisions(ctx context.Context) func(time.Duration) {
	batch, err := t.store.Newest(ctx, platform.TopicUsage)
	if err != nil {
		t.log.WithError(err).Warn("usage decisions not read")
		return func(time.Duration) { t.reporter.ActionFailed(duty.ReadDecisions{}) }
	}
	var decisions []duty.Decision
	for _, r := range batch.Records {
		d, err := decodeDecision(r)
		if err != nil {
			t.log.WithError(err).Warn("usage decision left out")
			continue
		}
		decisions = append(decisions, d)
	}
	return func(time.Duration) { t.reporter.DecisionsRead(decisions, batch.End) }
}

func (t *dutiesTask) appendDecision(ctx context.Context, a duty.AppendDecision) func(time.Duration) {
	value, err := encodeDecision(a.Decision, t.process.deployment.Node)
	if err == nil {
		var offset int64
		record := platform.Record{Key: platform.WindowKey(a.Decision.Window), Value: value}
		offset, err = t.store.AppendAt(ctx, platform.TopicUsage, a.At, record)
		if err == nil {
			t.log.WithFields(log.Fields{"window": a.Decision.Window, "counts": a.Decision.Counts}).Info("usage decided")
			return func(time.Duration) { t.reporter.DecisionAppended(a.Decision, offset) }
		}
	}
	t.log.WithError(err).WithField("window", a.Decision.Window).Warn("usage not decided")
	return func(time.Duration) { t.reporter.ActionFailed(a) }
}

// sendReport repeats a decided report. The authority is checked at the moment
// of sending, since the call may have waited.
func (t *dutiesTask) sendReport(ctx context.Context, by platform.LeaseHolder, a duty.SendReport) func(time.Duration) {
	counts := make(map[fleet.TeamName]int, len(a.Decision.Counts))
	for team, n := range a.Decision.Counts {
		counts[team] = int(n)
	}
	err := t.cloud.ReportUsage(ctx, by, platform.UsageReport{Window: a.Decision.Window, Counts: counts})
	if err != nil {
		t.log.WithError(err).WithField("window", a.Decision.Window).Warn("usage not reported")
		return func(time.Duration) { t.reporter.ActionFailed(a) }
	}
	t.log.WithFields(log.Fields{"window": a.Decision.Window, "fence": by.Fence}).Info("usage reported")
	return func(time.Duration) { t.reporter.ReportAccepted(a.Decision.Window) }
}

func (t *dutiesTask) order(ctx context.Context, by platform.LeaseHolder, o scaling.Order) {
	t.call(ctx, func() func(time.Duration) {
		err := t.cloud.Scale(ctx, by, platform.Order{
			Service: o.Service, DataCentre: o.DataCentre, Reclaimable: o.Reclaimable, Count: o.Count,
		})
		entry := t.log.WithFields(log.Fields{
			"service": string(o.Service), "data_centre": string(o.DataCentre),
			"reclaimable": o.Reclaimable, "count": o.Count, "fence": by.Fence,
		})
		if err != nil {
			entry.WithError(err).Warn("endpoints not ordered")
		} else {
			entry.Info("endpoints ordered")
		}
		return func(now time.Duration) {
			switch {
			case err == nil:
				t.planner.Accepted(o)
			case errors.Is(err, platform.ErrNoneAvailable):
				t.planner.Refused(now, o)
			}
		}
	})
}
