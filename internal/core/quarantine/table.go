package quarantine

import (
	"slices"
	"time"
)

// Limits configures a Table.
type Limits struct {
	// Threshold is the number of crashes from which a trait may be their cause, and
	// MinSpan the least time from the first to the last of them.
	Threshold int
	MinSpan   time.Duration
	// BusyThreshold is the number of crashes up to which a cause is doubtful while endpoints
	// crash for other reasons too: if within Background before the last crash of a trait at
	// least as many crashes did not have it. 0 means that other crashes do not matter.
	BusyThreshold int
	Background    time.Duration
	// RivalTime is the time from the last crash after which whole requests that cannot be told
	// apart are doubtful causes. Until then sound ones may be cleared. 0 means never.
	RivalTime time.Duration
	// TTL is how long a crash counts.
	TTL time.Duration
	// ClearMemory is how long a clearance is remembered at least, since reports of
	// earlier crashes may arrive after it.
	ClearMemory time.Duration
	// MaxEvents and MaxSuspects bound the crashes and the suspects of each.
	MaxEvents, MaxSuspects int
}

// crash holds the suspects of one event. A suspect is a trait of a request that was
// running on the endpoint and that has not been cleared since.
type crash struct {
	at time.Duration
	// heardAt is when this instance first heard of it.
	heardAt  time.Duration
	suspects map[Trait]bool
	// restored is set if it was read from a record, which names fewer suspects and none of the
	// other crashes of its time.
	restored bool
}

// Table holds crashes and their suspects, and finds the traits that cause them. Several
// instances may report the same crash, each with the requests that it was running.
// Invariant: counts[t] is the number of events with the suspect t.
type Table struct {
	limits Limits
	events map[Event]*crash
	// order holds the events, the oldest report first.
	order   []Event
	counts  map[Trait]int
	cleared clearMemory
	// blameless holds the times of the crashes without a suspect, the oldest first.
	blameless []time.Duration
}

// NewTable returns a table without crashes.
func NewTable(l Limits) *Table {
	return &Table{limits: l, events: make(map[Event]*crash), counts: make(map[Trait]int), cleared: newClearMemory(l.ClearMemory)}
}

// Add records suspects of a crash at the time at. Repeated reports have no further
// effect. It reports whether the table changed.
func (t *Table) Add(now, at time.Duration, event Event, suspects []Trait) bool {
	t.expire(now)
	if now-at >= t.limits.TTL {
		return false
	}
	changed := false
	for _, trait := range suspects {
		if t.addSuspect(now, at, event, trait) {
			changed = true
		}
	}
	t.evict()
	return changed
}

// Restore records a crash from before the start of this instance, as Add does.
func (t *Table) Restore(now, at time.Duration, event Event, suspects []Trait) bool {
	changed := t.Add(now, at, event, suspects)
	if c, ok := t.events[event]; ok && changed {
		c.restored = true
	}
	return changed
}

func (t *Table) addSuspect(now, at time.Duration, event Event, trait Trait) bool {
	c, ok := t.events[event]
	if ok {
		at = c.at
	}
	if t.cleared.last(trait) >= at {
		return false
	}
	if !ok {
		c = &crash{at: at, heardAt: now, suspects: make(map[Trait]bool)}
		t.events[event] = c
		t.order = append(t.order, event)
	}
	if c.suspects[trait] || len(c.suspects) >= t.limits.MaxSuspects {
		return false
	}
	c.suspects[trait] = true
	t.counts[trait]++
	return true
}

// AddBlameless records a crash without a suspect.
func (t *Table) AddBlameless(at time.Duration) {
	t.blameless = append(t.blameless, at)
	if len(t.blameless) > t.limits.MaxEvents {
		t.blameless = t.blameless[1:]
	}
}

// Clear removes the trait from all crashes up to the time at, because a request with it
// was executed then. It reports whether the trait was a suspect.
func (t *Table) Clear(now, at time.Duration, trait Trait) bool {
	t.cleared.add(now, at, trait)
	if t.counts[trait] == 0 {
		return false
	}
	changed := false
	for _, c := range t.events {
		if c.suspects[trait] && c.at <= at {
			t.remove(c, trait)
			changed = true
		}
	}
	return changed
}

// ClearedAt returns when the trait was last cleared, as far as is remembered; Never
// otherwise.
func (t *Table) ClearedAt(trait Trait) time.Duration { return t.cleared.last(trait) }

func (t *Table) remove(c *crash, trait Trait) {
	delete(c.suspects, trait)
	t.counts[trait]--
	if t.counts[trait] == 0 {
		delete(t.counts, trait)
	}
}

// expire drops the crashes that are older than the TTL.
func (t *Table) expire(now time.Duration) {
	for len(t.order) > 0 && now-t.events[t.order[0]].at >= t.limits.TTL {
		t.dropOldest()
	}
}

// evict drops the oldest crashes beyond the bound.
func (t *Table) evict() {
	for len(t.order) > t.limits.MaxEvents {
		t.dropOldest()
	}
}

func (t *Table) dropOldest() {
	c := t.events[t.order[0]]
	for trait := range c.suspects {
		t.remove(c, trait)
	}
	delete(t.events, t.order[0])
	t.order = t.order[1:]
}

// Newest returns when the last crash was heard of, or Never.
func (t *Table) Newest() time.Duration {
	newest := Never
	for _, c := range t.events {
		newest = max(newest, c.heardAt)
	}
	return newest
}

// HeardAt returns when the last crash with the suspect was heard of, or Never.
func (t *Table) HeardAt(trait Trait) time.Duration {
	last := Never
	for _, c := range t.events {
		if c.suspects[trait] {
			last = max(last, c.heardAt)
		}
	}
	return last
}

// Count returns the number of crashes with the suspect.
func (t *Table) Count(trait Trait) int { return t.counts[trait] }

// Suspects returns the suspects of a crash that have not been cleared.
func (t *Table) Suspects(event Event) []Trait {
	c, ok := t.events[event]
	if !ok {
		return nil
	}
	suspects := make([]Trait, 0, len(c.suspects))
	for trait := range c.suspects {
		suspects = append(suspects, trait)
	}
	slices.SortFunc(suspects, CompareTraits)
	return suspects
}
