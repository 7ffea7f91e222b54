package dispatch

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/budget"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// model is a reference model of the dispatcher: it tracks the messages sent to
// the machine and the actions returned.
type model struct {
	t             *rapid.T
	machine       *Machine
	now           time.Duration
	timerAt       time.Duration
	serial        int
	version       uint64
	list          []Endpoint
	leaving       map[fleet.EndpointID]bool
	requests      map[fleet.RequestID]*openRequest
	order         []fleet.RequestID
	firstAttempts int
	retries       int
}

type openRequest struct {
	submit   Submit
	deadline time.Duration
	grants   int
	// mayHaveRun is set when an attempt ended other than by a rejection.
	mayHaveRun bool
	running    map[fleet.AttemptNumber]fleet.EndpointID
}

func propertySpec() *config.Spec {
	return &config.Spec{
		Number: 1,
		Services: map[fleet.ServiceName]*config.Service{
			"m": {Name: "m", Kind: config.ServiceModel, FirstToken: 600 * time.Millisecond, Deadline: 3 * time.Second},
			"p": {Name: "p", Kind: config.ServicePlain, Deadline: 2 * time.Second, Operations: map[string]*config.Operation{
				"stock": {Name: "stock", Idempotent: true, Latency: 150 * time.Millisecond},
				"order": {Name: "order", Latency: 150 * time.Millisecond},
			}},
		},
		Teams: map[fleet.TeamName]*config.Team{
			"a": {Name: "a", Weight: 3}, "b": {Name: "b", Weight: 1, MaxInFlight: 6}, "c": {Name: "c", RequestsPerSecond: 5},
		},
	}
}

func newModel(t *rapid.T) *model {
	m := &model{
		t: t, machine: NewWithOptions(Options{Seed: 7}),
		leaving: map[fleet.EndpointID]bool{}, requests: map[fleet.RequestID]*openRequest{},
	}
	m.step(Peers{Count: 2})
	m.step(Configure{Spec: propertySpec()})
	for i := range 6 {
		service := fleet.ServiceName("m")
		if i >= 4 {
			service = "p"
		}
		m.list = append(m.list, Endpoint{ID: fleet.EndpointID(fmt.Sprintf("e%d", i)), Service: service, Slots: 3})
	}
	m.version = 10
	m.step(Endpoints{Version: m.version, List: m.list})
	return m
}

func (m *model) step(msg Message) {
	for _, action := range m.machine.Step(m.now, msg) {
		m.check(action)
	}
}

func (m *model) check(action Action) {
	switch a := action.(type) {
	case SetTimer:
		m.timerAt = a.At
	case Refuse:
		r := m.requests[a.Request]
		if r == nil {
			r = &openRequest{}
		}
		if len(r.running) > 0 {
			m.t.Fatalf("request %s refused while an attempt runs", a.Request)
		}
		if a.Refusal.Kind != fleet.RefusedUnknownService && a.Refusal.Kind != fleet.RefusedOutcomeUnknown && a.Refusal.RetryAfter <= 0 {
			m.t.Fatalf("refusal %s lacks a positive RetryAfter", a.Refusal.Kind)
		}
		if r.mayHaveRun && a.Refusal.Run == fleet.RunNotRun {
			m.t.Fatalf("request %s refused as not run after an attempt that may have run", a.Request)
		}
		delete(m.requests, a.Request)
	case Grant:
		m.checkGrant(a)
	}
}

