package member

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

func (m *Machine) beginProbe(now time.Duration) {
	m.periods++
	m.probe = probe{at: now}
	m.joining = now < m.startedAt+joinDuration
	m.expireRelays(now)
	if m.joining {
		m.pingRandom(joinPings)
	}
	if m.periods%deadProbePeriods == 0 {
		m.pingDead()
	}
	m.pingOwnSuspects()
	target := m.nextTarget()
	if target == nil {
		return
	}
	m.probe.target, m.probe.pending = target.Instance, true
	m.probe.sequence = m.ping(target.Update)
}

// endProbe handles a probe that was not acknowledged. A process that received
// nothing from any member is more likely to be isolated itself and suspects
// none. The target is probed a second time before it is suspected: at 810
// members a few percent of packet loss would otherwise cause a suspicion every
// two seconds, whose gossip would exceed the traffic budget.
func (m *Machine) endProbe(now time.Duration) {
	e, found := m.entries[m.probe.target]
	if !m.probe.pending || !found || m.lastReceived < m.probe.at-ProbePeriod {
		return
	}
	if !e.probeFailed {
		e.probeFailed = true
		m.retryTarget = e.Instance
		return
	}
	switch e.State {
	case StateAlive:
		suspect := e.Update
		suspect.State = StateSuspect
		m.replaceEntry(now, e, suspect)
		e.suspectedHere = true
		m.ownSuspects = append(m.ownSuspects, e.Instance)
	case StateLeaving:
		// The member announced that it leaves, so no suspicion is needed first.
		m.declareDead(now, e)
	}
}

// nextTarget cycles through all live members in random order and shuffles them
// anew for each cycle, so that the time until a dead member is probed is bounded.
func (m *Machine) nextTarget() *entry {
	if e, found := m.entries[m.retryTarget]; found && e.State != StateDead {
		m.retryTarget = ""
		return e
	}
	for range 2 {
		for len(m.probeOrder) > 0 {
			e, found := m.entries[m.probeOrder[0]]
			m.probeOrder = m.probeOrder[1:]
			if found && e.State != StateDead {
				return e
			}
		}
		m.probeOrder = m.sortedIDs()
		m.random.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
	}
	return nil
}

func (m *Machine) sendPingRequests() {
	m.probe.indirect = true
	for _, e := range m.randomLive(IndirectProbes, m.probe.target) {
		m.send(e.Address, Packet{Kind: KindPingRequest, Sequence: m.probe.sequence, Target: m.probe.target}, e)
	}
}

// randomLive returns up to count live members other than the excluded one.
func (m *Machine) randomLive(count int, exclude fleet.InstanceID) []*entry {
	var chosen []*entry
	if len(m.gossipOrder) == 0 {
		return nil
	}
	for range 4 * count {
		e := m.entries[m.gossipOrder[m.random.IntN(len(m.gossipOrder))]]
		if len(chosen) < count && e.State != StateDead && e.Instance != exclude && !slices.Contains(chosen, e) {
			chosen = append(chosen, e)
		}
	}
	return chosen
}

func (m *Machine) pingRandom(count int) {
	for _, e := range m.randomLive(count, "") {
		m.ping(e.Update)
	}
}

// pingOwnSuspects notifies the members that this process suspects, so that they
// can refute the suspicion.
func (m *Machine) pingOwnSuspects() {
	m.ownSuspects = slices.DeleteFunc(m.ownSuspects, func(id fleet.InstanceID) bool {
		e, found := m.entries[id]
		return !found || !e.suspectedHere || e.State != StateSuspect
	})
	for _, id := range m.ownSuspects[:min(len(m.ownSuspects), IndirectProbes)] {
		m.ping(m.entries[id].Update)
	}
}

func (m *Machine) pingDead() {
	var dead []*entry
	for _, id := range m.gossipOrder {
		if e := m.entries[id]; e.State == StateDead {
			dead = append(dead, e)
		}
	}
	if len(dead) > 0 {
		m.ping(dead[m.random.IntN(len(dead))].Update)
	}
}

func (m *Machine) ping(to Update) uint64 {
	m.sequence++
	m.send(to.Address, Packet{Kind: KindPing, Sequence: m.sequence}, m.entries[to.Instance])
	return m.sequence
}
