package admit

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

func entry(n int, team fleet.TeamName, class fleet.Class, at time.Duration) Entry {
	return Entry{
		Request: fleet.RequestID(fmt.Sprint(n)), Team: team, Class: class,
		Arrived: at, FreshUntil: at + time.Second, Deadline: at + 2*time.Second,
	}
}

// TestFairShares guards against a backlogged team that gets more or less than
// its weighted share.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := map[fleet.TeamName]int{}
		q := NewQueue(PolicyFair)
		total := 0
		for i := range rapid.IntRange(2, 5).Draw(t, "teams") {
			team := fleet.TeamName(fmt.Sprint(i))
			weights[team] = rapid.IntRange(1, 5).Draw(t, "weight")
			total += weights[team]
		}
		q.SetWeights(weights)
		for team := range weights {
			for n := range MaxFreshRequests {
				q.Push(entry(n, team, fleet.ClassInteractive, 0))
			}
		}
		served := map[fleet.TeamName]int{}
		grants := rapid.IntRange(1, 150).Draw(t, "grants")
		left := grants
		q.Serve(func(e Entry) bool {
			if left == 0 {
				return false
			}
			left--
			served[e.Team]++
			return true
		})
		for team, weight := range weights {
			want := float64(grants*weight) / float64(total)
			// Start-time fair queueing bounds the deviation from the share by one
			// request per competing team.
			if diff := float64(served[team]) - want; diff < -float64(len(weights)) || diff > float64(len(weights)) {
				t.Fatalf("team %s with weight %d got %d of %d grants, want about %.1f", team, weight, served[team], grants, want)
			}
		}
	})
}

// TestQueueBounds guards against unbounded memory and missed deadlines: no flow
// exceeds its bound, no entry remains past its deadline, and Len counts exactly
// the entries that were pushed and neither served nor expired.
func TestQueueBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(Policy(rapid.IntRange(0, 2).Draw(t, "order")))
		now, queued := time.Duration(0), map[fleet.RequestID]Entry{}
		for n := range rapid.IntRange(1, 600).Draw(t, "steps") {
			switch rapid.IntRange(0, 40).Draw(t, "action") {
			case 0:
				now += time.Duration(rapid.IntRange(0, 900).Draw(t, "time")) * time.Millisecond
				for _, e := range q.Expire(now) {
					delete(queued, e.Request)
				}
				for id, e := range queued {
					if e.Deadline <= now {
						t.Fatalf("request %s is still queued past its deadline", id)
					}
				}
			case 1:
				q.Serve(func(e Entry) bool {
					if _, ok := queued[e.Request]; !ok {
						t.Fatalf("request %s was offered but is not queued", e.Request)
					}
					delete(queued, e.Request)
					return len(queued)%2 == 0
				})
				queued = queuedEntries(q)
			default:
				e := entry(n, "a", fleet.ClassStandard, now)
				if q.Push(e) {
					queued[e.Request] = e
				}
			}
			if q.Len() != len(queued) {
				t.Fatalf("Len returned %d, want %d", q.Len(), len(queued))
			}
			if f := q.classes[fleet.ClassStandard].flows["a"]; f != nil && len(f.fresh) > MaxFreshRequests {
				t.Fatalf("flow holds %d fresh requests, want at most %d", len(f.fresh), MaxFreshRequests)
			}
		}
	})
}

func queuedEntries(q *Queue) map[fleet.RequestID]Entry {
	queued := map[fleet.RequestID]Entry{}
	for i := range q.classes {
		for _, f := range q.classes[i].active {
			for _, e := range append(append([]Entry{}, f.fresh...), f.late...) {
				queued[e.Request] = e
			}
		}
	}
	return queued
}

// TestFlowBound guards against a flow that grows without limit, and against a
// full flow that blocks other teams.
func TestFlowBound(t *testing.T) {
	is := is.New(t)
	q := NewQueue(PolicyFair)
	for n := range MaxFreshRequests {
		is.True(q.Push(entry(n, "a", fleet.ClassBatch, 0)))
	}
	is.True(!q.Push(entry(MaxFreshRequests, "a", fleet.ClassBatch, 0))) // rejected at the limit
	is.True(q.Push(entry(MaxFreshRequests, "b", fleet.ClassBatch, 0)))  // other teams are not affected
}

// TestClassOrder guards against batch requests that are offered while a request
// of a higher class waits.
func TestClassOrder(t *testing.T) {
	is := is.New(t)
	q := NewQueue(PolicyFair)
	q.Push(entry(1, "a", fleet.ClassBatch, 0))
	q.Push(entry(2, "a", fleet.ClassStandard, 0))
	q.Push(entry(3, "a", fleet.ClassInteractive, 0))
	var offered []fleet.RequestID
	q.Serve(func(e Entry) bool {
		offered = append(offered, e.Request)
		return e.Class == fleet.ClassInteractive
	})
	is.Equal(offered, []fleet.RequestID{"3", "2"})
}

// TestLimiter guards against a limiter that exceeds a team's limits or suggests
// the wrong delay, and against a share of a limit that is rounded down.
func TestLimiter(t *testing.T) {
	is := is.New(t)
	l := NewLimiter()
	l.Set(0, "a", Limit{PerSecond: 2, InFlight: 7})
	for range minBurst {
		_, ok := l.Acquire(0, "a")
		is.True(ok)
	}
	after, ok := l.Acquire(0, "a")
	is.True(!ok)
	is.Equal(after, 500*time.Millisecond) // one request at two per second
	for range 2 {
		_, ok = l.Acquire(time.Second, "a")
		is.True(ok)
	}
	_, ok = l.Acquire(time.Minute, "a")
	is.True(!ok) // seven are in flight
	l.Release("a")
	_, ok = l.Acquire(time.Minute, "a")
	is.True(ok)
	is.Equal(Limit{PerSecond: 10, InFlight: 9}.Share(4), Limit{PerSecond: 2.5, InFlight: 3})
}
