package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
)

const (
	// replicaDownTime is how long a crashed replica stays down. Few requests find it down.
	replicaDownTime = 150 * time.Millisecond
	// maxCrashSends is what the users allow of one request: three sends crash a replica
	// each, and three retries may follow.
	maxCrashSends = 6
)

// crashWatch restarts crashed replicas under new ids and counts the crashes.
type crashWatch struct {
	fleet   *edgeFleet
	rule    userplatform.CrashRule
	crashes int
	ended   []*userplatform.Replica
	downAt  map[*userplatform.Replica]time.Time
}

func newCrashWatch(f *edgeFleet, rule userplatform.CrashRule) *crashWatch {
	for _, r := range slices.Concat(f.ModelReplicas, f.PlainReplicas) {
		r.SetCrash(rule)
	}
	return &crashWatch{fleet: f, rule: rule, downAt: make(map[*userplatform.Replica]time.Time)}
}

// poll restarts the replicas that have been down for long enough.
func (w *crashWatch) poll() {
	w.fleet.t.Helper()
	for _, r := range slices.Concat(w.fleet.ModelReplicas, w.fleet.PlainReplicas) {
		if !r.Crashed() {
			continue
		}
		if _, ok := w.downAt[r]; !ok {
			w.downAt[r] = time.Now()
			w.crashes++
			w.ended = append(w.ended, r)
		}
		if time.Since(w.downAt[r]) < replicaDownTime {
			continue
		}
		next, err := w.fleet.Restart(w.fleet.ctx, r, fmt.Sprint("again-", w.crashes, "-", r.ID))
		if err != nil {
			w.fleet.t.Fatal(err)
		}
		next.SetCrash(w.rule)
		w.fleet.RemoveEntry(r)
	}
}

// pollFor polls for a while.
func (w *crashWatch) pollFor(length time.Duration) {
	w.fleet.t.Helper()
	for start := time.Now(); time.Since(start) < length; time.Sleep(20 * time.Millisecond) {
		w.poll()
	}
}

// runsOf returns how often requests with the target were executed, by replicas that have
// crashed or run.
func (w *crashWatch) runsOf(target string) int {
	n := 0
	for _, run := range runs(slices.Concat(w.ended, w.fleet.ModelReplicas, w.fleet.PlainReplicas)) {
		if strings.HasPrefix(run.Target, target) {
			n++
		}
	}
	return n
}

// TestEdgesStopCrashingRequest guards against a request that crashes one replica after
// the other, whichever process gets it, and against the refusal of other requests (rule
// BUDGET).
func TestEdgesStopCrashingRequest(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 3)
	watch := newCrashWatch(f, func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/check/crash") })
	refused, unserved := 0, 0
	for i := range 16 {
		e := f.Edges[i%len(f.Edges)]
		resp, _, _ := f.do(e, call{method: http.MethodGet, target: "/check/crash"})
		is.True(resp.StatusCode >= 500)
		watch.pollFor(500 * time.Millisecond)
		sound, body, _ := f.do(e, call{method: http.MethodGet, target: fmt.Sprint("/check/sound-", i)})
		if strings.Contains(body, "crashed repeatedly") {
			refused++
		}
		if i >= 12 && sound.StatusCode != http.StatusOK {
			unserved++
		}
	}
	t.Logf("%d replicas crashed", watch.crashes)
	is.True(watch.crashes >= 3)
	is.True(watch.runsOf("/check/crash") <= maxCrashSends)
	is.Equal(refused, 0)
	is.Equal(unserved, 0)
}

// maxPartSends is what the users allow of requests with one part: five sends crash a replica
// each, and three may follow.
const maxPartSends = 8

// TestEdgesStopCrashingPart guards against requests with one part in their prompts, no two
// alike, that crash one replica after the other, and against the refusal of sound requests
// with the other parts (rules BUDGET, LOST).
func TestEdgesStopCrashingPart(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 3)
	watch := newCrashWatch(f, func(r *http.Request) bool { return strings.Contains(r.Header.Get("Prefix-Hash"), "dead:") })
	prompt := func(i int, parts string) call {
		return call{
			method: http.MethodPost, target: fmt.Sprint("/stream/", parts[:1], i), body: fmt.Sprint(i),
			header: fmt.Sprintf("Model: m\r\nToken-Usage: 300,20\r\nPrefix-Hash: a1:200,%s%x:50\r\n", parts, 0x1000+i),
		}
	}
	refused, unserved := 0, 0
	for i := range 16 {
		e := f.Edges[i%len(f.Edges)]
		resp, _, _ := f.do(e, prompt(i, fmt.Sprintf("dead:30,b%d:20,", i%3)))
		is.True(resp.StatusCode >= 500)
		watch.pollFor(500 * time.Millisecond)
		sound, body, _ := f.do(e, prompt(i, fmt.Sprintf("b%d:20,", i%3)))
		if strings.Contains(body, "crashed repeatedly") {
			refused++
		}
		if i >= 12 && sound.StatusCode != http.StatusOK {
			unserved++
		}
	}
	t.Logf("%d replicas crashed", watch.crashes)
	is.True(watch.crashes >= 3)
	is.True(watch.runsOf("/stream/d") <= maxPartSends)
	is.Equal(refused, 0)
	is.Equal(unserved, 0)
}
