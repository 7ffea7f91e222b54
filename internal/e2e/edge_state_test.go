package e2e

import (
	"fmt"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
)

// TestEdgeFollowsConfiguration guards against an instance that serves by an outdated
// configuration, also while the store refuses its connections (rule CONFIG).
func TestEdgeFollowsConfiguration(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 3)
	refused := f.Edges[2]
	f.Store.SetRefusing(refused.StoreAddress, true)
	time.Sleep(reportDelay) // the refused instance receives reports from its peers
	f.Configure(f.Config("model", "key-2"))
	for _, e := range f.Edges {
		f.eventually(configBound, "the configuration to be active", func() bool {
			before := len(runs(f.ModelReplicas))
			resp, _, _ := f.do(e, call{method: http.MethodGet, target: "/check/x", key: "key-2"})
			return resp.StatusCode == http.StatusOK && len(runs(f.ModelReplicas)) == before+1
		})
		resp, _, _ := f.do(e, call{method: http.MethodGet, target: "/check/x", key: "key-1"})
		is.Equal(resp.StatusCode, http.StatusUnauthorized)
	}
}

// reportDelay lasts several intervals of the reports between instances.
const reportDelay = time.Second

// TestEdgeLeavesDrainingReplicas guards against requests to a draining replica, also
// from an instance whose connections the store refuses (rule DRAIN).
func TestEdgeLeavesDrainingReplicas(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 2)
	f.Store.SetRefusing(f.Edges[1].StoreAddress, true)
	time.Sleep(reportDelay)
	f.Store.Put(userplatform.ServersTopic, "p0", f.PlainReplicas[0].Entry("plain", "a", "draining", 9))
	time.Sleep(drainBound)
	before := len(f.PlainReplicas[0].Runs())
	for range 10 {
		for _, e := range f.Edges {
			resp, _, _ := f.do(e, call{method: http.MethodGet, target: "/check/x"})
			is.Equal(resp.StatusCode, http.StatusOK)
		}
	}
	is.Equal(len(f.PlainReplicas[0].Runs()), before)
}

// TestStalledEdgeLeavesDrainingReplicas guards against requests to a draining replica from
// a process that did not run while the replica began to drain (rule DRAIN).
func TestStalledEdgeLeavesDrainingReplicas(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	e := f.Edges[0]
	is.NoErr(e.Signal(syscall.SIGSTOP))
	f.Store.Put(userplatform.ServersTopic, "p0", f.PlainReplicas[0].Entry("plain", "a", "draining", 9))
	time.Sleep(drainBound)
	var conns []net.Conn
	for range 20 {
		conn, _ := f.sendCall(e, call{method: http.MethodGet, target: "/check/x"})
		conns = append(conns, conn)
	}
	is.NoErr(e.Signal(syscall.SIGCONT))
	for _, conn := range conns {
		resp, _, err := f.readResponse(conn, http.MethodGet)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
	}
	is.Equal(len(f.PlainReplicas[0].Runs()), 0)
}

// TestEdgeReportsUsage guards against usage windows that are missing, wrong or reported
// with different counts when the holder of the duty is killed.
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
	f.eventually(10*time.Second, "a usage report", func() bool { return len(f.Cloud.UsageReports()) > 0 })
	first := f.Cloud.UsageReports()[0]
	var rest []*edgeProcess
	for i, e := range f.Edges {
		if fmt.Sprint("edge-", i) == first.Holder {
			time.Sleep(reportDelay) // the other instances receive its counts
			e.Kill()
			continue
		}
		rest = append(rest, e)
	}
	is.Equal(len(rest), 2)
	serve(rest)
	counted := func() int {
		windows := make(map[int64]int)
		for _, u := range f.Cloud.UsageReports() {
			n := 0
			for _, count := range u.Counts {
				n += count
			}
			if previous, ok := windows[u.Window]; ok && previous != n {
				t.Fatalf("window %d was reported with %d and %d", u.Window, previous, n)
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
	last := f.Cloud.UsageReports()[len(f.Cloud.UsageReports())-1]
	is.True(last.Holder != first.Holder)
	is.True(last.Fence > first.Fence)
}
