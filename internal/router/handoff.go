package router

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/reclaim"
	"github.com/cornelhold/cornelhold/internal/core/request"
	"github.com/cornelhold/cornelhold/internal/peer"
)

// Offer implements peer.HandoffHandler.
func (r *Router) Offer(ctx context.Context, open peer.OpenRequest) bool {
	if r.draining.Load() {
		return false
	}
	accepted, ok := askTask(ctx, r.holder.mailbox, func(reply chan bool) any {
		return offerRecord{request: open, reply: reply}
	})
	return ok && accepted
}

// Take implements peer.HandoffHandler. A request that runs here is taken over
// too: its caller reconnected elsewhere, so its connection here is of no use.
func (r *Router) Take(ctx context.Context, call peer.TakeCall) peer.Taken {
	if found, ok := r.find(ctx, call.ID, call.Team); ok {
		if taken, ok := r.takeRunning(ctx, found, call); ok {
			return taken
		}
	}
	taken, _ := askTask(ctx, r.holder.mailbox, func(reply chan peer.Taken) any {
		return takeRecord{call: call, reply: reply}
	})
	return taken
}

func (r *Router) takeRunning(ctx context.Context, entry registerRequest, call peer.TakeCall) (peer.Taken, bool) {
	if call.Peek {
		record, ok := askRequest(ctx, entry, func(reply chan request.Record) any { return peekRequest{reply: reply} })
		if !ok {
			return peer.Taken{}, false
		}
		open := entry.open(record)
		return peer.Taken{Request: &open}, true
	}
	record, ok := askRequest(ctx, entry, func(reply chan *request.Record) any {
		return freezeRequest{budget: -1, reply: reply}
	})
	if !ok || record == nil {
		return peer.Taken{}, false
	}
	open := entry.open(*record)
	// The copy is stored before the request ends here, so that no search fails
	// to find it in between.
	_ = r.holder.mailbox.Send(ctx, recordMoved{request: open, taker: call.Taker})
	_ = entry.mailbox.Send(ctx, coreMessage{message: request.HandedOver{}})
	r.metrics.handoffs.WithLabelValues("taken").Inc()
	return peer.Taken{Request: &open}, true
}

func (e registerRequest) open(record request.Record) peer.OpenRequest {
	s := e.submission
	return peer.OpenRequest{
		ID: e.id, Team: s.Team, Service: s.Service, Class: s.Class, Adapter: s.Adapter, Model: s.Model,
		Prompt: s.Prompt, MaxTokens: s.MaxTokens, Record: record,
	}
}

// Find returns the handle of a request that belongs to the team. A request
// that another router holds is taken over and continues here.
func (r *Router) Find(ctx context.Context, id fleet.RequestID, team fleet.TeamName) (*Handle, *fleet.Refusal) {
	if entry, ok := r.find(ctx, id, team); ok {
		return r.attach(ctx, entry)
	}
	if r.draining.Load() {
		return nil, draining()
	}
	result, ok := askTask(ctx, r.holder.mailbox, func(reply chan located) any {
		return locateRequest{id: id, team: team, reply: reply, search: func(ctx context.Context) located {
			return r.search(ctx, id, team)
		}}
	})
	if !ok {
		return nil, overloaded()
	}
	if result.refusal != nil {
		return nil, result.refusal
	}
	entry := registerRequest{id: id, submission: Submission{Model: result.handle.Model}, mailbox: result.handle.mailbox, done: result.handle.done}
	return r.attach(ctx, entry)
}

// Status returns the record of a request wherever it is, and leaves it there.
func (r *Router) Status(ctx context.Context, id fleet.RequestID, team fleet.TeamName) (request.Record, *fleet.Refusal) {
	call := peer.TakeCall{ID: id, Team: team, Taker: r.self, Peek: true}
	if taken := r.Take(ctx, call); taken.Request != nil && taken.MovedTo == "" {
		return taken.Request.Record, nil
	}
	open := r.ask(ctx, call)
	if open == nil {
		return request.Record{}, notFound()
	}
	return open.Record, nil
}

func (r *Router) find(ctx context.Context, id fleet.RequestID, team fleet.TeamName) (registerRequest, bool) {
	found, ok := askTask(ctx, r.registry.mailbox, func(reply chan findReply) any {
		return findRequest{id: id, team: team, reply: reply}
	})
	return found.entry, ok && found.found
}

func (r *Router) attach(ctx context.Context, entry registerRequest) (*Handle, *fleet.Refusal) {
	if entry.mailbox.Send(ctx, coreMessage{message: request.CallerAttached{}}) != nil {
		return nil, overloaded()
	}
	return &Handle{ID: entry.id, Model: entry.submission.Model, mailbox: entry.mailbox, done: entry.done}, nil
}

// search takes a request over from whichever router has it and continues it.
func (r *Router) search(ctx context.Context, id fleet.RequestID, team fleet.TeamName) located {
	if entry, ok := r.find(ctx, id, team); ok {
		return located{handle: &Handle{ID: id, Model: entry.submission.Model, mailbox: entry.mailbox, done: entry.done}}
	}
	call := peer.TakeCall{ID: id, Team: team, Taker: r.self}
	open := r.Take(ctx, call).Request
	if open == nil {
		open = r.ask(ctx, call)
	} else {
		r.tasks.Go("release copies", func(ctx context.Context) error {
			r.ask(ctx, call)
			return nil
		})
	}
	if open == nil {
		return located{refusal: notFound()}
	}
	r.metrics.handoffs.WithLabelValues("restored").Inc()
	return located{handle: r.restore(ctx, *open)}
}

