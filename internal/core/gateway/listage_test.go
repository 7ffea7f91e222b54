package gateway

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/tally"
	"github.com/cornelhold/cornelhold/internal/proptest"
)

const drainBound = 3 * time.Second

// boundMachine returns a ready machine with two endpoints and a drain bound, whose list
// was complete at 0.
func boundMachine() *Machine {
	bounded := options
	bounded.DrainBound = drainBound
	m := New(bounded)
	m.Step(0, SetCatalog{Catalog: testCatalog()})
	m.Step(0, SetEndpoints{Endpoints: testEndpoints(2, func(int) bool { return false })})
	m.Step(0, UsageRestored{})
	m.Step(0, CrashesRestored{})
	m.Step(0, ListConfirmed{})
	return m
}

func arrive(m *Machine, now time.Duration, id RequestID, path string) []Action {
	return m.Step(now, RequestArrived{ID: id, Request: Request{
		Host: "h", Path: path, Key: "key", HasKey: true, Deadline: 4 * time.Second,
	}})
}

func drainFirst(i int) bool { return i == 0 }

// TestOutdatedListIsReadBeforeChoice guards against requests to an endpoint that began to
// drain while the instance did not run (rule DRAIN).
func TestOutdatedListIsReadBeforeChoice(t *testing.T) {
	is := is.New(t)
	m := boundMachine()
	const late = drainBound * 9 / 10
	is.Equal(arrive(m, late, 1, "/unsafe/x"), []Action{ReadList{}})
	is.Equal(len(arrive(m, late, 2, "/unsafe/x")), 0) // the read is under way
	is.Equal(len(arrive(m, late, 3, "/unsafe/x")), 0)
	m.Step(late, RequestFinished{ID: 3}) // its caller left
	is.Equal(len(m.Step(late, ListConfirmed{At: time.Second / 2})), 0)
	const readAt = late + 10*time.Millisecond
	m.Step(readAt, SetEndpoints{Endpoints: testEndpoints(2, drainFirst)})
	actions := m.Step(readAt, ListConfirmed{At: late})
	is.Equal(len(actions), 2)
	for i, a := range actions {
		send, ok := a.(Send)
		is.True(ok)
		is.Equal(send.ID, RequestID(i+1))
		is.Equal(send.Endpoint.ID, fleet.EndpointID("e1"))
		is.Equal(send.DeadlineAt, late+4*time.Second) // the wait counts
	}
	_, ok := arrive(m, readAt, 4, "/unsafe/x")[0].(Send)
	is.True(ok)
}

// TestRetryWaitsForCurrentList guards against a retry at an endpoint that began to drain
// while the instance did not run (rule DRAIN).
func TestRetryWaitsForCurrentList(t *testing.T) {
	is := is.New(t)
	m := boundMachine()
	_, ok := arrive(m, 0, 1, "/idempotent/x")[0].(Send)
	is.True(ok)
	const late = drainBound
	is.Equal(m.Step(late, AttemptFailed{ID: 1, Failure: FailureTimeout}), []Action{
		ReadList{}, CheckEndpoint{Endpoint: "e0", Started: 1, Address: "127.0.0.1:1"},
	})
	m.Step(late, SetEndpoints{Endpoints: testEndpoints(2, func(int) bool { return true })})
	refused, ok := m.Step(late, ListConfirmed{At: late})[0].(Refuse)
	is.True(ok)
	is.Equal(refused.Refusal.Run, fleet.RunUnknown)
}

// TestUnreachableStoreDoesNotStopService guards against an instance that serves nobody
// while it is cut off from the store and its peers.
func TestUnreachableStoreDoesNotStopService(t *testing.T) {
	is := is.New(t)
	m := boundMachine()
	now := drainBound
	is.Equal(arrive(m, now, 1, "/unsafe/x"), []Action{ReadList{}})
	_, ok := m.Step(now, ListUnreachable{At: now})[0].(Send)
	is.True(ok)
	_, ok = arrive(m, now+time.Second, 2, "/unsafe/x")[0].(Send)
	is.True(ok)
	// The failed read says nothing about the store some time later.
	is.Equal(arrive(m, now+outageTTL+time.Millisecond, 3, "/unsafe/x"), []Action{ReadList{}})
}

// TestUnwrittenRequestIsChosenAgain guards against a request that was not written in time
// and counts as an attempt, a retry or a failure of its endpoint, or follows a route that
// has changed.
func TestUnwrittenRequestIsChosenAgain(t *testing.T) {
	is := is.New(t)
	m := boundMachine()
	first, ok := arrive(m, time.Second, 1, "/unsafe/x")[0].(Send)
	is.True(ok)
	is.True(first.SendBy < drainBound)
	m.Step(2*time.Second, ListConfirmed{At: 2 * time.Second})
	again, ok := m.Step(2*time.Second, AttemptFailed{ID: 1, Failure: FailureNotSentInTime})[0].(Send)
	is.True(ok)
	is.Equal(again.Attempt, 1)
	is.Equal(again.Endpoint.ID, first.Endpoint.ID)
	is.True(again.SendBy > first.SendBy)
	is.Equal(m.endpoints[first.Endpoint.ID].own.Active, 1)
	is.Equal(m.endpoints[first.Endpoint.ID].failureRate, 0.0)
	withoutRoutes := *testCatalog()
	withoutRoutes.Version, withoutRoutes.Routes = 2, nil
	m.Step(2*time.Second, SetCatalog{Catalog: catalog.Build(withoutRoutes)})
	refused, ok := m.Step(2*time.Second, AttemptFailed{ID: 1, Failure: FailureNotSentInTime})[0].(Refuse)
	is.True(ok)
	is.Equal(refused.Refusal.Kind, fleet.RefusedNotFound)
	is.Equal(m.endpoints[first.Endpoint.ID].own, tally.Load{})
}

