package turns

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// maxWaiting bounds the waiting calls of all services of an owner, and with it its memory.
	maxWaiting = 4096
	// shedInterval is the time between two checks of the waiting calls. It is short against the
	// latency objectives of calls.
	shedInterval = 10 * time.Millisecond
	// sweepInterval is the time between two checks of turns and instances.
	sweepInterval = StatementInterval
	// missingLimit is the number of successive statements without a turn or ask that end it. One
	// may be sent before the grant arrives.
	missingLimit = 2
	// silentInstance is how long the turns of an instance without any message count: a statement
	// is due three times in it.
	silentInstance = 3*StatementInterval + StatementInterval/4
	// learningTime is the time until a new owner has a statement of each instance that has turns.
	learningTime = StatementInterval + StatementInterval/4
	// idleTime is how long an owner remembers call times of a service that does not ask.
	idleTime = 10 * time.Second
	// tombstoneTime is how long the key of a turn that ended is remembered, because messages of it
	// may still arrive.
	tombstoneTime = 2 * time.Second
)

// Owner is the machine of the instance that grants the turns of services.
type Owner struct {
	known    map[fleet.ServiceName][]catalog.Endpoint
	loads    map[fleet.EndpointID]EndpointLoad
	services map[fleet.ServiceName]*service
	refusals refusals
	// waiting counts the waiting calls of all services, at most maxWaiting.
	waiting, maxWaiting int
	// arrivals numbers the asks.
	arrivals uint64
	actions  []OwnerAction
}

// service is what an owner knows of the calls of one service.
type service struct {
	name  fleet.ServiceName
	order order
	// endpoints are sorted by name; those that may not be used are not among them.
	endpoints []*endpoint
	// holders are the instances that have turns or asks, by Key.Instance.
	holders map[string]*holder
	// learningUntil is the time until which turns granted by another owner may be unknown.
	learningUntil time.Duration
	// times are the call times of the whole service, overhead is the time from the grant to the
	// end of a turn that is not call time.
	times    callTimes
	overhead time.Duration
	// bookedAt is the time up to which capacity is promised to refused calls.
	bookedAt        time.Duration
	shedAt, sweepAt time.Duration
	usedAt          time.Duration
	tombstones      map[Key]time.Duration
}

// holder is an instance that has turns or asks.
type holder struct {
	node    string
	heardAt time.Duration
	turns   map[uint64]*turn
	asks    map[uint64]*waiting
}

// turn is a permit in use.
type turn struct {
	key       Key
	endpoint  *endpoint
	team      *share
	class     *share
	charged   time.Duration
	grantedAt time.Duration
	place     int
	waited    time.Duration
	expiresAt time.Duration
	missing   int
}

// NewOwner returns an owner without turns.
func NewOwner() *Owner {
	return &Owner{
		known: make(map[fleet.ServiceName][]catalog.Endpoint), services: make(map[fleet.ServiceName]*service),
		maxWaiting: maxWaiting,
	}
}

// Step processes a message.
func (o *Owner) Step(now time.Duration, msg OwnerMessage) []OwnerAction {
	o.actions = nil
	switch m := msg.(type) {
	case Asked:
		o.ask(now, m)
	case Ended:
		if s, ok := o.services[m.End.Service]; ok {
			o.touch(now, s, m.From, m.End.Key.Instance)
			o.end(now, s, m.End)
			o.dispatch(now, s)
		}
	case Held:
		o.hold(now, m)
	case EndpointsChanged:
		o.changeEndpoints(now, m.Endpoints)
	case LoadsReported:
		o.loads = m.Loads
		for _, s := range o.sorted() {
			o.applyLoads(s)
			o.dispatch(now, s)
		}
	case InstanceGone:
		for _, s := range o.sorted() {
			o.dropInstance(now, s, m.Instance)
			o.dispatch(now, s)
		}
	case OwnerTick:
		for _, s := range o.sorted() {
			o.tick(now, s)
		}
	}
	return o.actions
}

func (o *Owner) reply(to string, a Answer) { o.actions = append(o.actions, Reply{To: to, Answer: a}) }

func (o *Owner) sorted() []*service {
	list := slices.Collect(maps.Values(o.services))
	slices.SortFunc(list, func(a, b *service) int { return cmp.Compare(a.name, b.name) })
	return list
}

// service returns the state of a service, which exists while instances ask for its turns. ok is
// false if the owner knows no endpoint of the service; the instance then proceeds without turns.
func (o *Owner) service(now time.Duration, name fleet.ServiceName) (*service, bool) {
	if s, ok := o.services[name]; ok {
		s.usedAt = now
		return s, len(s.endpoints) > 0
	}
	if len(o.known[name]) == 0 {
		return nil, false
	}
	s := &service{
		name: name, order: newOrder(now), holders: make(map[string]*holder), learningUntil: now + learningTime,
		sweepAt: now + sweepInterval, usedAt: now, tombstones: make(map[Key]time.Duration),
	}
	o.services[name] = s
	o.setEndpoints(now, s, o.known[name])
	return s, true
}

