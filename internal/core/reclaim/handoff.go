package reclaim

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// HandoffCopies is the number of peers that store the record of a handed-over
// request, so that it survives the loss of one of them.
const HandoffCopies = 2

// extraLookups is the number of candidates beyond HandoffCopies that a lookup
// queries per data centre, because the handoff skipped candidates that declined or
// were dead, and instances that joined since may precede them in the order.
const extraLookups = 4

// Router is a router instance that can hold records.
type Router struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
}

// HandoffCandidates returns the routers to which a leaving router offers the
// record of a request, in order of preference: first those in other data centres,
// then those in its own, each group by rendezvous hashing over the request id.
func HandoffCandidates(id fleet.RequestID, leaving Router, routers []Router) []fleet.InstanceID {
	others := lo.Filter(routers, func(r Router, _ int) bool { return r.Instance != leaving.Instance })
	near, far := lo.FilterReject(sortByHash(id, others), func(r Router, _ int) bool {
		return r.DataCentre == leaving.DataCentre
	})
	return instanceIDs(append(far, near...))
}

// LookupCandidates returns the routers that may hold the record of a request when
// the router that handed it over is unknown, in the order in which they must be
// queried. It contains the first HandoffCandidates for each data centre that the
// leaving router may have been in.
func LookupCandidates(id fleet.RequestID, routers []Router) []fleet.InstanceID {
	sorted := sortByHash(id, routers)
	wanted := make(map[fleet.InstanceID]bool)
	for _, leaving := range lo.UniqBy(sorted, func(r Router) fleet.DataCentre { return r.DataCentre }) {
		// No instance is excluded, since the leaving router is unknown and may still
		// be listed.
		first := HandoffCandidates(id, Router{DataCentre: leaving.DataCentre}, sorted)
		for _, instance := range first[:min(len(first), HandoffCopies+extraLookups)] {
			wanted[instance] = true
		}
	}
	return lo.Filter(instanceIDs(sorted), func(i fleet.InstanceID, _ int) bool { return wanted[i] })
}

func sortByHash(id fleet.RequestID, routers []Router) []Router {
	sorted := slices.Clone(routers)
	slices.SortFunc(sorted, func(a, b Router) int {
		return cmp.Or(cmp.Compare(rendezvousHash(id, b), rendezvousHash(id, a)), cmp.Compare(a.Instance, b.Instance))
	})
	return sorted
}

func rendezvousHash(id fleet.RequestID, r Router) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + string(r.Instance))
}

func instanceIDs(routers []Router) []fleet.InstanceID {
	return lo.Map(routers, func(r Router, _ int) fleet.InstanceID { return r.Instance })
}
