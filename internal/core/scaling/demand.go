package scaling

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// reportFor is how long an instance's demand counts without a new report.
	reportFor = 3 * time.Second
	// decayHalf is the time in which the remembered peak of demand halves its
	// distance to the present demand. It spans a good part of a wave, so that
	// endpoints are not ordered away between two peaks.
	decayHalf = 12 * time.Second
)

type demandReport struct {
	demand map[fleet.ServiceName]float64
	at     time.Duration
}

// Demand is what all instances ask of each service, as a number of endpoints
// kept busy.
type Demand struct {
	reports map[string]demandReport
	peaks   map[fleet.ServiceName]float64
	// since is when demand for a service was first seen.
	since   map[fleet.ServiceName]time.Duration
	updated time.Duration
}

// NewDemand returns a demand without reports.
func NewDemand() *Demand {
	return &Demand{
		reports: make(map[string]demandReport), peaks: make(map[fleet.ServiceName]float64),
		since: make(map[fleet.ServiceName]time.Duration),
	}
}

// Report takes the demand that an instance sees.
func (d *Demand) Report(now time.Duration, node string, demand map[fleet.ServiceName]float64) {
	if node == "" {
		return
	}
	d.reports[node] = demandReport{demand: demand, at: now}
}

// Peak returns the recent peak of the demand for a service.
func (d *Demand) Peak(now time.Duration, service fleet.ServiceName) float64 {
	d.update(now)
	return d.peaks[service]
}

// Instances returns the number of instances that reported lately.
func (d *Demand) Instances() int { return len(d.reports) }

// SeenFor returns how long ago demand for a service was first seen, 0 if it
// was not.
func (d *Demand) SeenFor(now time.Duration, service fleet.ServiceName) time.Duration {
	d.update(now)
	since, ok := d.since[service]
	if !ok {
		return 0
	}
	return now - since
}

func (d *Demand) update(now time.Duration) {
	current := make(map[fleet.ServiceName]float64)
	for node, r := range d.reports {
		if now-r.at > reportFor {
			delete(d.reports, node)
			continue
		}
		for service, n := range r.demand {
			current[service] += n
		}
	}
	keep := 1 - min(float64(now-d.updated)/float64(2*decayHalf), 1)
	d.updated = now
	for service := range d.peaks {
		d.peaks[service] = current[service] + (d.peaks[service]-current[service])*keep
	}
	for service, n := range current {
		d.peaks[service] = max(d.peaks[service], n)
		if _, ok := d.since[service]; !ok && n > 0 {
			d.since[service] = now
		}
	}
}
