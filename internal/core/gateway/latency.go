package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/tally"
	"github.com/cornelhold/cornelhold/internal/core/window"
)

const (
	// latencySpan is the time over which latencies are counted. It is shorter than that of the demand,
	// since latencies follow it.
	latencySpan = 3 * time.Second
	// slowDivisor is the part of the latency objective beyond which a request counts as slow, as a
	// divisor. Half of it shows that the endpoints get short before many requests are late.
	slowDivisor = 2
)

// latencyWindow counts the requests to the engines of a service.
type latencyWindow struct{ requests, slow *window.Sum }

func (l *latencyWindow) total(now time.Duration) tally.Latency {
	return tally.Latency{Requests: l.requests.Total(now), Slow: l.slow.Total(now)}
}

// recordLatency counts a request to a model engine whose first event took a time since it was sent, or
// which was refused because it would have taken too long.
func (m *Machine) recordLatency(now time.Duration, o *openRequest, took time.Duration) {
	if !o.request.HasTokens || o.route.LatencyObjective <= 0 {
		return
	}
	l, ok := m.latencies[o.service]
	if !ok {
		l = &latencyWindow{requests: window.New(latencySpan), slow: window.New(latencySpan)}
		m.latencies[o.service] = l
	}
	l.requests.Add(now, 1)
	if took > o.route.LatencyObjective/slowDivisor {
		l.slow.Add(now, 1)
	}
}

// recordMissingEvent counts a request that ended before its first event if it was slow by then. Those
// of callers that left earlier show nothing.
func (m *Machine) recordMissingEvent(now time.Duration, o *openRequest) {
	if took := now - o.sentAt; took > o.route.LatencyObjective/slowDivisor {
		m.recordLatency(now, o, took)
	}
}
