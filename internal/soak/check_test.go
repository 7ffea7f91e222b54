package soak

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/standin/edgefleet"
	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
)

// servedCall returns a call with a complete, signed response.
func servedCall(attempt string) *call {
	return &call{
		attempt: attempt, method: http.MethodPost, target: "/order/x", body: "b", status: http.StatusOK, responseBody: "answer of " + attempt,
		header: http.Header{"Attempt-Id": {attempt}, "Replica-Signature": {"p0"}},
	}
}

// newRun returns the execution of a call that a replica records if the request
// arrives unchanged.
func newRun(c *call) userplatform.Run {
	return userplatform.Run{
		Method: c.method, Target: c.target, Body: c.body,
		Header: http.Header{"Attempt-Id": {c.attempt}, "Tenant": {edgefleet.Team}},
	}
}

// TestViolationsAreFound guards against a soak that passes although a guarantee
// was violated: each case breaks one guarantee in an otherwise correct call.
func TestViolationsAreFound(t *testing.T) {
	usage := func(window int64, holder string, fence int64, n int) userplatform.UsageReport {
		return userplatform.UsageReport{Window: window, Holder: holder, Fence: fence, Counts: map[string]int{"t": n}}
	}
	cases := []struct {
		name, want string
		calls      func(c *call) []*call
		runs       func(r userplatform.Run) []userplatform.Run
		usage      []userplatform.UsageReport
	}{
		{name: "no violation", want: ""},
		{name: "executed twice", want: "ran 2 times", runs: func(r userplatform.Run) []userplatform.Run { return []userplatform.Run{r, r} }},
		{name: "request that no caller sent", want: "which no caller sent", calls: func(*call) []*call { return nil }},
		{name: "target changed on the way", want: "changed", runs: func(r userplatform.Run) []userplatform.Run { r.Target += "y"; return []userplatform.Run{r} }},
		{name: "forged team reached a replica", want: "for team", runs: func(r userplatform.Run) []userplatform.Run {
			r.Header.Set("Tenant", "forged")
			return []userplatform.Run{r}
		}},
		{name: "API key reached a replica", want: "the key", runs: func(r userplatform.Run) []userplatform.Run {
			r.Header.Set("Authorization", "k")
			return []userplatform.Run{r}
		}},
		{name: "refused with 503 but executed", want: "and ran", calls: func(c *call) []*call { c.status = http.StatusServiceUnavailable; return []*call{c} }},
		{name: "response to another request", want: "got", calls: func(c *call) []*call { c.responseBody = "answer of other"; return []*call{c} }},
		{name: "unsigned response", want: "headers", calls: func(c *call) []*call { c.header.Del("Replica-Signature"); return []*call{c} }},
		{name: "truncated stream with status 200", want: "got", calls: func(c *call) []*call {
			c.target, c.responseBody = "/stream/x", userplatform.Event(1)
			return []*call{c}
		}, runs: func(r userplatform.Run) []userplatform.Run { r.Target = "/stream/x"; return []userplatform.Run{r} }},
		{name: "connection error is no violation", want: "", calls: func(c *call) []*call { c.err = errors.New("cut"); return []*call{c} }},
		{name: "two counts for one usage window", want: "was reported with", usage: []userplatform.UsageReport{usage(1, "a", 1, 2), usage(1, "a", 1, 3)}},
		{name: "two holders with one fencing token", want: "acted with fence", usage: []userplatform.UsageReport{usage(1, "a", 1, 2), usage(2, "b", 1, 2)}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := servedCall("a-1")
			calls, runs := []*call{c}, []userplatform.Run{newRun(c)}
			if tc.runs != nil {
				runs = tc.runs(runs[0])
			}
			if tc.calls != nil {
				calls = tc.calls(c)
			}
			found := strings.Join(findViolations(calls, runs, tc.usage, nil), "; ")
			if tc.want == "" {
				is.Equal(found, "")
			}
			is.True(strings.Contains(found, tc.want))
		})
	}
}
