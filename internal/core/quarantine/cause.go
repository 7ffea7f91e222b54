package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Cause is what a request must have to crash endpoints, as concluded from a Table.
type Cause struct {
	// Traits is sorted. A request crashes endpoints if it has all of them; it is not
	// known which of them alone is enough.
	Traits []Trait
	// Crashes is the number of crashes that it explains, LastAt the time of the last.
	Crashes int
	LastAt  time.Duration
	// Doubtful is set if the crashes may be a coincidence, since there are others: a single
	// trial decides.
	Doubtful bool
}

// Causes returns the causes of the crashes that this instance had heard of by the time
// before, so that the reports of all instances should have arrived.
//
// A trait is a cause if it was a suspect of at least Threshold crashes over MinSpan, and none
// of these has another suspect that may have been in as many. Traits that were suspects of the
// same crashes are one cause together. Crashes that a cause explains are no evidence against
// other traits. A cause is doubtful up to BusyThreshold if endpoints crash for other reasons
// too, or if one of its crashes was restored; so is a whole request whose crashes are not
// spread over MinSpan, and one that has rivals.
func (t *Table) Causes(before time.Duration) []Cause {
	i := newInference(t, before)
	var causes []Cause
	for {
		cause, ok := i.next()
		if !ok {
			return append(causes, i.rivals()...)
		}
		causes = append(causes, cause)
	}
}

// inference is the state of one search for causes.
type inference struct {
	table  *Table
	before time.Duration
	// open holds the crashes that no cause found so far explains, counts their number by
	// suspect.
	open   map[Event]bool
	counts map[Trait]int
}

func newInference(t *Table, before time.Duration) *inference {
	i := &inference{table: t, before: before, open: make(map[Event]bool), counts: maps.Clone(t.counts)}
	for event, c := range t.events {
		if c.heardAt <= before {
			i.open[event] = true
		} else {
			i.uncount(c)
		}
	}
	return i
}

func (i *inference) uncount(c *crash) {
	for trait := range c.suspects {
		i.counts[trait]--
	}
}

// next finds the traits with the most crashes that are a cause, and marks the crashes as
// explained.
func (i *inference) next() (Cause, bool) {
	for _, trait := range i.candidates() {
		events := i.events(trait)
		traits := i.together(events)
		if i.hasRival(traits, events) || !i.lasts(events) && wholeRequests(traits) == 0 {
			continue
		}
		doubtful := i.isDoubtful(events)
		cause := i.explain(traits, events)
		cause.Doubtful = doubtful
		return cause, true
	}
	return Cause{}, false
}

// rivals returns the whole requests with enough crashes that no cause explains, once RivalTime
// has passed since the last. Requests that were retried while endpoints crashed are suspects of
// as many, so that each is doubtful.
func (i *inference) rivals() []Cause {
	if i.table.limits.RivalTime == 0 {
		return nil
	}
	var causes []Cause
	for _, trait := range i.candidates() {
		if trait.Kind == WholeRequest && i.table.HeardAt(trait) <= i.before-i.table.limits.RivalTime {
			events := i.events(trait)
			_, last := i.table.span(events)
			causes = append(causes, Cause{Traits: []Trait{trait}, Crashes: len(events), LastAt: last, Doubtful: true})
		}
	}
	return causes
}

// together returns the traits that are suspects of all the crashes and of no others.
func (i *inference) together(events []Event) []Trait {
	var traits []Trait
	for trait := range i.table.events[events[0]].suspects {
		inAll := !slices.ContainsFunc(events, func(e Event) bool { return !i.table.events[e].suspects[trait] })
		if inAll && i.counts[trait] == len(events) {
			traits = append(traits, trait)
		}
	}
	slices.SortFunc(traits, CompareTraits)
	return traits[:min(len(traits), maxCauseTraits)]
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
		if i.open[event] && i.table.events[event].suspects[trait] {
			events = append(events, event)
		}
	}
	return events
}

// isDoubtful reports whether the crashes may be a coincidence: endpoints that fail together,
// or a request that was running whenever one crashed for another reason. Of restored crashes
// it is not known what else crashed at their time.
func (i *inference) isDoubtful(events []Event) bool {
	if !i.lasts(events) {
		return true
	}
	busy := i.anyRestored(events) || i.others(events) >= len(events)
	return busy && len(events) < i.table.limits.BusyThreshold
}

func (i *inference) anyRestored(events []Event) bool {
	return slices.ContainsFunc(events, func(e Event) bool { return i.table.events[e].restored })
}

// lasts reports whether the crashes are spread over MinSpan. Several endpoints that fail
// together for another reason crash within less.
func (i *inference) lasts(events []Event) bool {
	first, last := i.table.span(events)
	return last-first >= i.table.limits.MinSpan
}

// others returns the number of recent unexplained crashes beside the given ones.
func (i *inference) others(events []Event) int {
	_, last := i.table.span(events)
	recent := func(at time.Duration) bool { return at > last-i.table.limits.Background }
	count := 0
	for _, at := range i.table.blameless {
		if recent(at) {
			count++
		}
	}
	for event, c := range i.table.events {
		if recent(c.at) && i.open[event] && !slices.Contains(events, event) {
			count++
		}
	}
	return count
}

func (t *Table) span(events []Event) (first, last time.Duration) {
	first, last = t.events[events[0]].at, t.events[events[0]].at
	for _, event := range events {
		first, last = min(first, t.events[event].at), max(last, t.events[event].at)
	}
	return first, last
}

// maxLostReports is the number of crashes whose report by the instance that ran a request
// may be missing, because that instance ended.
const maxLostReports = 1

// hasRival reports whether one of the crashes has another suspect that may have been in
// as many. Two whole requests are rivals, since no request is both.
func (i *inference) hasRival(traits []Trait, events []Event) bool {
	whole := wholeRequests(traits)
	if whole > 1 {
		return true
	}
	// The parts of a prompt are cleared by others that have them, a whole request only by
	// itself.
	needed := len(events) - whole*maxLostReports
	for _, event := range events {
		for other := range i.table.events[event].suspects {
			if i.counts[other] >= needed && !slices.Contains(traits, other) {
				return true
			}
		}
	}
	return false
}

// wholeRequests returns the number of whole requests among the traits.
func wholeRequests(traits []Trait) int {
	return lo.CountBy(traits, func(t Trait) bool { return t.Kind == WholeRequest })
}

func (i *inference) explain(traits []Trait, events []Event) Cause {
	for _, event := range events {
		delete(i.open, event)
		i.uncount(i.table.events[event])
	}
	_, last := i.table.span(events)
	return Cause{Traits: traits, Crashes: len(events), LastAt: last}
}
