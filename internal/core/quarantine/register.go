package quarantine

import (
	"slices"
	"time"
)

const (
	// firstQuarantine is how long a trait is refused before one request with it is tried
	// again. After a crash of the trial the time is multiplied by trialFactor, up to
	// maxQuarantine.
	firstQuarantine = 10 * time.Minute
	trialFactor     = 4
	maxQuarantine   = 6 * time.Hour
	// trialTimeout is the time after which a trial without an outcome is repeated.
	trialTimeout = 30 * time.Second
	// forgetAfter is how long a trait that could be tried again is kept.
	forgetAfter = time.Hour
	// maxEntries bounds the quarantined traits.
	maxEntries = 256
	// maxLifted bounds the traits that were lifted and are remembered as such.
	maxLifted = 1024
)

// Entry is a quarantined trait.
type Entry struct {
	Trait   Trait
	Crashes int
	// CrashedAt is the time of its last known crash.
	CrashedAt time.Duration
	// Until is the time from which one request with the trait is tried again.
	Until time.Duration
	// Trials counts the trials that crashed.
	Trials int

	trialAt time.Duration
	onTrial bool
}

// Register holds the quarantined traits of a deployment, as far as an instance knows
// them.
type Register struct {
	entries map[Trait]*Entry
	// lifted holds the times at which traits were lifted, so that a peer that missed it
	// does not bring them back.
	lifted map[Trait]time.Duration
}

// NewRegister returns a register without entries.
func NewRegister() *Register {
	return &Register{entries: make(map[Trait]*Entry), lifted: make(map[Trait]time.Duration)}
}

// Quarantine adds the cause of crashes that the instance knows itself. It reports whether
// it is new.
func (r *Register) Quarantine(c Cause) bool {
	return r.Adopt(Entry{Trait: c.Trait, Crashes: c.Crashes, CrashedAt: c.LastAt, Until: c.LastAt + firstQuarantine})
}

// Adopt merges an entry into the register, such as one that a peer reported. An entry
// whose last crash is older than the lifting of its trait is ignored. It reports whether
// the entry is new.
func (r *Register) Adopt(e Entry) bool {
	if r.LiftedAt(e.Trait) >= e.CrashedAt {
		return false
	}
	known, ok := r.entries[e.Trait]
	if ok {
		known.Crashes = max(known.Crashes, e.Crashes)
		known.CrashedAt = max(known.CrashedAt, e.CrashedAt)
		known.Until = max(known.Until, e.Until)
		known.Trials = max(known.Trials, e.Trials)
		return false
	}
	if len(r.entries) >= maxEntries {
		return false
	}
	e.onTrial, e.trialAt = false, 0
	r.entries[e.Trait] = &e
	return true
}

// Crashed records a further crash of the trait. If it was on trial, it stays quarantined
// for longer.
func (r *Register) Crashed(at time.Duration, trait Trait) {
	e, ok := r.entries[trait]
	if !ok {
		return
	}
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

// Lift removes a trait because a request with it was executed at the time at. It reports
// whether the trait was quarantined.
func (r *Register) Lift(at time.Duration, trait Trait) bool {
	e, ok := r.entries[trait]
	if !ok || e.CrashedAt > at {
		return false
	}
	delete(r.entries, trait)
	if len(r.lifted) >= maxLifted {
		clear(r.lifted)
	}
	r.lifted[trait] = at
	return true
}

// LiftedAt returns the time at which the trait was lifted, or Never.
func (r *Register) LiftedAt(trait Trait) time.Duration {
	if at, ok := r.lifted[trait]; ok {
		return at
	}
	return Never
}

// Match returns the entry of one of the traits, or nil.
func (r *Register) Match(traits []Trait) *Entry {
	if len(r.entries) == 0 {
		return nil
	}
	for _, trait := range traits {
		if e, ok := r.entries[trait]; ok {
			return e
		}
	}
	return nil
}

// StartTrial reports whether a request with the entry's trait may be tried now, and
// counts it as the trial. Of all instances only one must ask.
func (r *Register) StartTrial(now time.Duration, e *Entry) bool {
	if now < e.Until || e.onTrial && now-e.trialAt < trialTimeout {
		return false
	}
	e.onTrial, e.trialAt = true, now
	return true
}

// Entries returns the entries, ordered by trait. Those that no request had for a long
// time are dropped.
func (r *Register) Entries(now time.Duration) []Entry {
	entries := make([]Entry, 0, len(r.entries))
	for trait, e := range r.entries {
		if now-max(e.Until, e.trialAt) > forgetAfter {
			delete(r.entries, trait)
			continue
		}
		entries = append(entries, *e)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return CompareTraits(a.Trait, b.Trait) })
	return entries
}
