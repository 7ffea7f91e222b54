package front

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/internal/upstream"
)

// sendingGateway answers each request with an action, or never if it is nil.
type sendingGateway struct {
	action   gateway.Action
	accepted chan struct{}
}

func (g sendingGateway) Submit(_ gateway.RequestArrived, reply chan<- gateway.Action) bool {
	if g.action != nil {
		reply <- g.action
	}
	g.accepted <- struct{}{}
	return true
}

func (sendingGateway) Post(context.Context, gateway.Message) {}

// silentEndpoint returns the address of an endpoint that reads requests and never responds,
// and a channel that gets a value for each request.
func silentEndpoint(t *testing.T) (string, <-chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	received := make(chan struct{}, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1024))
		received <- struct{}{}
		_, _ = io.Copy(io.Discard, conn)
	}()
	return listener.Addr().String(), received
}

// TestStopAnswersOpenRequests guards against requests that the process accepted while it
// drained, and whose connections it closed at its exit without a response (rule LOST).
func TestStopAnswersOpenRequests(t *testing.T) {
	address, received := silentEndpoint(t)
	waiting := sendingGateway{accepted: make(chan struct{}, 1)}
	sent := sendingGateway{accepted: make(chan struct{}, 1), action: gateway.Send{
		Endpoint: catalog.Endpoint{Address: address}, Route: &catalog.Route{Kind: catalog.KindUnsafe}, Attempt: 1, DeadlineAt: time.Hour,
	}}
	for _, c := range []struct {
		gateway sendingGateway
		open    <-chan struct{}
		status  int
	}{{waiting, waiting.accepted, http.StatusServiceUnavailable}, {sent, received, http.StatusBadGateway}} {
		is := is.New(t)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		clock := task.NewClock()
		pool := upstream.NewPool(clock)
		go func() { _ = pool.Run(ctx) }()
		server := NewServer(listener, Options{
			Clock: clock, Gateway: c.gateway, Pool: pool, Observer: make(outcomes, 1), Log: &log.Logger{Handler: discard.New()},
			Limits: func() catalog.Limits { return catalog.Limits{} }, Stage: func() Stage { return StageDraining },
			TimeLeft: func() time.Duration { return time.Second }, Random: func() float64 { return 0 },
			NextID: func() gateway.RequestID { return 1 },
		})
		context.AfterFunc(ctx, func() { _ = listener.Close() })
		go func() { _ = server.Run(ctx) }()
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nContent-Length: 0\r\n\r\n")
		is.NoErr(err)
		<-c.open
		cancel()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, c.status)
		is.True(resp.Close)
		_ = conn.Close()
	}
}
