package route

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// recentSends bounds the memory of requests sent since the last report.
const maxRecentEvents = 64

// reference names an endpoint in the cache hints. The generation tells apart
// endpoints that used the same slot one after the other.
type reference struct {
	slot       int32
	generation uint32
}

// state is what the table knows of one endpoint. Invariant: outstanding counts
// the started attempts that have not ended, and batch those of class batch.
type state struct {
	Endpoint
	ref  reference
	hash uint64

	outstanding int
	batch       int
	// absent is set while the endpoint is missing from the list.
	absent bool

	// reported counts requests and reportedBatch those of class batch as of
	// reportedAt; sent and ended hold the times of own events since.
	reported      int
	reportedBatch int
	reportedAt    time.Duration
	sent          []time.Duration
	ended         []time.Duration
	// rotation selects the routers that get the slots left by an even division.
	rotation uint64
	// readyAt estimates when the prompts that wait now are processed.
	readyAt time.Duration

	outlier outlierState

	// matched and matchedIn hold the cached blocks found by one choice.
	matched   int
	matchedIn uint64
}

func newState(e Endpoint, ref reference) *state {
	return &state{
		Endpoint: e, ref: ref, hash: hashID(e.ID),
		sent: make([]time.Duration, 0, maxRecentEvents), ended: make([]time.Duration, 0, maxRecentEvents),
	}
}

// load is the last report plus own requests sent since, less those that ended.
func (s *state) load() int {
	return max(s.reported+len(s.sent)-len(s.ended), s.outstanding)
}

// loadFor is the load that stands in the way of a request of the class.
// Engines preempt batch work, so it does not hold back other classes.
func (s *state) loadFor(c fleet.Class) int {
	if c == fleet.ClassBatch {
		return s.load()
	}
	return s.load() - max(s.batch, s.reportedBatch)
}

// roundUp makes a reserve of more than a tenth of a slot a whole slot.
const reserveRounding = 0.9

// reportValidity is how long a report stands for the load of other routers.
const reportValidity = 2 * time.Second

// availableSlots is the number of further requests that may be sent. Routers that all
// see the same free slots would fill them several times over; each takes its
// share of the free slots of a report, and the slots that its own requests have
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
		// Engines preempt batch work, so it does not hold back other classes.
		free += s.reportedBatch
	}
	return evenShare(free, routers, uint64(router)+s.rotation) + len(s.ended) - len(s.sent)
}

// evenShare divides free slots, or missing ones if negative, so that the shares of
// all routers add up to free. Consecutive places take the remainder in turn.
func evenShare(free, routers int, place uint64) int {
	whole := free / routers
	if free < whole*routers {
		whole--
	}
	if place%uint64(routers) < uint64(free-whole*routers) {
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

// serves tells whether the endpoint can run the request at all.
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

// appendBounded adds a time; the oldest is forgotten when the memory is full.
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

// dropUntil drops the times up to at and keeps the memory of the slice.
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
