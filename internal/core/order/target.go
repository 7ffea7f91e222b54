// Package order compares what the active configuration wants of every endpoint
// with what the endpoints report, and emits the orders that make them agree.
//
// An order carries the complete desired state, so that repeating it is safe and
// a late one is seen as a difference at the next observation. Loads wait for a
// download slot of the weight store; the service with the fewest ready replicas
// goes first. A change of ready replicas takes a bounded share of them out of
// service at once, one data centre after the other.
package order

import (
	"slices"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Target is the complete state of an endpoint that an order asks for.
type Target struct {
	Model   string
	Version string
	// Adapters is sorted.
	Adapters []string
	Role     string
}

// Equal reports whether two targets ask for the same state.
func (t Target) Equal(o Target) bool {
	return t.Model == o.Model && t.Version == o.Version && t.Role == o.Role && slices.Equal(t.Adapters, o.Adapters)
}

// downloads reports whether an endpoint in state loaded must fetch weights.
func (t Target) downloads(loaded Target) bool {
	if t.Model != loaded.Model || t.Version != loaded.Version {
		return t.Model != ""
	}
	return slices.ContainsFunc(t.Adapters, func(a string) bool { return !slices.Contains(loaded.Adapters, a) })
}

// NewTarget returns the state that the configuration wants of an endpoint of
// the service with the given role. It reports false for a plain service, for an
// unknown service and for a model that no ticket describes.
func NewTarget(spec *config.Spec, service fleet.ServiceName, role string) (Target, bool) {
	s := spec.Services[service]
	if s == nil || s.Kind != config.ServiceModel {
		return Target{}, false
	}
	model := spec.Models[s.Model]
	if model == nil {
		return Target{}, false
	}
	adapters := slices.Clone(s.Adapters)
	slices.Sort(adapters)
	return Target{Model: model.Name, Version: model.Version, Adapters: adapters, Role: role}, true
}
