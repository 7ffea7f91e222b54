package edge

import (
	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/front"
)

// latencyBuckets are in seconds and range from plain calls to the longest streams.
var latencyBuckets = []float64{0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8}

// ratioBuckets are ratios of observed to expected times.
var ratioBuckets = []float64{0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.5, 2, 3, 5}

// listAgeBuckets are in seconds and resolve the usual bounds for draining endpoints.
var listAgeBuckets = []float64{0.25, 0.5, 0.75, 1, 1.25, 1.5, 1.75, 2, 2.5, 3, 4}

// metrics holds the counters and histograms of the process.
type metrics struct {
	requests   *prometheus.CounterVec
	firstByte  *prometheus.HistogramVec
	total      *prometheus.HistogramVec
	firstEvent *prometheus.HistogramVec
	readRate   *prometheus.GaugeVec
	tokenTime  *prometheus.GaugeVec
	sendDelay  *prometheus.HistogramVec
	listAge    prometheus.Histogram
	stalls     prometheus.Counter
	malformed  *prometheus.CounterVec
	droppedLog prometheus.Counter
	// endpointEnds counts the incarnations of endpoints that ended.
	endpointEnds *prometheus.CounterVec
	quarantined  prometheus.Gauge
	// crashRecords counts the appends of crash evidence to the store.
	crashRecords *prometheus.CounterVec
	// storeEpoch is the newest known epoch of the store, usageLeftOut counts the usage windows that are
	// not reported because an earlier epoch may have had a decision on them.
	storeEpoch   prometheus.Gauge
	usageLeftOut prometheus.Counter
	// leavingStreams counts the streams of endpoints that left, moves the moves of runs.
	leavingStreams, moves *prometheus.CounterVec
	// reclaimNotices counts the reclaimable endpoints that leave.
	reclaimNotices *prometheus.CounterVec
	// turnResults counts the results of asks for turns, turnEnds the ends of turns.
	turnResults, turnEnds *prometheus.CounterVec
	turnGrants            prometheus.Counter
	turnWait              *prometheus.HistogramVec
	turnsNeeded           *prometheus.GaugeVec
	log                   log.Interface
	// The gauges of rollouts are set by the holder of the duties.
	rolloutOrders                     *prometheus.CounterVec
	rolloutShare, rolloutState        *prometheus.GaugeVec
	rolloutResponses, rolloutRequests *prometheus.GaugeVec
}

func newMetrics(registry *prometheus.Registry, logger log.Interface) *metrics {
	m := &metrics{
		log: logger,
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelhold_answers_total", Help: "Requests that ended, by outcome.",
		}, []string{"team", "service", "kind", "result", "reason"}),
		firstByte: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cornelhold_first_byte_seconds", Help: "Time until the first byte of an answer.", Buckets: latencyBuckets,
		}, []string{"team", "kind"}),
		total: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cornelhold_answer_seconds", Help: "Time until the end of an answer.", Buckets: latencyBuckets,
		}, []string{"team", "kind"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cornelhold_first_event_ratio", Help: "Time from the choice of an endpoint to the first event of its stream, divided by the expected time.", Buckets: ratioBuckets,
		}, []string{"service"}),
		readRate: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cornelhold_engine_read_tokens_per_second", Help: "Estimated rate at which an engine of a service reads prompts.",
		}, []string{"service"}),
		tokenTime: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cornelhold_engine_token_seconds", Help: "Estimated time of an output token of one stream while an engine of a service runs as many as it can.",
		}, []string{"service"}),
		sendDelay: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "cornelhold_send_delay_seconds", Help: "Time from the choice of an endpoint until the request was written to it.", Buckets: latencyBuckets,
		}, []string{"kind"}),
		listAge: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "cornelhold_list_age_seconds", Help: "Age of the instance list when a request was written to an endpoint.", Buckets: listAgeBuckets,
		}),
		stalls: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cornelhold_stalls_total", Help: "Times at which the process did not run for a while.",
		}),
		malformed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelhold_malformed_total", Help: "Malformed messages that were left out.",
		}, []string{"kind"}),
		droppedLog: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cornelhold_log_lines_dropped_total", Help: "Log lines dropped because the writer was busy.",
		}),
		endpointEnds: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelhold_endpoint_ends_total", Help: "Incarnations of endpoints that ended, by evidence.",
		}, []string{"evidence"}),
		quarantined: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "cornelhold_quarantined_causes", Help: "Causes of crashes, whose requests are refused.",
		}),
		leavingStreams: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelhold_leaving_streams_total", Help: "Streams whose endpoint the cloud took back, by what became of them.",
		}, []string{"team", "route", "fate"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelhold_stream_moves_total", Help: "Moves of running streams to another endpoint, by outcome and last answer of the source.",
		}, []string{"team", "route", "outcome", "answer"}),
		reclaimNotices: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "cornelhold_reclaim_notices_total", Help: "Reclaimable endpoints with running streams that leave, by whether they stated when.",
		}, []string{"notice"}),
	}
	m.addRollouts(registry)
	m.addTurns(registry)
	registry.MustRegister(m.reclaimNotices, m.leavingStreams, m.moves, m.requests, m.firstByte, m.firstEvent, m.readRate, m.tokenTime,
		m.total, m.sendDelay, m.listAge, m.stalls, m.malformed, m.droppedLog, m.endpointEnds, m.quarantined)
	m.addStore(registry)
	return m
}

