package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quota"
	"github.com/cornelhold/cornelhold/internal/core/tally"
	"github.com/cornelhold/cornelhold/internal/proptest"
)

var options = Options{
	Node: "n1", DataCentre: "a",
	Quota:      quota.Bounds{Window: 8 * time.Second, Overrun: 0.1, Slack: 72_000},
	RetryRatio: 0.2, RetrySlack: 56, RetryWindow: 10 * time.Second, FirstStart: true,
}

func route(name string, kind catalog.Kind, attempts int, resumable bool) catalog.Route {
	return catalog.Route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, MaxAttempts: attempts, Resumable: resumable,
		Targets: []catalog.Target{{Service: "s", Weight: 1}}, Timeout: 5 * time.Second, LatencyObjective: 500 * time.Millisecond,
	}
}

func testCatalog() *catalog.Catalog {
	return catalog.Build(catalog.Catalog{
		Version: 1,
		Routes: []catalog.Route{
			route("unsafe", catalog.KindUnsafe, 1, false), route("idempotent", catalog.KindIdempotent, 2, false),
			route("stream", catalog.KindStream, 1, false), route("resumable", catalog.KindStream, 2, true),
		},
		Services: map[fleet.ServiceName]catalog.Service{"s": {Name: "s"}},
		Teams:    []catalog.Team{{Name: "team", Keys: []string{"key"}, Priority: -1}},
	})
}

func testEndpoints(n int, draining func(int) bool) []catalog.Endpoint {
	list := make([]catalog.Endpoint, n)
	for i := range list {
		list[i] = catalog.Endpoint{
			ID: fleet.EndpointID(fmt.Sprint("e", i)), Service: "s", DataCentre: "a", Slots: 8,
			Address: fmt.Sprint("127.0.0.1:", i+1), Started: 1, Draining: draining(i),
		}
	}
	return list
}

func readyMachine(n int) *Machine {
	m := New(options)
	m.Step(0, SetCatalog{Catalog: testCatalog()})
	m.Step(0, SetEndpoints{Endpoints: testEndpoints(n, func(int) bool { return false })})
	m.Step(0, UsageRestored{})
	m.Step(0, CrashesRestored{})
	return m
}

type trackedRequest struct {
	route string
	sends int
	runs  int
}

// TestAttemptsFollowRouteRules guards, for random failures, against repeated runs
// of unsafe requests, more attempts than the route allows, requests to draining
// endpoints and refusals as "not run" of requests that may have run (rules TWICE,
// BUDGET, DRAIN, REFUSED).
func TestAttemptsFollowRouteRules(t *testing.T) {
	proptest.Check(t, proptest.Bounds{Seed: 20261204, Checks: 300}, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		m := readyMachine(4)
		draining := make(map[fleet.EndpointID]bool)
		open := make(map[RequestID]*trackedRequest)
		routes := []string{"unsafe", "idempotent", "stream", "resumable"}
		var id RequestID
		now := time.Duration(0)
		apply := func(actions []Action) {
			for _, a := range actions {
				switch a := a.(type) {
				case Send:
					r := open[a.ID]
					r.sends++
					if draining[a.Endpoint.ID] {
						t.Fatalf("%s request sent to draining endpoint %s", r.route, a.Endpoint.ID)
					}
					if r.sends > a.Route.MaxAttempts {
						t.Fatalf("%s request sent to %d endpoints, want at most %d", r.route, r.sends, a.Route.MaxAttempts)
					}
					if r.runs > 0 && r.route != "idempotent" && r.route != "resumable" {
						t.Fatalf("%s request sent again although it may have run", r.route)
					}
				case Refuse:
					r := open[a.ID]
					if a.Refusal.Run == fleet.RunNotRun && r.runs > 0 {
						t.Fatalf("%s request refused as not run although it may have run", r.route)
					}
					delete(open, a.ID)
					m.Step(now, RequestFinished{ID: a.ID})
				}
			}
		}
		for range 300 {
			now += time.Duration(random.IntN(50)) * time.Millisecond
			switch random.IntN(8) {
			case 0, 1, 2:
				id++
				name := routes[random.IntN(len(routes))]
				open[id] = &trackedRequest{route: name}
				apply(m.Step(now, RequestArrived{ID: id, Request: Request{
					Host: "h", Path: "/" + name + "/x", Key: "key", HasKey: true, Deadline: 2 * time.Second,
					Random: random.Float64(), HasTokens: random.IntN(2) == 0, PromptTokens: 500, MaxOutputTokens: 50,
					Fingerprint: fleet.Fingerprint(id),
				}}))
			case 3:
				clear(draining)
				for i := range 4 {
					draining[fleet.EndpointID(fmt.Sprint("e", i))] = random.IntN(3) == 0
				}
				m.Step(now, SetEndpoints{Endpoints: testEndpoints(4, func(i int) bool {
					return draining[fleet.EndpointID(fmt.Sprint("e", i))]
				})})
			default:
				for openID, r := range open {
					failure := Failure(random.IntN(6))
					switch failure {
					case FailureDial, FailureNotSentInTime:
						r.sends--
					case FailureRejected:
					default:
						r.runs++
					}
					if failure == FailureErrorResponse && random.IntN(2) == 0 {
						m.Step(now, ResponseStarted{ID: openID})
						m.Step(now, RequestFinished{ID: openID, Succeeded: true})
						delete(open, openID)
						break
					}
					apply(m.Step(now, AttemptFailed{ID: openID, Failure: failure}))
					break
				}
			}
		}
		for openID := range open {
			m.Step(now, RequestFinished{ID: openID})
		}
		for _, e := range m.endpoints {
			if e.own != (tally.Load{}) {
				t.Fatalf("endpoint %s has load %+v after all requests ended, want none", e.ID, e.own)
			}
		}
	})
}

