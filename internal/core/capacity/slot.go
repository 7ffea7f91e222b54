// Package capacity decides which instances to start and to stop so that every
// replica of the active configuration has one.
//
// A replica of the configuration is a slot. The start of an instance carries
// the slot and a generation as its idempotency token. The cloud API starts at
// most one instance for a token, so that neither a lost response nor a change of
// the controller causes a second, paid instance.
package capacity

import (
	"cmp"
	"slices"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/lease"
)

// Market is the purchase option of an instance.
type Market uint8

// Markets.
const (
	Reclaimable Market = iota + 1
	OnDemand
)

// String returns the name used in tokens, metrics and logs.
func (m Market) String() string {
	if m == Reclaimable {
		return "reclaimable"
	}
	return "on_demand"
}

// Slot is one replica in the configuration.
type Slot struct {
	Shard lease.Shard
	// Class, Role and Market are those of the ticket; the placement of the
	// instance in the slot may differ after refused starts.
	Class  fleet.InstanceClass
	Role   string
	Market Market
	Index  int
}

// Token identifies a start. The generation counts the instances of a slot from
// 1; it is incremented when the previous instance is leaving or has stopped.
type Token struct {
	Slot       Slot
	Generation uint64
}

// State is the lifecycle state of an instance.
type State uint8

// States.
const (
	// StateLive: starting or running.
	StateLive State = iota + 1
	// StateLeaving: reclaimed or stopped after its notice.
	StateLeaving
	// StateStopped: no longer running.
	StateStopped
)

// String returns the name used in metrics.
func (s State) String() string {
	names := [...]string{"invalid", "live", "leaving", "stopped"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// Instance is an instance that was started with a token.
type Instance struct {
	ID        fleet.InstanceID
	Token     Token
	Placement Placement
	State     State
}

// Placement is the data centre, the class and the market of an instance.
type Placement struct {
	DataCentre fleet.DataCentre
	Class      fleet.InstanceClass
	Market     Market
}

// Price returns the price of an instance in currency units per hour, 0 if none
// is configured.
func (p Placement) Price(spec *config.Spec) float64 {
	dc := spec.DataCentres[p.DataCentre]
	if dc == nil {
		return 0
	}
	if p.Market == Reclaimable {
		return dc.Prices[p.Class].Reclaimable
	}
	return dc.Prices[p.Class].OnDemand
}

// Slots returns the slots of a service in all data centres.
func Slots(s *config.Service) []Slot {
	type entry struct {
		dc     fleet.DataCentre
		class  fleet.InstanceClass
		role   string
		market Market
	}
	used := make(map[entry]int)
	var slots []Slot
	add := func(e entry, count int) {
		for range count {
			slots = append(slots, Slot{
				Shard: lease.Shard{Service: s.Name, DataCentre: e.dc},
				Class: e.class, Role: e.role, Market: e.market, Index: used[e],
			})
			used[e]++
		}
	}
	for _, r := range s.Replicas {
		add(entry{r.DataCentre, r.Class, r.Role, OnDemand}, r.OnDemand)
		add(entry{r.DataCentre, r.Class, r.Role, Reclaimable}, r.Reclaimable)
	}
	return slots
}

// placements returns where a slot may be started, in order of preference: the
// data centre and class of the ticket, then other classes that the ticket uses
// for the service and role, then other data centres of the region by distance.
// For a service with a latency target, the on-demand instances follow in the same
// order.
func placements(spec *config.Spec, slot Slot) []Placement {
	markets := []Market{slot.Market}
	if slot.Market == Reclaimable && hasLatencyTarget(spec.Services[slot.Shard.Service]) {
		markets = append(markets, OnDemand)
	}
	classes := serviceClasses(spec, slot)
	dataCentres := regionDataCentres(spec, slot.Shard.DataCentre)
	var options []Placement
	for _, market := range markets {
		for i, dc := range dataCentres {
			options = append(options, pricedPlacements(spec, dc, classes, market, slot.Class, i == 0)...)
		}
	}
	return preferCheaperMarket(spec, options)
}

func hasLatencyTarget(s *config.Service) bool {
	return s != nil && (s.FirstToken > 0 || s.BetweenTokens > 0 || s.Class == fleet.ClassInteractive)
}

func serviceClasses(spec *config.Spec, slot Slot) []fleet.InstanceClass {
	classes := []fleet.InstanceClass{slot.Class}
	if s := spec.Services[slot.Shard.Service]; s != nil {
		for _, r := range s.Replicas {
			if r.Role == slot.Role && !slices.Contains(classes, r.Class) {
				classes = append(classes, r.Class)
			}
		}
	}
	return classes
}

// regionDataCentres returns the data centre itself, then the others of its region
// by distance.
func regionDataCentres(spec *config.Spec, own fleet.DataCentre) []fleet.DataCentre {
	home := spec.DataCentres[own]
	if home == nil {
		return []fleet.DataCentre{own}
	}
	var others []fleet.DataCentre
	for name, dc := range spec.DataCentres {
		if name != own && dc.Region == home.Region {
			others = append(others, name)
		}
	}
	slices.SortFunc(others, func(a, b fleet.DataCentre) int {
		return cmp.Or(cmp.Compare(home.Distances[a], home.Distances[b]), cmp.Compare(a, b))
	})
	return append([]fleet.DataCentre{own}, others...)
}

// pricedPlacements returns the placements in one data centre, the ticket's class
// first and the others by price. A class without a price is skipped, except for
// the ticket's class in its own data centre.
func pricedPlacements(spec *config.Spec, dc fleet.DataCentre, classes []fleet.InstanceClass, market Market, first fleet.InstanceClass, home bool) []Placement {
	var list []Placement
	for _, class := range classes {
		p := Placement{DataCentre: dc, Class: class, Market: market}
		if p.Price(spec) > 0 || (home && class == first) {
			list = append(list, p)
		}
	}
	slices.SortStableFunc(list, func(a, b Placement) int {
		if (a.Class == first) != (b.Class == first) {
			if a.Class == first {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.Price(spec), b.Price(spec))
	})
	return list
}

// preferCheaperMarket replaces a reclaimable placement by an on-demand one if
// that does not cost more, since an on-demand instance is never reclaimed.
func preferCheaperMarket(spec *config.Spec, options []Placement) []Placement {
	for i, p := range options {
		onDemand := Placement{DataCentre: p.DataCentre, Class: p.Class, Market: OnDemand}
		if price := onDemand.Price(spec); p.Market == Reclaimable && price > 0 && price <= p.Price(spec) {
			options[i] = onDemand
		}
	}
	return slices.Compact(options)
}
