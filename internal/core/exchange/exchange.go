package exchange

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/tally"
)

const (
	// Interval is the time between two ticks. Each tick sends what is due.
	Interval = 200 * time.Millisecond
	// CarriersPerDataCentre is the number of carriers of a data centre. Reports go to
	// all of them, so that no report is lost with one.
	CarriersPerDataCentre = 3
	// successorsPerDataCentre is the number of instances that are named as the next
	// carriers, to which an instance turns if all carriers are lost at once.
	successorsPerDataCentre = 3
	// ReportHops is the greatest number of ticks that news waits for on its way to all
	// instances: in a report, a digest and a feed.
	ReportHops = 3
	// aliveTTL is the time without a message after which an instance counts as lost, so
	// that a few lost datagrams do not matter.
	aliveTTL = 6 * Interval
	// lostTTL is how long a lost instance is counted as such. Until then it may be cut
	// off and admit requests.
	lostTTL = 30 * time.Second
	// aloneTime is the time without contact to its data centre after which an instance
	// speaks for it.
	aloneTime = 2 * aliveTTL
	// sumsPerInterval is the number of messages after which a carrier adds up the sums
	// again within an interval. With more senders it does so at its ticks only.
	sumsPerInterval = 48
	// probesPerTick is the number of instances that are tried at a tick: by one without
	// contact, and by a carrier that does not hear instances of lower ranks.
	probesPerTick = 3
)

// Options configures an Exchange.
type Options struct {
	Self Instance
	Boot string
	// QuotaWindow is the length of the window of quota use.
	QuotaWindow time.Duration
	StartedAt   time.Duration
}

// Exchange is the state of one instance in the exchange of news.
type Exchange struct {
	options  Options
	book     book
	members  members
	remote   map[fleet.DataCentre]*remote
	feeds    feeds
	sequence uint64
	leaving  bool
	holder   bool
	// carrierSince is when this instance became a carrier, if isCarrier is set.
	isCarrier    bool
	carrierSince time.Duration
	// summedAt is when this instance last added up the sums as a carrier.
	summedAt time.Duration
	// silentCursor is the position of the next probe of silent instances.
	silentCursor int
	// redirects are instances of other data centres that took this one for a carrier.
	redirects []Address
}

// New returns an exchange that knows no other instance.
func New(o Options) *Exchange {
	return &Exchange{
		options: o, book: newBook(o.Self.Address), members: newMembers(o.QuotaWindow),
		remote: make(map[fleet.DataCentre]*remote), feeds: newFeeds(),
	}
}

// Step processes one input at now.
func (e *Exchange) Step(now time.Duration, in Input) []Action {
	switch in := in.(type) {
	case Learned:
		e.book.learn(in.Instance)
	case Received:
		return e.received(now, in.Message)
	case Tick:
		return e.tick(now, in)
	}
	return nil
}

func (e *Exchange) received(now time.Duration, m Message) []Action {
	if m.Sender.Address == e.options.Self.Address || m.Sender.Address == "" {
		return nil
	}
	e.book.learn(m.Sender)
	for _, i := range m.Known {
		e.book.learn(i)
	}
	for _, c := range m.Carriers {
		e.book.learn(c.Instance)
	}
	if m.Sender.DataCentre != e.options.Self.DataCentre {
		e.receivedRemote(now, m)
		return e.refresh(now)
	}
	if m.Report != nil {
		e.members.report(now, m)
	}
	e.feeds.observeCarriers(now, m)
	if m.Feed == nil || e.knowsSums(now) {
		return e.refresh(now)
	}
	return e.feeds.apply(*m.Feed, e.isCarrier)
}

// refresh returns the sums between two ticks if few instances report to this one, so that
// they are as current as the reports.
func (e *Exchange) refresh(now time.Duration) []Action {
	senders := len(e.members.byAddress) + CarriersPerDataCentre*len(e.remote)
	if !e.knowsSums(now) || now-e.summedAt < Interval*time.Duration(senders)/sumsPerInterval {
		return nil
	}
	return []Action{e.others(now)}
}

func (e *Exchange) tick(now time.Duration, t Tick) []Action {
	e.leaving, e.holder = t.Leaving, t.Holder
	e.sequence++
	e.members.expire(now)
	e.expireRemote(now)
	named := e.candidates(now)
	carriers := firstCarriers(named)
	if carrier := e.contains(carriers); carrier != e.isCarrier {
		e.isCarrier, e.carrierSince = carrier, now
	}
	message := e.message(now, named)
	actions := e.sendReport(now, t, carriers, message)
	if !e.isCarrier {
		return append(actions, e.sendCarriers(now, message)...)
	}
	own := e.ownDigest(now, t.Own)
	if e.speaksForDataCentre(now) {
		actions = append(actions, e.sendDigests(now, own, message)...)
	}
	actions = append(actions, e.sendFeeds(now, own, message)...)
	if e.knowsSums(now) {
		actions = append(actions, e.others(now))
	}
	return actions
}

