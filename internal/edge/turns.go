package edge

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/turns"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	// turnsMailbox bounds the messages and the datagrams that wait for the turns task.
	turnsMailbox = 4096
	// maxTurnSenders bounds the nodes whose addresses are kept to answer them.
	maxTurnSenders = 4096
	// minTurnsTick is the shortest time between two ticks of the machines.
	minTurnsTick = time.Millisecond
)

// turnSender is an instance that sends datagrams about turns.
type turnSender struct {
	address netip.Addr
	// instance is the node and boot that it last stated.
	instance string
}

// waitingTurn is what is known of a call that waits for its turn.
type waitingTurn struct {
	key turns.Key
	// expected is the wait that the owner stated, 0 if none.
	expected time.Duration
}

// turnsTask owns the datagram socket of turns and the machines of both sides: the client, which asks
// for the turns of this instance's calls, and the owner, which grants those of all instances. A
// process that drains goes on granting, so that no ask goes unanswered: the others choose another
// owner once they know that it is no carrier any more, some tenths of a second later.
type turnsTask struct {
	process *process
	conn    *net.UDPConn
	mailbox task.Mailbox[any]
	// states are those of other tasks, apart from mailbox, so that calls do not crowd them out.
	states   task.Mailbox[any]
	received task.Mailbox[datagram]
	timer    *task.Timer
	client   *turns.Client
	owner    *turns.Owner
	loads    scarceLoads
	// carriers are the addresses of the carriers by node, known those of all known instances.
	carriers map[string]netip.Addr
	known    map[netip.Addr]bool
	senders  map[string]turnSender
	needed   map[fleet.ServiceName]bool
	// waits are the calls without a result, asks those of the keys of their asks.
	waits map[gateway.TurnID]waitingTurn
	asks  map[turns.Key]gateway.TurnID
	// local are messages from one of the machines of this process to the other.
	local []any
}

func newTurnsTask(p *process, boot string) *turnsTask {
	return &turnsTask{
		process: p, mailbox: task.NewMailbox[any](turnsMailbox), states: task.NewMailbox[any](peersMailbox), received: task.NewMailbox[datagram](turnsMailbox),
		timer: task.NewTimer(), client: turns.NewClient(turns.Options{Node: p.deployment.Node, Boot: boot}), owner: turns.NewOwner(),
		carriers: make(map[string]netip.Addr), senders: make(map[string]turnSender), needed: make(map[fleet.ServiceName]bool),
		waits: make(map[gateway.TurnID]waitingTurn), asks: make(map[turns.Key]gateway.TurnID),
	}
}

// post sends a state to the task. It reports false if the mailbox is full.
func (t *turnsTask) post(msg any) bool { return t.states.TrySend(msg) }

func (t *turnsTask) run(ctx context.Context) error {
	go t.receive(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.timer.C():
			now := t.process.clock.Now()
			t.performOwner(t.owner.Step(now, turns.OwnerTick{}))
			t.performClient(ctx, t.client.Step(now, turns.ClientTick{}))
		case d := <-t.received.Receive():
			t.handleDatagram(ctx, d)
		case msg := <-t.states.Receive():
			t.handle(ctx, msg)
		case msg := <-t.mailbox.Receive():
			t.handle(ctx, msg)
		}
		t.deliverLocal(ctx)
		t.reportNeeds(ctx)
		t.armTimer()
	}
}

// receive posts datagrams to the task; they are dropped while the mailbox is full.
func (t *turnsTask) receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		n, from, err := t.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			if ctx.Err() == nil {
				t.process.log.WithError(err).Warn("datagrams about turns could not be received")
				sleep(ctx, turns.StatementInterval)
			}
			continue
		}
		t.received.TrySend(datagram{from: from.Addr().Unmap(), data: slices.Clone(buf[:n])})
	}
}

// armTimer sets the timer to the next tick of either machine.
func (t *turnsTask) armTimer() {
	at, ok := t.owner.NextTick()
	if next, due := t.client.NextTick(); due && (!ok || next < at) {
		at, ok = next, true
	}
	if !ok {
		t.timer.Stop()
		return
	}
	t.timer.Arm(max(at-t.process.clock.Now(), minTurnsTick))
}