// addStore creates the metrics of what is kept in the store.
func (m *metrics) addStore(registry *prometheus.Registry) {
	m.crashRecords = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelhold_crash_record_appends_total", Help: "Appends of crash evidence to the store, by result.",
	}, []string{"result"})
	m.storeEpoch = prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "cornelhold_store_epoch", Help: "Newest known epoch of the store, which rises each time that it comes back from an older copy.",
	})
	m.usageLeftOut = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "cornelhold_usage_windows_left_out_total", Help: "Usage windows not reported, since they may have been before the store came back from an older copy.",
	})
	registry.MustRegister(m.crashRecords, m.storeEpoch, m.usageLeftOut)
}

// addRollouts creates the metrics of rollouts.
func (m *metrics) addRollouts(registry *prometheus.Registry) {
	m.rolloutOrders = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cornelhold_rollout_orders_ignored_total", Help: "Orders of rollouts that change nothing, by reason.",
	}, []string{"reason"})
	m.rolloutShare = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "cornelhold_rollout_share", Help: "Share of the requests that goes to the new version.",
	}, []string{"service"})
	m.rolloutState = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "cornelhold_rollout_state", Help: "1 for the state that the last rollout of a service is in.",
	}, []string{"service", "state"})
	m.rolloutResponses = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "cornelhold_rollout_responses", Help: "Responses of all reached instances since the order, by version.",
	}, []string{"service", "version", "kind"})
	m.rolloutRequests = prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "cornelhold_rollout_requests", Help: "Requests sent since the order, to all versions and to the new one.",
	}, []string{"service", "version"})
	registry.MustRegister(m.rolloutOrders, m.rolloutShare, m.rolloutState, m.rolloutResponses, m.rolloutRequests)
}

// RequestSent records that a request was written to an endpoint.
func (m *metrics) RequestSent(t front.SendTimes) {
	m.sendDelay.WithLabelValues(t.Kind).Observe(t.Delay.Seconds())
	m.listAge.Observe(t.ListAge.Seconds())
}

// enginesEstimated records the estimated speeds of engines.
func (m *metrics) enginesEstimated(speeds map[fleet.ServiceName]gateway.EngineSpeeds) {
	for service, s := range speeds {
		m.readRate.WithLabelValues(string(service)).Set(s.ReadRate)
		m.tokenTime.WithLabelValues(string(service)).Set(s.TokenTime.Seconds())
	}
}

// MoveEnded records the end of the move of a stream's run.
func (m *metrics) MoveEnded(team fleet.TeamName, route, outcome, answer string) {
	m.moves.WithLabelValues(string(team), route, outcome, answer).Inc()
}

// RequestEnded records and logs the end of a request.
func (m *metrics) RequestEnded(o front.Outcome) {
	m.requests.WithLabelValues(string(o.Team), string(o.Service), o.Kind, o.Result, o.Reason).Inc()
	if o.Wait > 0 {
		m.firstByte.WithLabelValues(string(o.Team), o.Kind).Observe(o.Wait.Seconds())
	}
	if o.FirstEventRatio > 0 {
		m.firstEvent.WithLabelValues(string(o.Service)).Observe(o.FirstEventRatio)
	}
	if o.Leaving != "" {
		m.leavingStreams.WithLabelValues(string(o.Team), o.Route, o.Leaving).Inc()
	}
	m.total.WithLabelValues(string(o.Team), o.Kind).Observe(o.Total.Seconds())
	m.log.WithFields(log.Fields{
		"request": o.Attempt, "route": o.Route, "kind": o.Kind, "team": string(o.Team),
		"service": string(o.Service), "endpoint": string(o.Endpoint), "attempts": o.Attempts,
		"status": o.Status, "result": o.Result, "reason": o.Reason, "detail": o.Detail, "leaving": o.Leaving,
		"wait_ms": o.Wait.Milliseconds(), "first_event_ms": o.FirstEvent.Milliseconds(), "total_ms": o.Total.Milliseconds(),
	}).Info("request ended")
}
