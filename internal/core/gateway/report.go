package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quota"
)

// instances returns the number of instances of the deployment. While no peer has
// been found a number is assumed, so that an isolated instance does not use the whole
// retry reserve.
func (m *Machine) instances() int {
	const assumedInstances = 9
	if len(m.peers) == 0 {
		return assumedInstances
	}
	return len(m.peers) + 1
}

func (m *Machine) peerReport(now time.Duration, r PeerReport) {
	m.peers[r.Node] = true
	m.quota.SetPeer(r.Node, quota.Peer{At: now, Used: r.Used})
	m.setLoads(now, r.Node, r.Loads)
	m.crashReported(now, r.Crashes)
}

func (m *Machine) peerLeft(node string) {
	delete(m.peers, node)
	m.quota.DropPeer(node)
	m.dropLoads(node)
}

// Report returns the periodic report to the peers. It drops expired loads.
func (m *Machine) Report(now time.Duration) PeerReport {
	m.expireLoads(now)
	m.quarantineCauses(now)
	r := PeerReport{
		Node: m.options.Node, Used: m.quota.OwnUsage(now),
		Loads: make(map[fleet.EndpointID]Load), Crashes: m.crashes.report(now),
		Demand: make(map[fleet.ServiceName]float64),
	}
	for service, sum := range m.demand {
		// The window is not full yet shortly after the first request.
		span := min(max(now-m.demandSince[service], demandWindow/4), demandWindow)
		r.Demand[service] = sum.Total(now) / span.Seconds()
	}
	for id, e := range m.endpoints {
		if e.own.Active > 0 {
			r.Loads[id] = e.own
		}
	}
	return r
}
