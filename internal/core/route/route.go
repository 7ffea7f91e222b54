// Package route chooses the endpoint of a request: prefix affinity by
// rendezvous hashing over prompt-prefix blocks, bounded by load, with distance,
// price and role as smaller terms. A choice compares a bounded set of
// candidates, so that its cost does not grow with the fleet.
package route

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Endpoint describes one replica to the table.
type Endpoint struct {
	ID   fleet.EndpointID
	Role string
	// Model and Adapters restrict what the endpoint serves; empty means any model
	// or adapter of its service.
	Model    string
	Adapters []string
	// Slots is how many requests run at once; 0 means DefaultSlots.
	Slots   int
	Leaving bool
	// Distance is the one-way delay from this router.
	Distance time.Duration
	// Price is relative to the minimum price in the service; at least 1.
	Price float64
}

func (e *Endpoint) near() bool { return e.Distance <= maxNearDistance }

// Roles of engines. An empty role means RoleMixed.
const (
	RoleMixed   = "mixed"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// Request describes the properties of a request that a choice depends on.
type Request struct {
	Class   fleet.Class
	Model   string
	Adapter string
	// Blocks are chained hashes of the prompt's prefix blocks; Tokens is the
	// length of the prompt and BlockTokens that of one block, in tokens.
	Blocks      []uint64
	Tokens      int
	BlockTokens int
	// Generated is the number of tokens that an earlier attempt produced.
	Generated int
	// Avoid is chosen only when no other endpoint is live.
	Avoid fleet.EndpointID
	// Exclude are endpoints that run other crash suspects.
	Exclude []fleet.EndpointID
	// Contended reports that requests wait for endpoints or did recently.
	Contended bool
	// SpareOnly restricts the request to spare capacity: it leaves ReserveShare,
	// a fraction of each endpoint's slots, to requests within a guaranteed share.
	SpareOnly    bool
	ReserveShare float64
	// Force ignores the load limit; the endpoint with the lowest cost is chosen.
	Force bool
}

// Choice is the result of Choose. It is valid until the list is replaced.
type Choice struct {
	ID fleet.EndpointID
	// PrefillTokens is the expected number of tokens to process before the first
	// token is generated.
	PrefillTokens int
	slot          int32
}

const (
	// DefaultSlots is assumed for endpoints that do not report their slots.
	DefaultSlots = 64
	// maxCandidates bounds the endpoints compared in one choice.
	maxCandidates = 16
	// maxHolders bounds the endpoints recorded for one block, and the endpoints
	// with cached blocks that are added to the candidates.
	maxHolders = 8
	// maxNearDistance is the one-way delay up to which an endpoint counts as
	// near. Farther endpoints are behind expensive links.
	maxNearDistance = 20 * time.Millisecond
	// affinityBlocks is the depth of the prefix block whose hash selects the home
	// of a prompt. A greater depth distinguishes more prompts, a smaller one keeps
	// prompts with a common prefix on one endpoint.
	affinityBlocks = 12
	// shareBypassTokens is the number of cached tokens from which a router may
	// use a free slot outside its share without a margin.
	shareBypassTokens = 512
	// marginDivisor gives the margin, slots / marginDivisor, that must be free
	// before a router uses a slot in the part of another.
	marginDivisor = 4
	// homeSlack is the number of requests by which the load of a prompt's home
	// may exceed the mean.
	homeSlack = 8
	// longPromptTokens is the number of uncached prompt tokens from which an
	// endpoint with the prefill role is preferred.
	longPromptTokens = 1024
)

// Weights of the terms in the cost of a candidate, expressed as time.
const (
	// prefillPerToken estimates the time to process one prompt token.
	prefillPerToken = 60 * time.Microsecond
	// recomputePerToken is the additional cost of processing a token again that
	// another endpoint may have cached.
	recomputePerToken = 240 * time.Microsecond
	// loadWeight is the cost of a full batch; the cost grows with the square of
	// the share of used slots.
	loadWeight = 150 * time.Millisecond
	// priceWeight is the cost of one unit of relative price.
	priceWeight = 5 * time.Millisecond
	// roleWeight is the cost of an endpoint whose role is meant for other prompts.
	roleWeight = 200 * time.Millisecond
	// slownessWeight is the cost of an endpoint that takes twice the median time.
	slownessWeight = 200 * time.Millisecond
	// preemptionWeight is the cost of preempting batch work, whose tokens are
	// computed again.
	preemptionWeight = 50 * time.Millisecond
	// overloadWeight is the cost of each request beyond the endpoint's slots.
	overloadWeight = 500 * time.Millisecond
)

// prefillTokens is the number of tokens that an endpoint must process if it has
// the given number of leading blocks cached.
func (r *Request) prefillTokens(matched int) int {
	return max(r.Tokens-matched*r.BlockTokens, 0) + r.Generated
}

// key returns the hash that selects the home of the prompt, or false for a
// request without prefix blocks.
func (r *Request) key() (uint64, bool) {
	if len(r.Blocks) == 0 {
		return 0, false
	}
	return r.Blocks[min(len(r.Blocks), affinityBlocks)-1], true
}
