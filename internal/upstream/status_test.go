package upstream

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/task"
)

// TestInvalidStatusIsNoResponse guards against an answer whose status is none of HTTP, such as 000,
// and that callers get as an answer (rule MIXED).
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for status, valid := range map[string]bool{
		"000": false, "001": false, "099": false, "+20": false, "600": false, "999": false,
		"200": true, "304": true, "418": true, "599": true,
	} {
		for _, framing := range []string{"Content-Length: 4\r\n", "", "Transfer-Encoding: chunked\r\n"} {
			t.Run(fmt.Sprintf("%s/%q", status, framing), func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
				defer cancel()
				address := serve(t, func(conn net.Conn) {
					_ = readRequestHead(conn)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s Text\r\nAttempt-Id: a\r\n%s\r\n4\r\n", status, framing)
					_, _ = io.WriteString(conn, "body\r\n0\r\n\r\n")
					_ = conn.Close()
				})
				request := Request{Address: address, Method: http.MethodGet, Target: "/", Host: "h", AttemptID: "a"}
				last := lastEvent(t, ctx, StartExchange(ctx, startPool(t, ctx, task.NewClock()), request))
				_, full := last.(FullResponse)
				is.Equal(full, valid)
			})
		}
	}
}
