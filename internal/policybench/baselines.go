package policybench

import (
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// hashBlocks is the number of prefix blocks that plain prefix hashing uses.
const hashBlocks = 12

// pick chooses one of the live endpoints of a service.
type pick func(b *baseline, live []*target, submit dispatch.Submit) *target

type target struct {
	endpoint    dispatch.Endpoint
	outstanding int
}

type placed struct {
	submit  dispatch.Submit
	attempt fleet.AttemptNumber
	on      *target
}

// baseline grants every request at once and retries every failure.
type baseline struct {
	pick     pick
	random   *rand.Rand
	next     int
	targets  []*target
	requests map[fleet.RequestID]*placed
}

func newBaseline(p pick) func(u *user, router int) Policy {
	return func(u *user, router int) Policy {
		random := rand.New(rand.NewPCG(u.seed, 100+uint64(router)))
		return &baseline{pick: p, random: random, next: router, requests: map[fleet.RequestID]*placed{}}
	}
}

// Step implements Policy.
func (b *baseline) Step(_ time.Duration, msg dispatch.Message) []dispatch.Action {
	switch msg := msg.(type) {
	case dispatch.Submit:
		b.requests[msg.Request] = &placed{submit: msg}
		return b.place(msg.Request, "")
	case dispatch.Retry:
		return b.place(msg.Request, msg.Avoid)
	case dispatch.AttemptEnded:
		b.ended(msg)
	case dispatch.Endpoints:
		b.replace(msg.List)
	case dispatch.ReclaimNotice:
		for _, t := range b.targets {
			t.endpoint.Leaving = t.endpoint.Leaving || t.endpoint.ID == msg.Endpoint
		}
	}
	return nil
}

func (b *baseline) ended(msg dispatch.AttemptEnded) {
	r, ok := b.requests[msg.Request]
	if ok && r.on != nil {
		r.on.outstanding--
		r.on = nil
	}
	if msg.Final {
		delete(b.requests, msg.Request)
	}
}

func (b *baseline) replace(list []dispatch.Endpoint) {
	known := lo.KeyBy(b.targets, func(t *target) fleet.EndpointID { return t.endpoint.ID })
	b.targets = lo.Map(list, func(e dispatch.Endpoint, _ int) *target {
		if t, ok := known[e.ID]; ok {
			t.endpoint.Leaving = t.endpoint.Leaving || e.Leaving
			return t
		}
		return &target{endpoint: e}
	})
}

func (b *baseline) place(id fleet.RequestID, avoid fleet.EndpointID) []dispatch.Action {
	r := b.requests[id]
	live := lo.Filter(b.targets, func(t *target, _ int) bool {
		return t.endpoint.Service == r.submit.Service && !t.endpoint.Leaving && t.endpoint.ID != avoid
	})
	if len(live) == 0 {
		delete(b.requests, id)
		return []dispatch.Action{dispatch.Refuse{Request: id, Refusal: fleet.Refuse(fleet.RefusedNoEndpoint, time.Second, "")}}
	}
	t := b.pick(b, live, r.submit)
	t.outstanding++
	r.attempt++
	r.on = t
	return []dispatch.Action{dispatch.Grant{Request: id, Attempt: r.attempt, Endpoint: t.endpoint}}
}

func roundRobin(b *baseline, live []*target, _ dispatch.Submit) *target {
	b.next++
	return live[b.next%len(live)]
}

func leastOutstanding(b *baseline, live []*target, _ dispatch.Submit) *target {
	offset := b.random.IntN(len(live))
	best := live[offset]
	for i := range live {
		if t := live[(offset+i)%len(live)]; t.outstanding < best.outstanding {
			best = t
		}
	}
	return best
}

func twoChoices(b *baseline, live []*target, _ dispatch.Submit) *target {
	first, second := live[b.random.IntN(len(live))], live[b.random.IntN(len(live))]
	if second.outstanding < first.outstanding {
		return second
	}
	return first
}

// prefixHash uses rendezvous hashing over a fixed number of prefix blocks.
func prefixHash(b *baseline, live []*target, submit dispatch.Submit) *target {
	blocks := submit.Prompt.Blocks
	if len(blocks) == 0 {
		return roundRobin(b, live, submit)
	}
	key := blocks[min(hashBlocks, len(blocks))-1]
	return lo.MaxBy(live, func(a, best *target) bool {
		return mix64(key^hashID(a.endpoint.ID)) > mix64(key^hashID(best.endpoint.ID))
	})
}

func hashID(id fleet.EndpointID) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return mix64(h)
}
