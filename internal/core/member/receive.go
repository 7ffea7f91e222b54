package member

import "time"

func (m *Machine) receive(now time.Duration, p Packet) {
	if p.Sender.Instance == m.self.Instance {
		return
	}
	m.lastReceived = now
	m.apply(now, p.Sender)
	for _, u := range p.Updates {
		m.apply(now, u)
	}
	sender := m.entries[p.Sender.Instance]
	switch p.Kind {
	case KindPing:
		response := Packet{Kind: KindAck, Sequence: p.Sequence, Sender: m.self}
		response.Updates = m.gossip(sender, p.Full)
		m.emit(SendPacket{Address: p.Sender.Address, Packet: response})
	case KindPingRequest:
		m.relayProbe(now, p)
	case KindAck:
		m.handleAck(p)
	}
}

func (m *Machine) relayProbe(now time.Duration, p Packet) {
	target, found := m.entries[p.Target]
	if !found || len(m.relays) >= maxRelays {
		return
	}
	sequence := m.ping(target.Update)
	m.relays[sequence] = relay{
		address: p.Sender.Address, sequence: p.Sequence, target: p.Target, until: now + ProbePeriod,
	}
}

func (m *Machine) handleAck(p Packet) {
	if m.probe.pending && p.Sequence == m.probe.sequence {
		// The ack of a helper names the target that the helper probed.
		acked := p.Target
		if acked == "" {
			acked = p.Sender.Instance
		}
		if acked == m.probe.target {
			m.probe.pending = false
			if e, found := m.entries[acked]; found {
				e.probeFailed = false
			}
		}
	}
	if r, found := m.relays[p.Sequence]; found && r.target == p.Sender.Instance {
		delete(m.relays, p.Sequence)
		m.send(r.address, Packet{Kind: KindAck, Sequence: r.sequence, Target: r.target}, nil)
	}
}

// apply merges one update into the entries.
func (m *Machine) apply(now time.Duration, u Update) {
	if u.State < StateAlive || u.State > StateDead || u.Instance == "" || u.Address == "" {
		return
	}
	if u.Instance == m.self.Instance {
		m.refute(u)
		return
	}
	if u.Number > m.self.Number && u.State != StateDead {
		m.emit(NumberAnnounced{Instance: u.Instance, Number: u.Number})
	}
	e, found := m.entries[u.Instance]
	switch {
	case !found && u.State == StateDead:
		// Adding the entry again would let gossip about the dead member circulate
		// for ever.
	case !found:
		m.addEntry(now, u)
		m.queue.add(u)
	case supersedes(u, e.Update):
		m.replaceEntry(now, e, u)
	case u.Incarnation == e.Incarnation:
		e.Number = max(e.Number, u.Number)
	}
}

// refute raises the incarnation if an update about this member is wrong.
func (m *Machine) refute(u Update) {
	stale := u.Incarnation < m.self.Incarnation
	same := u.Incarnation == m.self.Incarnation && u.State <= m.self.State && u.State != StateSuspect
	if stale || same {
		return
	}
	m.self.Incarnation = u.Incarnation + 1
}

func supersedes(u, current Update) bool {
	if u.Incarnation != current.Incarnation {
		return u.Incarnation > current.Incarnation
	}
	return u.State > current.State
}

func (m *Machine) addEntry(now time.Duration, u Update) {
	e := &entry{Update: u}
	m.entries[u.Instance] = e
	m.gossipOrder = append(m.gossipOrder, u.Instance)
	m.setDeadline(now, e)
	m.listChanged = true
}

// replaceEntry replaces an entry by an update that supersedes it.
func (m *Machine) replaceEntry(now time.Duration, e *entry, u Update) {
	// The first contact with a configured peer is not gossiped: every member is
	// contacted soon after a start.
	spread := e.Incarnation != 0 || u.State != StateAlive
	if u.Incarnation == e.Incarnation {
		u.Number = max(u.Number, e.Number)
	}
	m.listChanged = m.listChanged || publishedState(e.State) != publishedState(u.State) || e.Identity != u.Identity
	e.Update, e.suspectedHere, e.probeFailed = u, false, false
	m.setDeadline(now, e)
	if spread {
		m.queue.add(u)
	}
}

// publishedState maps a state to the one that matters to a published list: a
// suspected member is treated as live, so a suspicion causes no new list.
func publishedState(s State) State {
	if s == StateSuspect {
		return StateAlive
	}
	return s
}

func (m *Machine) setDeadline(now time.Duration, e *entry) {
	switch e.State {
	case StateSuspect:
		e.deadline = now + SuspicionTimeout(len(m.entries)+1)
	case StateDead:
		e.deadline = now + DeadRetention
	default:
		return
	}
	m.nextExpiry = min(m.nextExpiry, e.deadline)
}