// TestOlderCatalogIsIgnored guards against a return to an older configuration
// version (rule CONFIG), whatever its source.
func TestOlderCatalogIsIgnored(t *testing.T) {
	is := is.New(t)
	m := readyMachine(1)
	newer := *testCatalog()
	newer.Version = 7
	m.Step(0, SetCatalog{Catalog: catalog.Build(newer)})
	m.Step(0, SetCatalog{Catalog: testCatalog()})
	is.Equal(m.Catalog().Version, catalog.Version(7))
}

// TestUnknownKeyAndRoute guards against requests that are served without a valid
// key or route.
func TestUnknownKeyAndRoute(t *testing.T) {
	is := is.New(t)
	m := readyMachine(1)
	kind := func(r Request) fleet.RefusalKind {
		refuse, ok := m.Step(0, RequestArrived{ID: 1, Request: r})[0].(Refuse)
		is.True(ok)
		return refuse.Refusal.Kind
	}
	is.Equal(kind(Request{Host: "h", Path: "/unsafe/x", Key: "other", HasKey: true}), fleet.RefusedUnauthorized)
	is.Equal(kind(Request{Host: "h", Path: "/unsafe/x"}), fleet.RefusedUnauthorized)
	is.Equal(kind(Request{Host: "h", Path: "/unknown/x", Key: "key", HasKey: true}), fleet.RefusedNotFound)
}

// TestLapsedEndpointIsLastResort guards against requests to a removed endpoint
// (rule DRAIN, found on rdsign scale-2): an entry that was removed during a
// network partition was treated as lapsed, and its endpoint was used although
// there were others.
func TestLapsedEndpointIsLastResort(t *testing.T) {
	is := is.New(t)
	m := readyMachine(1)
	list := testEndpoints(2, func(int) bool { return false })
	list[0].Lapsed = true
	target := func(id RequestID) fleet.EndpointID {
		send, ok := m.Step(0, RequestArrived{ID: id, Request: Request{Host: "h", Path: "/idempotent/x", Key: "key", HasKey: true}})[0].(Send)
		is.True(ok)
		return send.Endpoint.ID
	}
	m.Step(0, SetEndpoints{Endpoints: list})
	for id := range RequestID(50) {
		is.Equal(target(id), list[1].ID)
	}
	m.Step(0, SetEndpoints{Endpoints: list[:1]})
	is.Equal(target(100), list[0].ID)
}
