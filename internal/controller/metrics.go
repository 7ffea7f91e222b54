package controller

import (
	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the Prometheus metrics of the controller; docs/controller.md
// describes them.
type metrics struct {
	leases     prometheus.Gauge
	orders     *prometheus.CounterVec
	starts     prometheus.Counter
	refused    *prometheus.CounterVec
	stops      prometheus.Counter
	instances  *prometheus.GaugeVec
	weightWait prometheus.Gauge
	cost       prometheus.Gauge
	number     prometheus.Gauge
}

func newMetrics(r *prometheus.Registry) *metrics {
	const namespace, subsystem = "cornelhold", "controller"
	gauge := func(name, help string) prometheus.Gauge {
		return prometheus.NewGauge(prometheus.GaugeOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help})
	}
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help})
	}
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: subsystem, Name: name, Help: help}, labels)
	}
	m := &metrics{
		leases:  gauge("leases_held", "Shards for which this process may issue orders."),
		orders:  counters("orders_total", "Orders to endpoints by result.", "result"),
		starts:  counter("starts_total", "Instance starts that the cloud API answered with an instance."),
		refused: counters("starts_refused_total", "Instance starts without an instance, by reason.", "reason"),
		stops:   counter("stops_total", "Instances given back."),
		instances: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Subsystem: subsystem, Name: "instances",
			Help: "Instances of held shards by state, class and data centre.",
		}, []string{"state", "class", "data_centre"}),
		weightWait: gauge("weight_store_wait_seconds", "Longest time that an endpoint is waiting for a download slot."),
		cost:       gauge("running_cost_per_hour", "Price of the instances of held shards that are not stopped, in currency units an hour."),
		number:     gauge("active_ticket_number", "Number of the active configuration."),
	}
	r.MustRegister(m.leases, m.orders, m.starts, m.refused, m.stops, m.instances, m.weightWait, m.cost, m.number)
	return m
}
