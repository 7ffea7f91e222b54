package router_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/google/uuid"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelhold/cornelhold/internal/callerapi"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/router"
	"github.com/cornelhold/cornelhold/internal/standin/logservice"
	"github.com/cornelhold/cornelhold/internal/standin/modelengine"
	"github.com/cornelhold/cornelhold/internal/standin/plainservice"
)

// Keys of the teams counter and fitters, and their SHA-256 hashes.
const (
	counterKey  = "foo"
	counterHash = "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"
	fittersKey  = "bar"
	fittersHash = "fcde2b2edba56bf408601fb721fe9b5c338d10ee429ea04fae5511b68fbf8fb9"
)

// environment is a log service, two replicas of a plain service and a model
// engine, which routers under test use.
type environment struct {
	t        testing.TB
	logURL   string
	replicas [2]*plainservice.Service
	spec     *config.Spec
	list     []dispatch.Endpoint
}

func startEnvironment(t testing.TB, logSettings logservice.Settings) *environment {
	t.Helper()
	s := &environment{t: t, spec: testSpec()}
	service := logservice.New(logSettings)
	go func() { _ = service.Run(t.Context()) }()
	s.logURL = s.serve(service.Handler()).URL
	for i := range s.replicas {
		replica := plainservice.New()
		go func() { _ = replica.Run(t.Context()) }()
		s.replicas[i] = replica
		s.list = append(s.list, dispatch.Endpoint{
			ID: fleet.EndpointID(fmt.Sprintf("p%d", i)), Service: "bench-desk", Slots: 1024,
			Address: s.serve(s.rejectReplayable(replica.Handler())).Listener.Addr().String(), DataCentre: "kyushu-a",
		})
	}
	model := modelengine.New(modelengine.Settings{})
	go func() { _ = model.Run(t.Context()) }()
	engine := s.serve(model.Handler())
	s.list = append(s.list, dispatch.Endpoint{
		ID: "m0", Service: "dial-advisor", Slots: 64, Address: engine.Listener.Addr().String(), DataCentre: "kyushu-a",
	})
	return s
}

func (s *environment) serve(h http.Handler) *httptest.Server {
	server := httptest.NewServer(h)
	s.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server
}

// rejectReplayable fails the test when a non-idempotent call arrives in a form
// that net/http replays on a connection error.
func (s *environment) rejectReplayable(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		nonIdempotent := strings.HasSuffix(r.URL.Path, "/work-order")
		if nonIdempotent && (!r.Close || r.Header.Get("Idempotency-Key") != "" || r.Header.Get("X-Idempotency-Key") != "") {
			s.t.Errorf("a non-idempotent call uses a keep-alive connection or carries an idempotency key: %v", r.Header)
		}
		next.ServeHTTP(w, r)
	})
}

func testSpec() *config.Spec {
	return &config.Spec{
		Number: 1,
		Services: map[fleet.ServiceName]*config.Service{
			"bench-desk": {
				Name: "bench-desk", Kind: config.ServicePlain, Deadline: 5e9,
				Operations: map[string]*config.Operation{
					"work-order":  {Name: "work-order"},
					"stock-check": {Name: "stock-check", Idempotent: true},
				},
			},
			"dial-advisor": {Name: "dial-advisor", Kind: config.ServiceModel, Model: "cord", Deadline: 5e9},
		},
		Teams: map[fleet.TeamName]*config.Team{
			"counter": {Name: "counter", KeyHashes: []string{counterHash}, Weight: 1},
			"fitters": {Name: "fitters", KeyHashes: []string{fittersHash}, Weight: 1},
		},
	}
}

// router starts a router and returns the URL of its callers' interface.
func (s *environment) router(ctx context.Context) string {
	r, active, _ := s.start(ctx)
	return s.serve(callerapi.New(r, active)).URL
}

