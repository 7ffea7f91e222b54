// Package evacuation decides what happens to the running streams of an endpoint that the cloud
// takes back: which of them end in time, which are moved, in which order and where to, and how the
// move of one run proceeds through answers, closed streams and failures.
package evacuation

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// finishMargin is the part of a notice that is not counted on for a stream to end: the age of
	// the notice and the way of the last events.
	finishMargin = 300 * time.Millisecond
	// finishFactor is applied to the expected rest of a stream, since endpoints slow down for some
	// time.
	finishFactor = 1.5
	// MoveMargin is the part of a notice after which no move begins: the last copy and the
	// request that continues the run need it.
	MoveMargin = 100 * time.Millisecond
	// callOverhead is the time of the two calls of a move besides the copy.
	callOverhead = 10 * time.Millisecond
)

// Option is what happens to a stream of an endpoint that leaves.
type Option uint8

// Options.
const (
	// OptionFinish: the stream ends within the notice.
	OptionFinish Option = iota + 1
	// OptionMove: the run is moved with its memory.
	OptionMove
	// OptionResume: the stream is resumed at another endpoint once it is cut.
	OptionResume
	// OptionStay: there is no destination, or the time is over.
	OptionStay
)

// String returns the name used in logs and metrics.
func (o Option) String() string { return [...]string{"none", "finish", "move", "resume", "stay"}[o] }

// Stream is a running stream of an endpoint that leaves.
type Stream struct {
	ID uint64
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Tokens are the prompt tokens and the generated ones, Rest the most that are expected to
	// follow, -1 if that is not known.
	Tokens, Rest int
	// TokenTime is the time between two tokens of the stream so far, 0 if not known.
	TokenTime time.Duration
	// Resumable is set if the stream may be resumed at another endpoint without its memory.
	Resumable bool
}

// CopyTimePerToken returns the time to copy the memory of a token over a link, 0 if not known.
func CopyTimePerToken(bytesPerToken, mbps float64) time.Duration {
	const bitsPerByte, bitsPerMegabit = 8, 1e6
	if mbps <= 0 {
		return 0
	}
	return time.Duration(bytesPerToken * bitsPerByte / (mbps * bitsPerMegabit) * float64(time.Second))
}

// Decision is the option for a stream.
type Decision struct {
	Stream Stream
	Option Option
}

// Plan chooses an option for each stream of an endpoint that is gone after the notice. Decisions
// are in the order in which the moves begin: urgent routes first, then the streams with the most
// tokens, whose repetition would cost most. Moves that do not fit into the notice one after the
// other are left to resumption where the route allows it; others are tried, since they would be
// lost anyway. Streams that end in time cost nothing and are not moved.
func Plan(streams []Stream, notice, copyPerToken time.Duration) []Decision {
	ordered := slices.Clone(streams)
	slices.SortFunc(ordered, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Tokens, a.Tokens), cmp.Compare(a.ID, b.ID))
	})
	plan := make([]Decision, 0, len(ordered))
	busy := time.Duration(0)
	for _, s := range ordered {
		option := OptionMove
		needed := callOverhead + time.Duration(s.Tokens)*copyPerToken
		switch {
		case s.finishes(notice):
			option = OptionFinish
		case s.Resumable && busy+needed > notice-MoveMargin:
			option = OptionResume
		default:
			busy += needed
		}
		plan = append(plan, Decision{Stream: s, Option: option})
	}
	return plan
}

func (s Stream) finishes(notice time.Duration) bool {
	if s.Rest < 0 || s.TokenTime <= 0 {
		return false
	}
	rest := float64(s.Rest) * float64(s.TokenTime) * finishFactor
	return rest <= float64(notice-finishMargin)
}

// Destination is an endpoint to which a run can be moved.
type Destination struct {
	// Hash is a hash of the endpoint's id.
	Hash uint64
	// Free is the number of its free slots, as far as known.
	Free int
	// Remote is set if it is in another data centre than the source.
	Remote bool
}

const (
	// fullWeight is the weight of a destination without free slots. Loads are some tenths of a
	// second old, so that a slot may be free nevertheless.
	fullWeight = 0.05
	// remoteWeight is applied to destinations in other data centres, where a copy takes twice as
	// long.
	remoteWeight = 0.5
)

// Score ranks a destination for one run by weighted rendezvous hashing; the greatest score is
// chosen. Runs are thus spread over the destinations in proportion to their free slots, also by
// instances that do not know of each other's choices. random is a random number of the run.
func (d Destination) Score(random float64) float64 {
	weight := max(float64(d.Free), fullWeight)
	if d.Remote {
		weight *= remoteWeight
	}
	const mantissa = 1 << 53
	uniform := (float64(mix(d.Hash^math.Float64bits(random))>>11) + 0.5) / mantissa
	return weight / -math.Log(uniform)
}

// mix mixes the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

const (
	// minLengths is the number of responses from which their lengths are used, lengthSmoothing the
	// weight of a new one once there are many.
	minLengths      = 20
	lengthSmoothing = 0.02
	// lengthDeviations is how many standard deviations above the mean a response is expected to
	// end at the latest.
	lengthDeviations = 2
)

// Lengths is the distribution of the output tokens of a route's responses, relative to the stated
// maximum.
type Lengths struct {
	count        int
	mean, square float64
}

// Observe adds a complete response.
func (l *Lengths) Observe(tokens, maximum int) {
	if maximum <= 0 {
		return
	}
	ratio := min(float64(tokens)/float64(maximum), 1)
	l.count++
	weight := max(1/float64(l.count), lengthSmoothing)
	l.mean += weight * (ratio - l.mean)
	l.square += weight * (ratio*ratio - l.square)
}

// Rest returns the most tokens that are expected to follow in a response with a stated maximum, of
// which some were generated; -1 if it is not known.
func (l *Lengths) Rest(generated, maximum int) int {
	if maximum <= 0 {
		return -1
	}
	end := maximum
	if l.count >= minLengths {
		deviation := math.Sqrt(max(l.square-l.mean*l.mean, 0))
		end = min(int(math.Ceil((l.mean+lengthDeviations*deviation)*float64(maximum))), maximum)
	}
	if generated >= end {
		end = maximum
	}
	return max(end-generated, 0)
}
