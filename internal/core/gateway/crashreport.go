package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
)

// Crash reports the suspects of the end of an endpoint's incarnation.
type Crash struct {
	Endpoint fleet.EndpointID
	Started  int64
	At       time.Duration
	Suspects []quarantine.Trait
}

// Clearance reports that a request with the trait was executed without a crash.
type Clearance struct {
	Trait quarantine.Trait
	At    time.Duration
}

// CrashReport is what an instance reports to its peers about crashes. Times are those of
// the clock of the machine that processes it.
type CrashReport struct {
	Crashes     []Crash
	Quarantined []quarantine.Entry
	Clears      []Clearance
}

// IsEmpty reports whether there is nothing in the report.
func (r CrashReport) IsEmpty() bool {
	return len(r.Crashes) == 0 && len(r.Quarantined) == 0 && len(r.Clears) == 0
}

// ownCrash is a crash with suspects among this instance's own requests, or among those of
// others if it relays their reports.
type ownCrash struct {
	incarnation incarnation
	at          time.Duration
	traits      map[quarantine.Trait]bool
}

// clearReport is a clearance that is reported since a time.
type clearReport struct{ at, since time.Duration }

// addOwn records suspects that this instance reports.
func (c *crashEvidence) addOwn(i incarnation, at time.Duration, traits []quarantine.Trait) {
	c.own = addCrash(c.own, i, at, traits)
}

// addCrash adds suspects of the end of an incarnation to a list of crashes.
func addCrash(list []ownCrash, i incarnation, at time.Duration, traits []quarantine.Trait) []ownCrash {
	k := slices.IndexFunc(list, func(o ownCrash) bool { return o.incarnation == i })
	if k < 0 {
		k = len(list)
		list = append(list, ownCrash{incarnation: i, at: at, traits: make(map[quarantine.Trait]bool)})
	}
	for _, t := range traits {
		list[k].traits[t] = true
	}
	return list
}

// report returns the recent crashes and clearances, the newest first, and all quarantined
// traits, so that an instance that has just started or was cut off learns them too.
func (c *crashEvidence) report(now time.Duration) CrashReport {
	c.losses.expire(now)
	c.own = slices.DeleteFunc(c.own, func(o ownCrash) bool { return now-o.at > reportTime })
	maps.DeleteFunc(c.clears, func(_ quarantine.Trait, l clearReport) bool { return now-l.since > reportTime })
	r := CrashReport{Quarantined: c.quarantined(now)}
	suspects := 0
	for i := len(c.own) - 1; i >= 0 && len(r.Crashes) < maxReportedCrashes && suspects < maxReportedSuspects; i-- {
		o := c.own[i]
		crash := Crash{Endpoint: o.incarnation.id, Started: o.incarnation.started, At: o.at}
		for _, t := range c.table.Suspects(crashEvent(o.incarnation.id, o.incarnation.started)) {
			if o.traits[t] {
				crash.Suspects = append(crash.Suspects, t)
			}
		}
		if len(crash.Suspects) > 0 {
			r.Crashes = append(r.Crashes, crash)
			suspects += len(crash.Suspects)
		}
	}
	r.Clears = c.newestClears()
	return r
}

// quarantined returns the quarantined causes, those with the latest crash first.
func (c *crashEvidence) quarantined(now time.Duration) []quarantine.Entry {
	entries := c.register.Entries(now)
	slices.SortStableFunc(entries, func(a, b quarantine.Entry) int { return cmp.Compare(b.CrashedAt, a.CrashedAt) })
	traits := 0
	for i, e := range entries {
		if traits += len(e.Traits); traits > maxReportedCauseTraits {
			return entries[:i]
		}
	}
	return entries
}

// newestClears returns the latest clearances to report.
func (c *crashEvidence) newestClears() []Clearance {
	clears := lo.MapToSlice(c.clears, func(t quarantine.Trait, l clearReport) Clearance { return Clearance{Trait: t, At: l.at} })
	slices.SortFunc(clears, func(a, b Clearance) int {
		return cmp.Or(cmp.Compare(b.At, a.At), quarantine.CompareTraits(a.Trait, b.Trait))
	})
	return clears[:min(len(clears), maxReportedClears)]
}

// relayedTime is the age up to which the crashes of others are relayed. It is shorter than
// reportTime, so that two relays do not keep a report alive between them.
const relayedTime = reportTime - time.Second

// crashReported applies the report of a peer.
func (m *Machine) crashReported(now time.Duration, r CrashReport) {
	for _, c := range r.Clears {
		if m.clearTrait(now, c.At, c.Trait) && m.others.relays {
			m.crashes.clears[c.Trait] = clearReport{at: c.At, since: now}
		}
	}
	for _, c := range r.Crashes {
		i := incarnation{id: c.Endpoint, started: c.Started}
		if l := m.crashes.losses[i]; l != nil && !l.ended {
			m.recordCrash(now, i, l, EndReported)
		}
		m.contradict(now, c.Suspects, c.At)
		m.addSuspects(now, c.At, crashEvent(c.Endpoint, c.Started), c.Suspects)
		if m.others.relays && now-c.At < relayedTime {
			m.crashes.addOwn(i, c.At, c.Suspects)
		}
	}
	for _, e := range r.Quarantined {
		m.contradict(now, e.Traits, e.CrashedAt)
		if m.crashes.register.Adopt(e) {
			m.causeAdded(e.Traits, e.Crashes, CauseReported)
		}
	}
}

// contradict reports a clearance again if a peer has not learned of it.
func (m *Machine) contradict(now time.Duration, suspects []quarantine.Trait, suspectedAt time.Duration) {
	for _, t := range suspects {
		at := max(m.crashes.register.LiftedAt(t), m.crashes.table.ClearedAt(t))
		if at >= suspectedAt {
			m.crashes.clears[t] = clearReport{at: at, since: now}
		}
	}
}
