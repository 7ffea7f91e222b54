package follow

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelhold/cornelhold/internal/core/config"
)

// metrics are the Prometheus metrics of a follower.
type metrics struct {
	number     prometheus.Gauge
	verdicts   *prometheus.CounterVec
	activation prometheus.Histogram
	logDown    prometheus.Gauge
	gap        prometheus.Gauge
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		number: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cornelhold_active_ticket_number", Help: "Number of the active configuration.",
		}),
		verdicts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelhold_tickets_total", Help: "Ticket records folded by this process, by verdict.",
		}, []string{"verdict"}),
		activation: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "cornelhold_ticket_activation_seconds",
			Help:    "Time from the append of a ticket, by the log service's clock, until it is active here.",
			Buckets: []float64{0.01, 0.03, 0.1, 0.3, 1, 2, 3, 4, 8, 30},
		}),
		logDown: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cornelhold_ticket_log_down", Help: "1 if the last read of the ticket stream failed.",
		}),
		gap: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cornelhold_ticket_gap", Help: "1 if ticket records expired unread and no checkpoint covers them.",
		}),
	}
	registry.MustRegister(m.number, m.verdicts, m.activation, m.logDown, m.gap)
	return m
}

// recordActivation records the activation delay of each ticket. A negative delay,
// caused by differing clocks, counts as zero.
func (m *metrics) recordActivation(a config.Activate) {
	m.number.Set(float64(a.Snapshot.Number))
	for _, r := range a.Records {
		delay := time.Since(time.UnixMilli(r.TimeMillis))
		m.activation.Observe(max(delay, 0).Seconds())
	}
}

func (m *metrics) countVerdicts(verdicts []config.Verdict) {
	for _, v := range verdicts {
		m.verdicts.WithLabelValues(v.String()).Inc()
	}
}

func (m *metrics) recordStatus(s config.FollowerStatus) {
	m.logDown.Set(boolToFloat(s.LogDown))
	m.gap.Set(boolToFloat(s.Gap))
}

func boolToFloat(set bool) float64 {
	if set {
		return 1
	}
	return 0
}