// touch notes that an instance lives. An older boot of its node runs no more.
func (o *Owner) touch(now time.Duration, s *service, node, instance string) *holder {
	h, ok := s.holders[instance]
	if !ok {
		for _, other := range slices.Sorted(maps.Keys(s.holders)) {
			if s.holders[other].node == node {
				o.dropInstance(now, s, other)
			}
		}
		h = &holder{node: node, turns: make(map[uint64]*turn), asks: make(map[uint64]*waiting)}
		s.holders[instance] = h
	}
	h.heardAt = now
	return h
}

func (o *Owner) ask(now time.Duration, m Asked) {
	s, ok := o.service(now, m.Ask.Service)
	if !ok {
		return
	}
	if _, ended := s.tombstones[m.Ask.Key]; ended {
		return
	}
	h := o.touch(now, s, m.From, m.Ask.Key.Instance)
	id := m.Ask.Key.ID
	if t, ok := h.turns[id]; ok {
		o.reply(h.node, Grant{Key: t.key, Service: s.name, Endpoint: t.endpoint.id, Waited: t.waited, Place: t.place})
		return
	}
	w, repeated := h.asks[id]
	if !repeated {
		o.admit(now, s, h, m.Ask)
		o.dispatch(now, s)
		w = h.asks[id]
	}
	if w != nil {
		o.reply(h.node, Queued{Key: w.key, Service: s.name, Place: w.place, Expected: w.expected})
	}
}

// end processes the end of a turn, or withdraws an ask. Messages of it that arrive later are
// ignored.
func (o *Owner) end(now time.Duration, s *service, e End) {
	h := s.holders[e.Key.Instance]
	s.tombstones[e.Key] = now + tombstoneTime
	if h == nil {
		return
	}
	if w, ok := h.asks[e.Key.ID]; ok {
		o.remove(s, w)
	}
	t, ok := h.turns[e.Key.ID]
	if !ok {
		return
	}
	switch e.Outcome {
	case OutcomeDone:
		s.observe(now, t, e.Took)
		s.order.charge(now, t, e.Took)
	case OutcomeRejected:
		// It has calls that are not known here; they need about a call's time each.
		t.endpoint.fullUntil = now + t.endpoint.callTime(s)
		s.order.charge(now, t, 0)
	case OutcomeUnused:
		s.order.charge(now, t, 0)
	case OutcomeLost:
	}
	o.endTurn(s, t)
}

func (o *Owner) endTurn(s *service, t *turn) {
	t.endpoint.turns--
	if h := s.holders[t.key.Instance]; h != nil {
		delete(h.turns, t.key.ID)
	}
}

func (o *Owner) dropInstance(now time.Duration, s *service, instance string) {
	h, ok := s.holders[instance]
	if !ok {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(h.asks)) {
		o.remove(s, h.asks[id])
	}
	for _, t := range h.turns {
		s.tombstones[t.key] = now + tombstoneTime
		t.endpoint.turns--
	}
	delete(s.holders, instance)
}

// hold takes the statement of an instance over. Turns that this owner did not grant were granted by
// another one.
func (o *Owner) hold(now time.Duration, m Held) {
	s, ok := o.service(now, m.Service)
	if !ok {
		return
	}
	h := o.touch(now, s, m.From, m.Instance)
	for _, e := range m.Ended {
		if _, done := s.tombstones[e.Key]; !done && e.Service == s.name && e.Key.Instance == m.Instance {
			o.end(now, s, e)
		}
	}
	stated := make(map[uint64]bool, len(m.Turns)+len(m.Asks))
	for _, t := range m.Turns {
		if t.Key.Instance == m.Instance {
			stated[t.Key.ID] = true
			o.learn(now, s, h, t)
		}
	}
	for _, key := range m.Asks {
		_, ended := s.tombstones[key]
		if key.Instance != m.Instance || ended {
			continue
		}
		stated[key.ID] = true
		if h.asks[key.ID] == nil && h.turns[key.ID] == nil {
			o.reply(h.node, Unknown{Key: key})
		}
	}
	for id, t := range h.turns {
		if t.missing = missing(t.missing, stated[id]); t.missing >= missingLimit {
			s.tombstones[t.key] = now + tombstoneTime
			o.endTurn(s, t)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(h.asks)) {
		w := h.asks[id]
		if w.missing = missing(w.missing, stated[id]); w.missing >= missingLimit {
			o.remove(s, w)
		}
	}
	o.dispatch(now, s)
}

func missing(before int, stated bool) int {
	if stated {
		return 0
	}
	return before + 1
}

// learn counts a turn that another owner granted.
func (o *Owner) learn(now time.Duration, s *service, h *holder, t HeldTurn) {
	_, ended := s.tombstones[t.Key]
	e := s.endpoint(t.Endpoint)
	if h.turns[t.Key.ID] != nil || ended || e == nil {
		return
	}
	if w := h.asks[t.Key.ID]; w != nil {
		o.remove(s, w)
	}
	e.turns++
	h.turns[t.Key.ID] = &turn{
		key: t.Key, endpoint: e, team: s.order.team(t.Team), class: s.order.class(t.Priority),
		grantedAt: now, expiresAt: now + t.Left + sweepInterval,
	}
}