func (s *environment) start(ctx context.Context) (*router.Router, *router.Active, *prometheus.Registry) {
	env := &daemon.Env{
		Log:     &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
		Metrics: prometheus.NewRegistry(), Ready: daemon.NewReadiness(),
	}
	r, active := router.StartForTest(ctx, env, &router.Settings{Instance: uuid.NewString(), Log: s.logURL}, s.spec, s.list)
	return r, active, env.Metrics
}

func (s *environment) setLogFaults(faults logservice.Faults) {
	data, _ := json.Marshal(faults)
	req, _ := http.NewRequestWithContext(s.t.Context(), http.MethodPut, s.logURL+"/faults", bytes.NewReader(data))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// runCount returns the number of runs of a call on all replicas.
func (s *environment) runCount(id string) (n int) {
	for _, replica := range s.replicas {
		n += replica.Await(s.t.Context(), id, 0).Ran
	}
	return n
}

type response struct {
	status  int
	body    string
	problem callerapi.Problem
	header  http.Header
}

// post sends a call. It may run outside the test's goroutine.
func post(ctx context.Context, url, team, key, body string) response {
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+team)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	return do(req)
}

func do(req *http.Request) response {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{body: err.Error()}
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	a := response{status: resp.StatusCode, body: string(data), header: resp.Header}
	_ = json.Unmarshal(data, &a.problem)
	return a
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

const (
	workOrderPath  = "/v1/services/bench-desk/calls/work-order"
	stockCheckPath = "/v1/services/bench-desk/calls/stock-check"
)

// TestSameKeyOnTwoRouters guards against a call that runs twice, or gets
// different responses, when it arrives at two routers at the same time.
func TestSameKeyOnTwoRouters(t *testing.T) {
	is := is.New(t)
	s := startEnvironment(t, logservice.Settings{})
	urls := []string{s.router(t.Context()), s.router(t.Context())}
	key := newKey()
	responses := make([]response, 6)
	var done sync.WaitGroup
	for i := range responses {
		done.Go(func() { responses[i] = post(t.Context(), urls[i%2]+workOrderPath, counterKey, key, `{"call_id":"w1"}`) })
	}
	done.Wait()
	for _, a := range responses {
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.body, responses[0].body)
	}
	is.Equal(s.runCount("w1"), 1)

	other := post(t.Context(), urls[0]+workOrderPath, counterKey, key, `{"call_id":"w2"}`)
	is.Equal(other.problem.Type, "urn:cornelhold:problem:key-mismatch")
	is.Equal(other.problem.Run, "not_run")
	is.Equal(s.runCount("w2"), 0)

	// Another team's call with the same key is a separate call.
	foreign := post(t.Context(), urls[0]+workOrderPath, fittersKey, key, `{"call_id":"w3"}`)
	is.Equal(foreign.status, http.StatusOK)
	is.Equal(s.runCount("w3"), 1)
}

// TestMissingOrMalformedKey guards against non-idempotent calls that run without
// a valid idempotency key.
func TestMissingOrMalformedKey(t *testing.T) {
	is := is.New(t)
	s := startEnvironment(t, logservice.Settings{})
	url := s.router(t.Context())
	for _, key := range []string{"", "order-17", uuid.NewString(), "{" + newKey() + "}"} {
		a := post(t.Context(), url+workOrderPath, counterKey, key, `{"call_id":"w1"}`)
		is.Equal(a.status, http.StatusBadRequest)
		is.Equal(a.problem.Run, "not_run")
		is.True(strings.Contains(a.problem.Detail, "UUIDv7"))
	}
	is.Equal(s.runCount("w1"), 0)
}

