package turns

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// retryPart bounds Retry-After by the caller's remaining time.
	retryPart = 3
	// leastWaitPart is the part of the time left beside the mean call time that a call may always
	// be expected to wait, also if call times vary by more than the objective allows.
	leastWaitPart = 4
)

// admit queues a call, or refuses it.
func (o *Owner) admit(now time.Duration, s *service, h *holder, ask Ask) {
	w := &waiting{
		key: ask.Key, holder: h, ask: ask, arrivedAt: now, number: o.arrivals,
		objectiveEnd: now + ask.ObjectiveLeft, deadlineEnd: now + ask.DeadlineLeft,
	}
	o.arrivals++
	w.rank = w.objectiveEnd
	if rank, ok := o.refusals.take(now, ask); ok {
		w.rank = min(rank, w.rank)
	}
	if !slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return !slices.Contains(ask.Excluded, e.id) }) {
		o.deny(now, s, w, ReasonNoEndpoint)
		return
	}
	if o.waiting >= o.maxWaiting {
		o.deny(now, s, w, ReasonFull)
		return
	}
	q := s.order.queue(ask.Priority, ask.Team)
	place := 0
	if s.order.queued > 0 || !s.hasAnyRoom(now) {
		w.place, w.expected = s.predict(now, q, w)
		place = w.place
	}
	mean := time.Duration(s.times.mean)
	goesNext := s.order.queued == 0 || s.order.isGuaranteed(q)
	switch {
	case s.meetsObjective(w) || goesNext && now+mean <= w.objectiveEnd:
		s.order.insert(q, w)
	case s.order.queued > 0:
		o.deny(now, s, w, ReasonObjective)
		return
	case now+w.expected+s.lateWait()+mean > w.deadlineEnd:
		o.deny(now, s, w, ReasonDeadline)
		return
	default:
		w.place = place + len(s.order.late)
		s.order.insertLate(w)
	}
	h.asks[w.key.ID] = w
	o.waiting++
	if s.shedAt <= now {
		s.shedAt = now + shedInterval
	}
}

// lateWait is the time that the late calls need which wait already.
func (s *service) lateWait() time.Duration {
	rate := s.rate()
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(len(s.order.late)) / rate * float64(time.Second))
}

// isGuaranteed reports whether a call that joins the queue goes ahead of the others because its
// team or class is below its guaranteed share.
func (o *order) isGuaranteed(q *queue) bool {
	_, starved := o.starved(q)
	return starved && len(q.calls) == 0
}

func (s *service) hasAnyRoom(now time.Duration) bool {
	return slices.ContainsFunc(s.endpoints, func(e *endpoint) bool { return s.hasRoom(now, e) })
}

// predict returns how many waiting calls go ahead of one that joins or is in a queue, and the time
// until its turn. Calls of higher classes, and of teams of its class that used less, will arrive
// and go ahead of it at the rate of the past, so that the rest of the capacity is counted.
func (s *service) predict(now time.Duration, q *queue, w *waiting) (place int, wait time.Duration) {
	own, _ := slices.BinarySearchFunc(q.calls, w, compareWaiting)
	place = own
	o := &s.order
	callTime := max(o.scaled(now, time.Duration(s.times.mean)), math.SmallestNonzeroFloat64)
	overtaking := 0.0
	for priority, c := range o.classes {
		if priority < q.priority {
			overtaking += c.used
			place += c.queued
		}
	}
	for _, other := range o.queues {
		if other.priority != q.priority || other == q {
			continue
		}
		// The other team goes ahead until it has used as much as this one will have.
		ahead := (q.team.used-other.team.used)/callTime + float64(own) + 1
		place += int(min(max(ahead, 0), float64(len(other.calls))))
		if other.team.used < q.team.used {
			overtaking += other.team.used
		}
	}
	rate := s.rate()
	if rate == 0 || o.total == 0 {
		return place, 0
	}
	rest := max(1-overtaking/o.total, guaranteed/float64(max(len(o.classes), len(o.teams), 1)))
	return place, time.Duration(float64(place+1) / (rate * rest) * float64(time.Second))
}

// meetsObjective reports whether a call that waits as long as expected most likely meets its
// objective.
func (s *service) meetsObjective(w *waiting) bool {
	slack := float64(w.objectiveEnd-w.arrivedAt) - s.times.mean
	allowed := max(slack-typicalDeviations*s.times.deviation, slack/leastWaitPart)
	return slack >= 0 && float64(w.expected) <= allowed
}

// deny refuses a call at a time at which there will be capacity for it: after the calls that wait
// and those that were refused before.
func (o *Owner) deny(now time.Duration, s *service, w *waiting, reason string) {
	latest := max(w.deadlineEnd-now, 0) / retryPart
	retry := latest
	if rate := s.rate(); rate > 0 {
		interval := time.Duration(float64(time.Second) / rate)
		earliest := now + time.Duration(float64(s.order.queued+1)*float64(interval))
		s.bookedAt = max(s.bookedAt+interval, earliest)
		if s.bookedAt > now+latest {
			// More calls are refused than can return in time: they are spread over it.
			s.bookedAt = min(earliest, now+latest)
		}
		retry = s.bookedAt - now
	}
	o.refusals.add(now, w)
	o.reply(w.holder.node, Deny{Key: w.key, RetryAfter: retry, Reason: reason})
}

