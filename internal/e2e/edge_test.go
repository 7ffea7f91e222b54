package e2e

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/edgefleet"
	"github.com/cornelhold/cornelhold/internal/procs"
	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
)

const (
	// configBound, drainBound and timeoutSlack are the bounds of the users'
	// rules: a configuration is in force, a leaving replica is left, and a
	// request at its route's timeout is answered.
	configBound  = 2 * time.Second
	drainBound   = 2 * time.Second
	timeoutSlack = 500 * time.Millisecond
)

// edgeProcess is one cornelhold-edge process.
type edgeProcess = edgefleet.Edge

// edgeFleet is edge processes before stand-ins of the users' platform.
type edgeFleet struct {
	*edgefleet.Fleet
	t   *testing.T
	ctx context.Context
}

// newEdgeFleet starts the stand-ins and n edge processes and waits until these
// are ready.
func newEdgeFleet(t *testing.T, n int) *edgeFleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), processTimeout)
	t.Cleanup(cancel)
	bin, err := programs()
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := edgefleet.New(ctx, edgefleet.Options{
		Program: filepath.Join(bin, "cornelhold-edge"), Dir: t.TempDir(), Replicas: 2,
	})
	if err != nil {
		t.Fatal(err)
	}
	f := &edgeFleet{Fleet: fleet, t: t, ctx: ctx}
	t.Cleanup(f.stop)
	f.AnnounceAll("ready")
	f.Configure(f.Config(edgefleet.PlainService, "key-1"))
	for range n {
		if _, err := f.AddEdge(ctx); err != nil {
			t.Fatal(err)
		}
	}
	for _, e := range f.Edges {
		f.eventually(10*time.Second, "an edge process to be ready", func() bool {
			return procs.Status("http://"+e.Ready+"/readyz") == http.StatusOK
		})
	}
	return f
}

// stop ends the processes and shows their logs if the test failed.
func (f *edgeFleet) stop() {
	f.Stop()
	if !f.t.Failed() {
		return
	}
	for _, e := range f.Edges {
		text, err := os.ReadFile(e.Log)
		f.t.Logf("log of %s (%v):\n%s", e.Name, err, text)
	}
}

func (f *edgeFleet) eventually(limit time.Duration, what string, condition func() bool) {
	f.t.Helper()
	if err := procs.WaitFor(f.ctx, limit, what, condition); err != nil {
		f.t.Fatal(err)
	}
}

var attempts int

// call is one request of a caller on a channel of its own.
type call struct {
	method, target, body, key string
	header                    string
}

// open sends a request and returns its channel.
func (f *edgeFleet) open(e *edgeProcess, c call) (net.Conn, string) {
	f.t.Helper()
	attempts++
	id := fmt.Sprint("attempt-", attempts)
	conn, err := net.DialTimeout("tcp", e.Front, time.Second)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	if c.key == "" {
		c.key = "key-1"
	}
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 3000\r\nAuthorization: Bearer %s\r\n%sContent-Length: %d\r\n\r\n%s",
		c.method, c.target, id, c.key, c.header, len(c.body), c.body)
	if err != nil {
		f.t.Fatal(err)
	}
	return conn, id
}

