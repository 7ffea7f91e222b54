package edge

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/rollout"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/internal/core/tally"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

const (
	rolloutsMailbox = 256
	// rolloutLoadInterval is the time between two reads of the records after one has failed.
	rolloutLoadInterval = 300 * time.Millisecond
	// leadershipTTL is how long a statement of the duties that the lease is held counts. It is
	// far shorter than the lease, and the statement may wait while the process does not run.
	leadershipTTL = 4 * dutyTick
)

// operatorRecords are records of the topic in which the operator orders rollouts.
type operatorRecords struct{ records []platform.Record }

// leadership tells whether this instance holds the lease of the duties.
type leadership struct {
	held  bool
	fence int64
	// at is the boot time of the statement, wall the estimated time of day then.
	at   time.Duration
	wall time.Time
}

// rolloutsRunning names the services with a running rollout, for the planner of the endpoints.
type rolloutsRunning struct{ services []fleet.ServiceName }

// rolloutsTask passes the operator's orders on to the gateway of this instance, and leads the
// rollouts while this instance holds the lease of the duties. Calls to the store run in their
// own goroutines, one append of a record at a time.
type rolloutsTask struct {
	process *process
	log     log.Interface
	mailbox task.Mailbox[any]
	leader  *rollout.Leader
	orders  *rollout.Orders
	state   directoryState
	own     tally.Tally
	others  othersUpdate
	// holder is the last statement of the duties, recordsEnd the end of the topic of the
	// records, at which the next append is valid.
	holder     leadership
	recordsEnd storelog.Position
	loading    bool
	loadAt     time.Duration
	// leads is set while this instance holds the lease, for tasks that only read it.
	leads atomic.Bool
}

func newRolloutsTask(p *process) *rolloutsTask {
	b := p.deployment.Bounds
	bounds := rollout.Bounds{Share: b.CanaryShare, Slack: b.CanarySlack, Delay: b.StoreDelay}
	return &rolloutsTask{
		process: p, log: p.log, mailbox: task.NewMailbox[any](rolloutsMailbox), leader: rollout.NewLeader(bounds), orders: rollout.NewOrders(),
		own: tally.New(), others: othersUpdate{reached: tally.NewGroup(), lost: tally.NewGroup()},
	}
}

// post posts an update to the task. One that is dropped because the mailbox is full is superseded
// by the next.
func (t *rolloutsTask) post(update any) { t.mailbox.TrySend(update) }

// enabled reports whether the settings ask for rollouts.
func (t *rolloutsTask) enabled() bool {
	b := t.process.deployment.Bounds
	return b.CanaryShare > 0 || b.CanarySlack > 0
}

func (t *rolloutsTask) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case msg := <-t.mailbox.Receive():
			t.handle(ctx, msg)
		}
	}
}

func (t *rolloutsTask) handle(ctx context.Context, msg any) {
	switch msg := msg.(type) {
	case operatorRecords:
		t.ordersRead(ctx, msg.records)
	case tickUpdate:
		t.own = msg.own
	case othersUpdate:
		t.others = msg
	case endpointsUpdate:
		t.state = msg.state
	case leadership:
		t.lead(ctx, msg)
	case callFinished:
		msg.apply(t.process.clock.Now())
	}
}

// ordersRead processes the orders among records of the operator. An order withholds the new
// version from requests until its holder plans a share.
func (t *rolloutsTask) ordersRead(ctx context.Context, records []platform.Record) {
	orders, malformed := platform.RolloutOrders(records)
	for _, err := range malformed {
		t.process.metrics.rolloutOrders.WithLabelValues("malformed").Inc()
		t.log.WithError(err).Warn("malformed rollout order ignored")
	}
	if !t.enabled() {
		if len(orders) > 0 {
			t.log.WithField("orders", len(orders)).Warn("rollout orders ignored: the settings have no bounds for them")
		}
		return
	}
	now := t.process.clock.Now()
	var plans []rollout.Plan
	for _, o := range orders {
		if !t.orders.Read(o) {
			continue
		}
		readAt := t.firstRead(now, o)
		t.leader.Read(readAt, o)
		plans = append(plans, rollout.Plan{Service: o.Service, To: o.To, Order: o.Position, ConfirmedAt: readAt})
	}
	if len(plans) > 0 {
		t.process.gateway.Post(ctx, gateway.RolloutsReported{Plans: plans})
	}
}

// firstRead returns when an order was first read by an instance, as far as known.
func (t *rolloutsTask) firstRead(now time.Duration, o rollout.Order) time.Duration {
	for _, p := range t.process.gateway.rolloutPlans() {
		if p.Fence == 0 && p.Service == o.Service && p.Order == o.Position {
			return min(p.ConfirmedAt, now)
		}
	}
	return now
}

