package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// ReadersPerDataCentre is the number of nodes in each data centre that
	// follow the log, so that one of them can fail.
	ReadersPerDataCentre = 2
	// RelayFanOut bounds the pushes that one node sends for each ticket, so that
	// its traffic doesn't grow with the fleet.
	RelayFanOut = 2
)

// Node is one instance that takes part in the distribution of tickets.
type Node struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	// Leaving nodes rank last: they read and relay only for want of other nodes.
	Leaving bool
}

// Plan is the role of one node in the distribution of tickets. While nodes have
// different member lists, their plans may contradict each other: a node then
// receives a ticket twice or not at all. A missing ticket is fetched from a peer.
type Plan struct {
	// Reads reports whether the node follows the log.
	Reads bool
	// WritesCheckpoints reports whether the node appends checkpoints. Concurrent
	// writers are harmless.
	WritesCheckpoints bool
	// RelayTo are the nodes to which this node pushes new tickets.
	RelayTo []fleet.InstanceID
	// Parent pushes new tickets to this node; empty for a reader.
	Parent fleet.InstanceID
}

// PlanFor returns the plan of self. The nodes of a data centre are ordered by
// rendezvous hash; the first two read the log and are the roots of two binary
// trees along which tickets are pushed.
func PlanFor(self Node, nodes []Node) Plan {
	local := rankNodes(self.DataCentre, withSelf(self, nodes))
	position := slices.IndexFunc(local, func(n Node) bool { return n.Instance == self.Instance })
	plan := Plan{Reads: position < ReadersPerDataCentre}
	if !plan.Reads {
		plan.Parent = local[position/RelayFanOut-1].Instance
	}
	first := RelayFanOut * (position + 1)
	for i := first; i < min(first+RelayFanOut, len(local)); i++ {
		plan.RelayTo = append(plan.RelayTo, local[i].Instance)
	}
	plan.WritesCheckpoints = plan.Reads && checkpointWriter(withSelf(self, nodes)) == self.Instance
	return plan
}

func withSelf(self Node, nodes []Node) []Node {
	others := slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return n.Instance == self.Instance })
	return append(others, self)
}

func rankNodes(dc fleet.DataCentre, nodes []Node) []Node {
	local := slices.DeleteFunc(slices.Clone(nodes), func(n Node) bool { return n.DataCentre != dc })
	slices.SortFunc(local, compareRank)
	return local
}

// checkpointWriter returns the node that ranks first across all data centres,
// which is also the first reader of its own data centre.
func checkpointWriter(nodes []Node) fleet.InstanceID {
	return slices.MinFunc(nodes, compareRank).Instance
}

func compareRank(a, b Node) int {
	if a.Leaving != b.Leaving {
		if a.Leaving {
			return 1
		}
		return -1
	}
	return cmp.Or(
		cmp.Compare(rank(a.Instance), rank(b.Instance)),
		cmp.Compare(a.Instance, b.Instance),
	)
}

func rank(id fleet.InstanceID) uint64 { return xxhash.Sum64String("ticket-reader/" + string(id)) }
