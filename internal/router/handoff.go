package router

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/handoff"
	"github.com/cornelhold/cornelhold/internal/core/reclaim"
	"github.com/cornelhold/cornelhold/internal/core/request"
	"github.com/cornelhold/cornelhold/internal/peer"
)

// Offer implements peer.HandoffHandler.
func (r *Router) Offer(ctx context.Context, open handoff.Request) bool {
	if r.draining.Load() {
		return false
	}
	accepted, ok := askTask(ctx, r.handoffTask.mailbox, func(reply chan bool) any {
		return offerRecord{request: open, reply: reply}
	})
	return ok && accepted
}

// Take implements peer.HandoffHandler. A request that runs here is handed over
// too: its caller has reconnected to another router.
func (r *Router) Take(ctx context.Context, call handoff.TakeoverCall) handoff.TakeoverReply {
	if found, ok := r.find(ctx, call.ID, call.Team); ok {
		if result, ok := r.takeOverRunning(ctx, found, call); ok {
			return result
		}
	}
	result, _ := askTask(ctx, r.handoffTask.mailbox, func(reply chan handoff.TakeoverReply) any {
		return takeOverRecord{call: call, reply: reply}
	})
	return result
}

// takeOverRunning hands over a running request. The steps are completed even if the
// calling router disconnects before the response is written; the handoff task then
// responds to the repeated call.
func (r *Router) takeOverRunning(ctx context.Context, entry registryEntry, call handoff.TakeoverCall) (handoff.TakeoverReply, bool) {
	ctx = context.WithoutCancel(ctx)
	if call.Peek {
		record, ok := askRequest(ctx, entry, func(reply chan request.Record) any { return peekRequest{reply: reply} })
		if !ok {
			return handoff.TakeoverReply{}, false
		}
		open := entry.handoffRequest(record)
		return handoff.TakeoverReply{Request: &open}, true
	}
	record, ok := askRequest(ctx, entry, func(reply chan *request.Record) any {
		return freezeRequest{takeover: true, reply: reply}
	})
	if !ok || record == nil {
		return handoff.TakeoverReply{}, false
	}
	open := entry.handoffRequest(*record)
	// The copy is stored before the request ends here, so that a search finds
	// the request at any time.
	_ = r.handoffTask.mailbox.Send(ctx, recordMoved{request: open, newOwner: call.NewOwner})
	_ = entry.mailbox.Send(ctx, machineMessage{message: request.HandedOver{}})
	r.metrics.handoffs.WithLabelValues("taken").Inc()
	return handoff.TakeoverReply{Request: &open}, true
}

func (e registryEntry) handoffRequest(record request.Record) handoff.Request {
	s := e.submission
	return handoff.Request{
		ID: e.id, Team: s.Team, Service: s.Service, Class: s.Class, Adapter: s.Adapter, Model: s.Model,
		Prompt: s.Prompt, MaxTokens: s.MaxTokens, Record: record,
	}
}

// Find returns the handle of a request of the team. A request of another router
// is taken over and continues here.
func (r *Router) Find(ctx context.Context, id fleet.RequestID, team fleet.TeamName) (*Handle, *fleet.Refusal) {
	if entry, ok := r.find(ctx, id, team); ok {
		return r.attach(ctx, entry)
	}
	if r.draining.Load() {
		return nil, drainingRefusal()
	}
	result, ok := askTask(ctx, r.handoffTask.mailbox, func(reply chan searchResult) any {
		return searchRequest{id: id, team: team, reply: reply, search: func(ctx context.Context) searchResult {
			return r.search(ctx, id, team)
		}}
	})
	if !ok {
		return nil, overloadedRefusal()
	}
	if result.refusal != nil {
		return nil, result.refusal
	}
	entry := registryEntry{id: id, submission: Submission{Model: result.handle.Model}, mailbox: result.handle.mailbox, done: result.handle.done}
	return r.attach(ctx, entry)
}

// Status returns the record of a request on any router without taking it over.
func (r *Router) Status(ctx context.Context, id fleet.RequestID, team fleet.TeamName) (request.Record, *fleet.Refusal) {
	s := r.newSearch(ctx, handoff.TakeoverCall{ID: id, Team: team, Peek: true})
	for s.Found() == nil && r.queryNext(ctx, s) {
		continue
	}
	if s.Found() == nil {
		return request.Record{}, notFoundRefusal()
	}
	return s.Found().Record, nil
}

func (r *Router) find(ctx context.Context, id fleet.RequestID, team fleet.TeamName) (registryEntry, bool) {
	found, ok := askTask(ctx, r.registry.mailbox, func(reply chan findReply) any {
		return findRequest{id: id, team: team, reply: reply}
	})
	return found.entry, ok && found.found
}

func (r *Router) attach(ctx context.Context, entry registryEntry) (*Handle, *fleet.Refusal) {
	if entry.mailbox.Send(ctx, machineMessage{message: request.CallerAttached{}}) != nil {
		return nil, overloadedRefusal()
	}
	return &Handle{ID: entry.id, Model: entry.submission.Model, mailbox: entry.mailbox, done: entry.done}, nil
}

