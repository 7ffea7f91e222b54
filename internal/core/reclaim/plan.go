// Package reclaim plans what happens to the streams of an endpoint that is
// about to be reclaimed, and which routers receive the open requests of a
// router that is.
package reclaim

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// finishMarginPercent and finishMargin are the margins required for a stream to
	// finish on its endpoint, because the time between tokens grows while other
	// streams are exported.
	finishMarginPercent = 10
	finishMargin        = 200 * time.Millisecond
	// transferMargin is reserved at the end of the notice for the last import.
	transferMargin = 200 * time.Millisecond
	// transferOverhead is the fixed part of the time of one transfer.
	transferOverhead = 5 * time.Millisecond
)

// Method is the way in which a stream survives the reclaim of its endpoint.
type Method uint8

// Methods.
const (
	// MethodFinish: the stream finishes on its endpoint within the notice.
	MethodFinish Method = iota + 1
	// MethodTransfer: the KV cache is exported to the successor.
	MethodTransfer
	// MethodRecompute: the successor resumes from prompt plus generated tokens.
	MethodRecompute
)

// String returns the name used in metrics.
func (m Method) String() string {
	switch m {
	case MethodFinish:
		return "finish"
	case MethodTransfer:
		return "transfer"
	case MethodRecompute:
		return "recompute"
	default:
		return "invalid"
	}
}

// Stream is one stream on the leaving endpoint.
type Stream struct {
	Request fleet.RequestID
	Class   fleet.Class
	// PromptTokens and Generated are the numbers of tokens that a successor would
	// have to recompute.
	PromptTokens int
	Generated    int
	// Remaining is the maximum number of tokens still to be generated.
	Remaining int
}

func (s Stream) tokens() int { return s.PromptTokens + s.Generated }

// Rates are the measured speeds of the leaving endpoint.
type Rates struct {
	// TokenInterval is the time between two tokens of one stream.
	TokenInterval time.Duration
	// TransferPerToken is the time to export the KV cache of one token; 0 means
	// that the endpoint can't export.
	TransferPerToken time.Duration
}

// Link is the network path that all transfers of a batch share.
type Link struct {
	// PerToken is the time to transfer the KV cache of one token; 0 means that
	// the link does not limit the transfers.
	PerToken time.Duration
	// BusyFor is the time for which transfers of an earlier batch still occupy the
	// link.
	BusyFor time.Duration
}

// LeavingEndpoint is one endpoint of a batch that is reclaimed together.
type LeavingEndpoint struct {
	Endpoint fleet.EndpointID
	// Notice is the time until the endpoint is reclaimed.
	Notice  time.Duration
	Rates   Rates
	Streams []Stream
}

// Move is the plan for one stream. Moves are performed in the order in which Plan
// returns them.
type Move struct {
	Request fleet.RequestID
	Method  Method
}

// Plan chooses a method for each stream of one endpoint within the notice.
func Plan(streams []Stream, notice time.Duration, rates Rates) []Move {
	return PlanBatch([]LeavingEndpoint{{Notice: notice, Rates: rates, Streams: streams}}, Link{})
}

// PlanBatch chooses a method for each stream of a batch of endpoints, so that few
// tokens are recomputed. Streams that finish within their notice stay. The others
// are transferred greedily, those with the most tokens first, as long as every
// transfer meets its notice: finding the optimal set is a knapsack problem, and
// the greedy set saves at least half as many tokens if all notices are equal.
// Recomputed streams move first, since every token that they generate on the
// leaving endpoint until then is recomputed too; transfers follow in the order of
// their notices, shortest first.
func PlanBatch(batch []LeavingEndpoint, link Link) []Move {
	var finish, recompute []Stream
	var candidates []transfer
	for i, e := range batch {
		for _, s := range e.Streams {
			switch {
			case finishesInTime(s, e):
				finish = append(finish, s)
			case e.Rates.TransferPerToken > 0:
				candidates = append(candidates, newTransfer(s, i, e, link))
			default:
				recompute = append(recompute, s)
			}
		}
	}
	transfers, rejected := selectTransfers(candidates, len(batch), link.BusyFor)
	recompute = append(recompute, rejected...)
	slices.SortStableFunc(recompute, byClassAndLength)
	slices.SortStableFunc(finish, byClassAndLength)
	moves := appendMoves(nil, recompute, MethodRecompute)
	for _, t := range transfers {
		moves = append(moves, Move{Request: t.stream.Request, Method: MethodTransfer})
	}
	return appendMoves(moves, finish, MethodFinish)
}

func finishesInTime(s Stream, e LeavingEndpoint) bool {
	needed := time.Duration(s.Remaining) * e.Rates.TokenInterval
	return needed+needed*finishMarginPercent/100 <= e.Notice-finishMargin
}

// byClassAndLength orders streams by class, then by tokens to recompute, fewest
// first.
func byClassAndLength(a, b Stream) int {
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.tokens(), b.tokens()), cmp.Compare(a.Request, b.Request))
}

func appendMoves(moves []Move, streams []Stream, method Method) []Move {
	for _, s := range streams {
		moves = append(moves, Move{Request: s.Request, Method: method})
	}
	return moves
}

type transfer struct {
	stream   Stream
	endpoint int
	// exportTime occupies the endpoint, linkTime the link.
	exportTime time.Duration
	linkTime   time.Duration
	deadline   time.Duration
}

func newTransfer(s Stream, index int, e LeavingEndpoint, link Link) transfer {
	return transfer{
		stream:     s,
		endpoint:   index,
		exportTime: transferOverhead + time.Duration(s.tokens())*e.Rates.TransferPerToken,
		linkTime:   time.Duration(s.tokens()) * link.PerToken,
		deadline:   e.Notice - transferMargin,
	}
}

func byDeadline(a, b transfer) int {
	return cmp.Or(cmp.Compare(a.deadline, b.deadline), cmp.Compare(a.endpoint, b.endpoint), byClassAndLength(a.stream, b.stream))
}

// selectTransfers returns the chosen transfers in the order of their deadlines
// and the streams that don't fit.
func selectTransfers(candidates []transfer, endpoints int, busy time.Duration) ([]transfer, []Stream) {
	slices.SortStableFunc(candidates, func(a, b transfer) int {
		return cmp.Or(cmp.Compare(b.stream.tokens(), a.stream.tokens()), cmp.Compare(a.stream.Request, b.stream.Request))
	})
	var chosen []transfer
	var rejected []Stream
	for _, t := range candidates {
		position, _ := slices.BinarySearchFunc(chosen, t, byDeadline)
		tentative := slices.Insert(slices.Clone(chosen), position, t)
		if feasible(tentative, endpoints, busy) {
			chosen = tentative
		} else {
			rejected = append(rejected, t.stream)
		}
	}
	return chosen, rejected
}

// feasible reports whether all transfers meet their deadlines in the given order.
// Each endpoint exports its streams sequentially, and the link carries all
// transfers sequentially; a transfer is complete when both are.
func feasible(transfers []transfer, endpoints int, busy time.Duration) bool {
	exported := make([]time.Duration, endpoints)
	sent := busy
	for _, t := range transfers {
		exported[t.endpoint] += t.exportTime
		sent += t.linkTime
		if exported[t.endpoint] > t.deadline || sent > t.deadline {
			return false
		}
	}
	return true
}
