// Package order reconciles the endpoints with the active configuration: it
// compares the desired state of each endpoint with the reported one and emits
// the orders that make them equal.
//
// An order carries the complete desired state, so it is idempotent, and the
// effect of a late order is found by the next observation. Loads wait for a
// download slot of the weight store; the service with the fewest ready replicas
// goes first. A change takes a bounded share of the ready replicas out of service
// concurrently, one data centre after the other.
package order

import (
	"slices"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Target is the complete desired state of an endpoint.
type Target struct {
	Model   string
	Version string
	// Adapters is sorted.
	Adapters []string
	Role     string
}

// Equal reports whether two targets describe the same state.
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

// NewTarget returns the desired state of an endpoint of the service with the
// given role. It reports false for a plain service, and for a service or a model
// that is not configured.
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
