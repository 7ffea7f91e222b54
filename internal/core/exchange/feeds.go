package exchange

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/tally"
)

const (
	// feedTimeout is the time without a feed after which an instance chooses another
	// carrier, and avoidTime how long it does not choose the silent one again.
	feedTimeout = 3 * Interval
	avoidTime   = 2 * time.Second
	// minListedTime is how long a carrier has to be known before it is chosen. By then
	// the instances of the data centre report to it.
	minListedTime = 5 * Interval
	// recordedReports is the number of own reports that may be subtracted from a feed.
	recordedReports = 16
)

// feeds is the view of an instance on the carriers that feed it.
type feeds struct {
	// carriers are the carriers of the data centre and their successors as a carrier last
	// named them, since the time since which an instance has been named as a carrier.
	carriers []Carrier
	since    map[Address]time.Duration
	namedAt  time.Duration
	named    bool

	feeder   Address
	chosenAt time.Duration
	fedAt    time.Duration
	avoided  map[Address]time.Duration

	own [recordedReports]ownReport
}

type ownReport struct {
	sequence uint64
	tally    tally.Tally
}

func newFeeds() feeds {
	return feeds{since: make(map[Address]time.Duration), avoided: make(map[Address]time.Duration)}
}

// record keeps an own report.
func (f *feeds) record(sequence uint64, t tally.Tally) {
	f.own[sequence%recordedReports] = ownReport{sequence: sequence, tally: t}
}

// observeCarriers adopts the carriers that the feeder names, or any other instance while
// there is none. Those in reports are ignored: they may only repeat what was named here.
func (f *feeds) observeCarriers(now time.Duration, m Message) {
	if len(m.Carriers) == 0 || m.Report != nil {
		return
	}
	if m.Feed != nil && !f.isFed(now) {
		f.feeder, f.chosenAt = m.Sender.Address, now
	}
	byFeeder := m.Sender.Address == f.feeder
	if byFeeder && m.Feed != nil {
		f.fedAt = now
	}
	if !byFeeder && f.isCurrent(now) {
		return
	}
	f.carriers, f.namedAt, f.named = m.Carriers, now, true
	first := firstCarriers(m.Carriers)
	for a := range f.since {
		if !slices.ContainsFunc(first, func(c Carrier) bool { return c.Address == a }) {
			delete(f.since, a)
		}
	}
	for _, c := range first {
		if _, ok := f.since[c.Address]; !ok {
			f.since[c.Address] = now
		}
	}
}

// isFed reports whether feeds arrive.
func (f *feeds) isFed(now time.Duration) bool { return f.feeder != "" && now-f.fedAt <= feedTimeout }

// lastNamed returns the carriers and successors that were named last, however long ago.
func (f *feeds) lastNamed(self Address) []Address {
	var list []Address
	for _, c := range f.carriers {
		if c.Address != self {
			list = append(list, c.Address)
		}
	}
	return list
}

func (f *feeds) isCurrent(now time.Duration) bool { return f.named && now-f.namedAt <= aliveTTL }

// listed returns the carriers that were named recently.
func (f *feeds) listed(now time.Duration) []Carrier {
	if !f.isCurrent(now) {
		return nil
	}
	return f.carriers
}

// choose returns the carrier that feeds this instance, "" if there is none.
func (f *feeds) choose(now time.Duration, self Address, carriers []Carrier) Address {
	if f.feeder != "" && now-max(f.fedAt, f.chosenAt) > feedTimeout {
		f.avoided[f.feeder] = now + avoidTime
	}
	closest := f.closest(now, self, carriers)
	listed := slices.ContainsFunc(carriers, func(c Carrier) bool { return c.Address == f.feeder })
	if closest != f.feeder && (!listed || now < f.avoided[f.feeder] || f.isSettled(now, closest)) {
		f.feeder, f.chosenAt = closest, now
	}
	return f.feeder
}

// isSettled reports whether an instance has been named as a carrier for so long that the
// others report to it.
func (f *feeds) isSettled(now time.Duration, a Address) bool {
	since, ok := f.since[a]
	return ok && now-since >= minListedTime
}

// closest returns the carrier with the lowest hash among those that have been listed long
// enough, if there are any, and among all others otherwise.
func (f *feeds) closest(now time.Duration, self Address, carriers []Carrier) Address {
	var chosen Address
	var chosenHash uint64
	chosenSettled := false
	for _, i := range carriers {
		if i.Address == self || now < f.avoided[i.Address] {
			continue
		}
		settled := f.isSettled(now, i.Address)
		hash := xxhash.Sum64String(string(self) + " " + string(i.Address))
		if chosen == "" || settled && !chosenSettled || settled == chosenSettled && hash < chosenHash {
			chosen, chosenHash, chosenSettled = i.Address, hash, settled
		}
	}
	return chosen
}

// apply returns the sums of a feed without this instance's own part. A feed that includes
// an own report that is no longer known is ignored.
func (f *feeds) apply(feed Feed, carrier bool) []Action {
	others := Others{Reached: tally.NewGroup(), Lost: feed.Lost, Carrier: carrier, CarrierNodes: feed.CarrierNodes, CarrierAddresses: feed.CarrierAddresses}
	others.Reached.Join(feed.Reached)
	if feed.Included > 0 {
		own := f.own[feed.Included%recordedReports]
		if own.sequence != feed.Included {
			return nil
		}
		others.Reached.Tally.Subtract(own.tally)
		others.Reached.Instances = max(others.Reached.Instances-1, 0)
	}
	return []Action{others}
}
