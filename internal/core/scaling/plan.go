// Package scaling decides how many reclaimable and on-demand endpoints each
// service gets in each data centre.
package scaling

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// minEndpoints is the minimum number of endpoints of a service.
	minEndpoints = 4.0
	// demandStabilization is the time from the first demand for a service until the
	// demand is known. Until then as many endpoints as there were at first are kept,
	// at most one for each instance.
	demandStabilization = 10 * time.Second
	// registrationGap is the longest time between the registrations of two endpoints that
	// are there when a deployment starts, registrationTime the time in which the first one
	// registers.
	registrationGap  = 1300 * time.Millisecond
	registrationTime = 5 * time.Second
	// reorderMargin is added to the boot time of an endpoint before an order that
	// has not taken effect is sent again.
	reorderMargin = 2 * time.Second
	// refusedRetryDelay is the delay before a refused order is sent again.
	refusedRetryDelay = 1500 * time.Millisecond
	// scarcityPeriod is how long after a refusal reclaimable endpoints are assumed
	// to be unavailable.
	scarcityPeriod = 4 * time.Second
	// scaleDownDelay is how long the target must stay below the ordered number
	// before the lower number is ordered.
	scaleDownDelay = 8 * time.Second
)

// EndpointGroup identifies the endpoints of one service, data centre and kind. An
// order sets the size of one group.
type EndpointGroup struct {
	Service     fleet.ServiceName
	DataCentre  fleet.DataCentre
	Reclaimable bool
}

// Order sets the number of endpoints in a group.
type Order struct {
	EndpointGroup
	Count int
}

// Basis is what the number of endpoints of a service follows from.
type Basis struct {
	// Demand is the demand in endpoints kept busy, SlowShare the share of requests that take more than
	// half of their latency objective.
	Demand, SlowShare float64
	// Utilization is aimed at, ScarceUtilization while on-demand endpoints stand in for reclaimable ones.
	Utilization, ScarceUtilization float64
}

// Basis returns what the orders for a service follow from now.
func (p *Planner) Basis(now time.Duration, name fleet.ServiceName, demand *Demand) Basis {
	b := Basis{Demand: demand.Current(now, name)}
	if l := demand.Latency(now, name); l.Requests > 0 {
		b.SlowShare = l.Slow / l.Requests
	}
	if u, ok := p.utilizations[name]; ok {
		b.Utilization, b.ScarceUtilization = u.target(lateShare), u.target(scarceLateShare)
	}
	return b
}

// orderState is the last order for a group.
type orderState struct {
	count  int
	sentAt time.Duration
	// accepted is set once the platform has accepted the order.
	accepted bool
	// maxPresent is the maximum number of endpoints present since the order.
	maxPresent int
	// lowerWantedSince is when the target first fell below count; 0 if it did not.
	lowerWantedSince time.Duration
}

// Planner holds the orders that this instance sent since it acquired the duty.
type Planner struct {
	orders map[EndpointGroup]orderState
	// scarceUntil is the end of the period in which reclaimable endpoints are
	// assumed to be unavailable.
	scarceUntil time.Duration
	// inherited is set if another instance held the duty before. Its orders are
	// lowered only after scaleDownDelay, like the planner's own.
	inherited bool
	// initial is the highest number of on-demand endpoints of each service while those that
	// were there at the start register: until lastRegistered plus a time.
	initial        map[fleet.ServiceName]int
	lastRegistered time.Duration
	counting       bool
	utilizations   map[fleet.ServiceName]*utilization
	held           map[fleet.ServiceName]bool
}

// NewPlanner returns a planner without orders.
func NewPlanner() *Planner {
	return &Planner{
		orders: make(map[EndpointGroup]orderState), initial: make(map[fleet.ServiceName]int),
		utilizations: make(map[fleet.ServiceName]*utilization), held: make(map[fleet.ServiceName]bool),
	}
}

// Reset drops the recorded orders, which another instance may have replaced.
// inherited states whether another instance held the duty before.
func (p *Planner) Reset(inherited bool) {
	clear(p.orders)
	p.inherited, p.counting = inherited, false
}

// NextOrder returns the next order to send, if one is due.
func (p *Planner) NextOrder(now time.Duration, c *catalog.Catalog, endpoints []catalog.Endpoint, demand *Demand) (Order, bool) {
	present := countPresent(endpoints)
	registering := !p.inherited && p.countInitial(now, present)
	for _, order := range p.targets(now, c, present, demand) {
		if registering && !order.Reclaimable {
			// An endpoint that is removed before it has registered is never counted.
			continue
		}
		order = p.holdBack(order, present[order.EndpointGroup])
		if p.due(now, c, order, present[order.EndpointGroup]) {
			p.orders[order.EndpointGroup] = orderState{count: order.Count, sentAt: now, maxPresent: present[order.EndpointGroup]}
			return order, true
		}
	}
	return Order{}, false
}

