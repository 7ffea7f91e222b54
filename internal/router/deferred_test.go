package router_test

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/standin/logservice"
	"github.com/cornelhold/cornelhold/internal/standin/modelengine"
	"github.com/cornelhold/cornelhold/internal/standin/plainservice"
)

type jobStatus struct {
	ID        string          `json:"id"`
	Status    string          `json:"status"`
	StatusURL string          `json:"status_url"`
	Until     string          `json:"readable_until"`
	Text      string          `json:"text"`
	Response  json.RawMessage `json:"response"`
}

func get(ctx context.Context, url, team string) (response, jobStatus) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	req.Header.Set("Authorization", "Bearer "+team)
	a := do(req)
	var job jobStatus
	_ = json.Unmarshal([]byte(a.body), &job)
	return a, job
}

// awaitJob reads the status until the job or ctx has ended.
func awaitJob(ctx context.Context, url string) (job jobStatus) {
	for ctx.Err() == nil && job.Status != "done" && job.Status != "failed" {
		_, job = get(ctx, url, counterKey)
	}
	return job
}

// TestDeferredJobSurvivesAllRouters guards against a job that is lost when all
// routers crash after it was accepted.
func TestDeferredJobSurvivesAllRouters(t *testing.T) {
	is := is.New(t)
	s := startEnvironment(t, logservice.Settings{})
	for _, replica := range s.replicas {
		replica.SetFaults(t.Context(), plainservice.Faults{Freeze: 1})
	}
	crash, stop := context.WithCancel(t.Context())
	url := s.router(crash)
	accepted := post(crash, url+"/v1/deferred", counterKey, "",
		`{"service":"bench-desk","operation":"stock-check","body":{"call_id":"d1"}}`)
	is.Equal(accepted.status, http.StatusAccepted)
	var job jobStatus
	is.NoErr(json.Unmarshal([]byte(accepted.body), &job))
	is.True(job.Until != "")
	stop() // the only router crashes
	for _, replica := range s.replicas {
		replica.SetFaults(t.Context(), plainservice.Faults{})
	}
	successor := s.router(t.Context())
	done := awaitJob(t.Context(), successor+job.StatusURL)
	is.Equal(done.Status, "done")
	is.True(strings.Contains(string(done.Response), `"call_id":"d1"`))
}

// TestDeferredCompletion checks the result of a deferred completion, and guards
// against a team that reads another team's job.
func TestDeferredCompletion(t *testing.T) {
	is := is.New(t)
	s := startEnvironment(t, logservice.Settings{})
	url := s.router(t.Context())
	accepted := post(t.Context(), url+"/v1/deferred", counterKey, "",
		`{"service":"dial-advisor","max_tokens":300,"messages":[{"role":"user","content":"proofs"}]}`)
	is.Equal(accepted.status, http.StatusAccepted)
	var job jobStatus
	is.NoErr(json.Unmarshal([]byte(accepted.body), &job))
	foreign, _ := get(t.Context(), url+job.StatusURL, fittersKey)
	is.Equal(foreign.status, http.StatusNotFound)
	is.Equal(awaitJob(t.Context(), url+job.StatusURL).Text, modelengine.Completion("user: proofs\n", 300))
}

// TestDeferredRefusals guards against jobs that are acknowledged but not stored
// in the log, and against deferred non-idempotent calls.
func TestDeferredRefusals(t *testing.T) {
	is := is.New(t)
	s := startEnvironment(t, logservice.Settings{})
	url := s.router(t.Context())
	a := post(t.Context(), url+"/v1/deferred", counterKey, "", `{"service":"bench-desk","operation":"work-order","body":{}}`)
	is.Equal(a.status, http.StatusBadRequest)
	s.setLogFaults(logservice.Faults{Down: true})
	a = post(t.Context(), url+"/v1/deferred", counterKey, "", `{"service":"bench-desk","operation":"stock-check","body":{}}`)
	is.Equal(a.problem.Type, "urn:cornelhold:problem:log-unavailable")
	is.Equal(a.problem.Run, "not_run")
}
