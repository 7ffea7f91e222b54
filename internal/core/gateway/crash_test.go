package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
)

// maxCrashSends is what the users allow: three sends crash an endpoint each, and three
// retries may follow.
const maxCrashSends = 6

const crashingFingerprint fleet.Fingerprint = 99

func crashingRequest() Request {
	return Request{Host: "h", Path: "/idempotent/x", Key: "key", HasKey: true, Deadline: 2 * time.Second, Fingerprint: crashingFingerprint}
}

// crashTest plays an instance before endpoints that a request crashes.
type crashTest struct {
	machine *Machine
	list    []catalog.Endpoint
	now     time.Duration
	starts  int
	sends   int
	// checks holds the endpoints that the machine asked to check.
	checks []CheckEndpoint
}

func newCrashTest(endpoints int) *crashTest {
	return &crashTest{machine: readyMachine(endpoints), list: testEndpoints(endpoints, func(int) bool { return false })}
}

// step passes a message to the machine and returns the first Send or Refuse.
func (c *crashTest) step(msg Message) Action {
	var first Action
	for _, a := range c.machine.Step(c.now, msg) {
		switch a := a.(type) {
		case Send:
			c.sends++
			if first == nil {
				first = a
			}
		case Refuse:
			if first == nil {
				first = a
			}
		case CheckEndpoint:
			c.checks = append(c.checks, a)
		}
	}
	return first
}

// restart replaces an endpoint in the list, under the same id or a new one.
func (c *crashTest) restart(id fleet.EndpointID, newID bool) {
	c.starts++
	for i := range c.list {
		if c.list[i].ID != id {
			continue
		}
		c.list[i].Started = int64(1000 + c.starts)
		if newID {
			c.list[i].ID = fleet.EndpointID(fmt.Sprint("n", c.starts))
		}
	}
	c.step(SetEndpoints{Endpoints: c.list})
}

// TestLostConnectionsAreEvidence guards against a request that crashes one endpoint after
// the other because losses on reused connections, ends under a new id or ends that the
// list shows late are no evidence (rule BUDGET).
func TestLostConnectionsAreEvidence(t *testing.T) {
	for _, reused := range []bool{false, true} {
		for _, newID := range []bool{false, true} {
			for _, seen := range []time.Duration{time.Second, 2500 * time.Millisecond} {
				t.Run(fmt.Sprintf("reused=%v newID=%v seen=%v", reused, newID, seen), func(t *testing.T) {
					is := is.New(t)
					c := newCrashTest(10)
					for id := RequestID(1); id <= 12; id++ {
						c.now = time.Duration(id) * 2900 * time.Millisecond
						c.step(SetEndpoints{Endpoints: c.list})
						s, ok := c.step(RequestArrived{ID: id, Request: crashingRequest()}).(Send)
						var crashed []fleet.EndpointID
						for ; ok; s, ok = c.step(AttemptFailed{ID: id, Failure: FailureConnectionLost, Reused: reused}).(Send) {
							crashed = append(crashed, s.Endpoint.ID)
							c.now += 50 * time.Millisecond
						}
						c.step(RequestFinished{ID: id})
						c.now += seen
						for _, endpoint := range crashed {
							c.restart(endpoint, newID)
						}
					}
					is.True(c.sends <= maxCrashSends)
				})
			}
		}
	}
}

// TestRefusedConnectionConfirmsCrash guards against crashes that are noticed only once the
// list shows them: the endpoint is asked at once.
func TestRefusedConnectionConfirmsCrash(t *testing.T) {
	is := is.New(t)
	c := newCrashTest(10)
	for id := RequestID(1); id <= 12; id++ {
		c.now += 300 * time.Millisecond
		if _, ok := c.step(RequestArrived{ID: id, Request: crashingRequest()}).(Send); !ok {
			continue
		}
		for lost := true; lost; {
			c.now += 30 * time.Millisecond
			_, lost = c.step(AttemptFailed{ID: id, Failure: FailureConnectionLost}).(Send)
		}
		for _, check := range c.checks {
			c.now += 5 * time.Millisecond
			c.step(EndpointChecked{Endpoint: check.Endpoint, Started: check.Started, Refused: true})
		}
		c.checks = nil
	}
	is.True(c.sends <= maxCrashSends)
}

// TestHangingAttemptsAreEvidence guards against a request that crashes endpoints which
// then stay silent: the attempt times out, or its caller leaves.
func TestHangingAttemptsAreEvidence(t *testing.T) {
	for _, callerLeaves := range []bool{false, true} {
		is := is.New(t)
		c := newCrashTest(10)
		for id := RequestID(1); id <= 12; id++ {
			c.now += 3 * time.Second
			s, ok := c.step(RequestArrived{ID: id, Request: crashingRequest()}).(Send)
			if !ok {
				continue
			}
			c.now += time.Second
			if !callerLeaves {
				c.step(AttemptFailed{ID: id, Failure: FailureTimeout})
			}
			c.step(RequestFinished{ID: id})
			c.now += 4 * time.Second
			c.restart(s.Endpoint.ID, true)
		}
		is.True(c.sends <= maxCrashSends)
	}
}

