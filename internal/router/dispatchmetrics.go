package router

import (
	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/do/v2"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/task"
)

// dispatchMetrics counts the decisions of the dispatcher. Team labels come from
// authenticated requests, so that their number is bounded by the configuration.
type dispatchMetrics struct {
	wait     *prometheus.HistogramVec
	refusals *prometheus.CounterVec
	extra    *prometheus.CounterVec
}

func newDispatchMetrics(registry *prometheus.Registry) *dispatchMetrics {
	m := &dispatchMetrics{
		wait: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cornelhold_dispatch_queue_wait_seconds", Help: "Time from submission or retry to the grant.",
			Buckets: []float64{.001, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 60},
		}, []string{"team", "class"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelhold_dispatch_refusals_total", Help: "Requests that the dispatcher refused.",
		}, []string{"reason", "team"}),
		extra: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelhold_dispatch_extra_attempts_total", Help: "Attempts beyond the first: retries and hedges.",
		}, []string{"kind", "reason"}),
	}
	registry.MustRegister(m.wait, m.refusals, m.extra)
	return m
}

func (m *dispatchMetrics) observe(action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Grant:
		if !a.Hedge {
			m.wait.WithLabelValues(string(a.Team), a.Class.String()).Observe(a.Waited.Seconds())
		}
		if a.Cause != "" {
			m.extra.WithLabelValues(extraKind(a), string(a.Cause)).Inc()
		}
	case dispatch.Refuse:
		m.refusals.WithLabelValues(string(a.Refusal.Kind), string(a.Team)).Inc()
	}
}

func extraKind(a dispatch.Grant) string {
	if a.Hedge {
		return "hedge"
	}
	return "retry"
}

func provideDispatcher(i do.Injector) *dispatcher {
	s := do.MustInvoke[*Settings](i)
	options := dispatch.Options{DataCentre: fleet.DataCentre(s.DataCentre), Seed: xxhash.Sum64String(s.Instance)}
	return newDispatcher(do.MustInvoke[task.Clock](i), options, newDispatchMetrics(do.MustInvoke[*daemon.Env](i).Metrics))
}
