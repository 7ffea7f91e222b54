package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Cause is a trait that crashes endpoints, as concluded from a Table.
type Cause struct {
	Trait Trait
	// Crashes is the number of crashes that it explains, LastAt the time of the last.
	Crashes int
	LastAt  time.Duration
}

// Causes returns the causes of the crashes. A trait is a cause if it was a suspect of at
// least Threshold crashes over MinSpan, and none of these has another suspect of as many.
// Crashes that a cause explains are no evidence against other traits.
func (t *Table) Causes() []Cause {
	i := inference{table: t, counts: maps.Clone(t.counts), explained: make(map[Event]bool)}
	var causes []Cause
	for {
		cause, ok := i.next()
		if !ok {
			return causes
		}
		causes = append(causes, cause)
	}
}

// inference is the state of one search for causes.
type inference struct {
	table *Table
	// explained holds the crashes of the causes found so far. counts is the number of
	// other crashes by suspect.
	explained map[Event]bool
	counts    map[Trait]int
}

// next finds the trait with the most crashes that is a cause, and marks its crashes as
// explained.
func (i *inference) next() (Cause, bool) {
	for _, trait := range i.candidates() {
		events := i.events(trait)
		if i.lasts(events) && !i.hasEqual(trait, events) {
			return i.explain(trait, events), true
		}
	}
	return Cause{}, false
}

// candidates returns the traits with enough crashes, those with the most first.
func (i *inference) candidates() []Trait {
	var traits []Trait
	for trait, count := range i.counts {
		if count >= i.table.limits.Threshold {
			traits = append(traits, trait)
		}
	}
	slices.SortFunc(traits, func(a, b Trait) int {
		return cmp.Or(cmp.Compare(i.counts[b], i.counts[a]), CompareTraits(a, b))
	})
	return traits
}

// events returns the unexplained crashes with the suspect.
func (i *inference) events(trait Trait) []Event {
	var events []Event
	for _, event := range i.table.order {
		if !i.explained[event] && i.table.events[event].suspects[trait] {
			events = append(events, event)
		}
	}
	return events
}

// lasts reports whether the crashes are spread over MinSpan. Several endpoints that fail
// together for another reason crash within less.
func (i *inference) lasts(events []Event) bool {
	first, last := i.table.span(events)
	return last-first >= i.table.limits.MinSpan
}

func (t *Table) span(events []Event) (first, last time.Duration) {
	first, last = t.events[events[0]].at, t.events[events[0]].at
	for _, event := range events {
		first, last = min(first, t.events[event].at), max(last, t.events[event].at)
	}
	return first, last
}

// hasEqual reports whether one of the crashes has another suspect of as many crashes.
func (i *inference) hasEqual(trait Trait, events []Event) bool {
	for _, event := range events {
		for other := range i.table.events[event].suspects {
			if other != trait && i.counts[other] >= len(events) {
				return true
			}
		}
	}
	return false
}

func (i *inference) explain(trait Trait, events []Event) Cause {
	for _, event := range events {
		i.explained[event] = true
		for other := range i.table.events[event].suspects {
			i.counts[other]--
		}
	}
	_, last := i.table.span(events)
	return Cause{Trait: trait, Crashes: len(events), LastAt: last}
}
