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

// selector chooses one of the live endpoints of a service.
type selector func(b *baseline, live []*target, submit dispatch.Submit) *target

// target is an endpoint with the number of attempts that run on it.
type target struct {
	endpoint    dispatch.Endpoint
	outstanding int
}

// assignment is the latest attempt of a request; target is nil between attempts.
type assignment struct {
	submit  dispatch.Submit
	attempt fleet.AttemptNumber
	target  *target
}

// baseline grants every request immediately and retries every failed attempt,
// without admission control or hedging.
type baseline struct {
	selectTarget selector
	random       *rand.Rand
	next         int
	targets      []*target
	requests     map[fleet.RequestID]*assignment
}

func newBaseline(selectTarget selector) func(u *user, router int) Policy {
	return func(u *user, router int) Policy {
		random := rand.New(rand.NewPCG(u.seed, 100+uint64(router)))
		return &baseline{selectTarget: selectTarget, random: random, next: router, requests: map[fleet.RequestID]*assignment{}}
	}
}

// Step implements Policy.
func (b *baseline) Step(_ time.Duration, msg dispatch.Message) []dispatch.Action {
	switch msg := msg.(type) {
	case dispatch.Submit:
		b.requests[msg.Request] = &assignment{submit: msg}
		return b.assign(msg.Request, "")
	case dispatch.Retry:
		return b.assign(msg.Request, msg.Avoid)
	case dispatch.AttemptEnded:
		b.attemptEnded(msg)
	case dispatch.Endpoints:
		b.updateTargets(msg.List)
	case dispatch.ReclaimNotice:
		for _, t := range b.targets {
			t.endpoint.Leaving = t.endpoint.Leaving || t.endpoint.ID == msg.Endpoint
		}
	}
	return nil
}

func (b *baseline) attemptEnded(msg dispatch.AttemptEnded) {
	r, ok := b.requests[msg.Request]
	if ok && r.target != nil {
		r.target.outstanding--
		r.target = nil
	}
	if msg.Final {
		delete(b.requests, msg.Request)
	}
}

func (b *baseline) updateTargets(list []dispatch.Endpoint) {
	existing := lo.KeyBy(b.targets, func(t *target) fleet.EndpointID { return t.endpoint.ID })
	b.targets = lo.Map(list, func(e dispatch.Endpoint, _ int) *target {
		if t, ok := existing[e.ID]; ok {
			t.endpoint.Leaving = t.endpoint.Leaving || e.Leaving
			return t
		}
		return &target{endpoint: e}
	})
}

func (b *baseline) assign(id fleet.RequestID, avoid fleet.EndpointID) []dispatch.Action {
	r := b.requests[id]
	live := lo.Filter(b.targets, func(t *target, _ int) bool {
		return t.endpoint.Service == r.submit.Service && !t.endpoint.Leaving && t.endpoint.ID != avoid
	})
	if len(live) == 0 {
		delete(b.requests, id)
		return []dispatch.Action{dispatch.Refuse{Request: id, Refusal: fleet.Refuse(fleet.RefusedNoEndpoint, time.Second, "")}}
	}
	t := b.selectTarget(b, live, r.submit)
	t.outstanding++
	r.attempt++
	r.target = t
	return []dispatch.Action{dispatch.Grant{Request: id, Attempt: r.attempt, Endpoint: t.endpoint}}
}

func roundRobin(b *baseline, live []*target, _ dispatch.Submit) *target {
	b.next++
	return live[b.next%len(live)]
}

func leastOutstanding(b *baseline, live []*target, _ dispatch.Submit) *target {
	offset := b.random.IntN(len(live))
	chosen := live[offset]
	for i := range live {
		if t := live[(offset+i)%len(live)]; t.outstanding < chosen.outstanding {
			chosen = t
		}
	}
	return chosen
}

func twoChoices(b *baseline, live []*target, _ dispatch.Submit) *target {
	first, second := live[b.random.IntN(len(live))], live[b.random.IntN(len(live))]
	if second.outstanding < first.outstanding {
		return second
	}
	return first
}

// prefixHash uses rendezvous hashing of a fixed number of prefix blocks.
func prefixHash(b *baseline, live []*target, submit dispatch.Submit) *target {
	blocks := submit.Prompt.Blocks
	if len(blocks) == 0 {
		return roundRobin(b, live, submit)
	}
	key := blocks[min(hashBlocks, len(blocks))-1]
	return lo.MaxBy(live, func(a, chosen *target) bool {
		return mix64(key^hashID(a.endpoint.ID)) > mix64(key^hashID(chosen.endpoint.ID))
	})
}

// hashID is the 64-bit FNV-1a hash of an endpoint id, mixed by mix64.
func hashID(id fleet.EndpointID) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return mix64(h)
}
