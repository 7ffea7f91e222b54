package dispatch

import "github.com/cornelhold/cornelhold/internal/core/fleet"

// departedBound is the number of endpoints remembered as leaving. It exceeds
// the 3,800 instances that a fleet of the design size replaces in a day.
const departedBound = 16384

// departed remembers endpoints that were announced as leaving, so that neither
// an older list nor a list in which the endpoint reappears revives them.
type departed struct {
	known map[fleet.EndpointID]struct{}
	order []fleet.EndpointID
}

func newDeparted() *departed { return &departed{known: make(map[fleet.EndpointID]struct{})} }

func (d *departed) add(id fleet.EndpointID) {
	if d.has(id) {
		return
	}
	d.known[id] = struct{}{}
	d.order = append(d.order, id)
	if len(d.order) > departedBound {
		delete(d.known, d.order[0])
		d.order = d.order[1:]
	}
}

func (d *departed) has(id fleet.EndpointID) bool {
	_, ok := d.known[id]
	return ok
}
