package edge

import (
	"context"
	"errors"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/core/duty"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/scaling"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

// call starts a call whose result this task applies.
func (t *dutiesTask) call(ctx context.Context, call func() func(now time.Duration)) {
	startCall(ctx, t.mailbox, call)
}

// callAsHolder runs a call that only the holder of the lease may send. The lease is not
// released before its result has arrived.
func (t *dutiesTask) callAsHolder(ctx context.Context, call func() func(now time.Duration)) {
	t.holderCalls++
	t.call(ctx, func() func(time.Duration) {
		apply := call()
		return func(now time.Duration) {
			t.holderCalls--
			apply(now)
		}
	})
}

func (t *dutiesTask) performLease(ctx context.Context, action duty.LeaseAction) {
	stepWith := func(msg duty.LeaseMessage) func(time.Duration) {
		return func(now time.Duration) {
			if read, ok := msg.(duty.LeaseRead); ok {
				t.epochStart.Observe(read.Record)
			}
			t.stepLease(ctx, now, msg)
		}
	}
	if a, ok := action.(duty.AppendLease); ok {
		a.Record.EpochSince = t.epochStart.Since(t.clock)
		action = a
	}
	t.call(ctx, func() func(time.Duration) {
		switch a := action.(type) {
		case duty.ReadLease:
			return stepWith(t.readLease(ctx))
		case duty.AppendLease:
			return stepWith(t.appendLease(ctx, a))
		}
		return stepWith(duty.LeaseTick{})
	})
}

func (t *dutiesTask) readLease(ctx context.Context) duty.LeaseMessage {
	batch, err := t.store.Newest(ctx, platform.TopicLease)
	if err != nil {
		t.log.WithError(err).Warn("lease could not be read from the store")
		return duty.LeaseReadFailed{}
	}
	read := duty.LeaseRead{End: batch.End}
	for _, r := range batch.Records {
		record, err := decodeLease(r)
		if err != nil {
			t.log.WithError(err).Warn("malformed lease record ignored")
			continue
		}
		read.Record = &record
	}
	return read
}

func (t *dutiesTask) appendLease(ctx context.Context, a duty.AppendLease) duty.LeaseMessage {
	value, err := encodeLease(a.Record)
	if err == nil {
		var position storelog.Position
		position, err = t.store.AppendAt(ctx, platform.TopicLease, a.At, platform.Record{Key: leaseKey, Value: value})
		if err == nil {
			return duty.LeaseAppended{Position: position}
		}
	}
	if !errors.Is(err, platform.ErrConflict) {
		t.log.WithError(err).WithField("at", a.At).Warn("lease record could not be appended to the store")
	}
	return duty.LeaseAppendFailed{}
}

func (t *dutiesTask) performReport(ctx context.Context, holder platform.LeaseHolder, action duty.ReporterAction) {
	switch a := action.(type) {
	case duty.ReadDecisions:
		t.call(ctx, func() func(time.Duration) { return t.readDecisions(ctx) })
	case duty.AppendDecision:
		t.call(ctx, func() func(time.Duration) { return t.appendDecision(ctx, a) })
	case duty.LeaveOut:
		t.process.metrics.usageLeftOut.Inc()
		t.log.WithField("window", a.Window).Warn("usage window left out: it may have been reported before the store came back from an older copy")
	case duty.SendReport:
		t.callAsHolder(ctx, func() func(time.Duration) { return t.sendReport(ctx, holder, a) })
	}
}

func (t *dutiesTask) readDecisions(ctx context.Context) func(time.Duration) {
	batch, err := t.store.Newest(ctx, platform.TopicUsage)
	if err != nil {
		t.log.WithError(err).Warn("usage decisions could not be read from the store")
		return func(time.Duration) { t.reporter.ActionFailed(duty.ReadDecisions{}) }
	}
	var decisions []duty.Decision
	for _, r := range batch.Records {
		d, err := decodeDecision(r)
		if err != nil {
			t.log.WithError(err).Warn("malformed usage decision ignored")
			continue
		}
		decisions = append(decisions, d)
	}
	return func(time.Duration) { t.reporter.DecisionsRead(decisions, batch.End) }
}

func (t *dutiesTask) appendDecision(ctx context.Context, a duty.AppendDecision) func(time.Duration) {
	value, err := encodeDecision(a.Decision, t.process.deployment.Node)
	if err == nil {
		var position storelog.Position
		record := platform.Record{Key: platform.WindowKey(a.Decision.Window), Value: value}
		position, err = t.store.AppendAt(ctx, platform.TopicUsage, a.At, record)
		if err == nil {
			t.log.WithFields(log.Fields{"window": a.Decision.Window, "counts": a.Decision.Counts}).Info("usage decided")
			return func(time.Duration) { t.reporter.DecisionAppended(a.Decision, position) }
		}
	}
	t.log.WithError(err).WithField("window", a.Decision.Window).Warn("usage decision could not be appended to the store")
	return func(time.Duration) { t.reporter.ActionFailed(a) }
}

// sendReport sends a decided usage report to the platform, under the fencing token
// that was valid when the call was started.
func (t *dutiesTask) sendReport(ctx context.Context, holder platform.LeaseHolder, a duty.SendReport) func(time.Duration) {
	counts := make(map[fleet.TeamName]int, len(a.Decision.Counts))
	for team, n := range a.Decision.Counts {
		counts[team] = int(n)
	}
	err := t.cloud.ReportUsage(ctx, holder, platform.UsageReport{Window: a.Decision.Window, Counts: counts})
	if err != nil {
		t.log.WithError(err).WithField("window", a.Decision.Window).Warn("usage report could not be sent")
		return func(time.Duration) { t.reporter.ActionFailed(a) }
	}
	t.log.WithFields(log.Fields{"window": a.Decision.Window, "fence": holder.Fence}).Info("usage reported")
	return func(time.Duration) { t.reporter.ReportAccepted(a.Decision.Window) }
}

func (t *dutiesTask) sendOrder(ctx context.Context, holder platform.LeaseHolder, o scaling.Order) {
	basis := t.planner.Basis(task.BootTime(), o.Service, t.demand)
	t.callAsHolder(ctx, func() func(time.Duration) {
		err := t.cloud.Scale(ctx, holder, platform.Order{
			Service: o.Service, DataCentre: o.DataCentre, Reclaimable: o.Reclaimable, Count: o.Count,
		})
		entry := t.log.WithFields(log.Fields{
			"service": string(o.Service), "data_centre": string(o.DataCentre),
			"reclaimable": o.Reclaimable, "count": o.Count, "fence": holder.Fence, "demand": basis.Demand,
			"slow_share": basis.SlowShare, "utilization": basis.Utilization, "scarce_utilization": basis.ScarceUtilization,
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
