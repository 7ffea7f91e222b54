package route

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// maxRecentEvents bounds the recorded starts, and likewise the recorded ends, of
// requests since the last load report of an endpoint.
const maxRecentEvents = 64

// reference identifies an endpoint in the cache hints. The generation
// distinguishes endpoints that used the same slot one after the other.
type reference struct {
	slot       int32
	generation uint32
}

// state is the table's entry of one endpoint. Invariant: outstanding counts the
// started attempts that have not ended, and batch those of class batch.
type state struct {
	Endpoint
	ref  reference
	hash uint64

	outstanding int
	batch       int
	// absent is set while the endpoint is not in the list.
	absent bool

	// reported counts requests and reportedBatch those of class batch as of
	// reportedAt; sent and ended are the times since then at which this router
	// started and finished attempts.
	reported      int
	reportedBatch int
	reportedAt    time.Duration
	sent          []time.Duration
	ended         []time.Duration
	// rotation selects the routers that get the remainder of the slots when they
	// don't divide evenly.
	rotation uint64
	// readyAt estimates when the prompts sent so far are processed.
	readyAt time.Duration

	outlier outlierState

	// matched is the number of cached leading blocks in the choice matchedIn; it
	// is stale in any other choice.
	matched   int
	matchedIn uint64
}

func newState(e Endpoint, ref reference) *state {
	return &state{
		Endpoint: e, ref: ref, hash: hashID(e.ID),
		sent: make([]time.Duration, 0, maxRecentEvents), ended: make([]time.Duration, 0, maxRecentEvents),
	}
}

// load estimates the number of requests on the endpoint: those of the last
// report, plus attempts of this router started since, less those that ended.
func (s *state) load() int {
	return max(s.reported+len(s.sent)-len(s.ended), s.outstanding)
}

// loadFor is the load that competes with a request of the class. Engines
// preempt batch work, so it does not count for other classes.
func (s *state) loadFor(c fleet.Class) int {
	if c == fleet.ClassBatch {
		return s.load()
	}
	return s.load() - max(s.batch, s.reportedBatch)
}

// reserveRounding rounds a reserve of at least a tenth of a slot up to a whole
// slot.
const reserveRounding = 0.9

// reportValidity is the age up to which a report represents the load of other
// routers.
const reportValidity = 2 * time.Second

// availableSlots is the number of further requests that this router may send.
// Routers that all use the same reported free slots would overcommit them, so
// each uses only its share of them, plus the slots that its own requests have
// freed since. Without a recent report only own requests count.
func (s *state) availableSlots(now time.Duration, r *Request, routers, router int) int {
	reserved := 0
	if r.SpareOnly {
		reserved = int(float64(s.slots())*r.ReserveShare + reserveRounding)
	}
	if s.reportedAt == 0 || now-s.reportedAt > reportValidity {
		return s.slots() - reserved - s.outstanding
	}
	free := s.slots() - reserved - s.reported
	if r.Class != fleet.ClassBatch {
		// Engines preempt batch work in favor of other classes.
		free += s.reportedBatch
	}
	return evenShare(free, routers, uint64(router)+s.rotation) + len(s.ended) - len(s.sent)
}

// evenShare divides the free slots among the routers so that the shares of all
// routers add up to free, which is negative for an overloaded endpoint. The
// remainder goes to the positions with the lowest values modulo routers.
func evenShare(free, routers int, position uint64) int {
	whole := free / routers
	if free < whole*routers {
		whole--
	}
	if position%uint64(routers) < uint64(free-whole*routers) {
		whole++
	}
	return whole
}

func (s *state) slots() int {
	if s.Slots <= 0 {
		return DefaultSlots
	}
	return s.Slots
}

// serves reports whether the endpoint can run the request, whatever its load.
func (s *state) serves(r *Request) bool {
	if s.Leaving || s.absent || (s.Model != "" && r.Model != "" && s.Model != r.Model) {
		return false
	}
	return r.Adapter == "" || len(s.Adapters) == 0 || slices.Contains(s.Adapters, r.Adapter)
}

func (s *state) start(now time.Duration, class fleet.Class, prefill int) {
	s.outstanding++
	if class == fleet.ClassBatch {
		s.batch++
	}
	s.sent = appendBounded(s.sent, now)
	s.readyAt = max(s.readyAt, now) + time.Duration(prefill)*prefillPerToken
}

// finish ends an attempt that started at the given time.
func (s *state) finish(now, started time.Duration, class fleet.Class) {
	s.outstanding--
	if class == fleet.ClassBatch {
		s.batch--
	}
	if started > s.reportedAt && len(s.sent) > 0 {
		s.sent = s.sent[:len(s.sent)-1]
		return
	}
	s.ended = appendBounded(s.ended, now)
}

// appendBounded adds a time and evicts the oldest beyond maxRecentEvents.
func appendBounded(times []time.Duration, now time.Duration) []time.Duration {
	if len(times) == maxRecentEvents {
		times = times[:copy(times, times[1:])]
	}
	return append(times, now)
}

func (s *state) report(r Report) {
	if r.At < s.reportedAt {
		return
	}
	at := r.At
	s.reported, s.reportedBatch, s.reportedAt = r.Requests, r.Batch, at
	s.rotation = mix(s.hash ^ r.Sequence)
	s.sent = dropUntil(s.sent, at)
	s.ended = dropUntil(s.ended, at)
}

// dropUntil removes the times up to and including at, in place.
func dropUntil(times []time.Duration, at time.Duration) []time.Duration {
	first := 0
	for first < len(times) && times[first] <= at {
		first++
	}
	return times[:copy(times, times[first:])]
}

// hashID is FNV-1a followed by the finalizer of splitmix64, which spreads
// the hashes of similar names.
func hashID(id fleet.EndpointID) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return mix(h)
}

// mix is the finalizer of splitmix64 (Steele, Lea, Flood 2014).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
