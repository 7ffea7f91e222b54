package rollout

import (
	"maps"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Validity is how long a plan may be followed after the holder confirmed it. It exceeds the
// time that plans take from the holder to any instance, also with a lost datagram.
const Validity = 1500 * time.Millisecond

// Follower holds the newest plan of each service, and the newest order as far as no plan of a
// holder covers it.
type Follower struct{ plans, ordered map[fleet.ServiceName]Plan }

// NewFollower returns a follower without plans.
func NewFollower() *Follower {
	return &Follower{plans: make(map[fleet.ServiceName]Plan), ordered: make(map[fleet.ServiceName]Plan)}
}

// Apply takes over a plan unless a newer one is known. It reports whether the plan changed, not
// only its confirmation.
func (f *Follower) Apply(p Plan) bool {
	plans := f.plans
	if p.Fence == 0 {
		plans = f.ordered
	}
	known, ok := plans[p.Service]
	if !ok || p.supersedes(known) {
		plans[p.Service] = p
		return true
	}
	// The time of an order is when an instance first read it.
	if later := p.ConfirmedAt > known.ConfirmedAt; !known.supersedes(p) && later == (p.Fence != 0) {
		known.ConfirmedAt = p.ConfirmedAt
		plans[p.Service] = known
	}
	return false
}

// Plans returns the known plans and orders, to be told to other instances.
func (f *Follower) Plans() []Plan {
	var list []Plan
	for _, plans := range []map[fleet.ServiceName]Plan{f.plans, f.ordered} {
		for _, service := range slices.Sorted(maps.Keys(plans)) {
			list = append(list, plans[service])
		}
	}
	return list
}

// Plan returns the plan of a service. The version of an order that no plan of a holder covers
// yet gets no requests.
func (f *Follower) Plan(service fleet.ServiceName) (Plan, bool) {
	order, isOrdered := f.ordered[service]
	p, ok := f.plans[service]
	if !ok {
		return order, isOrdered
	}
	if isOrdered && order.Order > p.Order && order.To != p.To {
		p.Withheld = append(slices.Clip(p.Withheld), order.To)
	}
	return p, true
}

// share returns the share of the new version that may be used now.
func (p Plan) share(now time.Duration) float64 {
	switch {
	case p.State == Done:
		return 1
	case p.State == Reverted, p.Fence == 0, now-p.ConfirmedAt > Validity:
		return 0
	default:
		return p.Share
	}
}

// MovesAll reports whether all new requests go to the new version.
func (p Plan) MovesAll(now time.Duration) bool { return p.share(now) >= 1 }

// Choice is the version that was chosen for a request. The zero value allows all endpoints.
type Choice struct {
	plan   Plan
	chosen bool
	isNew  bool
	// none is set if the request may not be sent to any endpoint.
	none bool
}

// Allows reports whether the request may be sent to an endpoint of a version.
func (c Choice) Allows(v fleet.SoftwareVersion) bool {
	switch {
	case !c.chosen:
		return true
	case c.none:
		return false
	case c.isNew:
		return c.plan.isNew(v)
	default:
		return c.plan.isOld(v)
	}
}

// IsNew reports whether the version that is rolled out was chosen.
func (c Choice) IsNew() bool { return c.chosen && c.isNew }

// Key returns the key of the counts that the request belongs to. It reports false if the
// service has no rollout.
func (c Choice) Key() (Key, bool) { return c.plan.Key(), c.chosen }

// Request is what the choice of a version depends on.
type Request struct {
	Service fleet.ServiceName
	// Previous is the choice made for the request before.
	Previous Choice
	// Bound is set if the caller got a part of the response, so that the version must not
	// change.
	Bound bool
	// Random is a random number in [0, 1).
	Random float64
	// Serves reports whether an endpoint exists that a choice allows.
	Serves func(Choice) bool
}

// Choose returns the version for the next attempt of a request. A request keeps its version
// while that may be used. Without a valid plan it is an old one, unless those are gone.
func (f *Follower) Choose(now time.Duration, r Request) Choice {
	plan, ok := f.Plan(r.Service)
	if !ok {
		return Choice{}
	}
	share := plan.share(now)
	c := Choice{plan: plan, chosen: true, isNew: r.Random < share}
	if previous := r.Previous; previous.chosen && previous.plan.Service == r.Service && previous.plan.To == plan.To {
		c.isNew = previous.isNew
		withdrawn := c.isNew && share == 0 || !c.isNew && (plan.State == Done || share >= 1 && !r.Bound)
		if withdrawn && r.Bound {
			c.none = true
			return c
		}
		c.isNew = c.isNew != withdrawn
	}
	if other := (Choice{plan: plan, chosen: true, isNew: !c.isNew}); !r.Bound && !r.Serves(c) && r.Serves(other) {
		return other
	}
	return c
}
