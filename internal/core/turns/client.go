package turns

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// repeatInterval is the time without an answer after which an ask is repeated, silenceLimit the
	// time after which calls are sent without turns. Both are far above the round trip between
	// data centres and far below the latency objectives of calls.
	repeatInterval = 30 * time.Millisecond
	silenceLimit   = 90 * time.Millisecond
	// freeTime is how long an owner that does not answer is not asked.
	freeTime = time.Second
	// statementsPerEnd is how many statements repeat an end.
	statementsPerEnd = 2
)

// Options configure a Client.
type Options struct {
	// Node is the name of this instance, Boot differs between two of its starts.
	Node, Boot string
}

// Client is the machine of every instance: whether turns are needed, which instance owns a service,
// repeats and time-outs.
type Client struct {
	options   Options
	instance  string
	carriers  []string
	instances int
	services  map[fleet.ServiceName]*clientService
	// calls are those that wait or have a turn, by the caller's ID; asks has the same by Key.ID. A
	// call may ask several times, each time with a new key.
	calls   map[uint64]*call
	asks    map[uint64]*call
	lastAsk uint64
	actions []ClientAction
}

// clientService is what an instance knows of a service and its owner.
type clientService struct {
	name       fleet.ServiceName
	activation activation
	// owner is the node of the owner, empty if there are no carriers. heardAt is the time of its
	// newest answer.
	owner   string
	heardAt time.Duration
	// silent is set while the owner does not answer; silentAt is when that was noticed or when the
	// last probe was sent. A probe is an ask of a call that does not wait for its answer.
	silent   bool
	silentAt time.Duration
	probe    Key
	// waiting are the calls without a turn, in the order in which they were wanted.
	waiting []*call
	turns   map[uint64]*call
	ended   []recentEnd
	// stating is set while statements are due, the next one at statementAt.
	stating     bool
	statementAt time.Duration
}

// recentEnd is an end that is repeated, once alone and then in statements. A slot is idle until its
// end arrives.
type recentEnd struct {
	end      End
	sentAt   time.Duration
	repeated bool
	stated   int
}

func (e *recentEnd) repeats() bool { return !e.repeated && e.stated == 0 }

// call is a call that waits or has a turn.
type call struct {
	id      uint64
	ask     Ask
	service *clientService
	// wantedAt is the time to which the ask's times refer, askedAt that of the first ask to the
	// present owner, sentAt that of the last one.
	wantedAt, askedAt, sentAt time.Duration
	// acknowledged is set once the owner stated that the call waits.
	acknowledged bool
	endpoint     fleet.EndpointID
}

// NewClient returns a client that needs no turns.
func NewClient(options Options) *Client {
	return &Client{
		options: options, instance: options.Node + "/" + options.Boot,
		services: make(map[fleet.ServiceName]*clientService), calls: make(map[uint64]*call),
		asks: make(map[uint64]*call),
	}
}

// Needed reports whether calls of a service must ask for turns. While the owner does not answer,
// one call a second does, without waiting.
func (c *Client) Needed(now time.Duration, service fleet.ServiceName) bool {
	s, ok := c.services[service]
	switch {
	case !ok || !s.activation.on || s.owner == "":
		return false
	case s.silent:
		return now-s.silentAt >= freeTime
	}
	return true
}

// Step processes a message.
func (c *Client) Step(now time.Duration, msg ClientMessage) []ClientAction {
	c.actions = nil
	switch m := msg.(type) {
	case Wanted:
		c.want(now, m)
	case Finished:
		if held, ok := c.calls[m.ID]; ok && held.endpoint != "" {
			c.finish(now, held, m.Outcome, m.Took)
		}
	case Abandoned:
		if held, ok := c.calls[m.ID]; ok {
			c.finish(now, held, OutcomeUnused, 0)
		}
	case Replied:
		c.receive(now, m)
	case CarriersChanged:
		c.carriers = slices.Clone(m.Nodes)
		for _, s := range c.sorted() {
			c.selectOwner(now, s)
		}
	case LoadsChanged:
		c.changeLoads(now, m)
	case InstancesChanged:
		c.instances = m.Count
	case ClientTick:
		for _, s := range c.sorted() {
			c.tick(now, s)
		}
	}
	return c.actions
}

func (c *Client) act(a ClientAction) { c.actions = append(c.actions, a) }

func (c *Client) sorted() []*clientService {
	list := slices.Collect(maps.Values(c.services))
	slices.SortFunc(list, func(a, b *clientService) int {
		if a.name < b.name {
			return -1
		}
		return 1
	})
	return list
}

func (c *Client) changeLoads(now time.Duration, m LoadsChanged) {
	for name, load := range m.Services {
		s, ok := c.services[name]
		if !ok {
			s = &clientService{name: name, turns: make(map[uint64]*call)}
			c.services[name] = s
			c.selectOwner(now, s)
		}
		s.activation.update(now, load, c.instances)
	}
	for name, s := range c.services {
		if _, ok := m.Services[name]; !ok {
			s.activation = activation{}
			if len(s.waiting)+len(s.turns)+len(s.ended) == 0 {
				delete(c.services, name)
			}
		}
	}
}

// selectOwner selects the carrier with the greatest rendezvous hash of service and node. A new
// owner is asked again for all waiting calls and learns the turns at once.
func (c *Client) selectOwner(now time.Duration, s *clientService) {
	owner := ""
	var greatest uint64
	for _, node := range c.carriers {
		hash := xxhash.Sum64String(string(s.name) + "/" + node)
		if owner == "" || hash > greatest || hash == greatest && node < owner {
			owner, greatest = node, hash
		}
	}
	if owner == s.owner {
		return
	}
	s.owner, s.silent, s.heardAt = owner, false, now
	if owner == "" {
		c.release(s)
		s.ended = nil
		return
	}
	if len(s.waiting)+len(s.turns) > 0 {
		c.state(now, s)
	}
	for _, w := range s.waiting {
		w.askedAt, w.acknowledged = now, false
		c.ask(now, w)
	}
}

