package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/task"
)

// testTimeout bounds each test of this package.
const testTimeout = 10 * time.Second

// startPool runs a pool for the duration of a test.
func startPool(t *testing.T, ctx context.Context, clock task.Clock) *Pool {
	t.Helper()
	pool := NewPool(clock)
	go func() { _ = pool.Run(ctx) }()
	return pool
}

// serve passes each connection of a new listener to handle and returns its address.
func serve(t *testing.T, handle func(conn net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go handle(conn)
		}
	}()
	return l.Addr().String()
}

// lastEvent returns the event that ends an exchange.
func lastEvent(t *testing.T, ctx context.Context, events <-chan Event) Event {
	t.Helper()
	for {
		select {
		case e := <-events:
			switch e.(type) {
			case FullResponse, StreamEnd, Failed:
				return e
			}
		case <-ctx.Done():
			t.Fatal("the exchange did not end")
		}
	}
}

// TestRequestIsNotWrittenTooLate guards against a request that is written after its
// endpoint may have begun to drain, because the connection took long (rule DRAIN).
func TestRequestIsNotWrittenTooLate(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	received := make(chan int, 1)
	address := serve(t, func(conn net.Conn) {
		data, _ := io.ReadAll(conn)
		received <- len(data)
	})
	clock := task.NewClock()
	request := Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h", SendBy: clock.Now()}
	failed, ok := lastEvent(t, ctx, StartExchange(ctx, startPool(t, ctx, clock), request)).(Failed)
	is.True(ok)
	is.True(failed.NotSentInTime)
	is.True(!failed.Sent)
	is.Equal(<-received, 0)
}
