package dispatch_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// TestCrashSuspectsAreIsolated guards against a harmless request that is involved in
// a second crash with the request that caused the first: the retries of two requests
// from a crashed endpoint run on different endpoints.
func TestCrashSuspectsAreIsolated(t *testing.T) {
	is := is.New(t)
	m := dispatch.New()
	m.Step(0, dispatch.Configure{Spec: &config.Spec{
		Services: map[fleet.ServiceName]*config.Service{"s": {Name: "s", Kind: config.ServiceModel}},
		Teams:    map[fleet.TeamName]*config.Team{"team": {Name: "team", Weight: 1}},
	}})
	list := []dispatch.Endpoint{{ID: "e1", Service: "s"}, {ID: "e2", Service: "s"}, {ID: "e3", Service: "s"}}
	m.Step(0, dispatch.Endpoints{Version: 1, List: list})
	for _, id := range []fleet.RequestID{"a", "b"} {
		// Equal prompts prefer the same endpoint.
		m.Step(0, dispatch.Submit{
			Request: id, Team: "team", Service: "s", Idempotent: true, Prompt: dispatch.Prompt{Blocks: []uint64{7}, Tokens: 64},
		})
	}
	used := make(map[fleet.EndpointID]bool)
	for _, id := range []fleet.RequestID{"a", "b"} {
		m.Step(0, dispatch.AttemptEnded{Request: id, Attempt: 1, Outcome: dispatch.AttemptCrashed})
		for _, action := range m.Step(0, dispatch.Retry{Request: id, Avoid: "e1", Isolate: true}) {
			if grant, ok := action.(dispatch.Grant); ok && grant.Request == id {
				used[grant.Endpoint.ID] = true
			}
		}
	}
	is.Equal(len(used), 2)
}
