package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/request"
	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/peer"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	// overloadRetryAfter is suggested to callers when the dispatcher's mailbox is full.
	overloadRetryAfter = time.Second
	// drainRetryAfter is the time in which load balancers stop sending to a
	// router that is not ready.
	drainRetryAfter = time.Second
	// releaseTimeout bounds the message that a caller left.
	releaseTimeout = time.Second
)

// Router accepts submissions from front ends.
type Router struct {
	self       fleet.InstanceID
	dataCentre fleet.DataCentre
	clock      task.Clock
	active     *Active
	dispatcher *dispatcher
	registry   *registry
	holder     *holder
	quarantine *quarantineTask
	directory  *peer.Directory
	handoff    *peer.HandoffClient
	engine     *engine.Client
	metrics    *streamMetrics
	tasks      *task.Group
	// draining is set by the drainer task and read by submissions.
	draining atomic.Bool
	calls    *calls
	// leave announces to the other instances that this one drains.
	leave func(ctx context.Context)
}

// Handle gives access to one accepted request. Its holder counts as an
// attached caller until Release.
type Handle struct {
	ID fleet.RequestID
	// Model is the model name that the caller sent.
	Model   string
	mailbox requestMailbox
	done    chan struct{}
}

// Submit accepts a request or refuses it. A refusal is returned by the first
// Read when the dispatcher decides it.
func (r *Router) Submit(ctx context.Context, s Submission) (*Handle, *fleet.Refusal) {
	if r.draining.Load() {
		return nil, draining()
	}
	id := newRequestID(r.self)
	t := r.newTask(id, s, request.New(r.clock.Now(), id, s.Streamed))
	if refusal := r.quarantine.Refusal(t.fingerprint); refusal != nil {
		r.metrics.quarantined.WithLabelValues(string(s.Team)).Inc()
		return nil, refusal
	}
	if refusal := r.start(ctx, t); refusal != nil {
		return nil, refusal
	}
	return &Handle{ID: id, Model: s.Model, mailbox: t.mailbox, done: t.done}, nil
}

func (r *Router) newTask(id fleet.RequestID, s Submission, machine *request.Machine) *requestTask {
	return &requestTask{
		id: id, submission: s, fingerprint: fingerprintOf(s), clock: r.clock,
		mailbox:    task.NewMailbox[any](requestCapacity),
		frames:     task.NewMailbox[request.Message](requestCapacity),
		done:       make(chan struct{}),
		machine:    machine,
		dispatcher: r.dispatcher.mailbox,
		quarantine: r.quarantine.mailbox,
		engine:     r.engine,
		metrics:    r.metrics.forRequest(s),
		cancel:     make(map[fleet.AttemptNumber]context.CancelFunc),
		wake:       task.NewTimer(),
	}
}

// start registers a request, asks the dispatcher for an endpoint unless the
// request has ended, and starts its task.
func (r *Router) start(ctx context.Context, t *requestTask) *fleet.Refusal {
	register := registerRequest{id: t.id, submission: t.submission, mailbox: t.mailbox, done: t.done}
	if err := r.registry.mailbox.Send(ctx, register); err != nil {
		return overloaded()
	}
	submit := dispatcherMessage{message: submitMessage(t.id, t.submission, t.fingerprint), sender: &t.mailbox}
	if ended, _, _ := t.machine.Ended(); !ended && !r.dispatcher.mailbox.TrySend(submit) {
		_ = r.registry.mailbox.Send(ctx, forgetRequest{id: t.id})
		return overloaded()
	}
	r.tasks.Go("request", func(ctx context.Context) error {
		t.Run(ctx)
		return r.registry.mailbox.Send(ctx, forgetRequest{id: t.id})
	})
	return nil
}

// Read waits for frames from the given index on.
func (h *Handle) Read(ctx context.Context, from int) (Frames, error) {
	reply := make(chan Frames, 1)
	if err := h.mailbox.Send(ctx, readFrames{from: from, reply: reply}); err != nil {
		return Frames{}, err
	}
	select {
	case frames := <-reply:
		return frames, nil
	case <-h.done:
	case <-ctx.Done():
		return Frames{}, context.Cause(ctx)
	}
	select {
	case frames := <-reply:
		return frames, nil
	default:
		return Frames{Moved: true}, nil
	}
}

// Release tells the request that the caller no longer reads.
func (h *Handle) Release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	select {
	case <-h.done:
	default:
		_ = h.mailbox.Send(ctx, coreMessage{message: request.CallerGone{}})
	}
}

// askTask posts a message with a reply channel and waits for the reply.
func askTask[R any](ctx context.Context, mailbox task.Mailbox[any], message func(reply chan R) any) (R, bool) {
	reply := make(chan R, 1)
	var zero R
	if mailbox.Send(ctx, message(reply)) != nil {
		return zero, false
	}
	select {
	case value := <-reply:
		return value, true
	case <-ctx.Done():
		return zero, false
	}
}

// askRequest is askTask for a request task, which may have ended.
func askRequest[R any](ctx context.Context, entry registerRequest, message func(reply chan R) any) (R, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-entry.done:
			cancel()
		case <-stop:
		}
	}()
	return askTask(ctx, entry.mailbox, message)
}

func overloaded() *fleet.Refusal {
	return fleet.Refuse(fleet.RefusedOverload, overloadRetryAfter,
		"the router is overloaded; retry after the stated delay")
}

func draining() *fleet.Refusal {
	return fleet.Refuse(fleet.RefusedDraining, drainRetryAfter,
		"this router is being reclaimed; retry through the load balancer")
}

func moved() *fleet.Refusal {
	refusal := fleet.Refuse(fleet.RefusedNotReady, overloadRetryAfter,
		"another router is taking the request over, or its record has expired; retry after the stated delay")
	refusal.Run = fleet.RunUnknown
	return refusal
}

func notFound() *fleet.Refusal {
	return fleet.Refuse(fleet.RefusedNotFound, 0, "no such request is known for this team; check the id")
}
