package edge

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelhold/cornelhold/internal/core/gateway"
)

// turnWaitBuckets are in seconds and resolve the latency objectives of plain calls.
var turnWaitBuckets = []float64{0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8}

// addTurns creates the metrics of turns.
func (m *metrics) addTurns(registry *prometheus.Registry) {
	m.turnResults = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelhold_turn_results_total", Help: "Results of asks for turns, and the reasons of refusals.",
	}, []string{"result", "reason"})
	m.turnEnds = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelhold_turn_ends_total", Help: "Ends of turns, by outcome.",
	}, []string{"outcome"})
	m.turnGrants = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cornelhold_turn_grants_total", Help: "Turns that this instance granted as an owner, to all instances.",
	})
	m.turnWait = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Name: "cornelhold_turn_wait_seconds", Help: "Time that calls waited for the turn with which they were sent.", Buckets: turnWaitBuckets,
	}, []string{"team", "priority"})
	m.turnsNeeded = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "cornelhold_turns_needed", Help: "1 while calls of a service ask for turns.",
	}, []string{"service"})
	registry.MustRegister(m.turnResults, m.turnEnds, m.turnGrants, m.turnWait, m.turnsNeeded)
}

// turnTaken records the wait for the turn of an attempt, if it has one.
func (m *metrics) turnTaken(a gateway.Send) {
	if a.Turn != nil {
		m.turnWait.WithLabelValues(string(a.Team), strconv.Itoa(a.Priority)).Observe(a.Turn.Waited.Seconds())
	}
}