func (c *Client) want(now time.Duration, m Wanted) {
	if !c.Needed(now, m.Ask.Service) {
		c.act(ProceedFreely{ID: m.ID})
		return
	}
	if before, ok := c.calls[m.ID]; ok {
		c.finish(now, before, OutcomeUnused, 0)
	}
	s := c.services[m.Ask.Service]
	c.lastAsk++
	w := &call{id: m.ID, ask: m.Ask, service: s, wantedAt: now, askedAt: now}
	w.ask.Key = Key{Instance: c.instance, ID: c.lastAsk}
	w.ask.Excluded = slices.Clone(m.Ask.Excluded[:min(len(m.Ask.Excluded), MaxExcluded)])
	if s.silent {
		s.probe, s.silentAt = w.ask.Key, now
		c.ask(now, w)
		c.act(ProceedFreely{ID: m.ID})
		return
	}
	c.calls[m.ID], c.asks[c.lastAsk] = w, w
	s.waiting = append(s.waiting, w)
	c.startStatements(now, s)
	c.ask(now, w)
}

func (c *Client) ask(now time.Duration, w *call) {
	w.sentAt = now
	ask := w.ask
	ask.ObjectiveLeft -= now - w.wantedAt
	ask.DeadlineLeft -= now - w.wantedAt
	c.act(SendAsk{To: w.service.owner, Ask: ask})
}

// finish ends a call that has a turn, or withdraws one that waits.
func (c *Client) finish(now time.Duration, held *call, outcome Outcome, took time.Duration) {
	s := held.service
	end := End{Key: held.ask.Key, Service: s.name, Endpoint: held.endpoint, Outcome: outcome, Took: took}
	c.forget(held)
	c.end(now, s, end)
}

// end reports an end to the owner, at once and in the next statements.
func (c *Client) end(now time.Duration, s *clientService, end End) {
	if s.owner == "" {
		return
	}
	s.ended = append(s.ended, recentEnd{end: end, sentAt: now})
	c.startStatements(now, s)
	c.act(SendEnd{To: s.owner, End: end})
}

func (c *Client) forget(held *call) {
	delete(c.calls, held.id)
	delete(c.asks, held.ask.Key.ID)
	delete(held.service.turns, held.ask.Key.ID)
	if i := slices.Index(held.service.waiting, held); i >= 0 {
		held.service.waiting = slices.Delete(held.service.waiting, i, i+1)
	}
}

// release lets all waiting calls proceed without turns.
func (c *Client) release(s *clientService) {
	for _, w := range s.waiting {
		delete(c.calls, w.id)
		delete(c.asks, w.ask.Key.ID)
		c.act(ProceedFreely{ID: w.id})
	}
	s.waiting = nil
}

func (c *Client) receive(now time.Duration, m Replied) {
	switch a := m.Answer.(type) {
	case Grant:
		c.receiveGrant(now, m.From, a)
	case Deny:
		if w, ok := c.heard(now, m.From, a.Key); ok {
			c.forget(w)
			left := max(w.ask.DeadlineLeft-(now-w.wantedAt), 0)
			c.act(Refused{ID: w.id, RetryAfter: min(a.RetryAfter, left/retryPart), Reason: a.Reason})
		}
	case Queued:
		if w, ok := c.heard(now, m.From, a.Key); ok {
			w.acknowledged = true
		} else if _, known := c.asks[a.Key.ID]; !known && a.Key.Instance == c.instance {
			c.act(SendEnd{To: m.From, End: End{Key: a.Key, Service: a.Service, Outcome: OutcomeUnused}})
		}
	case Unknown:
		if w, ok := c.heard(now, m.From, a.Key); ok && now-w.sentAt >= repeatInterval {
			w.askedAt, w.acknowledged = now, false
			c.ask(now, w)
		}
	}
}

// heard notes an answer and returns the waiting call that it is for. Answers that are too late for
// their calls do not show that the owner can be waited for.
func (c *Client) heard(now time.Duration, from string, key Key) (*call, bool) {
	for _, s := range c.services {
		if s.silent && s.probe == key && s.owner == from && now-s.silentAt < silenceLimit {
			s.silent, s.heardAt = false, now
		}
	}
	w, ok := c.asks[key.ID]
	if !ok || key.Instance != c.instance || w.service.owner != from {
		return nil, false
	}
	w.service.heardAt = now
	return w, w.endpoint == ""
}

// receiveGrant starts a call. A turn for which no call waits is returned: the call was sent without
// one, its caller left, or another owner was asked since.
func (c *Client) receiveGrant(now time.Duration, from string, g Grant) {
	if g.Key.Instance != c.instance {
		return
	}
	if w, ok := c.heard(now, from, g.Key); ok {
		s := w.service
		s.waiting = slices.DeleteFunc(s.waiting, func(other *call) bool { return other == w })
		w.endpoint = g.Endpoint
		s.turns[g.Key.ID] = w
		c.act(Proceed{ID: w.id, Endpoint: g.Endpoint, Waited: now - w.wantedAt, Place: g.Place})
		return
	}
	if held, ok := c.asks[g.Key.ID]; ok && held.endpoint == g.Endpoint {
		return
	}
	c.act(SendEnd{To: from, End: End{Key: g.Key, Service: g.Service, Endpoint: g.Endpoint, Outcome: OutcomeUnused}})
}
