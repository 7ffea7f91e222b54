package lease

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// RenewInterval is the time between two renewals of a node. At 810 nodes it
	// causes 162 appends per second.
	RenewInterval = 5 * time.Second
	// resendDelay is the time after which an append without a known outcome is
	// sent again under a new id.
	resendDelay = 2 * time.Second
	// appendRetryDelay is the time before the next append after a failed one.
	appendRetryDelay = time.Second
	// acquireSpread bounds the delay before a node acquires a free shard. The
	// delay depends on node and shard, so that few nodes compete for a shard and
	// the shards spread over the nodes.
	acquireSpread = 4 * time.Second
	// acquireBatchInterval is the granularity of that delay: acquisitions close
	// together go into one record.
	acquireBatchInterval = 500 * time.Millisecond
	// remoteDelay is the additional delay for a shard of another data centre.
	remoteDelay = 5 * time.Second
)

// Options configures a Machine.
type Options struct {
	Self Holder
	// MaxShards bounds the shards that the node acquires; 0 means no bound.
	MaxShards int
}

// Machine holds the shards of one node. Invariant: a permit ends SafetyMargin
// before the lease does, counted on the holder's clock from before the append
// was sent, whatever happens to the response.
type Machine struct {
	options Options
	fold    *Fold
	wanted  map[Shard]Wanted
	// freeAt is the local time at which a shard may be free of other holders.
	freeAt map[Shard]time.Duration
	held   map[Shard]Permit
	// permitFrom is the local time from which orders are allowed in a shard.
	permitFrom map[Shard]time.Duration
	// pendingAppends is the send time of appends without a known outcome, by id.
	pendingAppends map[string]time.Duration
	caughtUp       bool
	leaving        bool
	released       bool
	appendCounter  uint64
	lastSent       time.Duration
	nextSend       time.Duration
}

// New returns a machine that holds nothing.
func New(options Options) *Machine {
	return &Machine{
		options: options, fold: NewFold(),
		wanted: make(map[Shard]Wanted), freeAt: make(map[Shard]time.Duration),
		held: make(map[Shard]Permit), permitFrom: make(map[Shard]time.Duration),
		pendingAppends: make(map[string]time.Duration),
	}
}

// Permit returns the permit of a shard if the machine holds one at now.
func (m *Machine) Permit(now time.Duration, s Shard) (Permit, bool) {
	p, ok := m.held[s]
	return p, ok && p.Allows(now)
}

// Step processes one message at the local monotonic time now.
func (m *Machine) Step(now time.Duration, msg Message) []Action {
	var actions []Action
	switch msg := msg.(type) {
	case SetWanted:
		m.setWanted(now, msg.Shards)
	case EntriesRead:
		actions = m.handleEntries(now, msg.Entries)
		m.caughtUp = m.caughtUp || msg.CaughtUp
	case AppendFailed:
		delete(m.pendingAppends, msg.ID)
		m.nextSend = now + appendRetryDelay
		m.released = false
	case Leave:
		m.leaving = true
		m.nextSend = now
	}
	actions = append(actions, m.expirePermits(now)...)
	actions = append(actions, m.nextAppend(now)...)
	if at, ok := m.nextTimer(now); ok {
		actions = append(actions, SetTimer{At: at})
	}
	return actions
}

func (m *Machine) setWanted(now time.Duration, shards []Wanted) {
	m.wanted = make(map[Shard]Wanted, len(shards))
	for _, w := range shards {
		m.wanted[w.Shard] = w
		if _, found := m.freeAt[w.Shard]; !found {
			m.freeAt[w.Shard] = m.earliestFree(now)
		}
	}
}

// earliestFree returns when a shard without a record may be free. A fold that
// missed entries may have missed a live lease.
func (m *Machine) earliestFree(now time.Duration) time.Duration {
	if m.fold.missedEntries {
		return now + Duration
	}
	return now
}

func (m *Machine) handleEntries(now time.Duration, entries []Entry) []Action {
	var actions []Action
	started := m.fold.started
	for _, e := range entries {
		actions = append(actions, m.handleEntry(now, e)...)
	}
	if !started && m.fold.missedEntries {
		for shard := range m.wanted {
			m.freeAt[shard] = max(m.freeAt[shard], m.earliestFree(now))
		}
	}
	return actions
}

func (m *Machine) handleEntry(now time.Duration, e Entry) []Action {
	var actions []Action
	sentAt, own := m.pendingAppends[e.Record.ID]
	own = own && e.Record.Holder == m.options.Self
	for _, change := range m.fold.Apply(e) {
		m.freeAt[change.Shard] = now + Duration
		if change.Lease.Released {
			m.freeAt[change.Shard] = now
		}
		if own && e.Record.Kind == KindHold {
			actions = append(actions, m.grant(now, change, sentAt)...)
			continue
		}
		if _, held := m.held[change.Shard]; held && change.Lease.Holder != m.options.Self {
			delete(m.held, change.Shard)
			actions = append(actions, Lost{Shard: change.Shard})
		}
	}
	if own {
		delete(m.pendingAppends, e.Record.ID)
	}
	return actions
}