func (m *model) checkGrant(a Grant) {
	r := m.requests[a.Request]
	switch {
	case r == nil:
		m.t.Fatalf("request %s granted although it is not open", a.Request)
	case m.leaving[a.Endpoint.ID]:
		m.t.Fatalf("grant to leaving endpoint %s", a.Endpoint.ID)
	case len(r.running) > 0 && !a.Hedge:
		m.t.Fatalf("request %s granted while an attempt runs", a.Request)
	case r.grants == 0 && m.now > r.deadline:
		m.t.Fatalf("request %s granted %s after its deadline", a.Request, m.now-r.deadline)
	case a.Hedge && !r.submit.Idempotent:
		m.t.Fatalf("request %s hedged although it is not idempotent", a.Request)
	}
	if r.grants == 0 {
		m.firstAttempts++
	}
	if a.Cause == budget.CauseFailure || a.Cause == budget.CauseSlow {
		m.retries++
	}
	r.grants++
	r.running[a.Attempt] = a.Endpoint.ID
}

func (m *model) submit() {
	m.serial++
	s := Submit{
		Request: fleet.RequestID(fmt.Sprintf("r%d", m.serial)),
		Team:    rapid.SampledFrom([]fleet.TeamName{"a", "b", "c", "unknown"}).Draw(m.t, "team"),
		Service: rapid.SampledFrom([]fleet.ServiceName{"m", "m", "p", "none"}).Draw(m.t, "service"),
		Class:   fleet.Class(rapid.IntRange(0, 2).Draw(m.t, "class")),
		MaxWait: time.Duration(rapid.IntRange(0, 2000).Draw(m.t, "wait")) * time.Millisecond, Idempotent: true, MaxTokens: 10,
	}
	if s.Service == "p" {
		s.Operation = rapid.SampledFrom([]string{"stock", "order"}).Draw(m.t, "operation")
		s.Idempotent = s.Operation == "stock"
	}
	for i := range rapid.IntRange(0, 3).Draw(m.t, "blocks") {
		s.Prompt.Blocks = append(s.Prompt.Blocks, uint64(i+1))
		s.Prompt.Tokens += blockTokens
	}
	wait := s.MaxWait
	if wait == 0 {
		wait = map[fleet.ServiceName]time.Duration{"m": 3 * time.Second, "p": 2 * time.Second}[s.Service]
	}
	m.requests[s.Request] = &openRequest{submit: s, deadline: m.now + wait, running: map[fleet.AttemptNumber]fleet.EndpointID{}}
	m.order = append(m.order, s.Request)
	m.step(s)
}

// drawRunning returns a random request with a running attempt and that attempt.
func (m *model) drawRunning() (*openRequest, fleet.AttemptNumber) {
	var ids []fleet.RequestID
	for _, id := range m.order {
		if r := m.requests[id]; r != nil && len(r.running) > 0 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil, 0
	}
	r := m.requests[rapid.SampledFrom(ids).Draw(m.t, "request")]
	for n := fleet.AttemptNumber(1); ; n++ {
		if _, ok := r.running[n]; ok {
			return r, n
		}
	}
}

func (m *model) complete() {
	r, n := m.drawRunning()
	if r == nil {
		return
	}
	delete(m.requests, r.submit.Request)
	m.step(AttemptEnded{Request: r.submit.Request, Attempt: n, Outcome: AttemptCompleted, Generated: 10, Final: true})
}

func (m *model) fail() {
	r, n := m.drawRunning()
	if r == nil {
		return
	}
	endpoint := r.running[n]
	clear(r.running)
	outcome := rapid.SampledFrom([]AttemptOutcome{AttemptBroken, AttemptRejected, AttemptFailed}).Draw(m.t, "outcome")
	r.mayHaveRun = r.mayHaveRun || outcome != AttemptRejected
	m.step(AttemptEnded{Request: r.submit.Request, Attempt: n, Outcome: outcome})
	m.step(Retry{Request: r.submit.Request, Avoid: endpoint})
}

func (m *model) cancel() {
	if len(m.order) == 0 {
		return
	}
	id := rapid.SampledFrom(m.order).Draw(m.t, "cancelled")
	delete(m.requests, id)
	m.step(Cancel{Request: id})
}

