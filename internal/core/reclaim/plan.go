// Package reclaim plans what happens to the streams of an endpoint that is
// about to be reclaimed.
package reclaim

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Method tells how a stream survives the reclaim of its endpoint.
type Method uint8

// Methods.
const (
	// MethodFinish: the stream ends on its endpoint within the notice.
	MethodFinish Method = iota + 1
	// MethodTransfer: the KV cache is exported to the successor.
	MethodTransfer
	// MethodRecompute: the successor resumes from prompt plus generated tokens.
	MethodRecompute
)

// Stream is one stream on the leaving endpoint.
type Stream struct {
	Request fleet.RequestID
	Class   fleet.Class
	// PromptTokens and Generated are what a successor would have to recompute.
	PromptTokens int
	Generated    int
	// Remaining is the largest number of tokens still to be generated.
	Remaining int
}

// Rates are the measured speeds of the leaving endpoint.
type Rates struct {
	// TokenInterval is the time between two tokens of one stream.
	TokenInterval time.Duration
	// TransferPerToken is the time to export the KV cache of one token; 0 means
	// that the endpoint can't export.
	TransferPerToken time.Duration
}

// Move is the plan for one stream. Moves are carried out in the order in which
// Plan returns them.
type Move struct {
	Request fleet.RequestID
	Method  Method
}

// Plan chooses a method for each stream within the notice.
func Plan(streams []Stream, notice time.Duration, rates Rates) []Move {
	moves := make([]Move, 0, len(streams))
	for _, s := range streams {
		method := MethodRecompute
		if time.Duration(s.Remaining)*rates.TokenInterval <= notice {
			method = MethodFinish
		}
		moves = append(moves, Move{Request: s.Request, Method: method})
	}
	return moves
}
