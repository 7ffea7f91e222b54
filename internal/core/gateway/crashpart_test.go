package gateway

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
)

// crashingPrompt returns a request with a part that crashes endpoints. No two are alike.
func crashingPrompt(id RequestID) Request {
	return Request{
		Host: "h", Path: "/resumable/x", Key: "key", HasKey: true, Deadline: 5 * time.Second, Fingerprint: fleet.Fingerprint(1000 + id),
		HasTokens: true, PromptTokens: 1000, MaxOutputTokens: 50,
		Parts: []fleet.PromptPart{{ID: 1, Tokens: 800}, {ID: 666, Tokens: 100}, {ID: uint64(10 + id%3), Tokens: 50}, {ID: uint64(5000 + id), Tokens: 50}},
	}
}

func soundPrompt(id RequestID) Request {
	r := crashingPrompt(id)
	r.Fingerprint += 1 << 20
	r.Parts = slices.Delete(r.Parts, 1, 2)
	return r
}

// TestCrashingPartIsRefused guards against requests with one part in their prompts that
// crash one endpoint after the other although no two are alike, and against the refusal of
// sound ones with the other parts (rule BUDGET, LOST).
func TestCrashingPartIsRefused(t *testing.T) {
	is := is.New(t)
	c := newCrashTest(10)
	crashes := 0
	for id := RequestID(1); id <= 30; id += 2 {
		_, ok := c.step(RequestArrived{ID: id + 1, Request: soundPrompt(id)}).(Send)
		if !ok { // it waits until it is known that its parts are not the cause
			c.now += 200 * time.Millisecond
			_, ok = c.step(CrashesReported{}).(Send)
		}
		is.True(ok)
		c.now += 100 * time.Millisecond
		c.step(ResponseStarted{ID: id + 1})
		c.step(RequestFinished{ID: id + 1, Succeeded: true})
		s, ok := c.step(RequestArrived{ID: id, Request: crashingPrompt(id)}).(Send)
		for ; ok; s, ok = c.step(AttemptFailed{ID: id, Failure: FailureConnectionLost}).(Send) {
			c.now += 150 * time.Millisecond
			crashes++
			defer c.restart(s.Endpoint.ID, true)
		}
		for _, check := range c.checks {
			c.step(EndpointChecked{Endpoint: check.Endpoint, Started: check.Started, Refused: true})
		}
		c.checks = nil
		c.now += 400 * time.Millisecond
	}
	is.True(crashes >= 3)
	is.True(crashes <= 8) // five, and three that the users allow after them
}

// TestBegunAnswerClearsParts guards against the blame of parts of a prompt that endpoints
// have answered: they crash as they begin to.
func TestBegunAnswerClearsParts(t *testing.T) {
	is := is.New(t)
	c := newCrashTest(10)
	for id := RequestID(1); id <= 20; id += 2 {
		c.now += time.Second
		answered, ok := c.step(RequestArrived{ID: id, Request: crashingPrompt(id)}).(Send)
		is.True(ok)
		c.step(ResponseStarted{ID: id})
		c.now += 10 * time.Millisecond
		c.step(AttemptFailed{ID: id, Failure: FailureConnectionLost})
		c.step(RequestFinished{ID: id})
		waiting, ok := c.step(RequestArrived{ID: id + 1, Request: crashingPrompt(id + 1)}).(Send)
		is.True(ok)
		c.step(RequestFinished{ID: id + 1})
		c.restart(answered.Endpoint.ID, true)
		c.restart(waiting.Endpoint.ID, true)
	}
}

// TestLastPartIsNoSuspect guards against requests of one session that are refused because
// its last part, which others do not share, was in several crashes.
func TestLastPartIsNoSuspect(t *testing.T) {
	is := is.New(t)
	for _, parts := range [][]fleet.PromptPart{nil, {{ID: 7, Tokens: 10}}} {
		traits := requestTraits(Request{Fingerprint: 1, Parts: parts}, nil)
		is.Equal(traits, []quarantine.Trait{quarantine.RequestTrait(1)})
	}
}
