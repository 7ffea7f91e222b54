package exchange

import (
	"maps"
	"slices"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// maxInstances bounds the known instances.
	maxInstances = 2048
	// sampleSize is the number of known instances that a message names.
	sampleSize = 4
)

// book holds the known instances by data centre, ordered by rank. The data centre of an
// instance that has only been named by its address is "".
type book struct {
	self  Address
	known map[Address]Instance
	// ranked are the instances of each data centre in the order of their ranks.
	ranked map[fleet.DataCentre][]Instance
	// cursors are the positions of the next probes, sampled that of the next sample.
	cursors map[fleet.DataCentre]int
	sampled int
}

func newBook(self Address) book {
	return book{
		self: self, known: make(map[Address]Instance), ranked: make(map[fleet.DataCentre][]Instance),
		cursors: make(map[fleet.DataCentre]int),
	}
}

// learn adds an instance, or what was not known of it.
func (b *book) learn(i Instance) {
	old, ok := b.known[i.Address]
	if i.Address == "" || i.Address == b.self || ok && (old == i || i.DataCentre == "") {
		return
	}
	if !ok && len(b.known) >= maxInstances {
		return
	}
	if ok {
		b.ranked[old.DataCentre] = slices.DeleteFunc(b.ranked[old.DataCentre], func(r Instance) bool { return r.Address == i.Address })
	}
	b.known[i.Address] = i
	list := b.ranked[i.DataCentre]
	at, _ := slices.BinarySearchFunc(list, i, compareRanks)
	b.ranked[i.DataCentre] = slices.Insert(list, at, i)
}

// dataCentres returns the data centres of the known instances in a fixed order.
func (b *book) dataCentres() []fleet.DataCentre {
	return slices.Sorted(maps.Keys(b.ranked))
}

// next returns the next n instances of a data centre in turn, the lowest ranks first, and
// one whose data centre is not known.
func (b *book) next(dc fleet.DataCentre, n int) []Address {
	list := b.turn(dc, n)
	return append(list, b.turn("", 1)...)
}

func (b *book) turn(dc fleet.DataCentre, n int) []Address {
	all := b.ranked[dc]
	var list []Address
	for range min(n, len(all)) {
		list = append(list, all[b.cursors[dc]%len(all)].Address)
		b.cursors[dc]++
	}
	return list
}

// sample returns some known instances, others each time.
func (b *book) sample() []Instance {
	var list []Instance
	for _, dc := range b.dataCentres() {
		all := b.ranked[dc]
		if dc == "" || len(all) == 0 || len(list) >= sampleSize {
			continue
		}
		list = append(list, all[b.sampled%len(all)])
	}
	b.sampled++
	return list
}