func (m *Machine) grant(now time.Duration, c Change, sentAt time.Duration) []Action {
	if c.Previous.Holder != m.options.Self {
		m.permitFrom[c.Shard] = now
		// Orders of the previous holder can still be in flight, and endpoints
		// that don't check fencing would accept them after newer ones.
		if !m.wanted[c.Shard].ChecksFencing && c.Previous.Holder != (Holder{}) {
			m.permitFrom[c.Shard] = now + MaxOrderDelay
		}
	}
	p := Permit{Shard: c.Shard, Fence: c.Lease.Fence, From: m.permitFrom[c.Shard], Until: sentAt + Duration - SafetyMargin}
	if now >= p.Until || m.leaving {
		return nil
	}
	m.held[c.Shard] = p
	return []Action{Granted{Permit: p}}
}

func (m *Machine) expirePermits(now time.Duration) []Action {
	var actions []Action
	for _, shard := range m.sortedHeld() {
		if now >= m.held[shard].Until || m.leaving {
			delete(m.held, shard)
			actions = append(actions, Lost{Shard: shard})
		}
	}
	for id, at := range m.pendingAppends {
		if now >= at+Duration {
			delete(m.pendingAppends, id)
		}
	}
	return actions
}

func (m *Machine) nextAppend(now time.Duration) []Action {
	if m.leaving {
		return m.releaseAll(now)
	}
	if !m.caughtUp || now < m.nextSend {
		return nil
	}
	shards := m.renewable()
	acquire := m.acquirable(now, len(shards))
	due := len(shards) > 0 && now >= m.lastSent+RenewInterval
	if len(acquire) == 0 && !due {
		return nil
	}
	return m.append(now, Record{
		Kind: KindHold, Shards: acquire, Renewed: shards, RenewedFrom: m.oldestGrant(shards),
	})
}

func (m *Machine) releaseAll(now time.Duration) []Action {
	if m.released || now < m.nextSend {
		return nil
	}
	m.released = true
	var shards []Shard
	for shard, l := range m.fold.leases {
		if l.Holder == m.options.Self && !l.Released {
			shards = append(shards, shard)
		}
	}
	if len(shards) == 0 {
		return nil
	}
	slices.SortFunc(shards, compareShards)
	return m.append(now, Record{Kind: KindRelease, Shards: shards})
}

func (m *Machine) append(now time.Duration, r Record) []Action {
	m.appendCounter++
	r.ID = m.options.Self.Incarnation + "-" + strconv.FormatUint(m.appendCounter, 10)
	r.Holder = m.options.Self
	m.pendingAppends[r.ID] = now
	m.lastSent = now
	m.nextSend = now + resendDelay
	return []Action{Append{Record: r}}
}

// oldestGrant returns the earliest log time at which one of the shards was
// granted or last renewed.
func (m *Machine) oldestGrant(shards []Shard) time.Duration {
	var oldest time.Duration
	for i, shard := range shards {
		l, _ := m.fold.Lookup(shard)
		if i == 0 || l.Granted < oldest {
			oldest = l.Granted
		}
	}
	return oldest
}

// renewable returns the held shards that are still wanted. The lease of any
// other held shard expires.
func (m *Machine) renewable() []Shard {
	shards := m.sortedHeld()
	return slices.DeleteFunc(shards, func(s Shard) bool {
		_, wanted := m.wanted[s]
		return !wanted
	})
}

func (m *Machine) acquirable(now time.Duration, holding int) []Shard {
	var shards []Shard
	for shard := range m.wanted {
		if _, held := m.held[shard]; !held && now >= m.acquireAt(shard) {
			shards = append(shards, shard)
		}
	}
	slices.SortFunc(shards, compareShards)
	if m.options.MaxShards > 0 {
		shards = shards[:min(len(shards), max(m.options.MaxShards-holding, 0))]
	}
	return shards
}

// acquireAt returns when the node may try to acquire a shard. There is no delay
// for a shard whose last lease is its own, since no other node holds it.
func (m *Machine) acquireAt(shard Shard) time.Duration {
	if l, ok := m.fold.Lookup(shard); ok && l.Holder == m.options.Self && !l.Released {
		return 0
	}
	self := m.options.Self
	hash := xxhash.Sum64String(string(self.Instance) + "|" + self.Incarnation + "|" + shard.String())
	delay := time.Duration(hash%uint64(acquireSpread/acquireBatchInterval)) * acquireBatchInterval
	if !m.wanted[shard].Local {
		delay += remoteDelay
	}
	return m.freeAt[shard] + delay
}

// nextTimer returns the next time at which Step has something to do.
func (m *Machine) nextTimer(now time.Duration) (time.Duration, bool) {
	var next time.Duration
	found := false
	consider := func(at time.Duration) {
		if at > now && (!found || at < next) {
			next, found = at, true
		}
	}
	consider(m.nextSend)
	for _, p := range m.held {
		consider(p.Until)
		consider(m.lastSent + RenewInterval)
	}
	for shard := range m.wanted {
		if _, held := m.held[shard]; !held {
			consider(max(m.acquireAt(shard), m.nextSend))
		}
	}
	return next, found
}

func (m *Machine) sortedHeld() []Shard {
	shards := make([]Shard, 0, len(m.held))
	for shard := range m.held {
		shards = append(shards, shard)
	}
	slices.SortFunc(shards, compareShards)
	return shards
}

func compareShards(a, b Shard) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.DataCentre, b.DataCentre))
}
