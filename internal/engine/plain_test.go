package engine

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/claim"
)

// closingServer responds to the first request of a connection if respondToFirst
// is set and closes the connection without a response after the next request.
// It sends each request that it has read to requests.
func closingServer(t *testing.T, respondToFirst bool) (address string, requests chan *http.Request) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	requests = make(chan *http.Request, 16)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveAndClose(conn, respondToFirst, requests)
		}
	}()
	return listener.Addr().String(), requests
}

func serveAndClose(conn net.Conn, respondToFirst bool, requests chan<- *http.Request) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body := make([]byte, req.ContentLength)
		_, _ = reader.Read(body)
		requests <- req
		if !first || !respondToFirst {
			return
		}
		_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	}
}

// TestCallOnceIsNeverReplayed guards against a second execution of a call that
// is not idempotent: net/http replays some requests when a reused connection
// breaks, and a redirect with status 307 or 308 sends the request again.
func TestCallOnceIsNeverReplayed(t *testing.T) {
	is := is.New(t)
	client := NewPlainClient()
	address, requests := closingServer(t, true)
	r := PlainRequest{Address: address, Operation: "work-order", RequestID: "r1", ContentType: "application/json", Body: []byte("{}")}
	is.Equal(client.CallOnce(t.Context(), r).Result, claim.CallCompleted)
	is.Equal(client.CallOnce(t.Context(), r).Result, claim.CallCompleted) // over a new connection
	is.Equal(len(requests), 2)

	address, requests = closingServer(t, false)
	r.Address = address
	is.Equal(client.CallOnce(t.Context(), r).Result, claim.CallUnknown) // read and closed
	is.Equal(len(requests), 1)                                          // sent once
	sent := <-requests
	is.Equal(sent.Header.Get("Idempotency-Key"), "")
	is.Equal(sent.Header.Get("X-Idempotency-Key"), "")

	redirects := 0
	redirecting := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		redirects++
		http.Redirect(w, r, "/again", http.StatusTemporaryRedirect)
	}))
	defer redirecting.Close()
	r.Address = redirecting.Listener.Addr().String()
	is.Equal(client.CallOnce(t.Context(), r).Response.Status, http.StatusTemporaryRedirect)
	is.Equal(redirects, 1)
}

// TestCallNotSentWithoutConnection guards against an unknown result for an
// endpoint that refused the connection: the call could not be sent to another
// endpoint then.
func TestCallNotSentWithoutConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	r := PlainRequest{Address: address, Operation: "work-order", Body: []byte("{}")}
	is.Equal(NewPlainClient().CallOnce(t.Context(), r).Result, claim.CallNotSent)
}

// TestLongResponseIsOmitted guards against claim records of unbounded size.
func TestLongResponseIsOmitted(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, claim.MaxResponseBytes+1))
	}))
	defer server.Close()
	ended := NewPlainClient().CallOnce(t.Context(), PlainRequest{Address: server.Listener.Addr().String(), Operation: "x"})
	is.Equal(ended.Result, claim.CallCompleted)
	is.True(ended.Response.Omitted)
	is.Equal(len(ended.Response.Body), 0)
}
