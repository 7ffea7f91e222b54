package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/localfleet"
	"github.com/cornelhold/cornelhold/internal/standin/logservice"
	"github.com/cornelhold/cornelhold/internal/standin/plainservice"
)

const processTicket = testTicket + `
data_centres:
  - {name: kyushu-a, region: kyushu}
  - {name: kyushu-b, region: kyushu}
models:
  - {name: cord, version: "1", weight_bytes: 1, context_tokens: 4096}
`

const deskService = `
  - name: bench-desk
    kind: plain
    class: interactive
    deadline: 2s
    replicas: [{data_centre: kyushu-a, class: cpu-small, on_demand: 2}]
    operations:
      - {name: stock-check, idempotent: true, class: interactive, latency: 150ms}
      - {name: work-order, idempotent: false, class: interactive, latency: 500ms}
teams:`

// processTimeout bounds one process test.
const processTimeout = 60 * time.Second

// programsDir is the folder with the built programs, empty if nothing was built.
var programsDir string

// programs builds the programs once for all process tests.
var programs = sync.OnceValues(func() (string, error) {
	bin, err := os.MkdirTemp("", "cornelhold-programs-")
	if err != nil {
		return "", err
	}
	programsDir = bin
	cmd := exec.Command("go", "build", "-o", bin+string(filepath.Separator), "./cmd/...")
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build failed: %s", out)
	}
	return bin, nil
})

// TestMain removes the programs after the tests.
func TestMain(m *testing.M) {
	code := m.Run()
	if programsDir != "" {
		_ = os.RemoveAll(programsDir)
	}
	os.Exit(code)
}

