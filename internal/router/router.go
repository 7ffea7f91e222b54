package router

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/request"
	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/task"
)

// overloadRetryAfter is suggested to callers when the dispatcher's mailbox is full.
const overloadRetryAfter = time.Second

// Router accepts submissions from front ends.
type Router struct {
	clock      task.Clock
	active     *Active
	dispatcher *dispatcher
	registry   *registry
	engine     *engine.Client
	tasks      *task.Group
}

// Handle gives access to one accepted request.
type Handle struct {
	ID      fleet.RequestID
	mailbox requestMailbox
}

// Submit accepts a request or refuses it. A refusal is returned by the first
// Read when the dispatcher decides it.
func (r *Router) Submit(ctx context.Context, s Submission) (*Handle, *fleet.Refusal) {
	id := fleet.RequestID(uuid.NewString())
	t := &requestTask{
		id: id, submission: s, clock: r.clock,
		mailbox:    task.NewMailbox[any](requestCapacity),
		machine:    request.New(r.clock.Now(), id, true),
		dispatcher: r.dispatcher.mailbox,
		engine:     r.engine,
		cancel:     make(map[fleet.AttemptNumber]context.CancelFunc),
	}
	submit := dispatch.Submit{
		Request: id, Team: s.Team, Service: s.Service, Class: s.Class, Adapter: s.Adapter,
		Prompt: DescribePrompt(s.Prompt), MaxTokens: s.MaxTokens, Idempotent: true,
	}
	register := registerRequest{id: id, team: s.Team, mailbox: t.mailbox}
	if err := r.registry.mailbox.Send(ctx, register); err != nil {
		return nil, overloaded()
	}
	if !r.dispatcher.mailbox.TrySend(dispatcherMessage{message: submit, sender: &t.mailbox}) {
		_ = r.registry.mailbox.Send(ctx, forgetRequest{id: id})
		return nil, overloaded()
	}
	r.tasks.Go("request", func(ctx context.Context) error {
		t.Run(ctx)
		return r.registry.mailbox.Send(ctx, forgetRequest{id: id})
	})
	return &Handle{ID: id, mailbox: t.mailbox}, nil
}

// Find returns the handle of a request that belongs to the team.
func (r *Router) Find(ctx context.Context, id fleet.RequestID, team fleet.TeamName) (*Handle, *fleet.Refusal) {
	reply := make(chan findReply, 1)
	if err := r.registry.mailbox.Send(ctx, findRequest{id: id, team: team, reply: reply}); err != nil {
		return nil, overloaded()
	}
	found := <-reply
	if !found.found {
		return nil, fleet.Refuse(fleet.RefusedNotFound, 0, "no such request is known for this team; check the id")
	}
	return &Handle{ID: id, mailbox: found.mailbox}, nil
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
	case <-ctx.Done():
		return Frames{}, context.Cause(ctx)
	}
}

// Abandon tells the request that its caller left.
func (h *Handle) Abandon() {
	h.mailbox.TrySend(coreMessage{message: request.CallerGone{}})
}

func overloaded() *fleet.Refusal {
	return fleet.Refuse(fleet.RefusedOverload, overloadRetryAfter,
		"the router is overloaded; retry after the stated delay")
}
