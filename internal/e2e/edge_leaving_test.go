package e2e

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEdgeLeavesReplicaThatSaysSo guards against requests to a replica whose answers state
// that it leaves, while the list still calls it ready (rule DRAIN).
func TestEdgeLeavesReplicaThatSaysSo(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	send := func(count int, target string) {
		for i := range count {
			resp, _, _ := f.do(f.Edges[0], call{method: http.MethodGet, target: fmt.Sprint("/check/", target, i)})
			is.Equal(resp.StatusCode, http.StatusOK)
		}
	}
	send(20, "a")
	leaving := f.PlainReplicas[0] // the one that is preferred
	if len(f.PlainReplicas[1].Runs()) > len(leaving.Runs()) {
		leaving = f.PlainReplicas[1]
	}
	before := len(leaving.Runs())
	leaving.SetLeaving()
	send(20, "b")
	is.Equal(len(leaving.Runs()), before+1) // it is left at the first answer that says so
	time.Sleep(drainBound)
	f.Announce(leaving, "ready")
	send(20, "c")
	is.Equal(len(leaving.Runs()), before+1)
}

// TestEdgeObservesPauses guards against requests to a replica that asked for a pause, also of
// several callers at once, and against callers that are told to come back too early (rule
// BUDGET).
func TestEdgeObservesPauses(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	for _, r := range f.PlainReplicas {
		r.SetPause("1.5")
	}
	resp, _, _ := f.do(f.Edges[0], call{method: http.MethodGet, target: "/check/first"})
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	asked := time.Now()
	for i := range 20 {
		resp, _, _ := f.do(f.Edges[0], call{method: http.MethodPost, target: fmt.Sprint("/order/", i)})
		is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		is.NoErr(err)
		is.True(after > 0.5)
	}
	for _, r := range f.PlainReplicas {
		is.Equal(r.RejectedInPause(), 1)
		r.SetPause("")
	}
	time.Sleep(1600*time.Millisecond - time.Since(asked))
	resp, _, _ = f.do(f.Edges[0], call{method: http.MethodGet, target: "/check/last"})
	is.Equal(resp.StatusCode, http.StatusOK)
}
