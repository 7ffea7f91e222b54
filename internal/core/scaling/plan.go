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
	// targetUtilization is the share of its time that an endpoint is kept busy; beyond
	// it the waits grow faster than the work.
	targetUtilization = 0.7
	// scarceUtilization is the same while on-demand endpoints take the place
	// of reclaimable ones, at several times the price.
	scarceUtilization = 0.8
	// minEndpoints is the least number of endpoints of a service.
	minEndpoints = 4.0
	// initialEndpointsPerInstance is the number of endpoints needed for each own instance, as
	// long as demand has not been seen for settleFor. Deployments have about as
	// many endpoints as own instances.
	initialEndpointsPerInstance = 1.0
	demandStabilization         = 10 * time.Second
	// reorderMargin is the time after which an order that has not taken effect
	// is sent again, beside the time that endpoints take to start.
	reorderMargin = 2 * time.Second
	// refusedRetryDelay is the time after which a refused order is sent again.
	refusedRetryDelay = 1500 * time.Millisecond
	// scarcityPeriod is how long after a refusal reclaimable endpoints count as not
	// to be had.
	scarcityPeriod = 4 * time.Second
	// scaleDownDelay is how long a lower number must be wanted before it is ordered.
	scaleDownDelay = 8 * time.Second
)

// EndpointGroup is what one order sets.
type EndpointGroup struct {
	Service     fleet.ServiceName
	DataCentre  fleet.DataCentre
	Reclaimable bool
}

// Order sets the number of endpoints of a subject.
type Order struct {
	EndpointGroup
	Count int
}

type orderState struct {
	count  int
	sentAt time.Duration
	// accepted is set once the platform took the order.
	accepted bool
	// maxPresent is the largest number of endpoints that was maxPresent since.
	maxPresent int
	// lowerWantedSince is when a lower number was first wanted.
	lowerWantedSince time.Duration
}

// Planner holds what the instance ordered while it has held the duty.
type Planner struct {
	orders map[EndpointGroup]orderState
	// scarceUntil is set after the platform had no reclaimable endpoints.
	scarceUntil time.Duration
	// inherited is set if another instance held the duty before. Its orders are
	// lowered only after lowerAfter, like the planner's own.
	inherited bool
}

// NewPlanner returns a planner that has ordered nothing.
func NewPlanner() *Planner { return &Planner{orders: make(map[EndpointGroup]orderState)} }

// Reset forgets the orders, since another instance may have ordered since.
// inherited tells that another instance held the duty before.
func (p *Planner) Reset(inherited bool) {
	clear(p.orders)
	p.inherited = inherited
}

// NextOrder returns the next order to send, if one is due.
func (p *Planner) NextOrder(now time.Duration, c *catalog.Catalog, endpoints []catalog.Endpoint, demand *Demand) (Order, bool) {
	present := countPresent(endpoints)
	for _, order := range p.targets(now, c, present, demand) {
		if p.due(now, c, order, present[order.EndpointGroup]) {
			p.orders[order.EndpointGroup] = orderState{count: order.Count, sentAt: now, maxPresent: present[order.EndpointGroup]}
			return order, true
		}
	}
	return Order{}, false
}

func (p *Planner) due(now time.Duration, c *catalog.Catalog, o Order, present int) bool {
	last, ok := p.orders[o.EndpointGroup]
	if !ok && p.inherited {
		last, ok = orderState{count: present, accepted: true, sentAt: now}, present > o.Count
	}
	if !ok || o.Count > last.count {
		return !ok || last.accepted || now >= last.sentAt+refusedRetryDelay
	}
	if present < o.Count {
		// Endpoints that were there and are leaving are ordered again at once:
		// the answer tells whether others are to be had.
		if present < last.maxPresent && last.accepted {
			return true
		}
		last.maxPresent = present
		p.orders[o.EndpointGroup] = last
		return now >= last.sentAt+p.reorderDelay(c, o, last)
	}
	last.maxPresent = max(last.maxPresent, present)
	if o.Count == last.count {
		last.lowerWantedSince = 0
	} else if last.lowerWantedSince == 0 {
		last.lowerWantedSince = now
	}
	p.orders[o.EndpointGroup] = last
	return o.Count < last.count && now-last.lowerWantedSince >= scaleDownDelay
}

