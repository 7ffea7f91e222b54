package scaling

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/tally"
)

const (
	// reportTTL is how long a demand counts after its last report.
	reportTTL = 3 * time.Second
	// peakDecayTime is half the time constant with which a recorded peak decays
	// towards the current demand. It covers a large part of a traffic cycle, so
	// that endpoints are not removed between two peaks.
	peakDecayTime = 12 * time.Second
	// recentDecayTime is the same for the peak that on-demand endpoints have to cover. They are
	// dear, and start within seconds when demand rises again.
	recentDecayTime = 2 * time.Second
)

type demandReport struct {
	demand     map[fleet.ServiceName]float64
	latencies  map[fleet.ServiceName]tally.Latency
	instances  int
	reportedAt time.Duration
}

// Demand aggregates the load that groups of instances report for each service, in
// endpoints kept busy.
type Demand struct {
	reports map[string]demandReport
	// current is the sum of the reports as of updatedAt.
	current map[fleet.ServiceName]float64
	peaks   map[fleet.ServiceName]float64
	// recent are peaks that decay within seconds.
	recent map[fleet.ServiceName]float64
	// firstSeen is when demand for a service was first seen.
	firstSeen map[fleet.ServiceName]time.Duration
	updatedAt time.Duration
}

// NewDemand returns a Demand without reports.
func NewDemand() *Demand {
	return &Demand{
		reports: make(map[string]demandReport), peaks: make(map[fleet.ServiceName]float64),
		recent:    make(map[fleet.ServiceName]float64),
		firstSeen: make(map[fleet.ServiceName]time.Duration),
	}
}

// Report replaces the demand and the latencies that a group of instances measured.
func (d *Demand) Report(now time.Duration, group string, instances int, t tally.Tally) {
	d.reports[group] = demandReport{demand: t.Demand, latencies: t.Latencies, instances: instances, reportedAt: now}
}

// Current returns the demand for a service.
func (d *Demand) Current(now time.Duration, service fleet.ServiceName) float64 {
	d.update(now)
	return d.current[service]
}

// Latency returns how fast the requests for a service were answered in the last seconds.
func (d *Demand) Latency(now time.Duration, service fleet.ServiceName) tally.Latency {
	var sum tally.Latency
	for _, r := range d.reports {
		if now-r.reportedAt <= reportTTL {
			sum = sum.Plus(r.latencies[service])
		}
	}
	return sum
}

// Peak returns the decaying peak of the demand for a service.
func (d *Demand) Peak(now time.Duration, service fleet.ServiceName) float64 {
	d.update(now)
	return d.peaks[service]
}

// Recent returns the peak of the demand for a service in the last seconds.
func (d *Demand) Recent(now time.Duration, service fleet.ServiceName) float64 {
	d.update(now)
	return d.recent[service]
}

// ReportingInstances returns the number of instances with a current report.
func (d *Demand) ReportingInstances() int {
	total := 0
	for _, r := range d.reports {
		total += r.instances
	}
	return total
}

// SinceFirstSeen returns the time since the first demand for a service, 0 if
// there has been none.
func (d *Demand) SinceFirstSeen(now time.Duration, service fleet.ServiceName) time.Duration {
	d.update(now)
	firstSeen, ok := d.firstSeen[service]
	if !ok {
		return 0
	}
	return now - firstSeen
}

func (d *Demand) update(now time.Duration) {
	current := make(map[fleet.ServiceName]float64)
	for node, r := range d.reports {
		if now-r.reportedAt > reportTTL {
			delete(d.reports, node)
			continue
		}
		for service, n := range r.demand {
			current[service] += n
		}
	}
	decayPeaks(d.peaks, current, now-d.updatedAt, peakDecayTime)
	decayPeaks(d.recent, current, now-d.updatedAt, recentDecayTime)
	d.current, d.updatedAt = current, now
	for service, n := range current {
		d.peaks[service] = max(d.peaks[service], n)
		d.recent[service] = max(d.recent[service], n)
		if _, ok := d.firstSeen[service]; !ok && n > 0 {
			d.firstSeen[service] = now
		}
	}
}

// decayPeaks lets peaks approach the current demand. decayTime is half the time constant.
func decayPeaks(peaks, current map[fleet.ServiceName]float64, passed, decayTime time.Duration) {
	remaining := 1 - min(float64(passed)/float64(2*decayTime), 1)
	for service := range peaks {
		peaks[service] = current[service] + (peaks[service]-current[service])*remaining
	}
}
