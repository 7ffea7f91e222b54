package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/reclaim"
)

// streamMetrics are the metrics of accepted requests and their streams.
type streamMetrics struct {
	firstToken    *prometheus.HistogramVec
	tokenInterval *prometheus.HistogramVec
	attempts      *prometheus.HistogramVec
	dropped       prometheus.Counter
	moves         *prometheus.CounterVec
	handoffs      *prometheus.CounterVec
	crashes       *prometheus.CounterVec
	quarantined   *prometheus.CounterVec
	fingerprints  prometheus.Gauge
}

func newStreamMetrics(registry *prometheus.Registry) *streamMetrics {
	teamClass := []string{"team", "class"}
	histogram := func(name, help string, buckets []float64) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, teamClass)
	}
	counter := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	m := &streamMetrics{
		firstToken: histogram("cornelhold_request_first_token_seconds",
			"Time from acceptance to the first token.", []float64{.05, .1, .2, .3, .4, .5, .63, .8, 1, 1.5, 2, 3, 5, 10, 30}),
		tokenInterval: histogram("cornelhold_request_token_interval_seconds",
			"Time between two tokens of one answer.", []float64{.005, .01, .02, .03, .04, .05, .06, .07, .1, .2, .5, 1, 3, 10}),
		attempts: histogram("cornelhold_request_attempts",
			"Attempts of one request on this router.", []float64{1, 2, 3, 4, 5, 6, 8, 12}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cornelhold_request_dropped_frames_total", Help: "Frames that did not continue the answer of their request.",
		}),
		moves: counter("cornelhold_request_moves_total",
			"Streams moved away from leaving endpoints.", "method"),
		handoffs: counter("cornelhold_request_handoffs_total",
			"Requests handed to other routers: two_copies, one_copy, refused, taken, restored.", "result"),
		crashes: counter("cornelhold_endpoint_crashes_total",
			"Attempts that ended because the endpoint process died.", "service"),
		quarantined: counter("cornelhold_request_quarantined_total",
			"Requests refused because they crash endpoints.", "team"),
	}
	m.fingerprints = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "cornelhold_quarantine_fingerprints", Help: "Request fingerprints that this router refuses to run.",
	})
	registry.MustRegister(m.fingerprints, m.firstToken, m.tokenInterval, m.attempts, m.dropped, m.moves, m.handoffs, m.crashes, m.quarantined)
	return m
}

// requestMetrics are the metrics of one request with their labels resolved.
type requestMetrics struct {
	all           *streamMetrics
	service       fleet.ServiceName
	team          fleet.TeamName
	firstToken    prometheus.Observer
	tokenInterval prometheus.Observer
	attempts      prometheus.Observer
}

func (m *streamMetrics) forRequest(s Submission) requestMetrics {
	team, class := string(s.Team), s.Class.String()
	return requestMetrics{
		all: m, service: s.Service, team: s.Team,
		firstToken:    m.firstToken.WithLabelValues(team, class),
		tokenInterval: m.tokenInterval.WithLabelValues(team, class),
		attempts:      m.attempts.WithLabelValues(team, class),
	}
}

func (m requestMetrics) moved(method reclaim.Method) {
	m.all.moves.WithLabelValues(method.String()).Inc()
}

func (m requestMetrics) crashed() {
	m.all.crashes.WithLabelValues(string(m.service)).Inc()
}

func (m requestMetrics) ended(attempts, dropped int, refusal *fleet.Refusal) {
	m.attempts.Observe(float64(attempts))
	m.all.dropped.Add(float64(dropped))
	if refusal != nil && refusal.Kind == fleet.RefusedQuarantined {
		m.all.quarantined.WithLabelValues(string(m.team)).Inc()
	}
}

func seconds(d time.Duration) float64 { return d.Seconds() }
