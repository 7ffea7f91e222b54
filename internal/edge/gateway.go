package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/rollout"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/internal/upstream"
)

const (
	// gatewayMailbox bounds the messages that wait for the gateway task.
	gatewayMailbox = 4096
	// checkTimeout bounds the check of an endpoint and the delivery of its result.
	checkTimeout = 2 * time.Second
)

type gatewayMessage struct {
	message gateway.Message
	reply   chan<- gateway.Action
}

type reportRequest struct{ reply chan<- gateway.Report }

// gatewayTask owns the state machine that admits and routes requests.
type gatewayTask struct {
	clock   task.Clock
	log     log.Interface
	metrics *metrics
	machine *gateway.Machine
	mailbox task.Mailbox[gatewayMessage]
	reports task.Mailbox[reportRequest]
	replies map[gateway.RequestID]chan<- gateway.Action
	// started receives the requests that endpoints have started to execute.
	started task.Mailbox[gateway.CountStarted]
	// readList triggers a read of the instance list.
	readList func()
	// pool has the connections for calls of the system itself to endpoints.
	pool *upstream.Pool
	// turns receives the asks for turns and their ends, turnActions are those that it has not received
	// yet, since its mailbox is full.
	turns       task.Mailbox[any]
	turnActions []gateway.Action
	// persist changes the records of crash evidence.
	persist func(gateway.Action)
	// limits, rollouts and ready are copies for tasks that only read them.
	limits   atomic.Pointer[catalog.Limits]
	rollouts atomic.Pointer[[]rollout.Plan]
	ready    atomic.Bool
}

func newGatewayTask(clock task.Clock, logger log.Interface, m *metrics, options gateway.Options, started task.Mailbox[gateway.CountStarted]) *gatewayTask {
	return &gatewayTask{
		clock: clock, log: logger, metrics: m, machine: gateway.New(options), started: started,
		mailbox: task.NewMailbox[gatewayMessage](gatewayMailbox),
		reports: task.NewMailbox[reportRequest](4),
		replies: make(map[gateway.RequestID]chan<- gateway.Action), readList: func() {},
		persist: func(gateway.Action) {},
	}
}

func (t *gatewayTask) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case r := <-t.reports.Receive():
			report := t.machine.Report(t.clock.Now())
			t.metrics.enginesEstimated(report.Engines)
			t.metrics.quarantined.Set(float64(len(report.Crashes.Quarantined)))
			r.reply <- report
		case msg := <-t.mailbox.Receive():
			t.handle(msg)
		}
	}
}

func (t *gatewayTask) handle(msg gatewayMessage) {
	switch m := msg.message.(type) {
	case gateway.RequestArrived:
		t.replies[m.ID] = msg.reply
	case gateway.RequestFinished:
		defer delete(t.replies, m.ID)
	}
	previous := t.machine.Catalog()
	for _, action := range t.machine.Step(t.clock.Now(), msg.message) {
		t.perform(action)
	}
	t.sendTurnActions()
	if current := t.machine.Catalog(); current != previous {
		t.limits.Store(&current.Limits)
	}
	if _, ok := msg.message.(gateway.RolloutsReported); ok {
		plans := t.machine.Rollouts()
		t.rollouts.Store(&plans)
	}
	t.ready.Store(t.machine.Ready())
}

// rolloutPlans returns the known plans of rollouts.
func (t *gatewayTask) rolloutPlans() []rollout.Plan {
	if plans := t.rollouts.Load(); plans != nil {
		return *plans
	}
	return nil
}

// perform sends an action to the task that executes it. A request task receives
// each action before it posts the message that produces the next one, and at most one
// question for its progress and one move come besides, so its channel always has room.
func (t *gatewayTask) perform(action gateway.Action) {
	switch a := action.(type) {
	case gateway.Send:
		t.metrics.turnTaken(a)
		t.reply(a.ID, a)
	case gateway.Refuse:
		t.reply(a.ID, a)
	case gateway.ReportProgress:
		t.reply(a.ID, a)
	case gateway.MoveStream:
		t.reply(a.ID, a)
	case gateway.StreamPlanned:
		t.reply(a.ID, a)
	case gateway.CountStarted:
		t.started.TrySend(a)
	case gateway.ReadList:
		t.readList()
	case gateway.CheckEndpoint:
		t.checkEndpoint(a)
	case gateway.ReadNotice:
		t.readNotice(a)
	case gateway.AskTurn, gateway.EndTurn, gateway.AbandonTurn:
		t.turnActions = append(t.turnActions, a)
	case gateway.PersistCrashes, gateway.PersistCause, gateway.RemoveCause:
		t.persist(a)
	default:
		t.observe(a)
	}
}

// sendTurnActions sends asks for turns and their ends in their order. The gateway does not wait for the
// turns task, which may wait for it: what finds no room is sent after the next message.
func (t *gatewayTask) sendTurnActions() {
	for len(t.turnActions) > 0 && t.turns.TrySend(t.turnActions[0]) {
		t.turnActions = t.turnActions[1:]
	}
	if len(t.turnActions) == 0 {
		t.turnActions = nil
	}
}

// checkEndpoint opens a connection to an endpoint and posts the result.
func (t *gatewayTask) checkEndpoint(a gateway.CheckEndpoint) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
		defer cancel()
		refused := upstream.RefusesConnections(ctx, a.Address)
		t.Post(ctx, gateway.EndpointChecked{Endpoint: a.Endpoint, Started: a.Started, Refused: refused})
	}()
}

func (t *gatewayTask) reply(id gateway.RequestID, a gateway.Action) {
	select {
	case t.replies[id] <- a:
	default:
	}
}

// Submit posts a new request. It returns false if the mailbox is full.
func (t *gatewayTask) Submit(msg gateway.RequestArrived, reply chan<- gateway.Action) bool {
	return t.mailbox.TrySend(gatewayMessage{message: msg, reply: reply})
}

// Post posts a later message of a request, or a change of state.
func (t *gatewayTask) Post(ctx context.Context, msg gateway.Message) {
	// Send fails only if ctx ends, and then the process is stopping.
	_ = t.mailbox.Send(ctx, gatewayMessage{message: msg})
}

// report returns the state that this instance reports to its peers.
func (t *gatewayTask) report(ctx context.Context) (gateway.Report, error) {
	reply := make(chan gateway.Report, 1)
	if err := t.reports.Send(ctx, reportRequest{reply: reply}); err != nil {
		return gateway.Report{}, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return gateway.Report{}, ctx.Err()
	}
}

// currentLimits returns the active limits; they are zero before the first
// configuration.
func (t *gatewayTask) currentLimits() catalog.Limits {
	if l := t.limits.Load(); l != nil {
		return *l
	}
	return catalog.Limits{}
}
