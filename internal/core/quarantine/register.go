package quarantine

import (
	"slices"
	"time"
)

const (
	// firstQuarantine is how long a cause is refused before one request with it is tried
	// again. After a crash of the trial the time is multiplied by trialFactor, up to
	// maxQuarantine.
	firstQuarantine = 10 * time.Minute
	trialFactor     = 4
	maxQuarantine   = 6 * time.Hour
	// trialTimeout is the time after which a trial without an outcome is repeated.
	trialTimeout = 30 * time.Second
	// forgetAfter is how long a cause that could be tried again is kept.
	forgetAfter = time.Hour
	// maxEntries bounds the quarantined causes.
	maxEntries = 128
	// maxCauseTraits bounds the traits of a cause. More that cannot be told apart are left
	// out.
	maxCauseTraits = 16
	// maxLifted bounds the traits that were lifted and are remembered as such.
	maxLifted = 1024
)

// Entry is a quarantined cause: requests that have all of its traits are refused.
type Entry struct {
	// Traits is sorted and not empty.
	Traits  []Trait
	Crashes int
	// CrashedAt is the time of its last known crash.
	CrashedAt time.Duration
	// Until is the time from which one request with the cause is tried again.
	Until time.Duration
	// Trials counts the trials that crashed.
	Trials int

	trialAt time.Duration
	onTrial bool
}

// matches reports whether a request with the traits has the cause.
func (e *Entry) matches(traits []Trait) bool {
	return !slices.ContainsFunc(e.Traits, func(t Trait) bool { return !slices.Contains(traits, t) })
}

// Register holds the quarantined causes of a deployment, as far as an instance knows
// them.
type Register struct {
	// entries holds the causes by their first trait.
	entries map[Trait][]*Entry
	size    int
	// lifted holds the times at which traits were lifted, so that a peer that missed it
	// does not bring them back.
	lifted map[Trait]time.Duration
}

// NewRegister returns a register without entries.
func NewRegister() *Register {
	return &Register{entries: make(map[Trait][]*Entry), lifted: make(map[Trait]time.Duration)}
}

// Quarantine adds the cause of crashes that the instance knows itself. A doubtful one may
// be tried at once. It reports whether the cause is new.
func (r *Register) Quarantine(c Cause) bool {
	e := Entry{Traits: c.Traits, Crashes: c.Crashes, CrashedAt: c.LastAt, Until: c.LastAt + firstQuarantine}
	if c.Doubtful {
		e.Until = c.LastAt
	}
	return r.Adopt(e)
}

// Adopt merges an entry into the register, such as one that a peer reported. Traits that
// were lifted after its last crash are left out. It reports whether the entry is new.
func (r *Register) Adopt(e Entry) bool {
	e.Traits = slices.DeleteFunc(slices.Clone(e.Traits), func(t Trait) bool { return r.LiftedAt(t) >= e.CrashedAt })
	if len(e.Traits) == 0 || len(e.Traits) > maxCauseTraits {
		return false
	}
	e.Until = min(e.Until, e.CrashedAt+maxQuarantine)
	if known := r.find(e.Traits); known != nil {
		known.Crashes = max(known.Crashes, e.Crashes)
		known.CrashedAt = max(known.CrashedAt, e.CrashedAt)
		known.Until = max(known.Until, e.Until)
		known.Trials = max(known.Trials, e.Trials)
		return false
	}
	if r.size >= maxEntries {
		return false
	}
	e.onTrial, e.trialAt = false, Never
	r.entries[e.Traits[0]] = append(r.entries[e.Traits[0]], &e)
	r.size++
	return true
}

// Contains reports whether an entry has exactly the traits.
func (r *Register) Contains(traits []Trait) bool { return r.find(traits) != nil }

func (r *Register) find(traits []Trait) *Entry {
	for _, e := range r.entries[traits[0]] {
		if slices.Equal(e.Traits, traits) {
			return e
		}
	}
	return nil
}

// Crashed records a further crash with the suspects. A cause that was on trial stays
// quarantined for longer.
func (r *Register) Crashed(at time.Duration, suspects []Trait) {
	for _, t := range suspects {
		for _, e := range r.entries[t] {
			if e.matches(suspects) {
				e.crashed(at)
			}
		}
	}
}

func (e *Entry) crashed(at time.Duration) {
	e.CrashedAt = max(e.CrashedAt, at)
	if !e.onTrial || at < e.trialAt {
		return
	}
	e.onTrial = false
	e.Trials++
	e.Until = at + quarantineTime(e.Trials)
}

func quarantineTime(trials int) time.Duration {
	d := firstQuarantine
	for range trials {
		d = min(d*trialFactor, maxQuarantine)
	}
	return d
}

// Lift removes a trait from the causes because a request with it was executed at the time
// at: the others must be to blame. It returns the causes that had it.
func (r *Register) Lift(at time.Duration, trait Trait) []Entry {
	if r.size == 0 {
		return nil
	}
	var lifted []Entry
	for _, list := range r.entries {
		for _, e := range list {
			if e.CrashedAt <= at && slices.Contains(e.Traits, trait) {
				lifted = append(lifted, *e)
			}
		}
	}
	if len(lifted) == 0 {
		return nil
	}
	sortEntries(lifted)
	if len(r.lifted) >= maxLifted {
		clear(r.lifted)
	}
	r.lifted[trait] = at
	for _, e := range lifted {
		r.remove(e.Traits)
		r.Adopt(e)
	}
	return lifted
}

func (r *Register) remove(traits []Trait) {
	list := slices.DeleteFunc(r.entries[traits[0]], func(e *Entry) bool { return slices.Equal(e.Traits, traits) })
	r.size -= len(r.entries[traits[0]]) - len(list)
	if len(list) == 0 {
		delete(r.entries, traits[0])
		return
	}
	r.entries[traits[0]] = list
}

// LiftedAt returns the time at which the trait was lifted, or Never.
func (r *Register) LiftedAt(trait Trait) time.Duration {
	if at, ok := r.lifted[trait]; ok {
		return at
	}
	return Never
}

// Match returns an entry that a request with the traits has, or nil.
func (r *Register) Match(traits []Trait) *Entry {
	if r.size == 0 {
		return nil
	}
	for _, trait := range traits {
		for _, e := range r.entries[trait] {
			if e.matches(traits) {
				return e
			}
		}
	}
	return nil
}

// StartTrial reports whether a request with the cause may be tried now, and counts it as
// the trial. Of all instances only one must ask.
func (r *Register) StartTrial(now time.Duration, e *Entry) bool {
	if now < e.Until || e.onTrial && now-e.trialAt < trialTimeout {
		return false
	}
	e.onTrial, e.trialAt = true, now
	return true
}

// Entries returns the entries, ordered by their traits. Those that no request had for a
// long time are dropped.
func (r *Register) Entries(now time.Duration) []Entry {
	var entries, forgotten []Entry
	for _, list := range r.entries {
		for _, e := range list {
			if now-max(e.Until, e.trialAt) > forgetAfter {
				forgotten = append(forgotten, *e)
			} else {
				entries = append(entries, *e)
			}
		}
	}
	for _, e := range forgotten {
		r.remove(e.Traits)
	}
	sortEntries(entries)
	return entries
}

func sortEntries(entries []Entry) {
	slices.SortFunc(entries, func(a, b Entry) int { return slices.CompareFunc(a.Traits, b.Traits, CompareTraits) })
}
