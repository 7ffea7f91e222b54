package gateway

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/quarantine"
)

// suspectedCrashes is the number of crashes from which requests with a suspect are sent
// with care: they wait until the cause is decided, and are not retried. One crash may be
// the unlucky first attempt of the request itself.
const suspectedCrashes = 2

// waitingSuspect is a request that waits until the cause of recent crashes is decided.
type waitingSuspect struct {
	arrival RequestArrived
	traits  []quarantine.Trait
	since   time.Duration
}

// isSuspect reports whether a request has a suspect of several crashes.
func (m *Machine) isSuspect(traits []quarantine.Trait) bool {
	return slices.ContainsFunc(traits, func(t quarantine.Trait) bool { return m.crashes.table.Count(t) >= suspectedCrashes })
}

// awaitsDecision reports whether a new request should wait: it has a suspect of several
// crashes of which not all instances have reported yet.
func (m *Machine) awaitsDecision(now time.Duration, traits []quarantine.Trait) bool {
	return slices.ContainsFunc(traits, func(t quarantine.Trait) bool {
		return m.crashes.table.Count(t) >= suspectedCrashes && now-m.crashes.table.HeardAt(t) <= m.settleTime()
	})
}

// releaseSuspects resumes the requests that need not wait any more.
func (m *Machine) releaseSuspects(now time.Duration) []Action {
	if len(m.waitingSuspects) == 0 {
		return nil
	}
	m.quarantineCauses(now)
	var actions []Action
	waiting := m.waitingSuspects
	m.waitingSuspects = nil
	for _, w := range waiting {
		if m.awaitsDecision(now, w.traits) && now-w.since < m.settleTime() {
			m.waitingSuspects = append(m.waitingSuspects, w)
			continue
		}
		w.arrival.Request.Waited += now - w.since
		w.arrival.Request.waitedAsSuspect = true
		actions = append(actions, m.requestArrived(now, w.arrival)...)
	}
	return actions
}
