package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/proptest"
)

func checkRequest(random float64) Request {
	return Request{Host: "h", Path: "/idempotent/x", Key: "key", HasKey: true, Deadline: 2 * time.Second, Random: random}
}

// TestLeavingEndpointIsLeft guards against requests to an endpoint that has stated that it is
// about to leave, whatever the list says of it (rule DRAIN).
func TestLeavingEndpointIsLeft(t *testing.T) {
	is := is.New(t)
	m := boundMachine()
	now := time.Duration(0)
	target := func(id RequestID) (fleet.EndpointID, bool) {
		m.Step(now, ListConfirmed{At: now})
		s, ok := m.Step(now, RequestArrived{ID: id, Request: checkRequest(float64(id%10) / 10)})[0].(Send)
		m.Step(now, RequestFinished{ID: id})
		return s.Endpoint.ID, ok
	}
	list := testEndpoints(2, func(int) bool { return false })
	m.Step(now, EndpointLeaving{Endpoint: "e0", Started: 1})
	for id := range RequestID(30) {
		chosen, ok := target(id)
		is.True(ok)
		is.Equal(chosen, fleet.EndpointID("e1"))
	}
	// Alone, it is used for a while.
	m.Step(now, SetEndpoints{Endpoints: list[:1]})
	_, ok := target(100)
	is.True(ok)
	now = drainBound * 3 / 4
	_, ok = target(101)
	is.True(!ok)
	// An entry that comes back does not change that, another incarnation does.
	m.Step(now, SetEndpoints{})
	m.Step(now, SetEndpoints{Endpoints: list[:1]})
	_, ok = target(102)
	is.True(!ok)
	list[0].Started = 2
	m.Step(now, SetEndpoints{Endpoints: list[:1]})
	_, ok = target(103)
	is.True(ok)
}

// TestLateWriteToLeavingEndpoint guards against a request that was chosen in time and is
// written after the bound.
func TestLateWriteToLeavingEndpoint(t *testing.T) {
	is := is.New(t)
	m := boundMachine()
	m.Step(0, SetEndpoints{Endpoints: testEndpoints(1, func(int) bool { return false })})
	m.Step(0, EndpointLeaving{Endpoint: "e0", Started: 1})
	const at = drainBound / 2
	m.Step(at, ListConfirmed{At: at})
	s, ok := m.Step(at, RequestArrived{ID: 1, Request: checkRequest(0)})[0].(Send)
	is.True(ok)
	is.True(s.SendBy < drainBound)
}

// TestNoSendAfterStatement guards, over random orders of statements, lists, restarts of
// endpoints and requests, against a request that a caller sent later than the bound after a
// statement (rule DRAIN).
func TestNoSendAfterStatement(t *testing.T) {
	proptest.Check(t, proptest.Bounds{Seed: 20261205, Checks: 200}, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		m := boundMachine()
		list := testEndpoints(4, func(int) bool { return false })
		stated := make(map[incarnation]time.Duration)
		now := time.Duration(0)
		for id := range RequestID(400) {
			now += time.Duration(random.IntN(100)) * time.Millisecond
			e := &list[random.IntN(len(list))]
			switch random.IntN(8) {
			case 0:
				i := incarnation{id: e.ID, started: e.Started}
				if _, ok := stated[i]; !ok {
					stated[i] = now
				}
				m.Step(now, EndpointLeaving{Endpoint: e.ID, Started: e.Started})
			case 1:
				if random.IntN(2) == 0 {
					e.Started++
				}
				m.Step(now, SetEndpoints{Endpoints: list})
			case 2:
				m.Step(now, SetEndpoints{Endpoints: list[random.IntN(len(list)):]})
			default:
				m.Step(now, ListConfirmed{At: now})
				actions := m.Step(now, RequestArrived{ID: id, Request: checkRequest(random.Float64())})
				for k := 0; k < len(actions); k++ {
					s, ok := actions[k].(Send)
					if !ok {
						continue
					}
					at, leaving := stated[incarnation{id: s.Endpoint.ID, started: s.Endpoint.Started}]
					if leaving && now > at+drainBound {
						t.Fatalf("request sent %v after the endpoint had stated that it leaves", now-at)
					}
					if leaving && s.SendBy > at+drainBound {
						t.Fatalf("request may be written %v after the statement", s.SendBy-at)
					}
					failure := []Failure{FailureRejected, FailureConnectionLost, FailureDial}[random.IntN(3)]
					actions = append(actions, m.Step(now, AttemptFailed{ID: id, Failure: failure})...)
				}
				m.Step(now, RequestFinished{ID: id})
			}
		}
	})
}
