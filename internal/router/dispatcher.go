package router

import (
	"context"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/request"
	"github.com/cornelhold/cornelhold/internal/task"
)

// dispatcherCapacity bounds the messages that wait for the dispatcher; beyond
// it new submissions are refused.
const dispatcherCapacity = 4096

// dispatcher owns dispatch.Machine.
type dispatcher struct {
	clock    task.Clock
	mailbox  task.Mailbox[dispatcherMessage]
	machine  *dispatch.Machine
	requests map[fleet.RequestID]requestMailbox
	timer    *task.Timer
	metrics  *dispatchMetrics
}

func newDispatcher(clock task.Clock, options dispatch.Options, metrics *dispatchMetrics) *dispatcher {
	return &dispatcher{
		clock:    clock,
		mailbox:  task.NewMailbox[dispatcherMessage](dispatcherCapacity),
		machine:  dispatch.NewWithOptions(options),
		metrics:  metrics,
		requests: make(map[fleet.RequestID]requestMailbox),
		timer:    task.NewTimer(),
	}
}

// Run owns the machine until ctx ends.
func (d *dispatcher) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case msg := <-d.mailbox.Receive():
			d.handle(msg)
		case <-d.timer.C():
			d.handle(dispatcherMessage{message: dispatch.Tick{}})
		}
	}
}

func (d *dispatcher) handle(msg dispatcherMessage) {
	if submit, ok := msg.message.(dispatch.Submit); ok && msg.sender != nil {
		d.requests[submit.Request] = *msg.sender
	}
	now := d.clock.Now()
	for _, action := range d.machine.Step(now, msg.message) {
		d.perform(action)
	}
	switch m := msg.message.(type) {
	case dispatch.AttemptEnded:
		if m.Final {
			delete(d.requests, m.Request)
		}
	case dispatch.Cancel:
		delete(d.requests, m.Request)
	}
}

func (d *dispatcher) perform(action dispatch.Action) {
	d.metrics.observe(action)
	switch a := action.(type) {
	case dispatch.Grant:
		d.notifyRequest(a.Request, request.Granted{Attempt: a.Attempt, Endpoint: a.Endpoint, Hedge: a.Hedge})
	case dispatch.Refuse:
		d.notifyRequest(a.Request, request.Refused{Refusal: a.Refusal})
		delete(d.requests, a.Request)
	case dispatch.Relocate:
		d.notifyRequest(a.Request, request.Move{Attempt: a.Attempt, Method: a.Method})
	case dispatch.SetTimer:
		d.timer.Arm(a.At - d.clock.Now())
	}
}

// notifyRequest sends a message to a request task without blocking. The
// capacity of its mailbox exceeds the few messages that the dispatcher sends to
// one request.
func (d *dispatcher) notifyRequest(id fleet.RequestID, msg request.Message) {
	if mailbox, ok := d.requests[id]; ok {
		mailbox.TrySend(machineMessage{message: msg})
	}
}
