package e2e

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// recordDelay is the time in which evidence that all processes have must be in the store.
const recordDelay = time.Second

// endAll ends all processes at once and starts them again.
func (f *edgeFleet) endAll(signal syscall.Signal) {
	f.t.Helper()
	for _, e := range f.Edges {
		if err := e.Signal(signal); err != nil {
			f.t.Fatal(err)
		}
	}
	for _, e := range f.Edges {
		<-e.Done()
	}
	for _, e := range f.Edges {
		if err := e.Start(); err != nil {
			f.t.Fatal(err)
		}
	}
	f.awaitReady()
}

// TestRefusalOutlivesLossOfAllEdges guards against a request that crashes replicas again after
// all processes have ended at once, because what they knew of it was lost with them (rule
// BUDGET). The users allow three crashes and three retries over all of it.
func TestRefusalOutlivesLossOfAllEdges(t *testing.T) {
	for name, test := range map[string]struct {
		signal syscall.Signal
		// rounds is the number of times that the request comes between two losses.
		rounds int
	}{
		"killed":                     {syscall.SIGKILL, 6},
		"killed before the decision": {syscall.SIGKILL, 1},
		"stopped":                    {syscall.SIGTERM, 6},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newEdgeFleet(t, 3)
			watch := newCrashWatch(f, func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/check/crash") })
			for range 3 {
				for i := range test.rounds {
					resp, _, _ := f.do(f.Edges[i%len(f.Edges)], call{method: http.MethodGet, target: "/check/crash"})
					is.True(resp.StatusCode >= 500)
					watch.pollFor(500 * time.Millisecond)
				}
				watch.pollFor(recordDelay)
				f.endAll(test.signal)
			}
			for i := range 6 {
				f.do(f.Edges[i%len(f.Edges)], call{method: http.MethodGet, target: "/check/crash"})
				watch.pollFor(500 * time.Millisecond)
			}
			sound, _, _ := f.do(f.Edges[0], call{method: http.MethodGet, target: "/check/sound"})
			is.Equal(sound.StatusCode, http.StatusOK)
			t.Logf("%d replicas crashed", watch.crashes)
			is.True(watch.crashes >= 3)
			is.True(watch.runsOf("/check/crash") <= maxCrashSends)
		})
	}
}
