package turns

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// useWindow is the time constant with which slot time used in the past is forgotten. No team
	// or class with waiting calls is below its guaranteed share for longer.
	useWindow = time.Second
	// guaranteed is the part of an equal share that no team or class with waiting calls falls
	// below.
	guaranteed = 0.25
	// rebaseAfter is how many time constants pass before the numbers in use are scaled down.
	rebaseAfter = 50
)

// share is the slot time that a team or a class used lately. All are scaled by the same factor,
// which grows with time, so that none must be changed to age.
type share struct {
	used   float64
	queued int
}

// queue contains the waiting calls of one team in one class that can still meet their objectives,
// in their order.
type queue struct {
	priority    int
	teamName    fleet.TeamName
	class, team *share
	calls       []*waiting
}

// waiting is a call without a turn.
type waiting struct {
	key                       Key
	holder                    *holder
	arrivedAt                 time.Duration
	objectiveEnd, deadlineEnd time.Duration
	// rank orders the calls of a queue: the end of the objective, or for a call that was refused
	// before, the end that it had then. number decides between equal ranks.
	rank     time.Duration
	number   uint64
	ask      Ask
	place    int
	expected time.Duration
	missing  int
	queue    *queue // nil for a late call
}

func compareWaiting(a, b *waiting) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.number, b.number))
}

// order is the order of the waiting calls of a service.
type order struct {
	base    time.Duration
	total   float64
	teams   map[fleet.TeamName]*share
	classes map[int]*share
	// queues are sorted by priority and team. Those without calls are removed by sweep.
	queues []*queue
	queued int
	// late are the calls that cannot meet their objectives, by the end of their time-out.
	late []*waiting
}

func newOrder(now time.Duration) order {
	return order{base: now, teams: make(map[fleet.TeamName]*share), classes: make(map[int]*share)}
}

func (o *order) team(name fleet.TeamName) *share {
	s, ok := o.teams[name]
	if !ok {
		s = &share{}
		o.teams[name] = s
	}
	return s
}

func (o *order) class(priority int) *share {
	s, ok := o.classes[priority]
	if !ok {
		s = &share{}
		o.classes[priority] = s
	}
	return s
}

// scaled returns a slot time in the unit of share.used.
func (o *order) scaled(now, used time.Duration) float64 {
	age := float64(now-o.base) / float64(useWindow)
	if age > rebaseAfter {
		factor := math.Exp(-age)
		for _, s := range o.teams {
			s.used *= factor
		}
		for _, s := range o.classes {
			s.used *= factor
		}
		o.total *= factor
		o.base, age = now, 0
	}
	return used.Seconds() * math.Exp(age)
}

func (o *order) add(now time.Duration, t *turn, used time.Duration) {
	amount := o.scaled(now, used)
	t.team.used = max(t.team.used+amount, 0)
	t.class.used = max(t.class.used+amount, 0)
	o.total = max(o.total+amount, 0)
}

// charge replaces the slot time that was expected of a turn by what it used.
func (o *order) charge(now time.Duration, t *turn, used time.Duration) { o.add(now, t, used-t.charged) }

// starved reports whether a queue's team or class is below its guaranteed share. lack orders such
// queues.
func (o *order) starved(q *queue) (lack float64, ok bool) {
	lack = min(q.team.used*float64(len(o.teams)), q.class.used*float64(len(o.classes)))
	return lack, lack < guaranteed*o.total
}

// queue returns the queue of a team in a class.
func (o *order) queue(priority int, team fleet.TeamName) *queue {
	i, ok := slices.BinarySearchFunc(o.queues, team, func(q *queue, team fleet.TeamName) int {
		return cmp.Or(cmp.Compare(q.priority, priority), cmp.Compare(q.teamName, team))
	})
	if !ok {
		q := &queue{priority: priority, teamName: team, class: o.class(priority), team: o.team(team)}
		o.queues = slices.Insert(o.queues, i, q)
	}
	return o.queues[i]
}

func (o *order) insert(q *queue, w *waiting) {
	i, _ := slices.BinarySearchFunc(q.calls, w, compareWaiting)
	q.calls = slices.Insert(q.calls, i, w)
	w.queue = q
	q.team.queued++
	q.class.queued++
	o.queued++
}

func (o *order) insertLate(w *waiting) {
	i, _ := slices.BinarySearchFunc(o.late, w, compareLate)
	o.late = slices.Insert(o.late, i, w)
	w.queue = nil
}

func compareLate(a, b *waiting) int {
	return cmp.Or(cmp.Compare(a.deadlineEnd, b.deadlineEnd), cmp.Compare(a.number, b.number))
}

func (o *order) remove(w *waiting) {
	if w.queue == nil {
		if i, ok := slices.BinarySearchFunc(o.late, w, compareLate); ok {
			o.late = slices.Delete(o.late, i, i+1)
		}
		return
	}
	q := w.queue
	if i, ok := slices.BinarySearchFunc(q.calls, w, compareWaiting); ok {
		q.calls = slices.Delete(q.calls, i, i+1)
		q.team.queued--
		q.class.queued--
		o.queued--
	}
}

// next returns the call that gets the next turn, of those that may use an endpoint: from queues
// below their guaranteed share, then by priority, then from the team that used the least slot time,
// then by rank. Among the calls of the queue the first one that the endpoint can answer within its
// objective is preferred, since another endpoint may be faster.
func (o *order) next(now time.Duration, id fleet.EndpointID, callTime time.Duration) *waiting {
	var selected *waiting
	var best *queue
	bestLack, bestStarved := 0.0, false
	for _, q := range o.queues {
		if len(q.calls) == 0 {
			continue
		}
		lack, starved := o.starved(q)
		if best != nil && !goesFirst(q, lack, starved, best, bestLack, bestStarved) {
			continue
		}
		if w := q.first(now, id, callTime); w != nil {
			selected, best, bestLack, bestStarved = w, q, lack, starved
		}
	}
	if selected != nil {
		return selected
	}
	for _, w := range o.late {
		if !slices.Contains(w.ask.Excluded, id) {
			return w
		}
	}
	return nil
}

func goesFirst(q *queue, lack float64, starved bool, best *queue, bestLack float64, bestStarved bool) bool {
	if starved != bestStarved {
		return starved
	}
	if starved && lack != bestLack {
		return lack < bestLack
	}
	return cmp.Or(
		cmp.Compare(q.priority, best.priority), cmp.Compare(q.team.used, best.team.used),
		cmp.Compare(q.calls[0].rank, best.calls[0].rank), cmp.Compare(q.calls[0].number, best.calls[0].number),
	) < 0
}

// first returns the first call that may use the endpoint and is answered there within its
// objective, or the first that may use it at all.
func (q *queue) first(now time.Duration, id fleet.EndpointID, callTime time.Duration) *waiting {
	const searched = 64 // bounds the cost of a grant
	var possible *waiting
	for i, w := range q.calls {
		if len(w.ask.Excluded) > 0 && slices.Contains(w.ask.Excluded, id) {
			continue
		}
		if now+callTime <= w.objectiveEnd {
			return w
		}
		if possible == nil {
			possible = w
		}
		if i >= searched {
			break
		}
	}
	return possible
}
