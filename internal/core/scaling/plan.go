// Package scaling decides how many endpoints of which kind are ordered in each
// data centre.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// utilization is the share of its time that an endpoint is kept busy; beyond
	// it the waits grow faster than the work.
	utilization = 0.7
	// scarceUtilization is the same while on-demand endpoints take the place
	// of reclaimable ones, at several times the price.
	scarceUtilization = 0.8
	// leastNeed is the least number of endpoints of a service.
	leastNeed = 4.0
	// startShare is the number of endpoints needed for each own instance, as
	// long as demand has not been seen for settleFor. Deployments have about as
	// many endpoints as own instances.
	startShare = 1.0
	settleFor  = 10 * time.Second
	// reorderAfter is the time after which an order that has not taken effect
	// is sent again, beside the time that endpoints take to start.
	reorderAfter = 2 * time.Second
	// refusedWait is the time after which a refused order is sent again.
	refusedWait = 1500 * time.Millisecond
	// scarceFor is how long after a refusal reclaimable endpoints count as not
	// to be had.
	scarceFor = 4 * time.Second
	// lowerAfter is how long a lower number must be wanted before it is ordered.
	lowerAfter = 8 * time.Second
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
	// present is the largest number of endpoints that was present since.
	present int
	// lowerSince is when a lower number was first wanted.
	lowerSince time.Duration
}

// Planner holds what the instance ordered while it has held the duty.
type Planner struct {
	orders map[Subject]ordered
	// scarceUntil is set after the platform had no reclaimable endpoints.
	scarceUntil time.Duration
	// inherited is set if another instance held the duty before. Its orders are
	// lowered only after lowerAfter, like the planner's own.
	inherited bool
}

// NewPlanner returns a planner that has ordered nothing.
func NewPlanner() *Planner { return &Planner{orders: make(map[Subject]ordered)} }

// Reset forgets the orders, since another instance may have ordered since.
// inherited tells that another instance held the duty before.
func (p *Planner) Reset(inherited bool) {
	clear(p.orders)
	p.inherited = inherited
}

// Next returns the next order to send, if one is due.
func (p *Planner) Next(now time.Duration, c *catalog.Catalog, endpoints []catalog.Endpoint, demand *Demand) (Order, bool) {
	present := count(endpoints)
	for _, order := range p.targets(now, c, present, demand) {
		if p.due(now, c, order, present[order.Subject]) {
			p.orders[order.Subject] = ordered{count: order.Count, at: now, present: present[order.Subject]}
			return order, true
		}
	}
	return Order{}, false
}

func (p *Planner) due(now time.Duration, c *catalog.Catalog, o Order, present int) bool {
	last, ok := p.orders[o.Subject]
	if !ok && p.inherited {
		last, ok = ordered{count: present, accepted: true, at: now}, present > o.Count
	}
	if !ok || o.Count > last.count {
		return !ok || last.accepted || now >= last.at+refusedWait
	}
	if present < o.Count {
		// Endpoints that were there and are leaving are ordered again at once:
		// the answer tells whether others are to be had.
		if present < last.present && last.accepted {
			return true
		}
		last.present = present
		p.orders[o.Subject] = last
		return now >= last.at+p.reorderDelay(c, o, last)
	}
	last.present = max(last.present, present)
	if o.Count == last.count {
		last.lowerSince = 0
	} else if last.lowerSince == 0 {
		last.lowerSince = now
	}
	p.orders[o.Subject] = last
	return o.Count < last.count && now-last.lowerSince >= lowerAfter
}

// reorderDelay returns the time after which endpoints that are missing are
// ordered again.
func (p *Planner) reorderDelay(c *catalog.Catalog, o Order, last ordered) time.Duration {
	if !last.accepted {
		return refusedWait
	}
	return c.Services[o.Service].Scaling.BootTime + reorderAfter
}

// Accepted tells that the platform took an order.
func (p *Planner) Accepted(o Order) {
	last := p.orders[o.Subject]
	last.accepted = last.count == o.Count
	p.orders[o.Subject] = last
}

// Refused tells that the platform has none of what was ordered.
func (p *Planner) Refused(now time.Duration, o Order) {
	if o.Reclaimable {
		p.scarceUntil = now + scarceFor
	}
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

// targets returns the wanted numbers. Orders that add reclaimable endpoints
// come before those that take on-demand ones away.
func (p *Planner) targets(now time.Duration, c *catalog.Catalog, present map[Subject]int, demand *Demand) []Order {
	var orders []Order
	names := make([]fleet.ServiceName, 0, len(c.Services))
	for name, s := range c.Services {
		if s.Scaling != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		need := max(demand.Peak(now, name)/utilization, p.least(now, name, demand))
		scarce := demand.Peak(now, name) / scarceUtilization
		orders = append(orders, p.serviceTargets(now, name, c.Services[name].Scaling, present, need, scarce)...)
	}
	return orders
}

// least returns the endpoints that are needed whatever the demand seen so far.
func (p *Planner) least(now time.Duration, name fleet.ServiceName, demand *Demand) float64 {
	if p.inherited || demand.SeenFor(now, name) >= settleFor {
		return leastNeed
	}
	return max(startShare*float64(demand.Instances()), leastNeed)
}

// serviceTargets spreads the needed endpoints so that the loss of one data
// centre's reclaimable ones leaves enough. While none are to be had, on-demand
// ones take the place of those that are missing, and of those that the next
// reclaim of a data centre would take: reclaims come in series, and on-demand
// endpoints take longer to start than the notice lasts.
func (p *Planner) serviceTargets(now time.Duration, name fleet.ServiceName, s *catalog.Scaling, present map[Subject]int, need, scarceNeed float64) []Order {
	centres := byPrice(s)
	others := max(len(centres)-1, 1)
	each := max(int(math.Ceil(need/float64(others))), s.Min)
	reclaimable, largest, kept := 0, 0, 0
	for _, dc := range centres {
		n := present[Subject{name, dc, true}]
		reclaimable += n
		largest = max(largest, n)
		kept += present[Subject{name, dc, false}]
	}
	onDemand := 0
	switch {
	case now < p.scarceUntil:
		onDemand = max(int(math.Ceil(scarceNeed))-(reclaimable-largest), 0)
	case kept > 0:
		onDemand = max(int(math.Ceil(scarceNeed))-reclaimable, 0)
	}
	orders := make([]Order, 0, 2*len(centres))
	for i, dc := range centres {
		// The bounds apply to both kinds together.
		n := min((onDemand+len(centres)-1-i)/len(centres), s.Max)
		orders = append(orders,
			Order{Subject{name, dc, true}, min(each, s.Max-n)},
			Order{Subject{name, dc, false}, n})
	}
	slices.SortStableFunc(orders, compareReclaimable)
	return orders
}

// compareReclaimable puts orders of reclaimable endpoints first.
func compareReclaimable(a, b Order) int {
	switch {
	case a.Reclaimable == b.Reclaimable:
		return 0
	case a.Reclaimable:
		return -1
	default:
		return 1
	}
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