// remove removes a waiting call.
func (o *Owner) remove(s *service, w *waiting) {
	s.order.remove(w)
	delete(w.holder.asks, w.key.ID)
	o.waiting--
}

// dispatch grants turns while there are waiting calls and endpoints with room. The endpoint that
// will answer first gets the next call.
func (o *Owner) dispatch(now time.Duration, s *service) {
	var passed []*endpoint
	for s.order.queued+len(s.order.late) > 0 {
		var selected *endpoint
		for _, e := range s.endpoints {
			if !s.hasRoom(now, e) || slices.Contains(passed, e) {
				continue
			}
			if selected == nil || s.expectedAt(now, e) < s.expectedAt(now, selected) {
				selected = e
			}
		}
		if selected == nil {
			return
		}
		w := s.order.next(now, selected.id, selected.callTime(s))
		if w == nil {
			passed = append(passed, selected)
			continue
		}
		o.grant(now, s, w, selected)
	}
}

// expectedAt returns the expected time of one more call at an endpoint.
func (s *service) expectedAt(now time.Duration, e *endpoint) time.Duration {
	callTime := e.callTime(s)
	if beyond := s.inUse(now, e) + 1 - e.slots; beyond > 0 {
		return callTime + callTime*time.Duration(beyond)/time.Duration(e.slots)
	}
	// Among equally fast ones, that with the most room.
	return callTime + time.Duration(s.inUse(now, e))*time.Microsecond
}

func (o *Owner) grant(now time.Duration, s *service, w *waiting, e *endpoint) {
	o.remove(s, w)
	t := &turn{
		key: w.key, endpoint: e, team: s.order.team(w.ask.Team), class: s.order.class(w.ask.Priority),
		charged: e.callTime(s), grantedAt: now, place: w.place, waited: now - w.arrivedAt,
		expiresAt: w.deadlineEnd + sweepInterval,
	}
	s.order.add(now, t, t.charged)
	e.turns++
	w.holder.turns[w.key.ID] = t
	o.reply(w.holder.node, Grant{Key: w.key, Service: s.name, Endpoint: e.id, Waited: t.waited, Place: t.place})
}

// tick performs what is due for a service.
func (o *Owner) tick(now time.Duration, s *service) {
	if now >= s.shedAt && s.order.queued+len(s.order.late) > 0 {
		s.shedAt = now + shedInterval
		o.shed(now, s)
	}
	if now >= s.sweepAt {
		s.sweepAt = now + sweepInterval
		o.sweep(now, s)
	}
	o.dispatch(now, s)
}

// shed refuses calls that cannot be served in time any more.
func (o *Owner) shed(now time.Duration, s *service) {
	mean := time.Duration(s.times.mean)
	for _, q := range s.order.queues {
		for i := 0; i < len(q.calls); {
			w := q.calls[i]
			if now+mean <= w.objectiveEnd {
				i++
				continue
			}
			o.remove(s, w)
			if s.order.queued > 0 || now+mean > w.deadlineEnd {
				o.deny(now, s, w, ReasonObjective)
				continue
			}
			w.holder.asks[w.key.ID] = w
			o.waiting++
			s.order.insertLate(w)
		}
		for len(q.calls) > 1 {
			w := q.calls[len(q.calls)-1]
			if _, wait := s.predict(now, q, w); now+wait+mean <= w.objectiveEnd {
				break
			}
			o.remove(s, w)
			o.deny(now, s, w, ReasonObjective)
		}
	}
	for len(s.order.late) > 0 && now+mean > s.order.late[0].deadlineEnd {
		w := s.order.late[0]
		o.remove(s, w)
		o.deny(now, s, w, ReasonDeadline)
	}
}

// sweep ends turns that timed out and forgets what is not needed.
func (o *Owner) sweep(now time.Duration, s *service) {
	for _, instance := range slices.Sorted(maps.Keys(s.holders)) {
		h := s.holders[instance]
		if now-h.heardAt >= silentInstance {
			o.dropInstance(now, s, instance)
			continue
		}
		for _, t := range h.turns {
			if now >= t.expiresAt {
				s.tombstones[t.key] = now + tombstoneTime
				o.endTurn(s, t)
			}
		}
	}
	maps.DeleteFunc(s.tombstones, func(_ Key, until time.Duration) bool { return now >= until })
	s.order.sweep()
	if now-s.usedAt >= idleTime && len(s.holders) == 0 {
		delete(o.services, s.name)
	}
}

// sweep removes queues without calls, and teams and classes that used next to nothing.
func (o *order) sweep() {
	const negligible = 0.001
	o.queues = slices.DeleteFunc(o.queues, func(q *queue) bool { return len(q.calls) == 0 })
	unused := func(s *share) bool { return s.queued == 0 && s.used <= negligible*o.total }
	maps.DeleteFunc(o.teams, func(_ fleet.TeamName, s *share) bool { return unused(s) })
	maps.DeleteFunc(o.classes, func(_ int, s *share) bool { return unused(s) })
}

// NextTick returns when OwnerTick must be passed in; ok is false if it need not be.
func (o *Owner) NextTick() (at time.Duration, ok bool) {
	at = never
	for _, s := range o.services {
		at = min(at, s.sweepAt)
		if s.order.queued+len(s.order.late) > 0 {
			at = min(at, s.shedAt)
		}
	}
	return at, at != never
}
