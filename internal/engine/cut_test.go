package engine

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/claim"
)

// answerOnce answers the first request on a new listener with head and a part of a body, before it
// has read the request's body, and then ends the connection. It returns the listener's address.
func answerOnce(t *testing.T, head string, end func(c *net.TCPConn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\n\r\npart", head)
		end(conn.(*net.TCPConn)) //nolint:forcetypeassert // the listener is one for TCP
	}()
	return listener.Addr().String()
}

// TestInvalidStatusIsNotCompleted guards against an answer whose status is none of HTTP, and that
// is recorded as the result of a call.
func TestInvalidStatusIsNotCompleted(t *testing.T) {
	is := is.New(t)
	closeConn := func(c *net.TCPConn) { _ = c.Close() }
	for _, status := range []string{"000 Failed", "099 Failed", "600 Failed"} {
		call := PlainRequest{Address: answerOnce(t, status+"\r\nContent-Length: 4", closeConn), Operation: "x"}
		is.Equal(NewPlainClient().CallOnce(t.Context(), call).Result, claim.CallUnknown)
	}
}
