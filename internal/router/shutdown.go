package router

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/daemon"
)

const (
	// acceptDrainTime is the time in which the listener accepts the connections
	// that are left in the accept queue; closing it earlier would reset them.
	acceptDrainTime = 100 * time.Millisecond
	// shutdownHandoffTimeout bounds the handoff of requests without a caller at
	// the end of the shutdown.
	shutdownHandoffTimeout = 5 * time.Second
	// newConnectionTimeout is the time for which connections without a request are
	// kept open at the end of the shutdown.
	newConnectionTimeout = 500 * time.Millisecond
)

// serve serves callers until ctx ends and then shuts down without aborting a
// request: during LameDuck, new and idle connections are served and responses
// close them; then the accept queue is emptied, idle connections are closed and
// open requests are completed.
func serve(
	ctx context.Context, logger log.Interface, gate *readinessGate, s *Settings, r *Router, listener net.Listener, handler http.Handler,
) error {
	var stopping atomic.Bool
	server := &http.Server{
		Handler: closeWhen(&stopping, handler), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(&drainingListener{Listener: listener, stopping: &stopping}) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	logger.Info("stopping: open requests are served to their end")
	gate.setLeaving("stopping")
	stopping.Store(true)
	shutdownCtx, cancel := shutdownContext(context.WithoutCancel(ctx), s.ShutdownBound)
	defer cancel()
	sleep(shutdownCtx, s.LameDuck)
	if tcp, ok := listener.(*net.TCPListener); ok {
		_ = tcp.SetDeadline(time.Now().Add(acceptDrainTime))
	}
	<-failed //nolint:errcheck // Serve reports that its listener is closed, as intended
	// A connection that was just accepted may still send its request.
	sleep(shutdownCtx, min(newConnectionTimeout, s.LameDuck))
	err := server.Shutdown(shutdownCtx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = daemon.Error.New("open requests were aborted after shutdown_bound %s; raise or remove the bound", s.ShutdownBound)
		_ = server.Close()
	}
	leaveCtx, leave := context.WithTimeout(context.WithoutCancel(ctx), shutdownHandoffTimeout)
	defer leave()
	r.draining.Store(true)
	r.handOverAll(leaveCtx, 0)
	return err
}

// listen opens the listener of the callers' interface.
func listen(s *Settings) (net.Listener, error) {
	listener, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, daemon.Error.New("cannot listen on %s: %w; free the port or change the listen setting", s.Listen, err)
	}
	return listener, nil
}

func shutdownContext(ctx context.Context, bound time.Duration) (context.Context, context.CancelFunc) {
	if bound <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, bound)
}

// closeWhen adds "Connection: close" to responses while stopping is set.
func closeWhen(stopping *atomic.Bool, handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
}

// drainingListener reports a timed-out Accept as a closed listener while stopping
// is set, so that http.Server stops accepting once the accept queue is empty.
type drainingListener struct {
	net.Listener
	stopping *atomic.Bool
}

// Accept implements net.Listener.
func (l *drainingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil && l.stopping.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, net.ErrClosed
	}
	return conn, err
}