func (t *turnsTask) handle(ctx context.Context, msg any) {
	now := t.process.clock.Now()
	switch msg := msg.(type) {
	case gateway.AskTurn:
		actions := t.client.Step(now, turns.Wanted{ID: uint64(msg.ID), Ask: msg.Ask})
		t.noteAsk(msg.ID, actions)
		t.performClient(ctx, actions)
	case gateway.EndTurn:
		t.process.metrics.turnEnds.WithLabelValues(msg.Outcome.String()).Inc()
		t.performClient(ctx, t.client.Step(now, turns.Finished{ID: uint64(msg.ID), Outcome: msg.Outcome, Took: msg.Took}))
	case gateway.AbandonTurn:
		t.answered(msg.ID)
		t.performClient(ctx, t.client.Step(now, turns.Abandoned{ID: uint64(msg.ID)}))
	case endpointsUpdate:
		t.loads.setEndpoints(msg.state)
		t.performOwner(t.owner.Step(now, turns.EndpointsChanged{Endpoints: t.loads.usable()}))
	case turnsSums:
		t.handleSums(ctx, now, msg)
	case knownInstances:
		t.known = msg.addresses
	}
}

// handleSums passes on what the peers task knows of the other instances.
func (t *turnsTask) handleSums(ctx context.Context, now time.Duration, sums turnsSums) {
	if t.loads.setSums(sums) {
		t.performClient(ctx, t.client.Step(now, turns.InstancesChanged{Count: sums.instances}))
	}
	if !slices.Equal(nodesOf(sums.carriers), nodesOf(t.carriers)) {
		t.performClient(ctx, t.client.Step(now, turns.CarriersChanged{Nodes: nodesOf(sums.carriers)}))
	}
	t.carriers = sums.carriers
	if !t.loads.anyScarce() && len(t.needed) == 0 {
		return
	}
	services, endpoints := t.loads.loads()
	t.performOwner(t.owner.Step(now, turns.LoadsReported{Loads: endpoints}))
	t.performClient(ctx, t.client.Step(now, turns.LoadsChanged{Services: services}))
}

// handleDatagram decodes a datagram. Those that are malformed or from unknown senders are counted and
// dropped.
func (t *turnsTask) handleDatagram(ctx context.Context, d datagram) {
	node, content, err := decodeTurns(d.data)
	if err != nil {
		t.process.metrics.malformed.WithLabelValues("turns").Inc()
		return
	}
	now := t.process.clock.Now()
	if answer, ok := content.(turns.Answer); ok {
		if t.carriers[node] != d.from {
			t.process.metrics.malformed.WithLabelValues("turns-sender").Inc()
			return
		}
		t.receiveAnswer(ctx, now, node, answer)
		return
	}
	if !t.known[d.from] || !t.learnSender(now, node, d.from, content) {
		t.process.metrics.malformed.WithLabelValues("turns-sender").Inc()
		return
	}
	t.performOwner(t.owner.Step(now, ownerMessage(node, content)))
}

// learnSender keeps the address of a node for the answers. It reports false if there are too many.
// A node that states another boot has been started again.
func (t *turnsTask) learnSender(now time.Duration, node string, from netip.Addr, content any) bool {
	previous, ok := t.senders[node]
	if !ok && len(t.senders) >= maxTurnSenders {
		return false
	}
	instance := instanceOf(content)
	if ok && previous.instance != instance {
		t.performOwner(t.owner.Step(now, turns.InstanceGone{Instance: previous.instance}))
	}
	t.senders[node] = turnSender{address: from, instance: instance}
	return true
}

func (t *turnsTask) receiveAnswer(ctx context.Context, now time.Duration, from string, answer turns.Answer) {
	if q, ok := answer.(turns.Queued); ok {
		if id, waits := t.asks[q.Key]; waits {
			t.waits[id] = waitingTurn{key: q.Key, expected: q.Expected}
		}
	}
	t.performClient(ctx, t.client.Step(now, turns.Replied{From: from, Answer: answer}))
}

// noteAsk keeps the key of the ask of a call, by which its owner states the expected wait.
func (t *turnsTask) noteAsk(id gateway.TurnID, actions []turns.ClientAction) {
	for _, a := range actions {
		if sent, ok := a.(turns.SendAsk); ok {
			t.waits[id], t.asks[sent.Ask.Key] = waitingTurn{key: sent.Ask.Key}, id
		}
	}
}

// answered forgets a call that waits no more, and returns the wait that was expected for it.
func (t *turnsTask) answered(id gateway.TurnID) time.Duration {
	w := t.waits[id]
	delete(t.waits, id)
	delete(t.asks, w.key)
	return w.expected
}