// due reports whether an order must be sent now, given the number of endpoints
// present in its group.
func (p *Planner) due(now time.Duration, c *catalog.Catalog, o Order, present int) bool {
	last, ok := p.orders[o.EndpointGroup]
	if !ok && p.inherited {
		last, ok = orderState{count: present, accepted: true, sentAt: now}, present > o.Count
	}
	if !ok || o.Count > last.count {
		return !ok || last.accepted || now >= last.sentAt+refusedRetryDelay
	}
	if present < o.Count {
		// Endpoints that were present and are leaving are reordered immediately:
		// the response shows whether replacements are available.
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
	return o.Count < last.count && now-last.lowerWantedSince >= lowerDelay(c, o)
}

// lowerDelay returns how long a lower number must be wanted before it is ordered. On-demand
// endpoints are dear and stand in for reclaimable ones that serve again, so they are given back after
// the time in which others could be started.
func lowerDelay(c *catalog.Catalog, o Order) time.Duration {
	if o.Reclaimable {
		return scaleDownDelay
	}
	return min(c.Services[o.Service].Scaling.BootTime, scaleDownDelay)
}

// reorderDelay returns the delay before missing endpoints are ordered again.
func (p *Planner) reorderDelay(c *catalog.Catalog, o Order, last orderState) time.Duration {
	if !last.accepted {
		return refusedRetryDelay
	}
	return c.Services[o.Service].Scaling.BootTime + reorderMargin
}

// Accepted records that the platform accepted an order.
func (p *Planner) Accepted(o Order) {
	last := p.orders[o.EndpointGroup]
	last.accepted = last.count == o.Count
	p.orders[o.EndpointGroup] = last
}

// Refused records that the platform has no endpoints for an order.
func (p *Planner) Refused(now time.Duration, o Order) {
	if o.Reclaimable {
		p.scarceUntil = now + scarcityPeriod
	}
}

// countPresent returns the number of endpoints in each group that are not
// draining.
func countPresent(endpoints []catalog.Endpoint) map[EndpointGroup]int {
	present := make(map[EndpointGroup]int)
	for _, e := range endpoints {
		if !e.Draining {
			present[EndpointGroup{e.Service, e.DataCentre, e.Reclaimable}]++
		}
	}
	return present
}

// targets returns the target size of each group. Within a service, orders of
// reclaimable endpoints come before those that remove on-demand ones.
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
		u := p.utilizationOf(now, name, present, demand)
		need := max(demand.Peak(now, name)/u.target(lateShare), p.minNeed(now, name, demand))
		scarceNeed := demand.Recent(now, name) / u.target(scarceLateShare)
		orders = append(orders, p.serviceTargets(now, name, c.Services[name].Scaling, present, need, scarceNeed)...)
	}
	return orders
}

// minNeed returns the number of endpoints needed regardless of current demand.
func (p *Planner) minNeed(now time.Duration, name fleet.ServiceName, demand *Demand) float64 {
	if p.inherited || demand.SinceFirstSeen(now, name) >= demandStabilization {
		return minEndpoints
	}
	return max(float64(min(p.initial[name], demand.ReportingInstances())), minEndpoints)
}

// countInitial records the number of endpoints of each service that are there at the start
// of a deployment. It reports whether further ones may still register.
func (p *Planner) countInitial(now time.Duration, present map[EndpointGroup]int) bool {
	if !p.counting {
		p.counting, p.lastRegistered = true, now
	}
	timeout := registrationGap
	if len(p.initial) == 0 {
		timeout = registrationTime
	}
	if now > p.lastRegistered+timeout {
		return false
	}
	counts := make(map[fleet.ServiceName]int)
	for group, n := range present {
		if !group.Reclaimable {
			counts[group.Service] += n
		}
	}
	for service, n := range counts {
		if n > p.initial[service] {
			p.initial[service], p.lastRegistered = n, now
		}
	}
	return true
}

// serviceTargets distributes the needed endpoints so that losing all reclaimable
// endpoints of one data centre leaves enough. While reclaimable endpoints are
// unavailable, on-demand ones replace the missing ones and those that the next
// reclaims would remove.
func (p *Planner) serviceTargets(now time.Duration, name fleet.ServiceName, s *catalog.Scaling, present map[EndpointGroup]int, need, scarceNeed float64) []Order {
	dataCentres := byPrice(s)
	remainingCentres := max(len(dataCentres)-1, 1)
	perCentre := max(int(math.Ceil(need/float64(remainingCentres))), s.Min)
	groups := reclaimableGroups(name, dataCentres, present)
	presentOnDemand := 0
	for _, dc := range dataCentres {
		presentOnDemand += present[EndpointGroup{name, dc, false}]
	}
	onDemand := 0
	switch {
	case now < p.scarceUntil:
		onDemand = max(int(math.Ceil(scarceNeed))-survivors(groups), 0)
	case presentOnDemand > 0:
		onDemand = max(int(math.Ceil(scarceNeed))-lo.Sum(groups), 0)
	}
	orders := make([]Order, 0, 2*len(dataCentres))
	for i, dc := range dataCentres {
		// Min and Max apply to the sum of both kinds.
		n := min((onDemand+len(dataCentres)-1-i)/len(dataCentres), s.Max)
		orders = append(orders,
			Order{EndpointGroup{name, dc, true}, min(perCentre, s.Max-n)},
			Order{EndpointGroup{name, dc, false}, n})
	}
	slices.SortStableFunc(orders, compareReclaimable)
	return orders
}

// reclaimableGroups returns the number of reclaimable endpoints of a service that are present
// in each data centre.
func reclaimableGroups(name fleet.ServiceName, dataCentres []fleet.DataCentre, present map[EndpointGroup]int) []int {
	return lo.Map(dataCentres, func(dc fleet.DataCentre, _ int) int { return present[EndpointGroup{name, dc, true}] })
}

// survivors returns how many reclaimable endpoints are expected to be left when on-demand ones
// that are ordered now have started. Reclaims come in series, seconds apart, and an on-demand
// endpoint takes longer to start than the notice of a reclaim lasts: an order that waits for the
// next notice comes too late. One data centre more than were lost already is assumed to follow.
func survivors(groups []int) int {
	left := slices.Clone(groups)
	slices.Sort(left)
	lost := lo.CountBy(left, func(n int) bool { return n == 0 })
	return lo.Sum(left[:max(len(left)-lost-1, 0)])
}

// compareReclaimable sorts orders of reclaimable endpoints first.
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

// byPrice returns the data centres of a service in ascending order of price.
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