// advance moves the clock by a random short time and delivers the Ticks that
// are due.
func (m *model) advance() {
	until := m.now + time.Duration(rapid.IntRange(1, 500).Draw(m.t, "advance"))*time.Millisecond
	for m.timerAt > 0 && m.timerAt <= until {
		m.now = max(m.now, m.timerAt)
		m.timerAt = 0
		m.step(Tick{})
	}
	m.now = until
}

func (m *model) markLeaving() {
	e := rapid.SampledFrom(m.list).Draw(m.t, "leaves")
	m.leaving[e.ID] = true
	if rapid.Bool().Draw(m.t, "notice") {
		m.step(ReclaimNotice{Endpoint: e.ID, Remaining: time.Second})
		return
	}
	m.version++
	e.Leaving = true
	m.step(Endpoints{Version: m.version, List: []Endpoint{e}})
}

// resendList sends the initial list again, or an empty one, with a newer or an
// older version.
func (m *model) resendList() {
	version := m.version - 5
	if rapid.Bool().Draw(m.t, "newer") {
		m.version++
		version = m.version
	}
	list := m.list
	if rapid.IntRange(0, 3).Draw(m.t, "empty") == 0 {
		list = nil
	}
	m.step(Endpoints{Version: version, List: list})
}

func (m *model) report() {
	e := rapid.SampledFrom(m.list).Draw(m.t, "reports")
	age := time.Duration(rapid.IntRange(0, 400).Draw(m.t, "age")) * time.Millisecond
	m.step(LoadReport{Endpoint: e.ID, Running: rapid.IntRange(0, 4).Draw(m.t, "running"), Age: min(age, m.now), Sequence: uint64(m.now)})
	m.step(CacheEvent{Endpoint: e.ID, Stored: []uint64{1, 2}, Evicted: []uint64{3}})
}

// checkInvariants compares the machine's counts with those of the model.
func (m *model) checkInvariants() {
	counts := map[fleet.EndpointID]int{}
	for _, r := range m.requests {
		for _, id := range r.running {
			counts[id]++
		}
	}
	for id, e := range m.machine.endpoints {
		got := m.machine.services[e.Service].table.Outstanding(id)
		if got != counts[id] {
			m.t.Fatalf("endpoint %s has %d outstanding attempts, want %d", id, got, counts[id])
		}
	}
	if allowed := budget.DefaultRatio*float64(m.firstAttempts) + 2*budget.DefaultReserve; float64(m.retries) > allowed {
		m.t.Fatalf("%d elective attempts exceed the budgets of two services, %.1f", m.retries, allowed)
	}
	if len(m.machine.outstanding) != len(m.requests) {
		m.t.Fatalf("machine has %d outstanding requests, want %d", len(m.machine.outstanding), len(m.requests))
	}
	for team, inFlight := range m.inFlight() {
		if got := m.machine.limiter.InFlight(team); got != inFlight {
			m.t.Fatalf("team %s has %d requests in flight, want %d", team, got, inFlight)
		}
	}
}

func (m *model) inFlight() map[fleet.TeamName]int {
	counts := map[fleet.TeamName]int{"a": 0, "b": 0, "c": 0}
	for _, r := range m.requests {
		counts[r.submit.Team]++
	}
	return counts
}

// checkDeadlines fails for a request that was neither granted nor refused by its
// deadline.
func (m *model) checkDeadlines() {
	for id, r := range m.requests {
		if len(r.running) == 0 && m.now > r.deadline && r.grants == 0 {
			m.t.Fatalf("request %s was neither granted nor refused by its deadline", id)
		}
	}
}

// TestMachineProperties checks the invariants of the dispatcher over random
// sequences of messages: counts match the model, each submission is granted or
// refused once and by its deadline, retries and hedges stay within their budget,
// and no leaving endpoint is granted an attempt.
func TestMachineProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := []func(){m.submit, m.submit, m.submit, m.submit, m.complete, m.complete, m.fail, m.cancel, m.advance, m.markLeaving, m.resendList, m.report}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
			m.checkInvariants()
		}
		m.advance()
		m.checkDeadlines()
	})
}
