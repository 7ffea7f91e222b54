package callerapi

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/router"
)

// TestMalformedRequestsAreProblems guards against error responses in the format
// of the HTTP library, which have no stable problem type and don't state whether
// the request was run.
func TestMalformedRequestsAreProblems(t *testing.T) {
	handler := New(nil, &router.Active{})
	cases := map[string]struct {
		method, path, body string
		status             int
	}{
		"not JSON":     {http.MethodPost, "/v1/chat/completions", `{"model":`, http.StatusBadRequest},
		"missing key":  {http.MethodPost, "/v1/chat/completions", `{"model":"m"}`, http.StatusUnprocessableEntity},
		"wrong type":   {http.MethodPost, "/v1/chat/completions", `{"model":1,"messages":[{"role":"user","content":"a"}]}`, http.StatusUnprocessableEntity},
		"image part":   {http.MethodPost, "/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, http.StatusUnprocessableEntity},
		"unknown path": {http.MethodGet, "/v2/nothing", "", http.StatusNotFound},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			req := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			req.Header.Set("Content-Type", "application/json")
			resp := httptest.NewRecorder()
			handler.ServeHTTP(resp, req)
			is.Equal(resp.Code, c.status)
			is.Equal(resp.Header().Get("Content-Type"), "application/problem+json")
			var problem Problem
			is.NoErr(json.Unmarshal(resp.Body.Bytes(), &problem))
			is.True(strings.HasPrefix(problem.Type, problemTypePrefix))
			is.Equal(problem.Run, "not_run")
			is.Equal(problem.Status, c.status)
		})
	}
}

// TestContentForms guards against refusing clients that send the content of a
// message as a list of parts or as null.
func TestContentForms(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]chatContent{
		`"a"`: "a", `null`: "", `[{"type":"text","text":"a"},{"type":"text","text":"b"}]`: "ab",
	} {
		var content chatContent
		is.NoErr(json.Unmarshal([]byte(text), &content))
		is.Equal(content, want)
	}
}

// TestSubmissionIsChecked guards against accepting a chat completion for a plain
// service or a token limit above the model's context.
func TestSubmissionIsChecked(t *testing.T) {
	is := is.New(t)
	spec := &config.Spec{
		Services: map[fleet.ServiceName]*config.Service{
			"desk":  {Kind: config.ServicePlain},
			"model": {Kind: config.ServiceModel, Model: "m"},
		},
		Models: map[string]*config.Model{"m": {ContextTokens: 100}},
	}
	is.Equal(checkSubmission(spec, router.Submission{Service: "desk"}).Kind, fleet.RefusedUnknownService)
	is.Equal(checkSubmission(spec, router.Submission{Service: "model", MaxTokens: 101}).Kind, fleet.RefusedInvalid)
	is.True(checkSubmission(spec, router.Submission{Service: "model", MaxTokens: 100}) == nil)
}