// processFleet starts two routers, one engine and two plain services as
// separate processes and files the first ticket.
func processFleet(t *testing.T) (context.Context, *localfleet.Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), processTimeout)
	t.Cleanup(cancel)
	bin, err := programs()
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := localfleet.New(bin, localfleet.Layout{
		Region:  "kyushu",
		Engines: []*localfleet.Engine{{ID: "e1", Service: "dial-advisor", DataCentre: "kyushu-a", TokenInterval: time.Millisecond, Slots: 8}},
		PlainServices: []*localfleet.PlainService{
			{ID: "p1", Service: "bench-desk", DataCentre: "kyushu-a"},
			{ID: "p2", Service: "bench-desk", DataCentre: "kyushu-b"},
		},
		Routers: []*localfleet.Router{{Name: "r1", DataCentre: "kyushu-a"}, {Name: "r2", DataCentre: "kyushu-b"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { stopFleet(t, fleet) })
	for _, start := range []func(context.Context) error{
		fleet.StartStandins, fleet.StartRouters,
		func(ctx context.Context) error {
			return fleet.FileTicket(ctx, strings.Replace(processTicket, "\nteams:", deskService, 1))
		},
		fleet.WaitReady,
	} {
		if err := start(ctx); err != nil {
			t.Fatal(err)
		}
	}
	return ctx, fleet
}

func stopFleet(t *testing.T, fleet *localfleet.Fleet) {
	if t.Failed() {
		for _, r := range fleet.Routers {
			data, _ := os.ReadFile(filepath.Join(fleet.Dir(), r.Name+".log"))
			t.Logf("%s:\n%s", r.Name, data)
		}
	}
	fleet.Stop(false)
}

// callResponse is the response to one call, or the error of the connection.
type callResponse struct {
	status int
	body   string
	// kind and run are set if the body is a problem document.
	kind, run string
	err       error
}

func callDesk(ctx context.Context, r *localfleet.Router, operation, callID, key string) callResponse {
	url := "http://" + r.Listen + "/v1/services/bench-desk/calls/" + operation
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(fmt.Sprintf(`{"call_id":%q}`, callID)))
	if err != nil {
		return callResponse{err: err}
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	result := callResponse{status: resp.StatusCode, body: string(data), err: err}
	var problem struct{ Type, Run string }
	if json.Unmarshal(data, &problem) == nil {
		result.kind, result.run = strings.TrimPrefix(problem.Type, "urn:cornelhold:problem:"), problem.Run
	}
	return result
}

// deskCounts returns how often the plain services received and ran one call, summed
// over all of them.
func deskCounts(t *testing.T, fleet *localfleet.Fleet, callID string) plainservice.Counts {
	t.Helper()
	var sum plainservice.Counts
	for _, p := range fleet.PlainServices {
		resp, err := http.Get("http://" + p.Address + "/counts/" + callID)
		if err != nil {
			t.Fatal(err)
		}
		var counts plainservice.Counts
		err = json.NewDecoder(resp.Body).Decode(&counts)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		sum.Received += counts.Received
		sum.Ran += counts.Ran
	}
	return sum
}

// waitUntil repeats a check until it holds. It fails the test when ctx is cancelled.
func waitUntil(ctx context.Context, t *testing.T, what string, check func() bool) {
	t.Helper()
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !check() {
		select {
		case <-ctx.Done():
			t.Fatal("timed out waiting until " + what)
		case <-ticker.C:
		}
	}
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// TestKilledRouterLeavesOutcomeUnknown guards against a work order that runs twice, or
// is reported as not run, because the router that had sent it was killed before it
// recorded the outcome.
func TestKilledRouterLeavesOutcomeUnknown(t *testing.T) {
	is := is.New(t)
	ctx, fleet := processFleet(t)
	for _, p := range fleet.PlainServices {
		is.NoErr(localfleet.PutJSON(ctx, "http://"+p.Address+"/faults", plainservice.Faults{DelayMillis: 1000}))
	}
	key := newKey()
	first := make(chan callResponse, 1)
	go func() { first <- callDesk(ctx, fleet.Routers[0], "work-order", "order", key) }()
	waitUntil(ctx, t, "the order was sent", func() bool { return deskCounts(t, fleet, "order").Received == 1 })
	fleet.Routers[0].Process.Kill()
	is.True((<-first).err != nil) // the connection broke

	// Until the outcome is known, a repeat with the same key gets the response that it
	// is unknown; the call is never run again.
	repeat := callDesk(ctx, fleet.Routers[1], "work-order", "order", key)
	is.NoErr(repeat.err)
	is.Equal(repeat.status, http.StatusConflict)
	is.True(repeat.run == "unknown") // neither run again nor reported as not run
	repeat = callDesk(ctx, fleet.Routers[1], "work-order", "order", key)
	is.Equal(repeat.run, "unknown")
	// The service may or may not run a call whose connection broke; no router
	// sends it again.
	is.Equal(deskCounts(t, fleet, "order").Received, 1)
}

// TestLogOutageStopsOnlyWorkOrders guards against a work order that is sent without a
// claim while the log service is down, and against an outage that stops idempotent
// calls too. The refusal reports "not run", so the same key must run once afterwards.
func TestLogOutageStopsOnlyWorkOrders(t *testing.T) {
	is := is.New(t)
	ctx, fleet := processFleet(t)
	is.NoErr(localfleet.PutJSON(ctx, "http://"+fleet.Log+"/faults", logservice.Faults{Down: true}))
	key := newKey()
	refused := callDesk(ctx, fleet.Routers[0], "work-order", "order", key)
	is.NoErr(refused.err)
	is.Equal(refused.status, http.StatusServiceUnavailable)
	is.Equal(refused.run, "not_run")
	is.Equal(callDesk(ctx, fleet.Routers[0], "stock-check", "stock", "").status, http.StatusOK)
	is.Equal(deskCounts(t, fleet, "order"), plainservice.Counts{})

	is.NoErr(localfleet.PutJSON(ctx, "http://"+fleet.Log+"/faults", logservice.Faults{}))
	waitUntil(ctx, t, "the order is accepted again", func() bool {
		return callDesk(ctx, fleet.Routers[1], "work-order", "order", key).status == http.StatusOK
	})
	is.Equal(deskCounts(t, fleet, "order").Ran, 1)
}

// TestLostAppendResponses guards against a work order that runs twice, or is refused as
// not run although it runs, because the log service stored a claim or an outcome but
// its response was lost.
func TestLostAppendResponses(t *testing.T) {
	is := is.New(t)
	ctx, fleet := processFleet(t)
	for lost := 1; lost <= 3; lost++ {
		is.NoErr(localfleet.PutJSON(ctx, "http://"+fleet.Log+"/faults", logservice.Faults{LoseAppendResponses: lost}))
		id, key := fmt.Sprint("order-", lost), newKey()
		result := callDesk(ctx, fleet.Routers[0], "work-order", id, key)
		is.NoErr(result.err)
		is.NoErr(localfleet.PutJSON(ctx, "http://"+fleet.Log+"/faults", logservice.Faults{}))
		ran := deskCounts(t, fleet, id).Ran
		is.True(ran <= 1)
		if result.run == "not_run" {
			is.Equal(ran, 0)
		}
		if result.status == http.StatusOK {
			is.Equal(ran, 1)
			again := callDesk(ctx, fleet.Routers[1], "work-order", id, key)
			is.Equal(again.body, result.body) // the same response for the same key
			is.Equal(deskCounts(t, fleet, id).Ran, 1)
		}
	}
}
