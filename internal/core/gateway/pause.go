package gateway

import (
	"maps"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// maxPause is the longest pause that is believed. An endpoint that asks for more is
	// tried after it, and may ask again.
	maxPause = 10 * time.Minute
	// maxPaused bounds the incarnations that are remembered.
	maxPaused = 4096
	// pauseSpread bounds the random delay after a pause at which refused callers come back.
	pauseSpread = 500 * time.Millisecond
)

// pauseLog holds until when incarnations want no requests.
type pauseLog map[incarnation]time.Duration

// add records a pause and returns its end. A later one replaces an earlier one.
func (l pauseLog) add(now time.Duration, i incarnation, length time.Duration) time.Duration {
	if len(l) >= maxPaused {
		maps.DeleteFunc(l, func(_ incarnation, until time.Duration) bool { return until <= now })
	}
	until := max(l[i], now+min(length, maxPause))
	if len(l) < maxPaused {
		l[i] = until
	}
	return until
}

// endpointPaused records that an endpoint asked for a pause.
func (m *Machine) endpointPaused(now time.Duration, msg EndpointPaused) {
	until := m.paused.add(now, incarnation{id: msg.Endpoint, started: msg.Started}, msg.Length)
	m.notes = append(m.notes, PauseNoticed{Endpoint: msg.Endpoint, Started: msg.Started, Asked: msg.Length, Length: until - now})
}

// pausedUntil returns the end of an endpoint's pause, 0 if it takes requests.
func (m *Machine) pausedUntil(now time.Duration, e *endpoint) time.Duration {
	if len(m.paused) == 0 {
		return 0
	}
	if until := m.paused[incarnation{id: e.ID, started: e.Started}]; until > now {
		return until
	}
	return 0
}

// noEndpointDelay returns when a caller should come back that no endpoint of a service can
// serve: after the first pause if there is one.
func (m *Machine) noEndpointDelay(now time.Duration, s fleet.ServiceName, random float64) time.Duration {
	first := time.Duration(0)
	for _, e := range m.byService[s] {
		until := m.pausedUntil(now, e)
		if until == 0 && !e.Draining {
			return retryAfter
		}
		if until > 0 && (first == 0 || until < first) {
			first = until
		}
	}
	if first == 0 {
		return retryAfter
	}
	return first - now + time.Duration(random*float64(pauseSpread))
}
