package router

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelhold/cornelhold/internal/core/deferred"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// deferredMetrics are the metrics of deferred work on this router.
type deferredMetrics struct {
	submissions *prometheus.CounterVec
	runs        *prometheus.CounterVec
	running     prometheus.Gauge
}

func newDeferredMetrics(registry *prometheus.Registry) *deferredMetrics {
	m := &deferredMetrics{
		submissions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelhold_deferred_submissions_total",
			Help: "Submissions of deferred work, by refusal kind or accepted.",
		}, []string{"result"}),
		runs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelhold_deferred_runs_total",
			Help: "Runs of deferred jobs that ended, by result: completed, or failed and to be repeated.",
		}, []string{"result"}),
		running: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cornelhold_deferred_running",
			Help: "Deferred jobs that this router runs.",
		}),
	}
	registry.MustRegister(m.submissions, m.runs, m.running)
	return m
}

func (m *deferredMetrics) recordSubmission(refusal *fleet.Refusal) {
	result := "accepted"
	if refusal != nil {
		result = string(refusal.Kind)
	}
	m.submissions.WithLabelValues(result).Inc()
}

// observe records the end of a run and the number of running jobs.
func (m *deferredMetrics) observe(msg deferred.Message, running int) {
	if ended, ok := msg.(deferred.RunEnded); ok {
		result := "completed"
		if ended.Failed {
			result = "failed"
		}
		m.runs.WithLabelValues(result).Inc()
	}
	m.running.Set(float64(running))
}
