package scaling

import "github.com/cornelhold/cornelhold/internal/core/fleet"

// Hold replaces the services whose endpoints must not be reduced, such as those whose software version
// is rolled out: endpoints of both versions are counted, but each request may use those of one only.
func (p *Planner) Hold(services []fleet.ServiceName) {
	clear(p.held)
	for _, s := range services {
		p.held[s] = true
	}
}

// holdBack replaces the size of a group that must not be reduced by the one ordered last, or by what is
// present if the planner has ordered nothing. Lost endpoints are replaced up to that size.
func (p *Planner) holdBack(o Order, present int) Order {
	if !p.held[o.Service] {
		return o
	}
	if last, ok := p.orders[o.EndpointGroup]; ok {
		present = last.count
	}
	o.Count = max(o.Count, present)
	return o
}
