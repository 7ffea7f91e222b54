package e2e

import (
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/procs"
)

// TestEdgeStops guards against requests that SIGTERM interrupts, a process that still
// reports ready while it stops, and a process that SIGHUP ends.
func TestEdgeStops(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	e := f.Edges[0]
	is.NoErr(e.Signal(syscall.SIGHUP))
	for _, m := range f.ModelReplicas {
		m.EventInterval, m.EventCount = 100*time.Millisecond, 8
	}
	conn, _ := f.sendCall(e, call{method: http.MethodPost, target: "/stream/x"})
	time.Sleep(250 * time.Millisecond)
	is.NoErr(e.Signal(syscall.SIGTERM))
	f.eventually(time.Second, "the process to be not ready", func() bool {
		return procs.Status("http://"+e.ReadyAddress+"/readyz") == http.StatusServiceUnavailable
	})
	resp, _, _ := f.do(e, call{method: http.MethodGet, target: "/check/x"})
	is.Equal(resp.StatusCode, http.StatusOK) // new connections are served until the platform has seen the readiness
	is.True(resp.Close)
	_, body, err := f.readResponse(conn, http.MethodPost)
	is.NoErr(err)
	is.Equal(body, allEvents(8))
	select {
	case <-e.Done():
		is.NoErr(e.Err())
	case <-time.After(4 * time.Second):
		t.Fatal("the process did not end within the grace period")
	}
}

// TestEarlyReloadDoesNotEndEdge guards against a process that SIGHUP ends because it arrives
// before the process handles signals.
func TestEarlyReloadDoesNotEndEdge(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	e := f.Edges[0]
	for range 20 {
		e.Kill()
		is.NoErr(os.Truncate(e.LogPath, 0))
		is.NoErr(e.Start())
		for logged := false; !logged; {
			text, err := os.ReadFile(e.LogPath)
			is.NoErr(err)
			logged = strings.Contains(string(text), `"message":"start"`)
			time.Sleep(100 * time.Microsecond)
		}
		is.NoErr(e.Signal(syscall.SIGHUP))
		f.eventually(5*time.Second, "the process to be ready", func() bool {
			return procs.Status("http://"+e.ReadyAddress+"/readyz") == http.StatusOK
		})
	}
}

// TestEdgeCancelsAtReplica guards against a replica that goes on with a request after
// its caller has closed the connection (rule GONE).
func TestEdgeCancelsAtReplica(t *testing.T) {
	f := newEdgeFleet(t, 1)
	for _, m := range f.ModelReplicas {
		m.EventInterval, m.EventCount = 50*time.Millisecond, 100
	}
	conn, _ := f.sendCall(f.Edges[0], call{method: http.MethodPost, target: "/stream/x"})
	time.Sleep(200 * time.Millisecond)
	_ = conn.Close()
	f.eventually(timeoutSlack, "a replica to see the cancellation", func() bool {
		return f.ModelReplicas[0].AbandonedStreams()+f.ModelReplicas[1].AbandonedStreams() == 1
	})
}

// TestEdgeDropsRequestsOfCallersThatLeft guards against requests that reach a replica
// although their callers closed the connection before the process could read them
// (rule GONE, found on rdsign-cornelhold-grown scale-1).
func TestEdgeDropsRequestsOfCallersThatLeft(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	e := f.Edges[0]
	is.NoErr(e.Signal(syscall.SIGSTOP))
	for range 20 {
		conn, _ := f.sendCall(e, call{method: http.MethodGet, target: "/check/x"})
		is.NoErr(conn.Close())
	}
	is.NoErr(e.Signal(syscall.SIGCONT))
	resp, _, _ := f.do(e, call{method: http.MethodGet, target: "/check/x"})
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(len(runs(f.PlainReplicas)), 1) // the connections accepted before it were dropped
}

// TestEdgeCountsTheReadingOfARequest guards against a deadline that starts only when
// the complete request was read (rules BUDGET, GONE).
func TestEdgeCountsTheReadingOfARequest(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	conn, _ := f.sendCall(f.Edges[0], call{method: http.MethodPost, target: "/order/x", header: "Transfer-Encoding: chunked\r\nX-Ignored: "})
	const reading = 600 * time.Millisecond
	time.Sleep(reading)
	_, err := io.WriteString(conn, "0\r\n\r\n")
	is.NoErr(err)
	resp, _, err := f.readResponse(conn, http.MethodPost)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	left, err := strconv.Atoi(runs(f.PlainReplicas)[0].Header.Get("Deadline-Ms"))
	is.NoErr(err)
	is.True(left <= 1500-int(reading.Milliseconds())) // the route's timeout is 1,500 ms
}
