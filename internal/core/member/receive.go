package member

import "time"

func (m *Machine) receive(now time.Duration, p Packet) {
	if p.Sender.Instance == m.self.Instance {
		return
	}
	m.lastHeard = now
	m.apply(now, p.Sender)
	for _, u := range p.Updates {
		m.apply(now, u)
	}
	sender := m.entries[p.Sender.Instance]
	switch p.Kind {
	case KindPing:
		answer := Packet{Kind: KindAck, Sequence: p.Sequence, Sender: m.self}
		answer.Updates = m.gossip(sender, p.Joining)
		m.emit(Send{Address: p.Sender.Address, Packet: answer})
	case KindPingRequest:
		m.probeFor(now, p)
	case KindAck:
		m.acknowledge(p)
	}
}

func (m *Machine) probeFor(now time.Duration, p Packet) {
	target, known := m.entries[p.Target]
	if !known || len(m.relays) >= relayLimit {
		return
	}
	sequence := m.ping(target.Update)
	m.relays[sequence] = relay{
		address: p.Sender.Address, sequence: p.Sequence, target: p.Target, until: now + ProbePeriod,
	}
}

func (m *Machine) acknowledge(p Packet) {
	if m.probe.pending && p.Sequence == m.probe.sequence {
		// A helper's ack names the target that it probed.
		answered := p.Target
		if answered == "" {
			answered = p.Sender.Instance
		}
		if answered == m.probe.target {
			m.probe.pending = false
			if e, known := m.entries[answered]; known {
				e.failed = false
			}
		}
	}
	if r, found := m.relays[p.Sequence]; found && r.target == p.Sender.Instance {
		delete(m.relays, p.Sequence)
		m.send(r.address, Packet{Kind: KindAck, Sequence: r.sequence, Target: r.target}, nil)
	}
}

// apply merges one update into the table.
func (m *Machine) apply(now time.Duration, u Update) {
	if u.State < StateAlive || u.State > StateDead || u.Instance == "" || u.Address == "" {
		return
	}
	if u.Instance == m.self.Instance {
		m.defend(u)
		return
	}
	if u.Number > m.self.Number && u.State != StateDead {
		m.emit(Heard{Instance: u.Instance, Number: u.Number})
	}
	e, known := m.entries[u.Instance]
	switch {
	case !known && u.State == StateDead:
		// Remembering it again would keep gossip about it alive for ever.
	case !known:
		m.add(now, u)
		m.queue.add(u)
	case supersedes(u, e.Update):
		m.set(now, e, u)
	case u.Incarnation == e.Incarnation:
		e.Number = max(e.Number, u.Number)
	}
}

// defend refutes an update about this member that is not true.
func (m *Machine) defend(u Update) {
	stale := u.Incarnation < m.self.Incarnation
	same := u.Incarnation == m.self.Incarnation && u.State <= m.self.State && u.State != StateSuspect
	if stale || same {
		return
	}
	m.self.Incarnation = u.Incarnation + 1
}

func supersedes(u, known Update) bool {
	if u.Incarnation != known.Incarnation {
		return u.Incarnation > known.Incarnation
	}
	return u.State > known.State
}

func (m *Machine) add(now time.Duration, u Update) {
	e := &entry{Update: u}
	m.entries[u.Instance] = e
	m.fill = append(m.fill, u.Instance)
	m.setDeadline(now, e)
	m.changed = true
}

// set replaces an entry by an update that supersedes it.
func (m *Machine) set(now time.Duration, e *entry, u Update) {
	// Every member is contacted soon after a start, so that the first contact
	// with a configured peer is no news to the others.
	news := e.Incarnation != 0 || u.State != StateAlive
	if u.Incarnation == e.Incarnation {
		u.Number = max(u.Number, e.Number)
	}
	m.changed = m.changed || visible(e.State) != visible(u.State) || e.Identity != u.Identity
	e.Update, e.accused, e.failed = u, false, false
	m.setDeadline(now, e)
	if news {
		m.queue.add(u)
	}
}

// visible maps a state to what a published list tells: a suspected member is
// treated as live, so that a suspicion is no reason to publish.
func visible(s State) State {
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
	m.dueAt = min(m.dueAt, e.deadline)
}
