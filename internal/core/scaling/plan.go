// Package scaling decides how many endpoints of which kind are ordered in each
// data centre.
package scaling

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// onDemandCentres is the number of data centres with an on-demand endpoint,
	// which stays when all reclaimable ones are taken back.
	onDemandCentres = 2
	// reclaimableEach is the number of reclaimable endpoints in each data centre.
	reclaimableEach = 3
	// reorderAfter is the time after which an order that has not taken effect
	// is sent again, beside the time that endpoints take to start.
	reorderAfter = 2 * time.Second
	// refusedWait is the time after which a refused order is sent again.
	refusedWait = 1500 * time.Millisecond
)

// Subject is what one order sets.
type Subject struct {
	Service     fleet.ServiceName
	DataCentre  fleet.DataCentre
	Reclaimable bool
}

// Order sets the number of endpoints of a subject.
type Order struct {
	Subject
	Count int
}

type ordered struct {
	count int
	at    time.Duration
	// accepted is set once the platform took the order.
	accepted bool
}

// Planner holds what the instance ordered while it has held the duty.
type Planner struct {
	orders map[Subject]ordered
}

// NewPlanner returns a planner that has ordered nothing.
func NewPlanner() *Planner { return &Planner{orders: make(map[Subject]ordered)} }

// Reset forgets the orders, since another instance may have ordered since.
func (p *Planner) Reset() { clear(p.orders) }

// Next returns the next order to send, if one is due.
func (p *Planner) Next(now time.Duration, c *catalog.Catalog, endpoints []catalog.Endpoint) (Order, bool) {
	present := count(endpoints)
	for _, order := range targets(c) {
		if p.due(now, c, order, present[order.Subject]) {
			p.orders[order.Subject] = ordered{count: order.Count, at: now}
			return order, true
		}
	}
	return Order{}, false
}

func (p *Planner) due(now time.Duration, c *catalog.Catalog, o Order, present int) bool {
	last, ok := p.orders[o.Subject]
	switch {
	case !ok, last.count != o.Count:
		return true
	case !last.accepted:
		return now >= last.at+refusedWait
	case present < o.Count:
		return now >= last.at+c.Services[o.Service].Scaling.BootTime+reorderAfter
	default:
		return false
	}
}

// Accepted tells that the platform took an order.
func (p *Planner) Accepted(o Order) {
	last := p.orders[o.Subject]
	last.accepted = last.count == o.Count
	p.orders[o.Subject] = last
}

func count(endpoints []catalog.Endpoint) map[Subject]int {
	present := make(map[Subject]int)
	for _, e := range endpoints {
		if !e.Draining {
			present[Subject{e.Service, e.DataCentre, e.Reclaimable}]++
		}
	}
	return present
}

// targets returns the wanted numbers. Orders that add endpoints come before
// those that take some away.
func targets(c *catalog.Catalog) []Order {
	var orders []Order
	names := make([]fleet.ServiceName, 0, len(c.Services))
	for name, s := range c.Services {
		if s.Scaling != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		s := c.Services[name].Scaling
		centres := byPrice(s)
		for _, dc := range centres {
			n := min(reclaimableEach, s.Max)
			orders = append(orders, Order{Subject{name, dc, true}, n})
		}
		for i, dc := range centres {
			n := 0
			if i < onDemandCentres {
				n = min(1, s.Max)
			}
			orders = append(orders, Order{Subject{name, dc, false}, n})
		}
	}
	return orders
}

// byPrice returns the data centres of a service, the cheapest first.
func byPrice(s *catalog.Scaling) []fleet.DataCentre {
	centres := make([]fleet.DataCentre, 0, len(s.Prices))
	for dc := range s.Prices {
		centres = append(centres, dc)
	}
	slices.SortFunc(centres, func(a, b fleet.DataCentre) int {
		return cmp.Or(cmp.Compare(s.Prices[a], s.Prices[b]), cmp.Compare(a, b))
	})
	return centres
}
