package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/bodybuffer"
	"github.com/cornelhold/cornelhold/internal/task"
)

// TestBodiesAreWhole guards against bytes of one response in the body of another, whose memory
// it uses again, and against missing bytes at the ends of chunks (rule MIXED).
func TestBodiesAreWhole(t *testing.T) {
	const chunkBytes = bodybuffer.UncountedBytes
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	pool := startPool(t, ctx, task.NewClock())
	heads := map[string]func(conn net.Conn, body []byte){
		"known length": func(conn net.Conn, body []byte) {
			_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", okHead, len(body), body)
		},
		"unknown length": func(conn net.Conn, body []byte) { _, _ = fmt.Fprintf(conn, "%s\r\n%s", okHead, body) },
		"chunked": func(conn net.Conn, body []byte) {
			_, _ = io.WriteString(conn, chunkedHead)
			if len(body) > 0 {
				_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(body), body)
			}
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		},
	}
	var wait sync.WaitGroup
	for name, write := range heads {
		for i, size := range []int{0, 1, chunkBytes - 1, chunkBytes, chunkBytes + 1, 5*chunkBytes + 7} {
			want := bytes.Repeat([]byte{byte('a' + i)}, size)
			address := serve(t, func(conn net.Conn) {
				_, _ = io.ReadFull(conn, make([]byte, 1)) // a close with unread bytes would reset the connection
				write(conn, want)
				_ = conn.(*net.TCPConn).CloseWrite() //nolint:forcetypeassert // the tests use TCP
				_, _ = io.Copy(io.Discard, conn)
			})
			request := Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h", AttemptID: "a"}
			wait.Go(func() {
				for range 5 {
					requestCtx, end := context.WithCancel(ctx)
					response, ok := lastEvent(t, ctx, StartExchange(requestCtx, pool, request)).(FullResponse)
					if !ok || !bytes.Equal(response.Body, want) {
						t.Errorf("%s: got %d bytes, want %d", name, len(response.Body), size)
					}
					end()
				}
			})
		}
	}
	wait.Wait()
}

// TestHeadResponseHasNoBody guards against a response to HEAD that counts as cut off because it
// states the length of a body that it does not have.
func TestHeadResponseHasNoBody(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	address := serve(t, func(conn net.Conn) {
		_, _ = io.WriteString(conn, okHead+"Content-Length: 100\r\n\r\n")
		_, _ = io.Copy(io.Discard, conn)
	})
	request := Request{Address: address, Method: http.MethodHead, Target: "/", Host: "h", AttemptID: "a"}
	response, ok := lastEvent(t, ctx, StartExchange(ctx, startPool(t, ctx, task.NewClock()), request)).(FullResponse)
	is.True(ok)
	is.Equal(len(response.Body), 0)
}