// ask asks the routers that may know the request, one after the other, and
// follows the one that took it over. If that one is gone, the copy of the
// router that named it is used.
func (r *Router) ask(ctx context.Context, call peer.TakeCall) *peer.OpenRequest {
	members := lo.KeyBy(r.directory.Members(), func(m peer.Member) fleet.InstanceID { return m.Instance })
	queue := reclaim.LookupCandidates(call.ID, lo.Map(r.directory.Members(), toRouter))
	queue = append(originsOf(call.ID, r.directory.Members()), queue...)
	asked := map[fleet.InstanceID]bool{r.self: true}
	var found *peer.OpenRequest
	var named []fleet.InstanceID
	for len(queue) > 0 {
		next := queue[0]
		queue = queue[1:]
		member, ok := members[next]
		if asked[next] || !ok {
			continue
		}
		asked[next] = true
		taken, err := r.handoff.Take(ctx, member.Address, call)
		if err != nil {
			continue
		}
		if taken.MovedTo != "" {
			named = append(named, next)
			queue = append([]fleet.InstanceID{taken.MovedTo}, queue...)
		}
		if taken.Request != nil && taken.MovedTo == "" && found == nil {
			// The others are still asked, so that they learn who has it.
			found = taken.Request
		}
	}
	if found != nil {
		return found
	}
	return r.copyOf(ctx, call, named, members)
}

// copyOf peeks at the copies of a request whose taker is gone.
func (r *Router) copyOf(ctx context.Context, call peer.TakeCall, named []fleet.InstanceID, members map[fleet.InstanceID]peer.Member) *peer.OpenRequest {
	call.Peek = true
	for _, instance := range named {
		if taken, err := r.handoff.Take(ctx, members[instance].Address, call); err == nil && taken.Request != nil {
			return taken.Request
		}
	}
	return nil
}

func toRouter(m peer.Member, _ int) reclaim.Router {
	return reclaim.Router{Instance: m.Instance, DataCentre: m.DataCentre}
}

// restore continues a request from its record.
func (r *Router) restore(_ context.Context, open peer.OpenRequest) *Handle {
	s := Submission{
		Team: open.Team, Service: open.Service, Class: open.Class, Adapter: open.Adapter, Model: open.Model,
		Prompt: open.Prompt, MaxTokens: open.MaxTokens, Streamed: open.Record.Streamed,
	}
	machine, actions := request.Restore(r.clock.Now(), open.ID, open.Record)
	t := r.newTask(open.ID, s, machine)
	t.initial = actions
	_ = r.start(context.Background(), t)
	return &Handle{ID: open.ID, Model: open.Model, mailbox: t.mailbox, done: t.done}
}

// offer hands a record to HandoffCopies peers and returns how many hold it.
func (r *Router) offer(ctx context.Context, open peer.OpenRequest) int {
	self := reclaim.Router{Instance: r.self, DataCentre: r.dataCentre}
	live := lo.Filter(r.directory.Members(), func(m peer.Member, _ int) bool { return !m.Leaving })
	members := lo.KeyBy(live, func(m peer.Member) fleet.InstanceID { return m.Instance })
	copies := 0
	for _, instance := range reclaim.HandoffCandidates(open.ID, self, lo.Map(live, toRouter)) {
		if copies == reclaim.HandoffCopies {
			break
		}
		if r.handoff.Offer(ctx, members[instance].Address, open) == nil {
			copies++
		}
	}
	return copies
}

// handOver moves one request away unless it ends within the budget.
func (r *Router) handOver(ctx context.Context, entry registerRequest, budget time.Duration) {
	record, ok := askRequest(ctx, entry, func(reply chan *request.Record) any {
		return freezeRequest{budget: budget, reply: reply}
	})
	if !ok || record == nil {
		return
	}
	switch r.offer(ctx, entry.open(*record)) {
	case 0:
		r.metrics.handoffs.WithLabelValues("refused").Inc()
		_ = entry.mailbox.Send(ctx, coreMessage{message: request.HandoffRefused{}})
		return
	case 1:
		r.metrics.handoffs.WithLabelValues("one_copy").Inc()
	default:
		r.metrics.handoffs.WithLabelValues("two_copies").Inc()
	}
	_ = entry.mailbox.Send(ctx, coreMessage{message: request.HandedOver{}})
}

// submitMessage is the dispatcher's view of a request.
func submitMessage(id fleet.RequestID, s Submission, fingerprint fleet.Fingerprint) dispatch.Submit {
	return dispatch.Submit{
		Request: id, Team: s.Team, Service: s.Service, Class: s.Class, Adapter: s.Adapter,
		Prompt: DescribePrompt(s.Prompt), MaxTokens: s.MaxTokens, Fingerprint: fingerprint, Idempotent: true,
	}
}
