package turns

import (
	"maps"
	"slices"
	"time"
)

// tick performs what is due for a service.
func (c *Client) tick(now time.Duration, s *clientService) {
	c.expire(now, s)
	if len(s.waiting) > 0 && now >= s.silenceAt() {
		s.silent, s.silentAt = true, now
		c.release(s)
	}
	for i := 0; i < len(s.waiting); {
		w := s.waiting[i]
		if !w.acknowledged && now-w.askedAt >= silenceLimit {
			// The owner answers others: this ask or its answers do not get through.
			c.forget(w)
			c.act(ProceedFreely{ID: w.id})
			continue
		}
		if now >= s.repeatAt(i) {
			c.ask(now, w)
		}
		i++
	}
	for i := range s.ended {
		if e := &s.ended[i]; e.repeats() && now >= e.sentAt+repeatInterval {
			e.repeated = true
			c.act(SendEnd{To: s.owner, End: e.end})
		}
	}
	if s.stating && now >= s.statementAt {
		c.state(now, s)
	}
}

// silenceAt is the time at which the owner counts as silent if there is no answer until then.
func (s *clientService) silenceAt() time.Duration {
	return max(s.heardAt, s.waiting[0].askedAt) + silenceLimit
}

// repeatAt returns when a waiting call is asked again: each until it is acknowledged. One that is
// known to wait shows whether the owner still answers.
func (s *clientService) repeatAt(i int) time.Duration {
	w := s.waiting[i]
	switch {
	case !w.acknowledged:
		return w.sentAt + repeatInterval
	case i == 0:
		return max(w.sentAt, s.heardAt) + repeatInterval
	}
	return never
}

// never is later than all times.
const never = time.Duration(1<<63 - 1)

// expire refuses waiting calls at their time-out.
func (c *Client) expire(now time.Duration, s *clientService) {
	for i := 0; i < len(s.waiting); {
		w := s.waiting[i]
		if now-w.wantedAt < w.ask.DeadlineLeft {
			i++
			continue
		}
		c.finish(now, w, OutcomeUnused, 0)
		c.act(Refused{ID: w.id, Reason: ReasonDeadline})
	}
}

func (c *Client) startStatements(now time.Duration, s *clientService) {
	if !s.stating {
		s.stating, s.statementAt = true, now+StatementInterval
	}
}

// state sends a statement to the owner and schedules the next one, if another is needed.
func (c *Client) state(now time.Duration, s *clientService) {
	s.ended = slices.DeleteFunc(s.ended, func(e recentEnd) bool { return e.stated >= statementsPerEnd })
	s.stating = len(s.waiting)+len(s.turns)+len(s.ended) > 0
	s.statementAt = now + StatementInterval
	if !s.stating || s.owner == "" {
		return
	}
	held := Held{From: c.options.Node, Instance: c.instance, Service: s.name}
	for _, id := range slices.Sorted(maps.Keys(s.turns)) {
		t := s.turns[id]
		held.Turns = append(held.Turns, HeldTurn{
			Key: t.ask.Key, Endpoint: t.endpoint, Team: t.ask.Team, Priority: t.ask.Priority,
			Left: t.ask.DeadlineLeft - (now - t.wantedAt),
		})
	}
	for _, w := range s.waiting {
		held.Asks = append(held.Asks, w.ask.Key)
	}
	for i := range s.ended {
		held.Ended = append(held.Ended, s.ended[i].end)
		s.ended[i].stated++
	}
	c.act(SendHeld{To: s.owner, Held: held})
}

// NextTick returns when ClientTick must be passed in; ok is false if it need not be.
func (c *Client) NextTick() (at time.Duration, ok bool) {
	at = never
	for _, s := range c.services {
		if s.stating {
			at = min(at, s.statementAt)
		}
		if len(s.waiting) > 0 {
			at = min(at, s.silenceAt())
		}
		for i := range s.ended {
			if e := &s.ended[i]; e.repeats() {
				at = min(at, e.sentAt+repeatInterval)
			}
		}
		for i, w := range s.waiting {
			at = min(at, s.repeatAt(i), w.wantedAt+w.ask.DeadlineLeft)
			if !w.acknowledged {
				at = min(at, w.askedAt+silenceLimit)
			}
		}
	}
	return at, at != never
}
