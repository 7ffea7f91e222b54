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
	// Model and Adapters restrict what the endpoint serves; empty means that it
	// serves whatever its service is asked for.
	Model    string
	Adapters []string
	// Slots is how many requests run at once; 0 means DefaultSlots.
	Slots   int
	Leaving bool
	// Distance is the one-way delay from this router.
	Distance time.Duration
	// Price is relative to the cheapest endpoint of the service; at least 1.
	Price float64
}

func (e *Endpoint) near() bool { return e.Distance <= maxNearDistance }

// Roles of engines. An empty role means RoleMixed.
const (
	RoleMixed   = "mixed"
	RolePrefill = "prefill"
	RoleDecode  = "decode"
)

// Request describes what a choice depends on.
type Request struct {
	Class   fleet.Class
	Model   string
	Adapter string
	// Blocks are chained hashes of the prefix blocks; Tokens is the length of
	// the prompt, BlockTokens the length of one block.
	Blocks      []uint64
	Tokens      int
	BlockTokens int
	// Generated is the number of tokens that an earlier attempt produced.
	Generated int
	// Avoid is chosen only when no other endpoint is live.
	Avoid fleet.EndpointID
	// Exclude are endpoints that run other crash suspects.
	Exclude []fleet.EndpointID
	// Queued tells that requests wait for endpoints or did a moment ago.
	Contended bool
	// Spare restricts the request to spare capacity: it leaves the share Reserve
	// of each endpoint's slots to requests within a guaranteed share.
	SpareOnly    bool
	ReserveShare float64
	// Force ignores the load bound; the least costly endpoint is chosen.
	Force bool
}

// Choice is the result of Choose. It is valid until the list is replaced.
type Choice struct {
	ID fleet.EndpointID
	// Missing is the expected number of tokens to process before the first one.
	PrefillTokens int
	slot          int32
}

const (
	// DefaultSlots is assumed for endpoints that do not state their slots.
	DefaultSlots = 64
	// maxCandidates bounds the endpoints compared in one choice.
	maxCandidates = 16
	// maxHolders bounds the known holders that are added to the candidates.
	maxHolders = 8
	// nearBound separates near endpoints from those over expensive links.
	maxNearDistance = 20 * time.Millisecond
	// affinityBlocks is the depth of the prefix block that selects the home of
	// a prompt. Deeper blocks tell more prompts apart, shallower ones keep
	// prompts with a common prefix together.
	affinityBlocks = 12
	// sharingTokens is the number of cached tokens for which a router uses a
	// free slot outside its share.
	shareBypassTokens = 512
	// marginDivisor gives the number of slots that must look free before a
	// router uses one that belongs to the part of another, one slot in six.
	marginDivisor = 4
	// homeSlack is how far the load of a prompt's home may exceed the mean.
	homeSlack = 8
	// longPrompt is the number of missing tokens from which an endpoint with
	// the prefill role is preferred.
	longPromptTokens = 1024
)

// Weights of the cost of a candidate, as time.
const (
	// prefillPerToken estimates the time to process one prompt token.
	prefillPerToken = 60 * time.Microsecond
	// recomputePerToken is the additional weight of a token that some endpoint
	// may have cached.
	recomputePerToken = 240 * time.Microsecond
	// loadWeight is the cost of a full batch; the cost grows with the square of
	// the share of used slots.
	loadWeight = 150 * time.Millisecond
	// priceWeight is the cost of one unit of relative price.
	priceWeight = 5 * time.Millisecond
	// roleWeight is the cost of an endpoint with another role.
	roleWeight = 200 * time.Millisecond
	// slowWeight is the cost of an endpoint that takes twice the typical time.
	slownessWeight = 200 * time.Millisecond
	// displaceWeight is the cost of displacing batch work, whose tokens are
	// computed again.
	preemptionWeight = 50 * time.Millisecond
	// overloadWeight is the cost of each request above the slots.
	overloadWeight = 500 * time.Millisecond
)

// missing is the number of tokens that an endpoint with a match of the given
// number of blocks has to process.
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