// TestPeersShareCrashes guards against instances that each let a request crash endpoints
// before they refuse it, and against one that has just started and does not learn it.
func TestPeersShareCrashes(t *testing.T) {
	is := is.New(t)
	first, second := newCrashTest(6), newCrashTest(6)
	crash := func(c *crashTest, id RequestID) {
		s, ok := c.step(RequestArrived{ID: id, Request: crashingRequest()}).(Send)
		is.True(ok)
		c.step(RequestFinished{ID: id})
		c.now += time.Second
		c.restart(s.Endpoint.ID, true)
	}
	exchange := func(to, from *crashTest) {
		to.now = max(to.now, from.now)
		to.step(CrashesReported{Report: from.machine.Report(from.now).Crashes})
	}
	crash(first, 1)
	crash(first, 2)
	exchange(second, first)
	second.list, second.starts = slices.Clone(first.list), first.starts
	second.step(SetEndpoints{Endpoints: second.list})
	second.now += time.Second
	crash(second, 3)
	second.now += time.Second
	refused, ok := second.step(RequestArrived{ID: 4, Request: crashingRequest()}).(Refuse)
	is.True(ok)
	is.Equal(refused.Refusal.Kind, fleet.RefusedQuarantined)
	is.Equal(refused.Refusal.Run, fleet.RunNotRun)

	// The crashes are no longer reported a minute later; that the request is refused is.
	second.now += time.Minute
	late := newCrashTest(6)
	exchange(late, second)
	_, ok = late.step(RequestArrived{ID: 5, Request: crashingRequest()}).(Refuse)
	is.True(ok)
}

// TestLostResponsesAreNoCrash guards against the quarantine of requests whose responses
// are lost although the endpoint stays up, leaves as planned, or only limits its
// connections.
func TestLostResponsesAreNoCrash(t *testing.T) {
	after := map[string]func(c *crashTest, lost Send){
		"stays up": func(*crashTest, Send) {},
		"accepts connections": func(c *crashTest, lost Send) {
			c.step(EndpointChecked{Endpoint: lost.Endpoint.ID, Started: lost.Endpoint.Started})
		},
		"drains and leaves": func(c *crashTest, lost Send) {
			for i := range c.list {
				c.list[i].Draining = c.list[i].ID == lost.Endpoint.ID
			}
			c.step(SetEndpoints{Endpoints: c.list})
			c.now += time.Second
			c.restart(lost.Endpoint.ID, true)
			for i := range c.list {
				c.list[i].Draining = false
			}
			c.step(SetEndpoints{Endpoints: c.list})
		},
		"limits connections": func(c *crashTest, lost Send) {
			c.step(EndpointChecked{Endpoint: lost.Endpoint.ID, Started: lost.Endpoint.Started, Refused: true})
		},
	}
	for name, then := range after {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCrashTest(1)
			for id := RequestID(1); id <= 20; id += 2 {
				c.now += 3 * time.Second
				other := crashingRequest()
				other.Fingerprint = 1
				_, ok := c.step(RequestArrived{ID: id + 1, Request: other}).(Send)
				is.True(ok)
				c.now += time.Millisecond
				lost, ok := c.step(RequestArrived{ID: id, Request: crashingRequest()}).(Send)
				is.True(ok)
				c.now += 50 * time.Millisecond
				c.step(AttemptFailed{ID: id, Failure: FailureConnectionLost})
				then(c, lost)
				c.step(RequestFinished{ID: id})
				c.now += 100 * time.Millisecond
				c.step(ResponseStarted{ID: id + 1})
				c.step(RequestFinished{ID: id + 1, Succeeded: true})
			}
		})
	}
}

// TestEarlierLossConfirmsNothing guards against a crash that is concluded from an old loss,
// although attempts from after it go on.
func TestEarlierLossConfirmsNothing(t *testing.T) {
	is := is.New(t)
	c := newCrashTest(1)
	lose := func(id RequestID) {
		s, ok := c.step(RequestArrived{ID: id, Request: crashingRequest()}).(Send)
		is.True(ok)
		c.now += 10 * time.Millisecond
		c.step(AttemptFailed{ID: id, Failure: FailureConnectionLost})
		c.step(EndpointChecked{Endpoint: s.Endpoint.ID, Started: s.Endpoint.Started, Refused: id > 1})
	}
	lose(1)
	c.now += time.Second
	_, ok := c.step(RequestArrived{ID: 2, Request: crashingRequest()}).(Send)
	is.True(ok) // it goes on
	c.now += time.Second
	lose(3)
	is.Equal(len(c.machine.Report(c.now).Crashes.Crashes), 0)
}

// TestQuarantineHoldsForRetries guards against a request that is sent again after its
// quarantine: a retry whose connection failed, or a request that waited for the list.
func TestQuarantineHoldsForRetries(t *testing.T) {
	quarantined := CrashesReported{Report: CrashReport{Quarantined: []quarantine.Entry{{
		Traits: requestTraits(crashingRequest(), &catalog.Team{Name: "team"}), Crashes: 3, CrashedAt: time.Second, Until: time.Hour,
	}}}}
	for _, failure := range []Failure{FailureDial, FailureRejected, FailureNotSentInTime, FailureConnectionLost} {
		t.Run(failure.String(), func(t *testing.T) {
			is := is.New(t)
			c := newCrashTest(3)
			_, ok := c.step(RequestArrived{ID: 1, Request: crashingRequest()}).(Send)
			is.True(ok)
			c.now = time.Second
			c.step(quarantined)
			refused, ok := c.step(AttemptFailed{ID: 1, Failure: failure}).(Refuse)
			is.True(ok)
			is.Equal(refused.Refusal.Run == fleet.RunNotRun, failure != FailureConnectionLost)
		})
	}
	t.Run("held", func(t *testing.T) {
		is := is.New(t)
		c := newCrashTest(3)
		c.machine.list.drainBound = time.Second
		c.step(RequestArrived{ID: 1, Request: crashingRequest()})
		is.Equal(c.sends, 0)
		c.step(quarantined)
		_, ok := c.step(ListConfirmed{At: c.now}).(Refuse)
		is.True(ok)
	})
}
