// Package front serves callers over HTTP/1.1. Each channel of a caller has one
// task that owns its socket and serves its requests one after the other; a
// second goroutine of the task reads from the socket, so that a caller that
// leaves is noticed at once.
package front

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/internal/upstream"
)

// Gateway takes the messages of requests and answers with actions.
type Gateway interface {
	// Submit posts a new request. It reports false if the gateway is overloaded.
	Submit(msg gateway.RequestArrived, reply chan<- gateway.Action) bool
	// Post posts a later message of a request.
	Post(ctx context.Context, msg gateway.Message)
}

// Observer counts what callers get.
type Observer interface {
	RequestEnded(o Outcome)
}

// Outcome describes how a request ended.
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
	// Detail gives the inputs of a refusal.
	Detail string
	// Wait is the time from the request's arrival until its first byte was
	// sent, Total until its end.
	Wait, Total time.Duration
}

// Stage tells how far a graceful shutdown has come.
type Stage uint8

// Stages of a shutdown.
const (
	// StageServing takes all requests.
	StageServing Stage = iota
	// StageDraining takes requests and closes their channels after the answer.
	StageDraining
	// StageClosing refuses requests that may not end before the process does.
	StageClosing
)

// Options configures a Server.
type Options struct {
	Clock    task.Clock
	Gateway  Gateway
	Pool     *upstream.Pool
	Observer Observer
	Log      log.Interface
	// Limits returns the limits in force.
	Limits func() catalog.Limits
	// Stage returns the stage of the shutdown.
	Stage func() Stage
	// TimeLeft returns the time until the process ends, once it drains.
	TimeLeft func() time.Duration
	// Drain is closed when the shutdown begins.
	Drain <-chan struct{}
	// Random returns a number from 0 up to 1.
	Random func() float64
	// NextID returns a new request id.
	NextID func() gateway.RequestID
}

// Server accepts the channels of callers.
type Server struct {
	options  Options
	listener net.Listener
	tasks    sync.WaitGroup
}

// NewServer returns a server on listener.
func NewServer(listener net.Listener, o Options) *Server {
	return &Server{options: o, listener: listener}
}

// acceptRetryDelay is the wait after a failed accept, such as for lack of descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Run accepts channels until ctx ends or the listener is closed.
func (s *Server) Run(ctx context.Context) error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			break
		}
		if err != nil {
			s.options.Log.WithError(err).Warn("accept failed; trying again")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.tasks.Go(func() { newConnection(s, conn).run(ctx) })
	}
	s.tasks.Wait()
	return nil
}
