package router

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelhold/cornelhold/internal/core/budget"
	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// TestDispatchMetrics checks the metric names and labels that dashboards and
// alerts use.
func TestDispatchMetrics(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	m := newDispatchMetrics(registry)
	m.observe(dispatch.Grant{Team: "a", Class: fleet.ClassStandard})
	m.observe(dispatch.Grant{Team: "a", Hedge: true, Cause: budget.CauseSlow})
	m.observe(dispatch.Refuse{Team: "b", Refusal: fleet.Refuse(fleet.RefusedOverload, 0, "")})
	families, err := registry.Gather()
	is.NoErr(err)
	var text strings.Builder
	for _, f := range families {
		text.WriteString(f.String())
	}
	for _, want := range []string{
		"cornelhold_dispatch_queue_wait_seconds", `value:"standard"`, "cornelhold_dispatch_refusals_total", `value:"overload"`,
		"cornelhold_dispatch_extra_attempts_total", `value:"hedge"`, `value:"slow"`,
	} {
		is.True(strings.Contains(text.String(), want)) // metric or label is missing
	}
}