// lead performs what is due while this instance holds the lease.
func (t *rolloutsTask) lead(ctx context.Context, l leadership) {
	if !t.enabled() {
		return
	}
	if task.BootTime()-l.at > leadershipTTL {
		l.held = false
	}
	if l.fence != t.holder.fence || !l.held {
		t.leader.Unload()
	}
	t.holder = l
	if t.leads.Swap(l.held) != l.held && l.held {
		triggerRead(t.process.configTrigger)
	}
	if !l.held {
		t.process.metrics.resetRollouts()
		return
	}
	now := t.process.clock.Now()
	if !t.leader.Loaded() {
		t.load(ctx, now)
		return
	}
	for _, action := range t.leader.Step(now, t.inputs()) {
		t.perform(ctx, action)
	}
	t.process.duties.post(rolloutsRunning{services: t.leader.Running()})
	if plans := t.leader.Plans(now); len(plans) > 0 {
		t.process.gateway.Post(ctx, gateway.RolloutsReported{Plans: plans})
		t.process.metrics.observeRollouts(t.leader.Status(now))
	}
}

func (t *rolloutsTask) inputs() rollout.Inputs {
	sums := maps.Clone(t.own.Rollouts)
	for key, counts := range t.others.reached.Tally.Rollouts {
		sums[key] = sums[key].Plus(counts)
	}
	demand := maps.Clone(t.own.Demand)
	for service, n := range t.others.reached.Tally.Demand {
		demand[service] += n
	}
	return rollout.Inputs{
		Demand:      demand,
		ListSettled: t.listSettled(),
		Fence:       t.holder.fence, Catalog: t.state.Catalog, Endpoints: t.state.Endpoints, Sums: sums,
		Age: t.others.reached.Age, Instances: t.others.reached.Instances + 1, Lost: t.others.lost.Instances,
	}
}

// listSettled reports whether the list has been followed since it was first read in the store's
// current epoch for so long that an endpoint which runs has renewed its entry.
func (t *rolloutsTask) listSettled() bool {
	followed := t.process.clock.Now() - t.state.ListSince - t.process.list.age()
	return rollout.ListSettled(followed, t.process.deployment.Heartbeat)
}

func (t *rolloutsTask) perform(ctx context.Context, action rollout.Action) {
	switch a := action.(type) {
	case rollout.Save:
		t.save(ctx, a)
	case rollout.Publish:
		t.publish(ctx, a)
	case rollout.Ignored:
		t.process.metrics.rolloutOrders.WithLabelValues(a.Reason.String()).Inc()
		t.log.WithFields(log.Fields{
			"service": string(a.Order.Service), "to": string(a.Order.To), "position": a.Order.Position, "reason": a.Reason.String(),
		}).Warn("rollout order ignored")
	case rollout.Decided:
		t.logDecision(a.Status)
	}
}

// call starts a call to the store whose result this task applies.
func (t *rolloutsTask) call(ctx context.Context, call func() func(now time.Duration)) {
	startCall(ctx, t.mailbox, call)
}

// load reads the records of the rollouts.
func (t *rolloutsTask) load(ctx context.Context, now time.Duration) {
	if t.loading || now < t.loadAt {
		return
	}
	t.loading = true
	times, fence := t.times(), t.holder.fence
	t.call(ctx, func() func(time.Duration) {
		batch, err := t.process.store.Newest(ctx, platform.TopicRollouts)
		return func(now time.Duration) {
			t.loading, t.loadAt = false, now+rolloutLoadInterval
			if err != nil {
				t.log.WithError(err).Warn("rollout records could not be read from the store")
				return
			}
			if !t.holder.held || t.holder.fence != fence {
				return
			}
			t.recordsEnd = batch.End
			t.leader.Load(now, rollout.Stored{
				Epoch: batch.End.Epoch(), Records: t.decodeRecords(batch.Records, times), Plans: t.process.gateway.rolloutPlans(),
			})
		}
	})
}

// times relates the process clock to the estimated time of day.
func (t *rolloutsTask) times() recordTimes {
	return recordTimes{now: t.process.clock.At(t.holder.at), wall: t.holder.wall}
}

func (t *rolloutsTask) decodeRecords(records []platform.Record, times recordTimes) []rollout.Record {
	return lo.FilterMap(records, func(r platform.Record, _ int) (rollout.Record, bool) {
		record, err := decodeRolloutRecord(r, times)
		if err != nil {
			t.process.metrics.malformed.WithLabelValues("rollout").Inc()
			t.log.WithError(err).Warn("malformed rollout record ignored")
		}
		return record, err == nil
	})
}

