package gateway

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/quarantine"
)

const (
	// maxPersistedCrashes bounds the crashes in one record.
	maxPersistedCrashes = 32
	// maxPersistedSuspects bounds the suspects of one crash in a record.
	maxPersistedSuspects = 16
	// persistedUntilStep is the change of the end of a quarantine from which its record is
	// replaced. Reports of peers move it by a few milliseconds each.
	persistedUntilStep = 10 * time.Second
)

// persistedCrashes is what this instance keeps in the store of its crash evidence, so that the
// evidence outlives all instances. Each instance keeps the crashes that it witnessed, as soon as
// a whole request is a suspect of several; the one that owns the trials of a cause keeps the
// cause.
type persistedCrashes struct {
	// awaited is set until the evidence from before the start was read, or the wait for it
	// has ended; restored once it was read.
	awaited, restored bool
	// changed is set if evidence or causes have changed since they were last compared with
	// the records.
	changed   bool
	witnessed []ownCrash
	// crashes and causes are the contents of the records.
	crashes []Crash
	causes  []quarantine.Entry
}

func newPersistedCrashes() persistedCrashes { return persistedCrashes{awaited: true} }

// witness records that requests of this instance with the traits are suspects of a crash. Parts
// of prompts are left out, as records do not name them.
func (p *persistedCrashes) witness(i incarnation, at time.Duration, traits []quarantine.Trait) {
	requests := lo.Filter(traits, func(t quarantine.Trait, _ int) bool { return t.Kind == quarantine.WholeRequest })
	p.witnessed = addCrash(p.witnessed, i, at, requests)
	if len(p.witnessed) > crashLimits.MaxEvents {
		p.witnessed = p.witnessed[1:]
	}
}

// crashesRestored adds the evidence from before the start.
func (m *Machine) crashesRestored(now time.Duration, msg CrashesRestored) {
	p := &m.crashes.persisted
	p.awaited, p.restored, p.changed = false, true, true
	p.crashes, p.causes = msg.Own, slices.Clone(msg.Causes)
	for _, e := range msg.Causes {
		if m.crashes.register.Adopt(e) {
			m.causeAdded(e.Traits, e.Crashes, CauseRestored)
		}
	}
	for _, c := range msg.Own {
		p.witness(incarnation{id: c.Endpoint, started: c.Started}, c.At, c.Suspects)
	}
	for _, c := range slices.Concat(msg.Own, msg.Others) {
		if m.crashes.table.Restore(now, c.At, crashEvent(c.Endpoint, c.Started), c.Suspects) {
			m.suspectsChanged(now)
		}
	}
}

// persistCrashes returns the changes of this instance's records.
func (m *Machine) persistCrashes(now time.Duration) []Action {
	p := &m.crashes.persisted
	if !p.restored || !p.changed {
		return nil
	}
	p.changed = false
	actions := m.persistCauses(now)
	crashes := m.repeatedCrashes()
	if !slices.EqualFunc(crashes, p.crashes, sameCrash) {
		p.crashes = crashes
		actions = append(actions, PersistCrashes{Crashes: crashes})
	}
	return actions
}

// repeatedCrashes returns the crashes that this instance witnessed and that have a whole request
// among their suspects which is a suspect of several crashes, the newest first.
func (m *Machine) repeatedCrashes() []Crash {
	var crashes []Crash
	for _, w := range slices.Backward(m.crashes.persisted.witnessed) {
		if len(crashes) == maxPersistedCrashes {
			break
		}
		suspects := m.repeatedSuspects(w)
		if len(suspects) > 0 {
			crashes = append(crashes, Crash{Endpoint: w.incarnation.id, Started: w.incarnation.started, At: w.at, Suspects: suspects})
		}
	}
	return crashes
}

func (m *Machine) repeatedSuspects(w ownCrash) []quarantine.Trait {
	event := crashEvent(w.incarnation.id, w.incarnation.started)
	suspects := slices.DeleteFunc(m.crashes.table.Suspects(event), func(t quarantine.Trait) bool {
		return !w.traits[t] || m.crashes.table.Count(t) < suspectedCrashes
	})
	return suspects[:min(len(suspects), maxPersistedSuspects)]
}

// sameCrash reports whether two records of a crash have the same content.
func sameCrash(a, b Crash) bool {
	return a.Endpoint == b.Endpoint && a.Started == b.Started && slices.Equal(a.Suspects, b.Suspects)
}

// persistCauses returns the changes of the records of causes that this instance owns.
func (m *Machine) persistCauses(now time.Duration) []Action {
	p := &m.crashes.persisted
	var actions []Action
	for _, e := range m.crashes.register.Entries(now) {
		if m.ownsTrial(e.Traits[0]) && p.replaceCause(e) {
			actions = append(actions, PersistCause{Entry: e})
		}
	}
	p.causes = slices.DeleteFunc(p.causes, func(e quarantine.Entry) bool {
		if m.crashes.register.Contains(e.Traits) {
			return false
		}
		if m.ownsTrial(e.Traits[0]) {
			actions = append(actions, RemoveCause{Traits: e.Traits})
		}
		return true
	})
	return actions
}

// replaceCause records the content of a cause's record. It reports whether the record has to
// be replaced.
func (p *persistedCrashes) replaceCause(e quarantine.Entry) bool {
	k := slices.IndexFunc(p.causes, func(known quarantine.Entry) bool { return slices.Equal(known.Traits, e.Traits) })
	if k < 0 {
		p.causes = append(p.causes, e)
		return true
	}
	known := &p.causes[k]
	if known.Trials == e.Trials && e.Until-known.Until < persistedUntilStep {
		return false
	}
	*known = e
	return true
}