// answer reads an answer. The body is empty with an error if it broke off.
func (f *edgeFleet) answer(conn net.Conn, method string) (*http.Response, string, error) {
	f.t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		f.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func (f *edgeFleet) do(e *edgeProcess, c call) (*http.Response, string, string) {
	f.t.Helper()
	conn, id := f.open(e, c)
	resp, body, err := f.answer(conn, c.method)
	if err != nil {
		f.t.Fatal(err)
	}
	return resp, body, id
}

func runs(replicas []*userplatform.Replica) []userplatform.Run {
	var all []userplatform.Run
	for _, r := range replicas {
		all = append(all, r.Runs()...)
	}
	return all
}

func setFault(replicas []*userplatform.Replica, fault userplatform.Fault) {
	for _, r := range replicas {
		r.SetFault(fault)
	}
}

func allEvents(n int) string {
	var all strings.Builder
	for id := 1; id <= n; id++ {
		all.WriteString(userplatform.Event(id))
	}
	return all.String()
}

// TestEdgeForwardsUnchanged guards against requests whose method, path, query
// or body changes, and against headers that only the system may set.
func TestEdgeForwardsUnchanged(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	target := "/order/a%2Fb//../c?x=1&y=%20"
	body := "POST /order/inner HTTP/1.1\r\nHost: h.example\r\n\r\n"
	resp, got, id := f.do(f.Edges[0], call{
		method: http.MethodPost, target: target, body: body,
		header: "Tenant: forged\r\nRetention: 5\r\nKv-From: x\r\nX-Own: kept\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n",
	})
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(got, "answer of "+id)
	is.True(resp.Header.Get("Replica-Signature") != "")
	all := runs(f.Plain)
	is.Equal(len(all), 1)
	run := all[0]
	is.Equal(run.Target, target)
	is.Equal(run.Body, body)
	is.Equal(run.Header.Get("Tenant"), "team-1")
	is.Equal(run.Header.Get("X-Own"), "kept")
	for _, name := range []string{"Authorization", "Retention", "Kv-From", "X-Hop", "Connection"} {
		is.Equal(run.Header.Get(name), "")
	}
	resp, _, _ = f.do(f.Edges[0], call{method: http.MethodGet, target: "/check/x", key: "unknown"})
	is.Equal(resp.StatusCode, http.StatusUnauthorized)
	resp, _, _ = f.do(f.Edges[0], call{method: http.MethodGet, target: "/nowhere/x"})
	is.Equal(resp.StatusCode, http.StatusNotFound)
	resp, _, _ = f.do(f.Edges[0], call{method: http.MethodPost, target: "/order/x", body: strings.Repeat("x", 100001)})
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
}

// TestEdgeAnswersAreWholeAndOwn guards against answers that belong to another
// request, are repeated, unsigned or broken off (rules MIXED, ORDER).
func TestEdgeAnswersAreWholeAndOwn(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	for _, fault := range []userplatform.Fault{userplatform.FaultStale, userplatform.FaultExtra, userplatform.FaultNone} {
		setFault(f.Plain, fault)
		for range 6 {
			resp, body, id := f.do(f.Edges[0], call{method: http.MethodGet, target: "/check/x"})
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, "answer of "+id)
		}
	}
	setFault(f.Plain, userplatform.FaultUnsigned)
	resp, _, _ := f.do(f.Edges[0], call{method: http.MethodGet, target: "/check/x"})
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	for range 4 {
		f.Model[0].SetFault(userplatform.FaultBreak)
		f.Model[1].SetFault(userplatform.FaultNone)
		resp, body, _ := f.do(f.Edges[0], call{method: http.MethodPost, target: "/stream/x", body: "prompt"})
		is.Equal(resp.StatusCode, http.StatusOK)
		is.Equal(body, allEvents(6)) // goes on at the other replica
	}
	setFault(f.Model, userplatform.FaultBreak)
	conn, _ := f.open(f.Edges[0], call{method: http.MethodPost, target: "/stream-once/x"})
	_, _, err := f.answer(conn, http.MethodPost)
	is.True(err != nil) // an answer that ends early does not look complete
}

// TestEdgeRunsOnce guards against a request that runs twice although it may not
// be repeated, and against a refusal that is not true (rules TWICE, REFUSED).
func TestEdgeRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	setFault(f.Plain, userplatform.FaultReset)
	resp, _, _ := f.do(f.Edges[0], call{method: http.MethodPost, target: "/order/x"})
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	is.Equal(len(runs(f.Plain)), 1)
	resp, _, _ = f.do(f.Edges[0], call{method: http.MethodGet, target: "/check/x"})
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	is.Equal(len(runs(f.Plain)), 3) // an idempotent request is tried at both
	setFault(f.Plain, userplatform.FaultFull)
	resp, _, _ = f.do(f.Edges[0], call{method: http.MethodPost, target: "/order/x"})
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(len(runs(f.Plain)), 3)
	setFault(f.Plain, userplatform.FaultMute)
	started := time.Now()
	resp, _, _ = f.do(f.Edges[0], call{method: http.MethodPost, target: "/order/x"})
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.True(time.Since(started) < 1500*time.Millisecond+timeoutSlack)
}

// TestEdgeFollowsConfiguration guards against a machine that serves an older
// configuration, also while the store turns it away (rule CONFIG).
func TestEdgeFollowsConfiguration(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 3)
	cut := f.Edges[2]
	f.Store.Refuse(cut.Store, true)
	time.Sleep(reportRounds) // the cut machine hears of its peers
	f.Configure(f.Config("model", "key-2"))
	for _, e := range f.Edges {
		f.eventually(configBound, "the configuration to be in force", func() bool {
			before := len(runs(f.Model))
			resp, _, _ := f.do(e, call{method: http.MethodGet, target: "/check/x", key: "key-2"})
			return resp.StatusCode == http.StatusOK && len(runs(f.Model)) == before+1
		})
		resp, _, _ := f.do(e, call{method: http.MethodGet, target: "/check/x", key: "key-1"})
		is.Equal(resp.StatusCode, http.StatusUnauthorized)
	}
}

// reportRounds is the time of several reports between machines.
const reportRounds = time.Second

// TestEdgeLeavesDrainingReplicas guards against requests to a replica that
// leaves, also at a machine that the store turns away (rule DRAIN).
func TestEdgeLeavesDrainingReplicas(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 2)
	f.Store.Refuse(f.Edges[1].Store, true)
	time.Sleep(reportRounds)
	f.Store.Put(userplatform.ServersTopic, "p0", f.Plain[0].Entry("plain", "a", "draining", 9))
	time.Sleep(drainBound)
	before := len(f.Plain[0].Runs())
	for range 10 {
		for _, e := range f.Edges {
			resp, _, _ := f.do(e, call{method: http.MethodGet, target: "/check/x"})
			is.Equal(resp.StatusCode, http.StatusOK)
		}
	}
	is.Equal(len(f.Plain[0].Runs()), before)
}

