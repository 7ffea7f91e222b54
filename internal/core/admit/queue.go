// Package admit is admission control: it decides which requests may wait and
// which one is served next. It applies the limits of teams and keeps a queue per
// class and team, bounded in length and by deadline. Classes have strict
// priority, interactive before standard before batch; within a class, teams are
// served by weighted fair queueing.
package admit

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// MaxFreshRequests bounds the fresh requests of one team and class.
	MaxFreshRequests = 256
	// LateFraction is the fraction of a team's requests that may be served late.
	// It is below the 5% that a 95th-percentile target allows, because some
	// requests become late on the endpoint.
	LateFraction = 0.02
	// maxLateCredit bounds the credit that a team accumulates, and so the late
	// requests of one burst.
	maxLateCredit = 5
)

// Policy selects the team's queue that is served next within a class.
type Policy uint8

// Queueing policies.
const (
	// PolicyFair is start-time fair queueing with the weights of teams.
	PolicyFair Policy = iota
	// PolicyOldest serves the queue whose head has waited longest.
	PolicyOldest
	// PolicyLongest serves the queue with the most requests.
	PolicyLongest
)

// Entry is a waiting request.
type Entry struct {
	Request fleet.RequestID
	Team    fleet.TeamName
	Class   fleet.Class
	// Arrived, FreshUntil and Deadline are monotonic times. A request is fresh
	// until FreshUntil; after that it misses its latency target and is late.
	Arrived    time.Duration
	FreshUntil time.Duration
	Deadline   time.Duration
	// BypassLimit exempts a request that was accepted earlier and must run again
	// from MaxFreshRequests and from the late credit.
	BypassLimit bool
}

// flow is the queue of one team within a class. fresh is sorted by FreshUntil
// and late by Deadline, both ascending.
type flow struct {
	team      fleet.TeamName
	fresh     []Entry
	late      []Entry
	weight    float64
	finishTag float64
	// lateCredit is the number of requests that may still become late. Each
	// served request adds LateFraction, each request that becomes late costs 1.
	lateCredit float64
	// blockedIn is the last pass of Serve in which the head was not accepted.
	blockedIn uint64
}

func (f *flow) size() int { return len(f.fresh) + len(f.late) }

func (f *flow) head() Entry {
	if len(f.fresh) > 0 {
		return f.fresh[0]
	}
	return f.late[0]
}

// class holds the flows of one class; active lists those with entries.
type class struct {
	flows       map[fleet.TeamName]*flow
	active      []*flow
	virtualTime float64
}

// Queue holds the waiting requests of a set of interchangeable endpoints.
type Queue struct {
	policy  Policy
	weights map[fleet.TeamName]int
	classes [fleet.ClassCount]class
	size    int
	pass    uint64
}

// NewQueue returns an empty queue with equal weights.
func NewQueue(order Policy) *Queue {
	q := &Queue{policy: order}
	for i := range q.classes {
		q.classes[i].flows = make(map[fleet.TeamName]*flow)
	}
	return q
}

// SetWeights replaces the weights of teams. The default weight is 1.
func (q *Queue) SetWeights(weights map[fleet.TeamName]int) {
	q.weights = weights
	for c := range q.classes {
		for team, f := range q.classes[c].flows {
			f.weight = q.weight(team)
		}
	}
}

func (q *Queue) weight(team fleet.TeamName) float64 { return float64(max(q.weights[team], 1)) }

// Len is the number of waiting requests.
func (q *Queue) Len() int { return q.size }

// Push adds a request. It returns false when the team's queue is full.
func (q *Queue) Push(e Entry) bool {
	c := &q.classes[e.Class]
	f, ok := c.flows[e.Team]
	if !ok {
		f = &flow{team: e.Team, weight: q.weight(e.Team), lateCredit: 1}
		c.flows[e.Team] = f
	}
	if len(f.fresh) >= MaxFreshRequests && !e.BypassLimit {
		return false
	}
	if f.size() == 0 {
		c.active = append(c.active, f)
	}
	f.fresh = insert(f.fresh, e, func(e Entry) time.Duration { return e.FreshUntil })
	q.size++
	return true
}

func insert(list []Entry, e Entry, key func(Entry) time.Duration) []Entry {
	i := len(list)
	for i > 0 && key(list[i-1]) > key(e) {
		i--
	}
	return slices.Insert(list, i, e)
}

// Serve offers waiting requests to grant in the order given by the policy, and
// removes those that it accepts. A team whose next request is not accepted does
// not block other teams. Batch requests are offered only when no request of
// another class waits.
func (q *Queue) Serve(grant func(Entry) bool) {
	q.pass++
	for i := range q.classes {
		c := &q.classes[i]
		if fleet.Class(i) == fleet.ClassBatch && q.hasWaitingAbove(fleet.ClassBatch) {
			return
		}
		for f := q.nextFlow(c); f != nil; f = q.nextFlow(c) {
			if grant(f.head()) {
				q.pop(c, f)
				continue
			}
			f.blockedIn = q.pass
		}
	}
}