// performClient performs actions of the client.
func (t *turnsTask) performClient(ctx context.Context, actions []turns.ClientAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case turns.SendAsk:
			t.send(a.To, a.Ask)
		case turns.SendEnd:
			t.send(a.To, a.End)
		case turns.SendHeld:
			t.send(a.To, a.Held)
		case turns.Proceed:
			t.process.metrics.turnResults.WithLabelValues("granted", "").Inc()
			t.process.gateway.Post(ctx, gateway.TurnGranted{
				ID: gateway.TurnID(a.ID), Endpoint: a.Endpoint, Waited: a.Waited, Place: a.Place,
				Expected: t.answered(gateway.TurnID(a.ID)),
			})
		case turns.ProceedFreely:
			t.process.metrics.turnResults.WithLabelValues("unanswered", "").Inc()
			t.answered(gateway.TurnID(a.ID))
			t.process.gateway.Post(ctx, gateway.TurnUnanswered{ID: gateway.TurnID(a.ID)})
		case turns.Refused:
			t.process.metrics.turnResults.WithLabelValues("denied", a.Reason).Inc()
			t.answered(gateway.TurnID(a.ID))
			t.process.gateway.Post(ctx, gateway.TurnDenied{ID: gateway.TurnID(a.ID), RetryAfter: a.RetryAfter, Reason: a.Reason})
		}
	}
}

// performOwner performs actions of the owner.
func (t *turnsTask) performOwner(actions []turns.OwnerAction) {
	for _, a := range actions {
		if reply, ok := a.(turns.Reply); ok {
			if _, granted := reply.Answer.(turns.Grant); granted {
				t.process.metrics.turnGrants.Inc()
			}
			t.send(reply.To, reply.Answer)
		}
	}
}

// deliverLocal passes messages between the machines of this process until there are none.
func (t *turnsTask) deliverLocal(ctx context.Context) {
	for len(t.local) > 0 {
		content := t.local[0]
		t.local = t.local[1:]
		now := t.process.clock.Now()
		if answer, ok := content.(turns.Answer); ok {
			t.receiveAnswer(ctx, now, t.process.deployment.Node, answer)
			continue
		}
		t.performOwner(t.owner.Step(now, ownerMessage(t.process.deployment.Node, content)))
	}
	t.local = nil
}

// ownerMessage returns the message that the content of a datagram of a node is for the owner.
func ownerMessage(from string, content any) turns.OwnerMessage {
	switch c := content.(type) {
	case turns.Ask:
		return turns.Asked{From: from, Ask: c}
	case turns.End:
		return turns.Ended{From: from, End: c}
	case turns.Held:
		c.From = from
		return c
	}
	return turns.OwnerTick{}
}

// instanceOf returns the node and boot of the sender of a message to the owner.
func instanceOf(content any) string {
	switch c := content.(type) {
	case turns.Ask:
		return c.Key.Instance
	case turns.End:
		return c.Key.Instance
	case turns.Held:
		return c.Instance
	}
	return ""
}

// send sends an ask, an end, a statement or an answer to a node. A lost datagram is repeated by the
// machines.
func (t *turnsTask) send(to string, content any) {
	if to == t.process.deployment.Node {
		t.local = append(t.local, content)
		return
	}
	address, ok := t.carriers[to]
	if _, isAnswer := content.(turns.Answer); isAnswer {
		address, ok = t.senders[to].address, t.senders[to].address.IsValid()
	}
	if !ok {
		return
	}
	data, err := encodeTurns(t.process.deployment.Node, content)
	if err != nil || len(data) > maxDatagram {
		t.process.log.WithField("bytes", len(data)).WithError(err).Warn("datagram about turns could not be encoded or is too large")
		return
	}
	_, _ = t.conn.WriteToUDPAddrPort(data, netip.AddrPortFrom(address, uint16(t.process.deployment.TurnsPort)))
}

// reportNeeds tells the gateway which services need turns.
func (t *turnsTask) reportNeeds(ctx context.Context) {
	now := t.process.clock.Now()
	for _, service := range t.loads.services {
		needed := t.client.Needed(now, service)
		if needed == t.needed[service] {
			continue
		}
		t.setNeeded(ctx, service, needed)
	}
	for service := range t.needed {
		if !t.loads.isScarce(service) {
			t.setNeeded(ctx, service, false)
		}
	}
}

func (t *turnsTask) setNeeded(ctx context.Context, service fleet.ServiceName, needed bool) {
	delete(t.needed, service)
	gauge := t.process.metrics.turnsNeeded.WithLabelValues(string(service))
	gauge.Set(0)
	if needed {
		t.needed[service] = true
		gauge.Set(1)
	}
	slots, active := t.loads.total(service)
	t.process.log.WithFields(log.Fields{
		"service": string(service), "needed": needed, "slots": slots, "active": active, "instances": t.loads.instances,
	}).Info("need of turns changed")
	t.process.gateway.Post(ctx, gateway.TurnsNeeded{Service: service, Needed: needed})
}
