package request_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/request"
)

func newRunning(streamed bool) *request.Machine {
	m := request.New(0, requestID, streamed)
	m.Step(0, request.Granted{Attempt: 1, Endpoint: dispatch.Endpoint{ID: "e"}})
	return m
}

func hasCancel(actions []request.Action) bool {
	for _, a := range actions {
		if _, ok := a.(request.CancelAttempt); ok {
			return true
		}
	}
	return false
}

// TestWorkOfAbsentCallerIsCancelled guards against endpoints that keep working
// after the caller disconnected, and against cancelling a stream whose caller
// reconnects in time.
func TestWorkOfAbsentCallerIsCancelled(t *testing.T) {
	is := is.New(t)
	is.True(hasCancel(newRunning(false).Step(time.Second, request.CallerDetached{}))) // not streamed: cancelled immediately

	m := newRunning(true)
	is.True(!hasCancel(m.Step(time.Second, request.CallerDetached{})))
	is.True(!hasCancel(m.Step(2*time.Second, request.Tick{})))
	m.Step(3*time.Second, request.CallerAttached{})
	is.True(!hasCancel(m.Step(time.Minute, request.Tick{}))) // reconnected in time
	m.Step(time.Minute, request.CallerDetached{})
	is.True(hasCancel(m.Step(time.Minute+request.ReconnectGrace, request.Tick{})))
	_, _, refusal := m.Ended()
	is.Equal(refusal.Run, fleet.RunUnknown) // the endpoint may have run the request
}

// TestRecordIsBounded guards against unbounded memory use for an endless response.
func TestRecordIsBounded(t *testing.T) {
	is := is.New(t)
	m := newRunning(true)
	text := strings.Repeat("x", request.MaxRecordBytes/8)
	for i := range 9 {
		m.Step(0, request.Frame{Stream: 1, Request: requestID, Attempt: 1, Index: i, Text: text})
	}
	ended, _, refusal := m.Ended()
	is.True(ended)
	is.Equal(refusal.Kind, fleet.RefusedUpstream)
}