func (q *Queue) hasWaitingAbove(in fleet.Class) bool {
	for i := range q.classes[:in] {
		if len(q.classes[i].active) > 0 {
			return true
		}
	}
	return false
}

func (q *Queue) pop(c *class, f *flow) {
	start := max(c.virtualTime, f.finishTag)
	c.virtualTime = start
	f.finishTag = start + 1/f.weight
	f.lateCredit = min(f.lateCredit+LateFraction, maxLateCredit)
	if len(f.fresh) > 0 {
		f.fresh = slices.Delete(f.fresh, 0, 1)
	} else {
		f.late = slices.Delete(f.late, 0, 1)
	}
	q.countRemoved(c, f, 1)
}

func (q *Queue) nextFlow(c *class) *flow {
	var chosen *flow
	for _, f := range c.active {
		if f.blockedIn != q.pass && (chosen == nil || q.before(c, f, chosen)) {
			chosen = f
		}
	}
	return chosen
}

func (q *Queue) before(c *class, a, b *flow) bool {
	switch q.policy {
	case PolicyOldest:
		return a.head().Arrived < b.head().Arrived
	case PolicyLongest:
		return a.size() > b.size()
	default:
		return max(c.virtualTime, a.finishTag) < max(c.virtualTime, b.finishTag)
	}
}

// countRemoved updates the counts after entries were removed from a flow.
func (q *Queue) countRemoved(c *class, f *flow, count int) {
	q.size -= count
	if f.size() == 0 {
		c.active = slices.DeleteFunc(c.active, func(other *flow) bool { return other == f })
	}
}

// Remove deletes a request from the queue, if it is there.
func (q *Queue) Remove(team fleet.TeamName, in fleet.Class, id fleet.RequestID) {
	c := &q.classes[in]
	f, ok := c.flows[team]
	if !ok || f.size() == 0 {
		return
	}
	before := f.size()
	is := func(e Entry) bool { return e.Request == id }
	f.fresh = slices.DeleteFunc(f.fresh, is)
	f.late = slices.DeleteFunc(f.late, is)
	if removed := before - f.size(); removed > 0 {
		q.countRemoved(c, f, removed)
	}
}

// Expire removes and returns the requests that can no longer be served: those
// past their deadline, and those that become late without late credit of their
// team.
func (q *Queue) Expire(now time.Duration) []Entry {
	var out []Entry
	for i := range q.classes {
		c := &q.classes[i]
		for _, f := range slices.Clone(c.active) {
			expired := f.expire(now)
			if len(expired) > 0 {
				out = append(out, expired...)
				q.countRemoved(c, f, len(expired))
			}
		}
	}
	return out
}

func (f *flow) expire(now time.Duration) []Entry {
	var out []Entry
	for len(f.fresh) > 0 && f.fresh[0].FreshUntil <= now {
		e := f.fresh[0]
		f.fresh = slices.Delete(f.fresh, 0, 1)
		switch {
		case e.Deadline <= now, f.lateCredit < 1 && !e.BypassLimit:
			out = append(out, e)
		default:
			f.lateCredit = max(f.lateCredit-1, 0)
			f.late = insert(f.late, e, func(e Entry) time.Duration { return e.Deadline })
		}
	}
	for len(f.late) > 0 && f.late[0].Deadline <= now {
		out = append(out, f.late[0])
		f.late = slices.Delete(f.late, 0, 1)
	}
	return out
}

// NextExpiry is the next time at which a request becomes late or expires; ok is
// false if no request waits.
func (q *Queue) NextExpiry() (at time.Duration, ok bool) {
	for i := range q.classes {
		for _, f := range q.classes[i].active {
			if len(f.fresh) > 0 && (!ok || f.fresh[0].FreshUntil < at) {
				at, ok = f.fresh[0].FreshUntil, true
			}
			if len(f.late) > 0 && (!ok || f.late[0].Deadline < at) {
				at, ok = f.late[0].Deadline, true
			}
		}
	}
	return at, ok
}

// Ahead estimates the number of fresh requests that are served before a new one
// of the team, assuming that all queues stay backlogged: the team's own requests
// divided by its share among the waiting teams, plus all requests of higher
// classes.
func (q *Queue) Ahead(team fleet.TeamName, in fleet.Class) float64 {
	ahead := 0.0
	for i := range q.classes[:in] {
		for _, f := range q.classes[i].active {
			ahead += float64(len(f.fresh))
		}
	}
	own, total := 0.0, q.weight(team)
	for _, f := range q.classes[in].active {
		if f.team == team {
			own = float64(len(f.fresh))
			continue
		}
		total += f.weight
	}
	return ahead + own*total/q.weight(team)
}
