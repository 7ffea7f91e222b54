// Package plainservice is a stand-in of a plain service. It counts the executions
// of each call, identified by the call_id in its body, and injects faults.
package plainservice

import (
	"context"
	"net/http"
	"time"

	"github.com/cornelhold/cornelhold/internal/standin/httpjson"
	"github.com/cornelhold/cornelhold/internal/task"
)

const mailboxCapacity = 1024

// Faults are the faults to inject, which tests set with PUT /faults.
type Faults struct {
	// DelayMillis delays the execution of each call.
	DelayMillis int `json:"delay_ms"`
	// CloseAfterRead is the number of calls whose connection is closed after the
	// request was read, without executing it.
	CloseAfterRead int `json:"close_after_read"`
	// Freeze is the number of calls that are neither executed nor responded to;
	// their connections stay open.
	Freeze int `json:"freeze"`
	// LoseResponses is the number of calls that are executed but whose connection
	// is closed without a response.
	LoseResponses int `json:"lose_answers"`
	// Errors is the number of calls that get status 500 without being executed.
	Errors int `json:"errors"`
	// Crashed closes the connection of every call without executing it, until unset.
	Crashed bool `json:"crashed"`
}

// Counts has the number of requests and executions of one call id.
type Counts struct {
	// Received counts the requests that were read, Ran those that were executed.
	Received int `json:"received"`
	Ran      int `json:"ran"`
}

// Service is the task that owns the counts and the faults.
type Service struct {
	mailbox task.Mailbox[any]
	faults  Faults
	counts  map[string]Counts
	waiters []awaitMessage
}

type fault uint8

const (
	faultNone fault = iota
	faultClose
	faultFreeze
	faultLoseResponse
	faultError
)

type receiveMessage struct {
	id    string
	reply chan receiveReply
}

type receiveReply struct {
	fault fault
	delay time.Duration
}

type runMessage struct {
	id    string
	reply chan int
}

type awaitMessage struct {
	id       string
	received int
	reply    chan Counts
}

type faultsMessage struct {
	faults Faults
	reply  chan struct{}
}

// New returns a service without faults.
func New() *Service {
	return &Service{mailbox: task.NewMailbox[any](mailboxCapacity), counts: make(map[string]Counts)}
}

// Run owns the state until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	return task.Serve(ctx, s.mailbox, s.step)
}

func (s *Service) step(msg any) {
	switch msg := msg.(type) {
	case receiveMessage:
		counts := s.counts[msg.id]
		counts.Received++
		s.counts[msg.id] = counts
		msg.reply <- receiveReply{fault: s.nextFault(), delay: time.Duration(s.faults.DelayMillis) * time.Millisecond}
		s.notifyWaiters()
	case runMessage:
		counts := s.counts[msg.id]
		counts.Ran++
		s.counts[msg.id] = counts
		msg.reply <- counts.Ran
	case awaitMessage:
		s.waiters = append(s.waiters, msg)
		s.notifyWaiters()
	case faultsMessage:
		s.faults = msg.faults
		close(msg.reply)
	}
}

func (s *Service) notifyWaiters() {
	remaining := s.waiters[:0]
	for _, w := range s.waiters {
		if counts := s.counts[w.id]; counts.Received >= w.received {
			w.reply <- counts
			continue
		}
		remaining = append(remaining, w)
	}
	s.waiters = remaining
}

func (s *Service) nextFault() fault {
	consume := func(n *int) bool {
		if *n <= 0 {
			return false
		}
		*n--
		return true
	}
	switch {
	case s.faults.Crashed || consume(&s.faults.CloseAfterRead):
		return faultClose
	case consume(&s.faults.Freeze):
		return faultFreeze
	case consume(&s.faults.LoseResponses):
		return faultLoseResponse
	case consume(&s.faults.Errors):
		return faultError
	default:
		return faultNone
	}
}

// SetFaults replaces all faults.
func (s *Service) SetFaults(ctx context.Context, faults Faults) {
	done := make(chan struct{})
	if s.mailbox.Send(ctx, faultsMessage{faults: faults, reply: done}) == nil {
		<-done
	}
}

// Await waits until a call id has been received at least the given number of times,
// and returns its counts. It returns zero counts if ctx ends first.
func (s *Service) Await(ctx context.Context, id string, received int) Counts {
	reply := make(chan Counts, 1)
	if s.mailbox.Send(ctx, awaitMessage{id: id, received: received, reply: reply}) != nil {
		return Counts{}
	}
	select {
	case counts := <-reply:
		return counts
	case <-ctx.Done():
		return Counts{}
	}
}

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/calls/{operation}", s.handleCall)
	mux.HandleFunc("GET /counts/{id}", s.handleCounts)
	mux.HandleFunc("PUT /faults", s.handleFaults)
	return mux
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, ok := httpjson.Decode[struct {
		CallID string `json:"call_id"`
	}](w, r)
	if !ok {
		return
	}
	if body.CallID == "" {
		http.Error(w, "body must be a JSON object with the key call_id", http.StatusBadRequest)
		return
	}
	received := make(chan receiveReply, 1)
	if s.mailbox.Send(r.Context(), receiveMessage{id: body.CallID, reply: received}) != nil {
		return
	}
	reply := <-received
	switch reply.fault {
	case faultClose:
		panic(http.ErrAbortHandler)
	case faultFreeze:
		<-r.Context().Done()
		return
	case faultError:
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	httpjson.Delay(r, reply.delay)
	ran := make(chan int, 1)
	if s.mailbox.Send(r.Context(), runMessage{id: body.CallID, reply: ran}) != nil {
		return
	}
	runCount := <-ran
	if reply.fault == faultLoseResponse {
		panic(http.ErrAbortHandler)
	}
	httpjson.Write(w, Result{CallID: body.CallID, Operation: r.PathValue("operation"), Run: runCount})
}

// Result is the response to a call. Run is the number of executions of the call id
// so far.
type Result struct {
	CallID    string `json:"call_id"`
	Operation string `json:"operation"`
	Run       int    `json:"run"`
}

func (s *Service) handleCounts(w http.ResponseWriter, r *http.Request) {
	counts := s.Await(r.Context(), r.PathValue("id"), 0)
	httpjson.Write(w, counts)
}

func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	faults, ok := httpjson.Decode[Faults](w, r)
	if !ok {
		return
	}
	s.SetFaults(r.Context(), faults)
	w.WriteHeader(http.StatusNoContent)
}
