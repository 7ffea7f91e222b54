package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quota"
	"github.com/cornelhold/cornelhold/internal/core/tally"
)

const (
	// loadsTTL is how long the loads of the other instances count after their sums have
	// stopped.
	loadsTTL = 1500 * time.Millisecond
	// backlogSmoothing is the weight of a report in the mean backlog of an endpoint, which covers
	// about the last second.
	backlogSmoothing = 0.2
	// loadsAge is the usual age of the loads of other instances.
	loadsAge = 400 * time.Millisecond
	// assumedInstances is the number of instances assumed while no other is known, so
	// that an isolated instance does not use the whole retry reserve.
	assumedInstances = 9
)

// others is what this instance knows of the others.
type others struct {
	instances  int
	loads      map[fleet.EndpointID]tally.Load
	at         time.Duration
	relays     bool
	relayNodes []string
}

// instances returns the number of instances of the deployment.
func (m *Machine) instances() int {
	if m.others.instances == 0 {
		return assumedInstances
	}
	return m.others.instances + 1
}

// reportsDirectly reports whether all instances hear each other without relays between
// them: all of them are relays, or no other is known.
func (m *Machine) reportsDirectly() bool {
	return m.others.instances == 0 || len(m.others.relayNodes) > m.others.instances
}

func (m *Machine) othersReported(now time.Duration, r OthersReported) []Action {
	m.quota.SetOthers(now, quota.Others{
		Reached: r.Reached.Instances, Used: r.Reached.Tally.Used, Age: r.Reached.Age, Oldest: r.Reached.Oldest, Youngest: r.Reached.Youngest,
		Lost: r.Lost.Instances, LostUsed: r.Lost.Tally.Used, Requested: r.Reached.Tally.Requested, Departed: r.Reached.Tally.Departed,
	})
	m.addLoads(-1)
	if !slices.Equal(m.others.relayNodes, r.RelayNodes) {
		// Another instance may own the record of a cause from now on.
		m.crashes.persisted.changed = true
	}
	m.others = others{
		instances: r.Reached.Instances + r.Lost.Instances, loads: r.Reached.Tally.Loads, at: now,
		relays: r.Relays, relayNodes: r.RelayNodes,
	}
	m.addLoads(1)
	for _, e := range m.endpoints {
		e.meanBacklog += (float64(e.others.Backlog) - e.meanBacklog) * backlogSmoothing
	}
	m.model.SetOthers(now, r.Reached.Tally.Engines)
	return m.reviewEvacuations(now)
}

// addLoads adds the loads of the other instances to the endpoints, or removes them.
func (m *Machine) addLoads(sign int) {
	for id, load := range m.others.loads {
		if e, ok := m.endpoints[id]; ok {
			e.others.Active += sign * load.Active
			e.others.Backlog += sign * load.Backlog
			e.others.Turns += sign * load.Turns
		}
	}
}

// expireLoads drops the loads of the others once they are out of date.
func (m *Machine) expireLoads(now time.Duration) {
	if now-m.others.at > loadsTTL {
		m.addLoads(-1)
		m.others.loads = nil
		for _, e := range m.endpoints {
			e.meanBacklog = 0
		}
	}
}

// Report returns what this instance states of itself. It drops expired loads.
func (m *Machine) Report(now time.Duration) Report {
	m.expireLoads(now)
	m.quarantineCauses(now)
	r := Report{Tally: tally.New(), Crashes: m.crashes.report(now)}
	m.reportRollouts(now, r.Tally)
	r.Tally.Used, r.Tally.Requested = m.quota.OwnUsage(now), m.quota.OwnDemand(now)
	r.Tally.Departed, r.QuotaUse = m.quota.Departed(now), m.quota.Record(now)
	for service, sum := range m.demand {
		// The window is not full yet shortly after the first request.
		span := min(max(now-m.demandSince[service], demandWindow/4), demandWindow)
		r.Tally.Demand[service] = sum.Total(now) / span.Seconds()
	}
	for service, l := range m.latencies {
		r.Tally.Latencies[service] = l.total(now)
	}
	for id, e := range m.endpoints {
		if e.own.Active > 0 {
			r.Tally.Loads[id] = e.own
		}
	}
	r.RejectedAt = maps.Clone(m.turns.rejectedAt)
	r.Tally.Engines = m.model.Report(now)
	r.Engines = make(map[fleet.ServiceName]EngineSpeeds)
	for service := range r.Tally.Engines.Services {
		if speeds := m.model.Speeds(service); m.model.Known(service) {
			r.Engines[service] = EngineSpeeds{ReadRate: speeds.ReadRate(), TokenTime: speeds.TokenTime(m.usableSlots(service))}
		}
	}
	return r
}
