package router

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelhold/cornelhold/internal/core/claim"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// callMetrics are the metrics of non-idempotent calls.
type callMetrics struct {
	results   *prometheus.CounterVec
	claimWait *prometheus.HistogramVec
	appends   *prometheus.CounterVec
	entries   prometheus.Counter
	keys      prometheus.Gauge
}

func newCallMetrics(registry *prometheus.Registry) *callMetrics {
	m := &callMetrics{
		results: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelhold_call_results_total",
			Help: "Ends of calls that may not be repeated, by team and by refusal kind or answered.",
		}, []string{"team", "result"}),
		claimWait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "cornelhold_claim_wait_seconds",
			Help:    "Time from the submission of a call to its accepted claim, by team.",
			Buckets: []float64{.005, .01, .025, .05, .1, .25, .5, 1, 2, 3},
		}, []string{"team"}),
		appends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelhold_claim_appends_total",
			Help: "Appends to the claim stream, by result.",
		}, []string{"result"}),
		entries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cornelhold_claim_entries_total",
			Help: "Entries in the appends to the claim stream.",
		}),
		keys: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cornelhold_claim_keys",
			Help: "Idempotency keys held in memory.",
		}),
	}
	registry.MustRegister(m.results, m.claimWait, m.appends, m.entries, m.keys)
	return m
}

func (m *callMetrics) recordResult(team fleet.TeamName, refusal *fleet.Refusal) {
	result := "answered"
	if refusal != nil {
		result = string(refusal.Kind)
	}
	m.results.WithLabelValues(string(team), result).Inc()
}

func (m *callMetrics) recordWait(team fleet.TeamName, d time.Duration) {
	m.claimWait.WithLabelValues(string(team)).Observe(d.Seconds())
}

func (m *callMetrics) recordAppend(msg batchAppended) {
	result := "stored"
	switch msg.result {
	case claim.AppendNotDone:
		result = "not_done"
	case claim.AppendUnknown:
		result = "unknown"
	}
	m.appends.WithLabelValues(result).Inc()
	m.entries.Add(float64(len(msg.entries)))
}