// reorderDelay returns the time after which endpoints that are missing are
// ordered again.
func (p *Planner) reorderDelay(c *catalog.Catalog, o Order, last orderState) time.Duration {
	if !last.accepted {
		return refusedRetryDelay
	}
	return c.Services[o.Service].Scaling.BootTime + reorderMargin
}

// Accepted tells that the platform took an order.
func (p *Planner) Accepted(o Order) {
	last := p.orders[o.EndpointGroup]
	last.accepted = last.count == o.Count
	p.orders[o.EndpointGroup] = last
}

// Refused tells that the platform has none of what was ordered.
func (p *Planner) Refused(now time.Duration, o Order) {
	if o.Reclaimable {
		p.scarceUntil = now + scarcityPeriod
	}
}

func countPresent(endpoints []catalog.Endpoint) map[EndpointGroup]int {
	present := make(map[EndpointGroup]int)
	for _, e := range endpoints {
		if !e.Draining {
			present[EndpointGroup{e.Service, e.DataCentre, e.Reclaimable}]++
		}
	}
	return present
}

// targets returns the wanted numbers. Orders that add reclaimable endpoints
// come before those that take on-demand ones away.
func (p *Planner) targets(now time.Duration, c *catalog.Catalog, present map[EndpointGroup]int, demand *Demand) []Order {
	var orders []Order
	names := make([]fleet.ServiceName, 0, len(c.Services))
	for name, s := range c.Services {
		if s.Scaling != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		need := max(demand.Peak(now, name)/targetUtilization, p.minNeed(now, name, demand))
		scarceNeed := demand.Peak(now, name) / scarceUtilization
		orders = append(orders, p.serviceTargets(now, name, c.Services[name].Scaling, present, need, scarceNeed)...)
	}
	return orders
}

// minNeed returns the endpoints that are needed whatever the demand seen so far.
func (p *Planner) minNeed(now time.Duration, name fleet.ServiceName, demand *Demand) float64 {
	if p.inherited || demand.SinceFirstSeen(now, name) >= demandStabilization {
		return minEndpoints
	}
	return max(initialEndpointsPerInstance*float64(demand.ReportingInstances()), minEndpoints)
}

// serviceTargets spreads the needed endpoints so that the loss of one data
// centre's reclaimable ones leaves enough. While none are to be had, on-demand
// ones take the place of those that are missing, and of those that the next
// reclaim of a data centre would take: reclaims come in series, and on-demand
// endpoints take longer to start than the notice lasts.
func (p *Planner) serviceTargets(now time.Duration, name fleet.ServiceName, s *catalog.Scaling, present map[EndpointGroup]int, need, scarceNeed float64) []Order {
	dataCentres := byPrice(s)
	remainingCentres := max(len(dataCentres)-1, 1)
	perCentre := max(int(math.Ceil(need/float64(remainingCentres))), s.Min)
	reclaimable, largestGroup, presentOnDemand := 0, 0, 0
	for _, dc := range dataCentres {
		n := present[EndpointGroup{name, dc, true}]
		reclaimable += n
		largestGroup = max(largestGroup, n)
		presentOnDemand += present[EndpointGroup{name, dc, false}]
	}
	onDemand := 0
	switch {
	case now < p.scarceUntil:
		onDemand = max(int(math.Ceil(scarceNeed))-(reclaimable-largestGroup), 0)
	case presentOnDemand > 0:
		onDemand = max(int(math.Ceil(scarceNeed))-reclaimable, 0)
	}
	orders := make([]Order, 0, 2*len(dataCentres))
	for i, dc := range dataCentres {
		// The bounds apply to both kinds together.
		n := min((onDemand+len(dataCentres)-1-i)/len(dataCentres), s.Max)
		orders = append(orders,
			Order{EndpointGroup{name, dc, true}, min(perCentre, s.Max-n)},
			Order{EndpointGroup{name, dc, false}, n})
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
	dataCentres := make([]fleet.DataCentre, 0, len(s.Prices))
	for dc := range s.Prices {
		dataCentres = append(dataCentres, dc)
	}
	slices.SortFunc(dataCentres, func(a, b fleet.DataCentre) int {
		return cmp.Or(cmp.Compare(s.Prices[a], s.Prices[b]), cmp.Compare(a, b))
	})
	return dataCentres
}
