package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/quarantine"
)

// TestSuspectsAreSentWithCare guards against further crashes while the cause of two is not
// decided: a new request with a suspect waits for the reports of all instances, and is not
// retried.
func TestSuspectsAreSentWithCare(t *testing.T) {
	is := is.New(t)
	c := newCrashTest(10)
	crashes := make([]Crash, suspectedCrashes)
	for i := range crashes {
		crashes[i] = Crash{Endpoint: "other", Started: int64(i), At: c.now, Suspects: requestTraits(crashingPrompt(1), nil)[1:]}
	}
	c.step(CrashesReported{Report: CrashReport{Crashes: crashes}})
	is.Equal(c.step(RequestArrived{ID: 1, Request: crashingPrompt(1)}), nil)
	other := soundPrompt(2)
	other.Parts = nil
	_, ok := c.step(RequestArrived{ID: 2, Request: other}).(Send)
	is.True(ok) // it has no suspect
	c.now += c.machine.settleTime() + time.Millisecond
	sent, ok := c.step(CrashesReported{}).(Send)
	is.True(ok)
	is.Equal(sent.ID, RequestID(1))
	_, ok = c.step(AttemptFailed{ID: 1, Failure: FailureConnectionLost}).(Refuse)
	is.True(ok)
}

// TestWaitingSuspectIsReleased guards against sound requests that wait although an answer
// has shown that their parts are not the cause, and against a caller that left meanwhile.
func TestWaitingSuspectIsReleased(t *testing.T) {
	is := is.New(t)
	c := newCrashTest(10)
	_, ok := c.step(RequestArrived{ID: 1, Request: soundPrompt(1)}).(Send)
	is.True(ok)
	var crashes []Crash
	for i := range suspectedCrashes {
		crashes = append(crashes, Crash{Endpoint: "other", Started: int64(i), At: c.now, Suspects: []quarantine.Trait{quarantine.PartTrait(1)}})
	}
	c.step(CrashesReported{Report: CrashReport{Crashes: crashes}})
	is.Equal(c.step(RequestArrived{ID: 2, Request: soundPrompt(2)}), nil)
	is.Equal(c.step(RequestArrived{ID: 3, Request: soundPrompt(3)}), nil)
	c.step(RequestFinished{ID: 3})
	c.now += 10 * time.Millisecond
	sent, ok := c.step(ResponseStarted{ID: 1}).(Send)
	is.True(ok)
	is.Equal(sent.ID, RequestID(2))
	is.Equal(c.sends, 2)
}
