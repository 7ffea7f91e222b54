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

// TestPausedEndpointGetsNothing guards against requests to an endpoint that asked for a pause,
// and against callers that are told to come back before one can serve them (rule BUDGET).
func TestPausedEndpointGetsNothing(t *testing.T) {
	is := is.New(t)
	m := readyMachine(2)
	m.Step(0, EndpointPaused{Endpoint: "e0", Started: 1, Length: 3 * time.Second})
	for id := range RequestID(30) {
		s, ok := m.Step(time.Second, RequestArrived{ID: id, Request: checkRequest(float64(id) / 30)})[0].(Send)
		is.True(ok)
		is.Equal(s.Endpoint.ID, fleet.EndpointID("e1"))
		m.Step(time.Second, RequestFinished{ID: id})
	}
	m.Step(time.Second, EndpointPaused{Endpoint: "e1", Started: 1, Length: time.Hour})
	refused, ok := m.Step(time.Second, RequestArrived{ID: 100, Request: checkRequest(0.5)})[0].(Refuse)
	is.True(ok)
	is.Equal(refused.Refusal.Run, fleet.RunNotRun)
	is.True(refused.Refusal.RetryAfter >= 2*time.Second && refused.Refusal.RetryAfter <= 2*time.Second+pauseSpread)
	s, ok := m.Step(3*time.Second, RequestArrived{ID: 101, Request: checkRequest(0.5)})[0].(Send)
	is.True(ok)
	is.Equal(s.Endpoint.ID, fleet.EndpointID("e0"))
	m.Step(3*time.Second, RequestFinished{ID: 101, Succeeded: true})
	// A pause of hours is not believed for ever, and ends with the incarnation.
	m.Step(3*time.Second, EndpointPaused{Endpoint: "e0", Started: 1, Length: time.Hour})
	list := testEndpoints(1, func(int) bool { return false })
	list[0].Started = 2
	m.Step(4*time.Second, SetEndpoints{Endpoints: list})
	_, ok = m.Step(4*time.Second, RequestArrived{ID: 102, Request: checkRequest(0.5)})[0].(Send)
	is.True(ok)
	m.Step(4*time.Second, RequestFinished{ID: 102, Succeeded: true})
	m.Step(4*time.Second, EndpointPaused{Endpoint: "e0", Started: 2, Length: time.Hour})
	_, ok = m.Step(4*time.Second+maxPause, RequestArrived{ID: 103, Request: checkRequest(0.5)})[0].(Send)
	is.True(ok)
}

// TestNoSendWithinPause guards, over random orders of pauses, lists, restarts, failures and
// requests, against a request to an endpoint within its pause, also as a retry.
func TestNoSendWithinPause(t *testing.T) {
	proptest.Check(t, proptest.Bounds{Seed: 20261205, Checks: 200}, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		m := readyMachine(4)
		list := testEndpoints(4, func(int) bool { return false })
		until := make(map[incarnation]time.Duration)
		now := time.Duration(0)
		for id := range RequestID(400) {
			now += time.Duration(random.IntN(100)) * time.Millisecond
			e := &list[random.IntN(len(list))]
			switch random.IntN(6) {
			case 0:
				length := time.Duration(random.IntN(4000)) * time.Millisecond
				i := incarnation{id: e.ID, started: e.Started}
				until[i] = max(until[i], now+length)
				m.Step(now, EndpointPaused{Endpoint: e.ID, Started: e.Started, Length: length})
			case 1:
				if random.IntN(3) == 0 {
					e.Started++
				}
				m.Step(now, SetEndpoints{Endpoints: list[random.IntN(2):]})
			default:
				actions := m.Step(now, RequestArrived{ID: id, Request: checkRequest(random.Float64())})
				for k := 0; k < len(actions); k++ {
					s, ok := actions[k].(Send)
					if !ok {
						continue
					}
					if end := until[incarnation{id: s.Endpoint.ID, started: s.Endpoint.Started}]; now < end {
						t.Fatalf("request sent %v before the end of the pause", end-now)
					}
					actions = append(actions, m.Step(now, AttemptFailed{ID: id, Failure: FailureRejected})...)
				}
				m.Step(now, RequestFinished{ID: id})
			}
		}
	})
}
