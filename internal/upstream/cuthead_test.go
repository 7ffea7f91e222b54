package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/task"
)

// TestCutHeadIsNoResponse guards against a response whose head an endpoint did not finish
// before it closed the connection, and that passes for a complete response with an empty or
// short body (rules MIXED, ORDER).
func TestCutHeadIsNoResponse(t *testing.T) {
	for _, framing := range []string{
		"Content-Type: application/json\r\nContent-Length: 12",
		"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked",
		"Content-Type: text/event-stream\r\nConnection: close",
		"Content-Length: 0",
	} {
		head := "HTTP/1.1 200 OK\r\nAttempt-Id: a\r\n" + framing + "\r\n\r\n"
		for _, prefix := range []string{"", "HTTP/1.1 102 Processing\r\n\r\n"} {
			t.Run(strconv.Quote(prefix+framing), func(t *testing.T) { checkCuts(t, prefix+head) })
		}
	}
}

// checkCuts sends each proper prefix of a head as the whole response.
func checkCuts(t *testing.T, head string) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	cuts := make(chan int, 1)
	address := serve(t, func(conn net.Conn) {
		buf := make([]byte, 4096)
		_, _ = conn.Read(buf)
		_, _ = io.WriteString(conn, head[:<-cuts])
		_ = conn.Close()
	})
	pool := startPool(t, ctx, task.NewClock())
	request := Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h", AttemptID: "a"}
	cuts <- len(head)
	is.True(headAccepted(t, ctx, StartExchange(ctx, pool, request))) // the whole head is that of a response
	for cut := range len(head) {
		cuts <- cut
		failed, ok := lastEvent(t, ctx, StartExchange(ctx, pool, request)).(Failed)
		if !ok || !failed.Sent {
			t.Errorf("a head cut after %q was taken for a response", strings.ReplaceAll(head[:cut], "\r\n", "|"))
		}
		is.True(!failed.DialFailed)
	}
}

// headAccepted reports whether an exchange got as far as the head of a response.
func headAccepted(t *testing.T, ctx context.Context, events <-chan Event) bool {
	t.Helper()
	for {
		select {
		case e := <-events:
			switch e := e.(type) {
			case StreamHead, FullResponse:
				return true
			case Failed:
				// The body is missing, which is known only after the head.
				return strings.Contains(e.Cause.Error(), io.ErrUnexpectedEOF.Error())
			}
		case <-ctx.Done():
			t.Fatal("the exchange did not end")
		}
	}
}
