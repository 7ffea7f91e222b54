package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// TestHeldBatchWorkStarts guards against batch work that is blocked because
// other requests waited recently, and then never starts because no message
// arrives: the dispatcher must set a timer.
func TestHeldBatchWorkStarts(t *testing.T) {
	is := is.New(t)
	m := dispatch.New()
	m.Step(0, dispatch.Configure{Spec: &config.Spec{
		Services: map[fleet.ServiceName]*config.Service{"s": {Name: "s", Kind: config.ServiceModel, Deadline: time.Minute}},
		Teams:    map[fleet.TeamName]*config.Team{"team": {Name: "team", Weight: 1}},
	}})
	m.Step(0, dispatch.Endpoints{Version: 1, List: []dispatch.Endpoint{{ID: "e1", Service: "s", Slots: 4}}})
	submit := func(now time.Duration, id fleet.RequestID, class fleet.Class) []dispatch.Action {
		return m.Step(now, dispatch.Submit{Request: id, Team: "team", Service: "s", Class: class, Idempotent: true})
	}
	for i := range 5 {
		submit(time.Second, fleet.RequestID(fmt.Sprint(i)), fleet.ClassInteractive)
	}
	for i := range 4 {
		m.Step(time.Second, dispatch.AttemptEnded{
			Request: fleet.RequestID(fmt.Sprint(i)), Attempt: 1, Outcome: dispatch.AttemptCompleted, Final: true,
		})
	}
	timerAt, granted := outcome(submit(2*time.Second, "batch", fleet.ClassBatch))
	is.True(!granted)                 // the fifth request waited a second ago
	is.True(timerAt > 2*time.Second)  // a Tick is requested
	is.True(timerAt <= 4*time.Second) // before the batch request expires
	_, granted = outcome(m.Step(timerAt, dispatch.Tick{}))
	is.True(granted)
}

func outcome(actions []dispatch.Action) (timerAt time.Duration, granted bool) {
	for _, action := range actions {
		switch a := action.(type) {
		case dispatch.SetTimer:
			timerAt = a.At
		case dispatch.Grant:
			granted = true
		}
	}
	return timerAt, granted
}
