package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

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

// TestCutResponseIsNotCompleted guards against a part of a response that is recorded as the result
// of a call, because the endpoint reset the connection while the call was still being written.
func TestCutResponseIsNotCompleted(t *testing.T) {
	const bodyBytes = 8 << 20
	reset := func(c *net.TCPConn) {
		time.Sleep(5 * time.Millisecond)
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	for range 10 {
		is := is.New(t)
		call := PlainRequest{Address: answerOnce(t, "200 OK", reset), Operation: "x", Body: make([]byte, bodyBytes)}
		is.Equal(NewPlainClient().CallOnce(t.Context(), call).Result, claim.CallUnknown)
	}
}

// TestResponseWithoutLengthIsCompleted guards against calls whose results count as unknown because
// their responses end with the connection.
func TestResponseWithoutLengthIsCompleted(t *testing.T) {
	is := is.New(t)
	halfClose := func(c *net.TCPConn) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, c)
	}
	for _, size := range []int{0, 1 << 20} {
		call := PlainRequest{Address: answerOnce(t, "200 OK", halfClose), Operation: "x", Body: make([]byte, size)}
		ended := NewPlainClient().CallOnce(t.Context(), call)
		is.Equal(ended.Result, claim.CallCompleted)
		is.Equal(string(ended.Response.Body), "part")
	}
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
