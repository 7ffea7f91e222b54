package admit

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// minBurst is the minimum bucket size, in requests, of a rate-limited team.
// Without it, a low rate divided among routers would reject requests that reach
// the routers unevenly.
const minBurst = 5

// Limit is a limit on a team's requests.
type Limit struct {
	// PerSecond limits accepted requests per second; 0 means no limit.
	PerSecond float64
	// InFlight limits concurrent requests; 0 means no limit.
	InFlight int
}

// Share returns one router's part of a fleet-wide limit that is divided evenly
// among routers. Every router may have at least one request in flight.
func (l Limit) Share(routers int) Limit {
	n := max(routers, 1)
	share := Limit{PerSecond: l.PerSecond / float64(n)}
	if l.InFlight > 0 {
		share.InFlight = (l.InFlight + n - 1) / n
	}
	return share
}

// Limiter applies the limits of all teams in one router.
type Limiter struct {
	teams map[fleet.TeamName]*teamLimit
}

type teamLimit struct {
	limit    Limit
	bucket   *rate.Limiter
	inFlight int
}

// NewLimiter returns a limiter without limits.
func NewLimiter() *Limiter { return &Limiter{teams: make(map[fleet.TeamName]*teamLimit)} }

// Set replaces the limit of a team. The count of requests in flight is kept.
func (l *Limiter) Set(now time.Duration, team fleet.TeamName, limit Limit) {
	t := l.team(team)
	if t.limit == limit {
		return
	}
	t.limit = limit
	t.bucket = nil
	if limit.PerSecond > 0 {
		t.bucket = rate.NewLimiter(rate.Limit(limit.PerSecond), max(minBurst, int(limit.PerSecond)))
		t.bucket.SetLimitAt(monotonicTime(now), rate.Limit(limit.PerSecond))
	}
}

// Acquire counts a request as in flight unless a limit is reached. In that case
// ok is false and retryAfter is the time until the rate limit allows a request,
// or 0 if the limit on requests in flight was reached.
func (l *Limiter) Acquire(now time.Duration, team fleet.TeamName) (retryAfter time.Duration, ok bool) {
	t := l.team(team)
	if t.limit.InFlight > 0 && t.inFlight >= t.limit.InFlight {
		return 0, false
	}
	if t.bucket != nil && !t.bucket.AllowN(monotonicTime(now), 1) {
		missing := 1 - t.bucket.TokensAt(monotonicTime(now))
		return time.Duration(missing / t.limit.PerSecond * float64(time.Second)), false
	}
	t.inFlight++
	return 0, true
}

// Release ends a request in flight.
func (l *Limiter) Release(team fleet.TeamName) { l.team(team).inFlight-- }

// InFlight is the number of requests of the team in flight.
func (l *Limiter) InFlight(team fleet.TeamName) int { return l.team(team).inFlight }

func (l *Limiter) team(name fleet.TeamName) *teamLimit {
	t, ok := l.teams[name]
	if !ok {
		t = &teamLimit{}
		l.teams[name] = t
	}
	return t
}

// monotonicTime converts monotonic time to the type that package rate expects.
func monotonicTime(now time.Duration) time.Time { return time.Unix(0, 0).Add(now) }
