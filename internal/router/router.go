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
	// overloadRetryAfter is the delay suggested to callers when a mailbox is full.
	overloadRetryAfter = time.Second
	// drainRetryAfter is the delay suggested to callers while this router drains.
	// After it, load balancers have detected that the router is not ready.
	drainRetryAfter = time.Second
	// releaseTimeout bounds the send of request.CallerGone.
	releaseTimeout = time.Second
)

// Router accepts submissions from front ends.
type Router struct {
	self        fleet.InstanceID
	dataCentre  fleet.DataCentre
	clock       task.Clock
	active      *Active
	dispatcher  *dispatcher
	registry    *registry
	handoffTask *handoffTask
	quarantine  *quarantineTask
	directory   *peer.Directory
	handoff     *peer.HandoffClient
	engine      *engine.Client
	metrics     *streamMetrics
	tasks       *task.Group
	// draining is set by the drainer task and read by submissions.
	draining atomic.Bool
	calls    *calls
	// announceLeaving notifies the other instances that this one is draining.
	announceLeaving func(ctx context.Context)
}

// Handle gives access to one accepted request. The owner of the handle counts as
// an attached caller until Release.
type Handle struct {
	ID fleet.RequestID
	// Model is the model name that the caller sent.
	Model   string
	mailbox requestMailbox
	done    chan struct{}
}

// Submit accepts or refuses a request. If the dispatcher refuses it later, the
// first Read returns the refusal.
func (r *Router) Submit(ctx context.Context, s Submission) (*Handle, *fleet.Refusal) {
	if r.draining.Load() {
		return nil, drainingRefusal()
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
		id: id, submission: s, fingerprint: requestFingerprint(s), clock: r.clock,
		mailbox:    task.NewMailbox[any](requestCapacity),
		frames:     task.NewMailbox[request.Message](requestCapacity),
		done:       make(chan struct{}),
		machine:    machine,
		dispatcher: r.dispatcher.mailbox,
		quarantine: r.quarantine.mailbox,
		engine:     r.engine,
		metrics:    r.metrics.forRequest(s),
		cancel:     make(map[fleet.AttemptNumber]context.CancelFunc),
		timer:      task.NewTimer(),
	}
}

// start registers a request, submits it to the dispatcher unless it has ended,
// and starts its task.
func (r *Router) start(ctx context.Context, t *requestTask) *fleet.Refusal {
	register := registryEntry{id: t.id, submission: t.submission, mailbox: t.mailbox, done: t.done}
	if err := r.registry.mailbox.Send(ctx, register); err != nil {
		return overloadedRefusal()
	}
	submit := dispatcherMessage{message: newSubmitMessage(t.id, t.submission, t.fingerprint), sender: &t.mailbox}
	if ended, _, _ := t.machine.Ended(); !ended && !r.dispatcher.mailbox.TrySend(submit) {
		_ = r.registry.mailbox.Send(ctx, unregisterRequest{id: t.id})
		return overloadedRefusal()
	}
	r.tasks.Go("request", func(ctx context.Context) error {
		t.Run(ctx)
		return r.registry.mailbox.Send(ctx, unregisterRequest{id: t.id})
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

// Release reports that the caller no longer reads.
func (h *Handle) Release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	select {
	case <-h.done:
	default:
		_ = h.mailbox.Send(ctx, machineMessage{message: request.CallerDetached{}})
	}
}

// askTask sends a message with a reply channel and waits for the reply. It
// returns false if ctx ends first.
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

// askRequest is askTask for a request task. It also returns false if the task has
// ended.
func askRequest[R any](ctx context.Context, entry registryEntry, message func(reply chan R) any) (R, bool) {
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

func overloadedRefusal() *fleet.Refusal {
	return fleet.Refuse(fleet.RefusedOverload, overloadRetryAfter,
		"the router is overloaded; retry after the stated delay")
}

func drainingRefusal() *fleet.Refusal {
	return fleet.Refuse(fleet.RefusedDraining, drainRetryAfter,
		"this router is being reclaimed; retry through the load balancer")
}

func movedRefusal() *fleet.Refusal {
	refusal := fleet.Refuse(fleet.RefusedNotReady, overloadRetryAfter,
		"another router is taking the request over, or its record has expired; retry after the stated delay")
	refusal.Run = fleet.RunUnknown
	return refusal
}

func notFoundRefusal() *fleet.Refusal {
	return fleet.Refuse(fleet.RefusedNotFound, 0, "no such request is known for this team; check the id")
}