// search takes a request over from the router that has it and continues it here.
// The remaining routers are notified in the background.
func (r *Router) search(ctx context.Context, id fleet.RequestID, team fleet.TeamName) searchResult {
	if entry, ok := r.find(ctx, id, team); ok {
		return searchResult{handle: &Handle{ID: id, Model: entry.submission.Model, mailbox: entry.mailbox, done: entry.done}}
	}
	s := r.newSearch(ctx, handoff.TakeoverCall{ID: id, Team: team, NewOwner: r.self})
	for s.Found() == nil && r.queryNext(ctx, s) {
		continue
	}
	open, moving := s.Result()
	if moving {
		return searchResult{refusal: movedRefusal()}
	}
	if open == nil {
		return searchResult{refusal: notFoundRefusal()}
	}
	r.metrics.handoffs.WithLabelValues("restored").Inc()
	result := r.restore(ctx, *open)
	r.tasks.Go("tell routers", func(ctx context.Context) error {
		for r.queryNext(ctx, s) {
			continue
		}
		return nil
	})
	return result
}

// newSearch starts a search with the result of this router.
func (r *Router) newSearch(ctx context.Context, call handoff.TakeoverCall) *handoff.Search {
	members := r.directory.Members()
	routers := append(findOrigins(call.ID, members), reclaim.LookupCandidates(call.ID, lo.Map(members, toRouter))...)
	s := handoff.NewSearch(call, r.self, routers)
	s.Responded(r.self, r.Take(ctx, call))
	return s
}

// queryNext queries one router and returns false at the end of the search.
func (r *Router) queryNext(ctx context.Context, s *handoff.Search) bool {
	to, call, ok := s.Next()
	if !ok || ctx.Err() != nil {
		return false
	}
	if to == r.self {
		s.Responded(to, r.Take(ctx, call))
		return true
	}
	member, found := lo.Find(r.directory.Members(), func(m peer.Member) bool { return m.Instance == to })
	if !found {
		s.Failed(to)
		return true
	}
	reply, err := r.handoff.Take(ctx, member.Address, call)
	if err != nil {
		s.Failed(to)
		return true
	}
	s.Responded(to, reply)
	return true
}

func toRouter(m peer.Member, _ int) reclaim.Router {
	return reclaim.Router{Instance: m.Instance, DataCentre: m.DataCentre}
}

// restore continues a request on this router from its record.
func (r *Router) restore(ctx context.Context, open handoff.Request) searchResult {
	s := Submission{
		Team: open.Team, Service: open.Service, Class: open.Class, Adapter: open.Adapter, Model: open.Model,
		Prompt: open.Prompt, MaxTokens: open.MaxTokens, Streamed: open.Record.Streamed,
	}
	machine, actions := request.Restore(r.clock.Now(), open.ID, open.Record)
	t := r.newTask(open.ID, s, machine)
	t.initial = actions
	if refusal := r.start(ctx, t); refusal != nil {
		// The record is stored here for the next attempt.
		_ = r.handoffTask.mailbox.Send(ctx, recordMoved{request: open, newOwner: r.self})
		return searchResult{refusal: refusal}
	}
	return searchResult{handle: &Handle{ID: open.ID, Model: open.Model, mailbox: t.mailbox, done: t.done}}
}

// offerCopies offers a record to peers until HandoffCopies of them have stored
// it, and returns the number of copies.
func (r *Router) offerCopies(ctx context.Context, open handoff.Request) int {
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

// handOver hands over one request unless it is expected to end within the budget.
func (r *Router) handOver(ctx context.Context, entry registryEntry, budget time.Duration) {
	record, ok := askRequest(ctx, entry, func(reply chan *request.Record) any {
		return freezeRequest{budget: budget, reply: reply}
	})
	if !ok || record == nil {
		return
	}
	switch r.offerCopies(ctx, entry.handoffRequest(*record)) {
	case 0:
		r.metrics.handoffs.WithLabelValues("refused").Inc()
		_ = entry.mailbox.Send(ctx, machineMessage{message: request.HandoffRefused{}})
		return
	case 1:
		r.metrics.handoffs.WithLabelValues("one_copy").Inc()
	default:
		r.metrics.handoffs.WithLabelValues("two_copies").Inc()
	}
	_ = entry.mailbox.Send(ctx, machineMessage{message: request.HandedOver{}})
}

// newSubmitMessage returns the message that submits a request to the dispatcher.
func newSubmitMessage(id fleet.RequestID, s Submission, fingerprint fleet.Fingerprint) dispatch.Submit {
	return dispatch.Submit{
		Request: id, Team: s.Team, Service: s.Service, Class: s.Class, Adapter: s.Adapter,
		Prompt: DescribePrompt(s.Prompt), MaxTokens: s.MaxTokens, Fingerprint: fingerprint, Idempotent: true,
	}
}