// TestEdgeStops guards against a request that is cut off by a stop, a process
// that stays ready in it, and one that ends at SIGHUP.
func TestEdgeStops(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	e := f.Edges[0]
	is.NoErr(e.Signal(syscall.SIGHUP))
	for _, m := range f.Model {
		m.Pause, m.Events = 100*time.Millisecond, 8
	}
	conn, _ := f.open(e, call{method: http.MethodPost, target: "/stream/x"})
	time.Sleep(250 * time.Millisecond)
	is.NoErr(e.Signal(syscall.SIGTERM))
	f.eventually(time.Second, "the process to be not ready", func() bool {
		return procs.Status("http://"+e.Ready+"/readyz") == http.StatusServiceUnavailable
	})
	resp, _, _ := f.do(e, call{method: http.MethodGet, target: "/check/x"})
	is.Equal(resp.StatusCode, http.StatusOK) // new channels are served until the platform has noticed
	is.True(resp.Close)
	_, body, err := f.answer(conn, http.MethodPost)
	is.NoErr(err)
	is.Equal(body, allEvents(8))
	select {
	case <-e.Done():
		is.NoErr(e.Err())
	case <-time.After(4 * time.Second):
		t.Fatal("the process did not end within the grace period")
	}
}

// TestEdgeCancelsAtReplica guards against work for a caller that has left
// (rule GONE).
func TestEdgeCancelsAtReplica(t *testing.T) {
	f := newEdgeFleet(t, 1)
	for _, m := range f.Model {
		m.Pause, m.Events = 50*time.Millisecond, 100
	}
	conn, _ := f.open(f.Edges[0], call{method: http.MethodPost, target: "/stream/x"})
	time.Sleep(200 * time.Millisecond)
	_ = conn.Close()
	f.eventually(timeoutSlack, "the replica to notice", func() bool {
		return f.Model[0].Abandoned()+f.Model[1].Abandoned() == 1
	})
}

// TestEdgeDropsRequestsOfCallersThatLeft guards against requests that reach a
// replica although their callers left before the process could read them, as on
// rdsign-cornelhold-grown scale-1 (rule GONE).
func TestEdgeDropsRequestsOfCallersThatLeft(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	e := f.Edges[0]
	is.NoErr(e.Signal(syscall.SIGSTOP))
	for range 20 {
		conn, _ := f.open(e, call{method: http.MethodGet, target: "/check/x"})
		is.NoErr(conn.Close())
	}
	is.NoErr(e.Signal(syscall.SIGCONT))
	resp, _, _ := f.do(e, call{method: http.MethodGet, target: "/check/x"})
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(len(runs(f.Plain)), 1) // the others were accepted before it
}

// TestEdgeCountsTheReadingOfARequest guards against a caller's deadline that
// begins only once the whole request was read (rules BUDGET, GONE).
func TestEdgeCountsTheReadingOfARequest(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	conn, _ := f.open(f.Edges[0], call{method: http.MethodPost, target: "/order/x", header: "Transfer-Encoding: chunked\r\nX-Ignored: "})
	const reading = 600 * time.Millisecond
	time.Sleep(reading)
	_, err := io.WriteString(conn, "0\r\n\r\n")
	is.NoErr(err)
	resp, _, err := f.answer(conn, http.MethodPost)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	left, err := strconv.Atoi(runs(f.Plain)[0].Header.Get("Deadline-Ms"))
	is.NoErr(err)
	is.True(left <= 1500-int(reading.Milliseconds())) // the route's timeout is 1,500 ms
}

// TestEdgeReportsUsage guards against usage that is missing, wrong or reported
// with two counts, when the holder of the duty is killed.
func TestEdgeReportsUsage(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 3)
	sent := 0
	serve := func(edges []*edgeProcess) {
		for range 5 {
			for _, e := range edges {
				resp, _, _ := f.do(e, call{method: http.MethodGet, target: "/check/x"})
				is.Equal(resp.StatusCode, http.StatusOK)
				sent++
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	serve(f.Edges)
	f.eventually(10*time.Second, "a usage report", func() bool { return len(f.Cloud.Usage()) > 0 })
	first := f.Cloud.Usage()[0]
	var rest []*edgeProcess
	for i, e := range f.Edges {
		if fmt.Sprint("edge-", i) == first.Holder {
			time.Sleep(reportRounds) // its counts reach the others
			e.Kill()
			continue
		}
		rest = append(rest, e)
	}
	is.Equal(len(rest), 2)
	serve(rest)
	counted := func() int {
		windows := make(map[int64]int)
		for _, u := range f.Cloud.Usage() {
			n := 0
			for _, count := range u.Counts {
				n += count
			}
			if known, ok := windows[u.Window]; ok && known != n {
				t.Fatalf("window %d was reported with %d and %d", u.Window, known, n)
			}
			windows[u.Window] = n
		}
		total := 0
		for _, n := range windows {
			total += n
		}
		return total
	}
	f.eventually(20*time.Second, "all requests to be reported", func() bool { return counted() == sent })
	last := f.Cloud.Usage()[len(f.Cloud.Usage())-1]
	is.True(last.Holder != first.Holder)
	is.True(last.Fence > first.Fence)
}
