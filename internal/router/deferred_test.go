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

type jobAnswer struct {
	ID        string          `json:"id"`
	Status    string          `json:"status"`
	StatusURL string          `json:"status_url"`
	Until     string          `json:"readable_until"`
	Text      string          `json:"text"`
	Response  json.RawMessage `json:"response"`
}

func get(ctx context.Context, url, team string) (answer, jobAnswer) {
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	req.Header.Set("Authorization", "Bearer "+team)
	a := do(req)
	var job jobAnswer
	_ = json.Unmarshal([]byte(a.body), &job)
	return a, job
}

// awaitJob reads the status until the job has ended; the test's deadline
// bounds the number of reads.
func awaitJob(ctx context.Context, url string) (job jobAnswer) {
	for ctx.Err() == nil && job.Status != "done" && job.Status != "failed" {
		_, job = get(ctx, url, counterKey)
	}
	return job
}

// TestDeferredJobSurvivesAllRouters guards against a job that is lost when
// every router vanishes after it was accepted.
func TestDeferredJobSurvivesAllRouters(t *testing.T) {
	is := is.New(t)
	s := startSite(t, logservice.Settings{})
	for _, replica := range s.replicas {
		replica.SetFaults(t.Context(), plainservice.Faults{Freeze: 1})
	}
	crash, stop := context.WithCancel(t.Context())
	url := s.router(crash)
	accepted := post(crash, url+"/v1/deferred", counterKey, "",
		`{"service":"bench-desk","operation":"stock-check","body":{"call_id":"d1"}}`)
	is.Equal(accepted.status, http.StatusAccepted)
	var job jobAnswer
	is.NoErr(json.Unmarshal([]byte(accepted.body), &job))
	is.True(job.Until != "")
	stop() // the only router vanishes
	for _, replica := range s.replicas {
		replica.SetFaults(t.Context(), plainservice.Faults{})
	}
	successor := s.router(t.Context())
	done := awaitJob(t.Context(), successor+job.StatusURL)
	is.Equal(done.Status, "done")
	is.True(strings.Contains(string(done.Response), `"call_id":"d1"`))
}

// TestDeferredCompletion guards the path of a model's deferred answer, and
// against a team that reads another team's job.
func TestDeferredCompletion(t *testing.T) {
	is := is.New(t)
	s := startSite(t, logservice.Settings{})
	url := s.router(t.Context())
	accepted := post(t.Context(), url+"/v1/deferred", counterKey, "",
		`{"service":"dial-advisor","max_tokens":300,"messages":[{"role":"user","content":"proofs"}]}`)
	is.Equal(accepted.status, http.StatusAccepted)
	var job jobAnswer
	is.NoErr(json.Unmarshal([]byte(accepted.body), &job))
	foreign, _ := get(t.Context(), url+job.StatusURL, fittersKey)
	is.Equal(foreign.status, http.StatusNotFound)
	is.Equal(awaitJob(t.Context(), url+job.StatusURL).Text, modelengine.Completion("user: proofs\n", 300))
}

// TestDeferredRefusals guards against jobs that are acknowledged without a
// record, and against deferred calls that may not be repeated.
func TestDeferredRefusals(t *testing.T) {
	is := is.New(t)
	s := startSite(t, logservice.Settings{})
	url := s.router(t.Context())
	a := post(t.Context(), url+"/v1/deferred", counterKey, "", `{"service":"bench-desk","operation":"work-order","body":{}}`)
	is.Equal(a.status, http.StatusBadRequest)
	s.faultLog(logservice.Faults{Down: true})
	a = post(t.Context(), url+"/v1/deferred", counterKey, "", `{"service":"bench-desk","operation":"stock-check","body":{}}`)
	is.Equal(a.problem.Type, "urn:cornelhold:problem:log-unavailable")
	is.Equal(a.problem.Run, "not_run")
}