// TestEachChoiceRestsOnCurrentList guards, for any order of requests, failures, list reads
// and pauses, against choices from an outdated list while the store can be reached, and
// against held requests that get no decision or two.
func TestEachChoiceRestsOnCurrentList(t *testing.T) {
	proptest.Check(t, proptest.Bounds{Seed: 20261204, Checks: 300}, func(t *rapid.T) {
		m := boundMachine()
		undecided := make(map[RequestID]bool)
		sent := make(map[RequestID]bool)
		var now, completeAt, failedAt time.Duration
		failed := false
		apply := func(actions []Action) {
			for _, a := range actions {
				var id RequestID
				switch a := a.(type) {
				case Send:
					id = a.ID
					current := now-completeAt <= time.Duration(float64(drainBound)*maxChoiceAgeShare)
					if !current && (!failed || now-failedAt > outageTTL) {
						t.Fatalf("request %d sent by a list of age %s", id, now-completeAt)
					}
					if current && a.SendBy > completeAt+time.Duration(float64(drainBound)*maxSendAgeShare) {
						t.Fatalf("request %d may be written at %s by a list of %s", id, a.SendBy, completeAt)
					}
					sent[id] = true
				case Refuse:
					id = a.ID
				case ReadList:
					continue
				}
				if !undecided[id] {
					t.Fatalf("second decision on request %d: %+v", id, a)
				}
				delete(undecided, id)
			}
		}
		for step := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1200).Draw(t, "pause")) * time.Millisecond
			switch rapid.IntRange(0, 4).Draw(t, "message") {
			case 0, 1:
				id := RequestID(step + 1)
				undecided[id] = true
				apply(arrive(m, now, id, "/idempotent/x"))
			case 2:
				at := now - time.Duration(rapid.IntRange(0, 3000).Draw(t, "age"))*time.Millisecond
				completeAt = max(completeAt, at)
				failed = failed && at <= failedAt
				apply(m.Step(now, ListConfirmed{At: at}))
			case 3:
				failedAt, failed = now, true
				apply(m.Step(now, ListUnreachable{At: now}))
			case 4:
				if len(sent) == 0 {
					continue
				}
				id := slices.Min(slices.Collect(maps.Keys(sent)))
				delete(sent, id)
				undecided[id] = true
				apply(m.Step(now, AttemptFailed{ID: id, Failure: FailureNotSentInTime}))
			}
		}
		completeAt = now
		apply(m.Step(now, ListConfirmed{At: now}))
		if len(undecided) > 0 || len(m.held) > 0 {
			t.Fatalf("no decision on %d requests, %d held", len(undecided), len(m.held))
		}
	})
}

// TestUnsentRetryIsChargedOnce guards against a retry that is refused because the retry
// budget was charged for an earlier choice of it that was never sent.
func TestUnsentRetryIsChargedOnce(t *testing.T) {
	is := is.New(t)
	const assumedInstances = 9
	limited := options
	limited.RetryRatio, limited.RetrySlack = 0, assumedInstances/retryReserveShare // one retry
	m := New(limited)
	m.Step(0, SetCatalog{Catalog: testCatalog()})
	m.Step(0, SetEndpoints{Endpoints: testEndpoints(4, func(int) bool { return false })})
	m.Step(0, UsageRestored{})
	m.Step(0, CrashesRestored{})
	arrive(m, 0, 1, "/idempotent/x")
	for _, failure := range []Failure{FailureConnectionLost, FailureDial, FailureNotSentInTime} {
		send, ok := m.Step(0, AttemptFailed{ID: 1, Failure: failure})[0].(Send)
		is.True(ok)
		is.Equal(send.Attempt, 2)
	}
	arrive(m, 0, 2, "/idempotent/x")
	_, refused := m.Step(0, AttemptFailed{ID: 2, Failure: FailureConnectionLost})[0].(Refuse)
	is.True(refused) // the budget is used up
}

// TestRestartedInstanceSparesRetryReserve guards against instances that use the retry reserve
// once more after each restart (rule BUDGET).
func TestRestartedInstanceSparesRetryReserve(t *testing.T) {
	for name, test := range map[string]struct {
		firstStart bool
		at         time.Duration
		retried    bool
	}{
		"first start":         {true, time.Second, true},
		"restart":             {false, time.Second, false},
		"restart long before": {false, options.RetryWindow, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := options
			o.FirstStart = test.firstStart
			m := New(o)
			m.Step(0, SetCatalog{Catalog: testCatalog()})
			m.Step(0, SetEndpoints{Endpoints: testEndpoints(4, func(int) bool { return false })})
			m.Step(0, UsageRestored{})
			m.Step(0, CrashesRestored{})
			r := Request{Host: "h", Path: "/idempotent/x", Key: "key", HasKey: true, Deadline: 2 * time.Second}
			m.Step(test.at, RequestArrived{ID: 1, Request: r})
			_, retried := m.Step(test.at, AttemptFailed{ID: 1, Failure: FailureErrorResponse})[0].(Send)
			is.Equal(retried, test.retried)
		})
	}
}
