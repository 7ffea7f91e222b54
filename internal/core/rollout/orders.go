package rollout

import (
	"slices"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// maxKnownOrders bounds the orders of a service that are known. The copy from which the store
// comes back is some seconds old, and lacks no more of them.
const maxKnownOrders = 16

// Orders are the orders that an instance has read, by service, the oldest first. They tell a new
// order from one that the store shows once more after it came back from an older copy.
type Orders struct{ known map[fleet.ServiceName][]Order }

// NewOrders returns Orders that know none.
func NewOrders() *Orders { return &Orders{known: make(map[fleet.ServiceName][]Order)} }

// Read takes over an order. It reports false if the order was replaced by a later one before the
// store came back: the operator writes that one again.
func (o *Orders) Read(order Order) bool {
	known := o.known[order.Service]
	if len(known) == 0 {
		o.known[order.Service] = []Order{order}
		return true
	}
	newest := &known[len(known)-1]
	switch {
	case order.isShownAgain(*newest):
		newest.Position = order.Position
	case order.Position <= newest.Position:
		return order.Position == newest.Position
	case slices.ContainsFunc(known, order.isCopyOf):
		return false
	default:
		known = append(known, order)
		o.known[order.Service] = known[max(0, len(known)-maxKnownOrders):]
	}
	return true
}

// isShownAgain reports whether the order is the known one as the store shows it in a later epoch:
// at its place in the copy, or written again by the operator.
func (o Order) isShownAgain(known Order) bool {
	return o.Service == known.Service && o.To == known.To && o.Position.Epoch() > known.Position.Epoch()
}

// isCopyOf reports whether the order is at the place of a known one in a copy of the store.
func (o Order) isCopyOf(known Order) bool {
	return o.isShownAgain(known) && o.Position.Offset() == known.Position.Offset()
}
