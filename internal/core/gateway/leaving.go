package gateway

import (
	"maps"
	"time"
)

const (
	// leavingTTL is how long it is remembered that an incarnation is about to leave. It
	// exceeds the time that endpoints take to leave.
	leavingTTL = 10 * time.Minute
	// maxLeaving bounds the incarnations that are remembered.
	maxLeaving = 4096
	// leavingCost ranks endpoints that are about to leave behind all others.
	leavingCost = 4 * time.Hour
)

// leavingLog holds when incarnations first stated in a response that they are about to
// leave. It outlives their entries in the list, since an older entry may come back.
type leavingLog map[incarnation]time.Duration

// add records a statement of an endpoint. It reports whether it is the first.
func (l leavingLog) add(now time.Duration, i incarnation) bool {
	if _, ok := l[i]; ok {
		return false
	}
	if len(l) >= maxLeaving {
		maps.DeleteFunc(l, func(_ incarnation, at time.Duration) bool { return now-at > leavingTTL })
	}
	if len(l) >= maxLeaving {
		return false
	}
	l[i] = now
	return true
}

// endpointLeaving records that an endpoint stated that it is about to leave.
func (m *Machine) endpointLeaving(now time.Duration, msg EndpointLeaving) {
	if m.leaving.add(now, incarnation{id: msg.Endpoint, started: msg.Started}) {
		m.notes = append(m.notes, LeavingNoticed(msg))
	}
}

// leavingSince returns when the endpoint first stated that it is about to leave.
func (m *Machine) leavingSince(e *endpoint) (time.Duration, bool) {
	if len(m.leaving) == 0 {
		return 0, false
	}
	at, ok := m.leaving[incarnation{id: e.ID, started: e.Started}]
	return at, ok
}

// maxLeavingChoice returns the time after its statement until which an endpoint may be
// chosen if there is no other.
func (m *Machine) maxLeavingChoice() time.Duration { return m.list.share(maxChoiceAgeShare) }

// leavingSendBy bounds the time by which a request must be written to an endpoint that is
// about to leave. sendBy is the bound by the age of the list, 0 if there is none.
func (m *Machine) leavingSendBy(e *endpoint, sendBy time.Duration) time.Duration {
	at, ok := m.leavingSince(e)
	if !ok {
		return sendBy
	}
	latest := at + m.list.share(maxSendAgeShare)
	if sendBy == 0 {
		return latest
	}
	return min(sendBy, latest)
}