// save appends a record on the condition that no other holder has appended one. After a failure
// the records are read again, since the append may have taken effect.
func (t *rolloutsTask) save(ctx context.Context, a rollout.Save) {
	value, err := encodeRolloutRecord(a.Record, t.times())
	at := t.recordsEnd
	t.call(ctx, func() func(time.Duration) {
		var position storelog.Position
		if err == nil {
			record := platform.Record{Key: string(a.Record.Order.Service), Value: value}
			position, err = t.process.store.AppendAt(ctx, platform.TopicRollouts, at, record)
		}
		return func(now time.Duration) {
			if err != nil {
				t.log.WithError(err).WithField("service", string(a.Record.Order.Service)).Warn("rollout record could not be appended to the store")
				t.leader.SaveFailed()
				t.leader.Unload()
				t.loadAt = now + rolloutLoadInterval
				return
			}
			t.recordsEnd = position + 1
			for _, action := range t.leader.Saved(now) {
				t.perform(ctx, action)
			}
		}
	})
}

// publish writes the state of a rollout for the operator.
func (t *rolloutsTask) publish(ctx context.Context, a rollout.Publish) {
	record, err := platform.RolloutStatus(a.Order, a.State)
	t.call(ctx, func() func(time.Duration) {
		if err == nil {
			_, err = t.process.store.Append(ctx, platform.TopicStatus, record)
		}
		return func(time.Duration) {
			fields := log.Fields{"service": string(a.Order.Service), "to": string(a.Order.To), "state": a.State.String()}
			if err != nil {
				t.log.WithError(err).WithFields(fields).Warn("state of a rollout could not be written; trying again")
			} else {
				t.log.WithFields(fields).Info("state of a rollout written")
			}
			t.leader.Published(a, err == nil)
		}
	})
}

// logDecision logs a step of a rollout with the inputs of the decision.
func (t *rolloutsTask) logDecision(s rollout.Status) {
	t.log.WithFields(log.Fields{
		"service": string(s.Record.Order.Service), "to": string(s.Record.Order.To), "position": s.Record.Order.Position, "fence": t.holder.fence,
		"state": s.Record.State.String(), "step": s.Record.Step.String(), "since_ms": s.Since.Milliseconds(),
		"complete_by_ms": s.Record.Order.CompleteBy.Milliseconds(), "share": s.Share,
		"arrived": int64(s.Arrived), "exposed": int64(s.Exposed), "rate": s.Rate, "responses_old": s.Old.Total, "bad_old": s.Old.Bad,
		"responses_new": s.New.Total, "bad_new": s.New.Bad, "score": s.Score, "threshold": s.Threshold,
		"demand": s.Demand, "ready_new": s.NewReady, "slow": s.Slow, "accepted": s.Accepted, "rank": s.Rank,
		"active_old": s.ActiveOld, "moved": s.Moved, "instances": s.Instances, "age_ms": t.others.reached.Age.Milliseconds(),
	}).Info("rollout decided")
}

// observeRollouts updates the gauges of the rollouts that this instance leads.
func (m *metrics) observeRollouts(rollouts []rollout.Status) {
	for _, s := range rollouts {
		service := string(s.Record.Order.Service)
		m.rolloutShare.WithLabelValues(service).Set(s.Share)
		for _, state := range []rollout.State{rollout.Running, rollout.Done, rollout.Reverted} {
			m.rolloutState.WithLabelValues(service, state.String()).Set(lo.Ternary(s.Record.State == state, 1.0, 0))
		}
		for version, r := range map[string]rollout.Responses{"old": s.Old, "new": s.New} {
			m.rolloutResponses.WithLabelValues(service, version, "all").Set(float64(r.Total))
			m.rolloutResponses.WithLabelValues(service, version, "bad").Set(float64(r.Bad))
		}
		m.rolloutRequests.WithLabelValues(service, "all").Set(s.Arrived)
		m.rolloutRequests.WithLabelValues(service, "new").Set(s.Exposed)
	}
}

// resetRollouts removes the gauges of an instance that does not lead the rollouts.
func (m *metrics) resetRollouts() {
	m.rolloutShare.Reset()
	m.rolloutState.Reset()
	m.rolloutResponses.Reset()
	m.rolloutRequests.Reset()
}

// observeRolloutPlan logs a plan that this instance follows from now on.
func (t *gatewayTask) observeRolloutPlan(p rollout.Plan) {
	t.log.WithFields(log.Fields{
		"service": string(p.Service), "to": string(p.To), "position": p.Order, "fence": p.Fence, "step": p.Step.String(), "revision": p.Revision,
		"state": p.State.String(), "share": p.Share, "age_ms": (t.clock.Now() - p.ConfirmedAt).Milliseconds(),
		"withheld": lo.Map(p.Withheld, func(v fleet.SoftwareVersion, _ int) string { return string(v) }),
	}).Info("rollout plan changed")
}