// message returns the parts of a message that are the same for all receivers.
func (e *Exchange) message(now time.Duration, named []Carrier) Message {
	return Message{
		Sender: e.options.Self, Boot: e.options.Boot, Uptime: now - e.options.StartedAt,
		Leaving: e.leaving, Holder: e.holder, Carriers: named, Known: e.book.sample(),
	}
}

// sendReport reports to the carriers. While this instance has no contact to its data
// centre it reports to candidates, who answer with the carriers that they know.
func (e *Exchange) sendReport(now time.Duration, t Tick, carriers []Carrier, message Message) []Action {
	e.feeds.record(e.sequence, t.Own)
	var to []Address
	for _, c := range carriers {
		if c.Address != e.options.Self.Address {
			to = append(to, c.Address)
		}
	}
	feeder := Address("")
	if !e.knowsSums(now) {
		feeder = e.feeds.choose(now, e.options.Self.Address, carriers)
	}
	probes := e.probes(now, carriers)
	var asked []Address
	if !e.feeds.isFed(now) && feeder != "" {
		asked, to = to, nil
	} else if i := slices.Index(to, feeder); i >= 0 {
		asked, to = []Address{feeder}, slices.Delete(to, i, i+1)
	}
	return append(reportTo(to, message, Report{Sequence: e.sequence, Tally: t.Own}),
		reportTo(append(asked, probes...), message, Report{Sequence: e.sequence, Tally: t.Own, WantsFeed: true})...)
}

// reportTo sends a report to some instances, if there are any.
func reportTo(to []Address, message Message, r Report) []Action {
	if len(to) == 0 {
		return nil
	}
	message.Report = &r
	return []Action{Send{To: to, Message: message}}
}

// ownDigest returns the sums of the data centre, with this instance.
func (e *Exchange) ownDigest(now time.Duration, own tally.Tally) Digest {
	d := Digest{Reached: e.members.reached(now), Lost: e.members.lost(now)}
	uptime := now - e.options.StartedAt
	d.Reached.Join(tally.Group{Tally: own, Instances: 1, Oldest: uptime, Youngest: uptime})
	return d
}

// sendFeeds sends the sums of the deployment to the instances that want them.
func (e *Exchange) sendFeeds(now time.Duration, own Digest, message Message) []Action {
	action := SendFeed{Message: message}
	for _, m := range e.members.fed(now) {
		action.To = append(action.To, m.instance.Address)
		action.Included = append(action.Included, m.includedSequence(now))
	}
	if len(action.To) == 0 {
		return nil
	}
	reached, lost := e.deployment(now, own)
	nodes, addresses := e.carriers(now)
	action.Message.Feed = &Feed{Reached: reached, Lost: lost, CarrierNodes: nodes, CarrierAddresses: addresses}
	return []Action{action}
}

// others returns the sums over the other instances as a carrier knows them.
func (e *Exchange) others(now time.Duration) Others {
	e.summedAt = now
	reached, lost := e.deployment(now, Digest{Reached: e.members.reached(now), Lost: e.members.lost(now)})
	nodes, addresses := e.carriers(now)
	return Others{Reached: reached, Lost: lost, Carrier: true, CarrierNodes: nodes, CarrierAddresses: addresses}
}

// deployment returns the sums of this data centre and all others.
func (e *Exchange) deployment(now time.Duration, own Digest) (reached, lost tally.Group) {
	reached, lost = tally.NewGroup(), tally.NewGroup()
	reached.Join(own.Reached)
	lost.Join(own.Lost)
	e.joinRemote(now, &reached, &lost)
	return reached, lost
}

// sendCarriers tells instances that take this one for a carrier which ones are.
func (e *Exchange) sendCarriers(now time.Duration, message Message) []Action {
	to := e.redirects
	e.redirects = nil
	for _, m := range e.members.fed(now) {
		to = append(to, m.instance.Address)
	}
	if len(to) == 0 {
		return nil
	}
	return []Action{Send{To: to, Message: message}}
}

// carriers returns the nodes and the addresses of the carriers of all data centres.
func (e *Exchange) carriers(now time.Duration) (nodes []string, addresses []Address) {
	carriers := slices.Clone(firstCarriers(e.candidates(now)))
	for _, r := range e.remote {
		if r.isReached(now) {
			carriers = append(carriers, firstCarriers(r.named)...)
		}
	}
	slices.SortFunc(carriers, func(a, b Carrier) int { return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Address, b.Address)) })
	for _, c := range carriers {
		nodes, addresses = append(nodes, c.Node), append(addresses, c.Address)
	}
	return nodes, addresses
}

// KnownInstances returns the addresses of the known instances, which are not forgotten, and their
// number.
func (e *Exchange) KnownInstances() (addresses iter.Seq[Address], n int) {
	return maps.Keys(e.book.known), len(e.book.known)
}