// TestRouterStoppedWhileCalling guards against a second run, and a not_run
// refusal, when the router that sent the call crashes before the response.
func TestRouterStoppedWhileCalling(t *testing.T) {
	is := is.New(t)
	s := startEnvironment(t, logservice.Settings{})
	for _, replica := range s.replicas {
		replica.SetFaults(t.Context(), plainservice.Faults{Freeze: 1})
	}
	crash, stop := context.WithCancel(t.Context())
	first, second := s.router(crash), s.router(t.Context())
	key := newKey()
	go post(crash, first+workOrderPath, counterKey, key, `{"call_id":"w1"}`)
	arrived := make(chan struct{}, 2)
	for _, replica := range s.replicas {
		go func() {
			replica.Await(t.Context(), "w1", 1)
			arrived <- struct{}{}
		}()
	}
	<-arrived
	stop()
	a := post(t.Context(), second+workOrderPath, counterKey, key, `{"call_id":"w1"}`)
	is.Equal(a.problem.Run, "unknown")
	is.Equal(a.problem.Type, "urn:cornelhold:problem:key-in-use")
	is.Equal(s.runCount("w1"), 0)
}

// TestLostResponseIsUnknown guards against a repeated run after the response of
// the endpoint was lost, and against refusals of one key that contradict each
// other.
func TestLostResponseIsUnknown(t *testing.T) {
	is := is.New(t)
	s := startEnvironment(t, logservice.Settings{})
	for _, replica := range s.replicas {
		replica.SetFaults(t.Context(), plainservice.Faults{LoseResponses: 1})
	}
	urls := []string{s.router(t.Context()), s.router(t.Context())}
	key := newKey()
	for i := range 4 {
		a := post(t.Context(), urls[i%2]+workOrderPath, counterKey, key, `{"call_id":"w1"}`)
		is.Equal(a.problem.Type, "urn:cornelhold:problem:outcome-unknown")
		is.Equal(a.problem.Run, "unknown")
	}
	is.Equal(s.runCount("w1"), 1)
}

// TestLogDownRefusesOnlyCalls guards against a wrong run state in refusals during
// a log outage, and against an outage that stops idempotent calls.
func TestLogDownRefusesOnlyCalls(t *testing.T) {
	is := is.New(t)
	s := startEnvironment(t, logservice.Settings{})
	url := s.router(t.Context())
	finishedKey := newKey()
	is.Equal(post(t.Context(), url+workOrderPath, counterKey, finishedKey, `{"call_id":"w0"}`).status, http.StatusOK)
	s.setLogFaults(logservice.Faults{Down: true})
	key := newKey()
	a := post(t.Context(), url+workOrderPath, counterKey, key, `{"call_id":"w1"}`)
	is.Equal(a.status, http.StatusServiceUnavailable)
	is.Equal(a.problem.Type, "urn:cornelhold:problem:log-unavailable")
	is.Equal(a.problem.Run, "not_run")
	is.True(a.header.Get("Retry-After") != "")
	is.Equal(s.runCount("w1"), 0)
	repeated := post(t.Context(), url+workOrderPath, counterKey, finishedKey, `{"call_id":"w0"}`)
	is.Equal(repeated.problem.Run, "unknown") // its outcome is recorded and can't be read
	is.Equal(post(t.Context(), url+stockCheckPath, counterKey, "", `{"call_id":"c1"}`).status, http.StatusOK)
	s.setLogFaults(logservice.Faults{LoseAppendResponses: 2})
	is.Equal(post(t.Context(), url+workOrderPath, counterKey, key, `{"call_id":"w1"}`).status, http.StatusOK)
	is.Equal(s.runCount("w1"), 1)
}

// TestIdempotentCallIsRetriedElsewhere guards against a failed idempotent call
// while one replica fails and the other one works.
func TestIdempotentCallIsRetriedElsewhere(t *testing.T) {
	is := is.New(t)
	s := startEnvironment(t, logservice.Settings{})
	url := s.router(t.Context())
	for _, faults := range []plainservice.Faults{{Crashed: true}, {Errors: 10}, {LoseResponses: 10}} {
		s.replicas[0].SetFaults(t.Context(), faults)
		a := post(t.Context(), url+stockCheckPath, counterKey, "", `{"call_id":"c1"}`)
		is.Equal(a.status, http.StatusOK)
	}
}
