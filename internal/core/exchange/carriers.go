package exchange

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// IsCarrier reports whether this instance is a carrier of its data centre. One that
// reaches no other is.
func (e *Exchange) IsCarrier() bool { return e.isCarrier }

// speaksForDataCentre reports whether this instance sends digests: others report to it, or
// have not answered for long. An instance that has lost its carriers for a moment does not,
// since many may at the same time.
func (e *Exchange) speaksForDataCentre(now time.Duration) bool {
	return len(e.members.alive(now)) > 0 || len(e.book.ranked[e.options.Self.DataCentre]) == 0 ||
		now-e.carrierSince > aloneTime
}

// IsSettled reports whether this instance has been a carrier for some time.
func (e *Exchange) IsSettled(now time.Duration) bool {
	return e.isCarrier && now-e.carrierSince >= minListedTime
}

// knowsSums reports whether this instance has been a carrier for long enough that all
// instances of its data centre report to it, or nobody feeds it.
func (e *Exchange) knowsSums(now time.Duration) bool {
	return e.isCarrier && (e.IsSettled(now) || !e.feeds.isFed(now))
}

// contains reports whether this instance is one of the carriers.
func (e *Exchange) contains(carriers []Carrier) bool {
	return slices.ContainsFunc(carriers, func(c Carrier) bool { return c.Address == e.options.Self.Address })
}

// candidates returns the carriers of this data centre among the instances that are known
// to live, and their successors: the holder of the duties and those with the lowest ranks.
func (e *Exchange) candidates(now time.Duration) []Carrier {
	candidates := make(map[Address]Carrier)
	for _, c := range e.feeds.listed(now) {
		candidates[c.Address] = c
	}
	for _, m := range e.members.alive(now) {
		delete(candidates, m.instance.Address)
		if !m.leaving {
			candidates[m.instance.Address] = Carrier{Instance: m.instance, Holder: m.holder}
		}
	}
	delete(candidates, e.options.Self.Address)
	if !e.leaving {
		candidates[e.options.Self.Address] = Carrier{Instance: e.options.Self, Holder: e.holder}
	}
	list := slices.SortedFunc(maps.Values(candidates), compareCarriers)
	return list[:min(len(list), CarriersPerDataCentre+successorsPerDataCentre)]
}

// firstCarriers returns the carriers without their successors.
func firstCarriers(named []Carrier) []Carrier {
	return named[:min(len(named), CarriersPerDataCentre)]
}

func compareCarriers(a, b Carrier) int {
	switch {
	case a.Holder && !b.Holder:
		return -1
	case b.Holder && !a.Holder:
		return 1
	}
	return compareRanks(a.Instance, b.Instance)
}

// compareRanks orders instances by their rank, which is the same everywhere: those with the
// highest bandwidth come first.
func compareRanks(a, b Instance) int {
	return cmp.Or(
		cmp.Compare(b.Bandwidth, a.Bandwidth),
		cmp.Compare(xxhash.Sum64String(string(a.Address)), xxhash.Sum64String(string(b.Address))),
		cmp.Compare(a.Address, b.Address),
	)
}

// probes returns the instances to which this one reports to learn which carriers there are.
func (e *Exchange) probes(now time.Duration, carriers []Carrier) []Address {
	alone := !slices.ContainsFunc(carriers, func(c Carrier) bool { return c.Address != e.options.Self.Address })
	switch {
	case alone:
		return append(e.feeds.lastNamed(e.options.Self.Address), e.book.next(e.options.Self.DataCentre, probesPerTick)...)
	case e.isCarrier:
		return e.silentInstances(now, carriers)
	}
	return nil
}

// silentInstances returns some of the known instances that would be carriers if they
// reported: all, while there are fewer carriers than a data centre has, and otherwise those
// of lower ranks than the last. Groups of instances that a partition has separated, or that
// formed around different instances, join in this way.
func (e *Exchange) silentInstances(now time.Duration, carriers []Carrier) []Address {
	last := carriers[len(carriers)-1].Instance
	var silent []Address
	for _, i := range e.book.ranked[e.options.Self.DataCentre] {
		if len(carriers) == CarriersPerDataCentre && compareRanks(i, last) >= 0 {
			break
		}
		if !e.members.isAlive(now, i.Address) {
			silent = append(silent, i.Address)
		}
	}
	var probes []Address
	for range min(probesPerTick, len(silent)) {
		probes = append(probes, silent[e.silentCursor%len(silent)])
		e.silentCursor++
	}
	return probes
}
