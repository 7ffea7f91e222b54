package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/task"
)

// unframedHeads are the heads of responses whose body ends with the connection.
var unframedHeads = map[string]string{
	"body":     okHead + "\r\n",
	"stream":   okHead + "Content-Type: text/event-stream\r\n\r\n",
	"HTTP/1.0": "HTTP/1.0 200 OK\r\nAttempt-Id: a\r\nReplica-Signature: s\r\n\r\n",
	"failure":  "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: a\r\nReplica-Signature: s\r\n\r\n",
}

// uploadSizes are sizes of a request's body: written with the head, within the buffers of the
// sockets, and beyond them.
var uploadSizes = []int{0, maxInlineBodyBytes, 64 << 10, 8 << 20}

// endings are the ways in which an endpoint ends a response without a length after it has sent a
// part of the body. reset is set for those that don't make it complete.
var endings = map[string]struct {
	end   func(c *net.TCPConn, upload int)
	reset bool
}{
	"reset at once":          {func(c *net.TCPConn, _ int) { resetConn(c) }, true},
	"reset later":            {func(c *net.TCPConn, _ int) { time.Sleep(20 * time.Millisecond); resetConn(c) }, true},
	"reset in the upload":    {func(c *net.TCPConn, upload int) { drain(c, upload/2); resetConn(c) }, true},
	"reset after the upload": {func(c *net.TCPConn, upload int) { drain(c, upload); resetConn(c) }, true},
	"half closed, then reset": {func(c *net.TCPConn, upload int) {
		_ = c.SetReadBuffer(64 << 10) // the kernel does not confirm the rest of the request
		_ = c.CloseWrite()
		drain(c, upload/2)
		resetConn(c)
	}, true},
	"closed after the upload": {func(c *net.TCPConn, upload int) {
		drain(c, upload)
		_ = c.Close()
	}, false},
	"half closed after the upload": {func(c *net.TCPConn, upload int) {
		drain(c, upload)
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}, false},
	"half closed before the upload": {func(c *net.TCPConn, _ int) {
		_ = c.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		_, _ = io.Copy(io.Discard, c)
	}, false},
}

func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func drain(c *net.TCPConn, n int) { _, _ = io.CopyN(io.Discard, c, int64(n)) }

// TestResetIsNoEndOfResponse guards against a part of a response without a length that passes for
// the whole one because its endpoint reset the connection (rules MIXED, ORDER): the error of the
// reset reaches the goroutine that writes a long body, and the reader sees an ordinary end.
func TestResetIsNoEndOfResponse(t *testing.T) {
	const part = "data: a part\n\n"
	for headName, head := range unframedHeads {
		for endName, ending := range endings {
			for _, size := range uploadSizes {
				if endName == "half closed, then reset" && size <= 64<<10 {
					continue // the endpoint's kernel confirms the request, as if it had been read
				}
				t.Run(fmt.Sprint(headName, "/", endName, "/", size), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
					defer cancel()
					address := serve(t, func(conn net.Conn) {
						tcp := conn.(*net.TCPConn) //nolint:forcetypeassert // the tests use TCP
						if !readRequestHead(tcp) {
							return
						}
						_, _ = io.WriteString(tcp, head+part)
						ending.end(tcp, size)
					})
					request := Request{
						Address: address, Method: http.MethodPost, Target: "/", Host: "h", AttemptID: "a", Body: make([]byte, size),
					}
					for range 5 {
						exchange, end := context.WithCancel(ctx)
						last := lastEvent(t, ctx, StartExchange(exchange, startPool(t, exchange, task.NewClock()), request))
						end()
						failed, isFailed := last.(Failed)
						is.Equal(isFailed, ending.reset)
						if isFailed {
							is.True(failed.Sent && failed.Reset && !failed.DialFailed)
						}
						if full, ok := last.(FullResponse); ok {
							is.Equal(string(full.Body), part)
						}
					}
				})
			}
		}
	}
}

// readRequestHead reads a request up to the end of its head, byte by byte.
func readRequestHead(c net.Conn) bool {
	var head bytes.Buffer
	b := make([]byte, 1)
	for !bytes.HasSuffix(head.Bytes(), []byte("\r\n\r\n")) {
		if _, err := c.Read(b); err != nil {
			return false
		}
		head.Write(b)
	}
	return true
}
