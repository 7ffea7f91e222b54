// Package front serves callers over HTTP/1.1. Each connection has a task that
// owns its socket and serves its requests one after the other. A second goroutine
// of the task reads from the socket, so that a disconnect is detected at once.
package front

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/semaphore"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/internal/upstream"
)

// Gateway accepts the messages of requests and replies with actions.
type Gateway interface {
	// Submit sends a new request. It reports false if the gateway is overloaded.
	Submit(msg gateway.RequestArrived, reply chan<- gateway.Action) bool
	// Post sends a subsequent message of a request.
	Post(ctx context.Context, msg gateway.Message)
}

// Observer records the progress and the outcomes of requests.
type Observer interface {
	RequestSent(t SendTimes)
	RequestEnded(o Outcome)
	// MoveEnded reports the outcome of the move of a stream's run and the last answer to it.
	MoveEnded(team fleet.TeamName, route, outcome, answer string)
}

// SendTimes describes a request that was written to an endpoint.
type SendTimes struct {
	Kind string
	// Delay is the time from the choice of the endpoint until the request was
	// written, ListAge the age that the instance list had by then.
	Delay, ListAge time.Duration
}

// Outcome is the outcome of a request.
type Outcome struct {
	Attempt  string
	Route    string
	Kind     string
	Team     fleet.TeamName
	Service  fleet.ServiceName
	Endpoint fleet.EndpointID
	Attempts int
	Status   int
	Result   string
	Reason   string
	// Detail describes the inputs of a refusal's decision.
	Detail string
	// Leaving is what became of a stream whose endpoint left, "" for other requests.
	Leaving string
	// Wait is the time from the arrival of the request to the first byte of the
	// endpoint's response, Total the time to its end.
	Wait, Total time.Duration
	// FirstEvent is the time from the choice of the endpoint to the first event of its stream,
	// FirstEventRatio that time divided by the expected one. Both are 0 if there was none.
	FirstEvent      time.Duration
	FirstEventRatio float64
}

// Stage is the progress of a graceful shutdown.
type Stage uint8

// Stages of a shutdown.
const (
	// StageServing: all requests are accepted.
	StageServing Stage = iota
	// StageDraining: requests are accepted, and their connections are closed after
	// the response.
	StageDraining
	// StageClosing: requests that may not end before the process exits are refused.
	StageClosing
)

// Options configures a Server.
type Options struct {
	Clock    task.Clock
	Gateway  Gateway
	Pool     *upstream.Pool
	Observer Observer
	Log      log.Interface
	// Limits returns the active limits.
	Limits func() catalog.Limits
	// Stage returns the stage of the shutdown.
	Stage func() Stage
	// TimeLeft returns the time until the process exits, once it drains.
	TimeLeft func() time.Duration
	// Drain is closed when the shutdown begins.
	Drain <-chan struct{}
	// Random returns a random number in [0, 1).
	Random func() float64
	// NextID returns a new request id.
	NextID func() gateway.RequestID
	// BodyMemory bounds the bytes of all request bodies that are held at the same time.
	BodyMemory int64
}

// Server accepts the connections of callers.
type Server struct {
	options  Options
	listener net.Listener
	tasks    sync.WaitGroup
	// bodies is the memory of all request bodies.
	bodies *semaphore.Weighted
}

// NewServer returns a server on listener.
func NewServer(listener net.Listener, o Options) *Server {
	return &Server{options: o, listener: listener, bodies: semaphore.NewWeighted(o.BodyMemory)}
}

// acceptRetryDelay is the delay after a failed accept, such as for lack of file
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Run accepts connections until ctx is cancelled or the listener is closed, then
// waits for the open ones to end.
func (s *Server) Run(ctx context.Context) error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			break
		}
		if err != nil {
			s.options.Log.WithError(err).Warn("accepting a caller's connection failed; retrying")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.tasks.Go(func() { newConnection(s, conn).run(ctx) })
	}
	s.tasks.Wait()
	return nil
}
