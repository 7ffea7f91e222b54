package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/standin/edgefleet"
	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
)

// TestEdgeForwardsUnchanged guards against requests whose method, path, query or body
// changes on the way to a replica, and against headers from callers that only the
// system may set.
func TestEdgeForwardsUnchanged(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	target := "/order/a%2Fb//../c?x=1&y=%20"
	body := "POST /order/inner HTTP/1.1\r\nHost: h.example\r\n\r\n"
	resp, got, id := f.do(f.Edges[0], call{
		method: http.MethodPost, target: target, body: body,
		header: "Tenant: forged\r\nRetention: 5\r\nKv-From: x\r\nX-Own: kept\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n",
	})
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(got, "answer of "+id)
	is.True(resp.Header.Get("Replica-Signature") != "")
	all := runs(f.PlainReplicas)
	is.Equal(len(all), 1)
	run := all[0]
	is.Equal(run.Target, target)
	is.Equal(run.Body, body)
	is.Equal(run.Header.Get("Tenant"), "team-1")
	is.Equal(run.Header.Get("X-Own"), "kept")
	for _, name := range []string{"Authorization", "Retention", "Kv-From", "X-Hop", "Connection"} {
		is.Equal(run.Header.Get(name), "")
	}
	resp, _, _ = f.do(f.Edges[0], call{method: http.MethodGet, target: "/check/x", key: "unknown"})
	is.Equal(resp.StatusCode, http.StatusUnauthorized)
	resp, _, _ = f.do(f.Edges[0], call{method: http.MethodGet, target: "/nowhere/x"})
	is.Equal(resp.StatusCode, http.StatusNotFound)
	resp, _, _ = f.do(f.Edges[0], call{method: http.MethodPost, target: "/order/x", body: strings.Repeat("x", 100001)})
	is.Equal(resp.StatusCode, http.StatusRequestEntityTooLarge)
}

// TestEdgeAnswersAreWholeAndOwn guards against responses that belong to another request,
// are duplicated, unsigned or truncated (rules MIXED, ORDER).
func TestEdgeAnswersAreWholeAndOwn(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	for _, fault := range []userplatform.Fault{userplatform.FaultStaleResponse, userplatform.FaultExtraResponse, userplatform.FaultNone} {
		setFault(f.PlainReplicas, fault)
		for range 6 {
			resp, body, id := f.do(f.Edges[0], call{method: http.MethodGet, target: "/check/x"})
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, "answer of "+id)
		}
	}
	setFault(f.PlainReplicas, userplatform.FaultUnsigned)
	resp, _, _ := f.do(f.Edges[0], call{method: http.MethodGet, target: "/check/x"})
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	for _, fault := range []userplatform.Fault{userplatform.FaultTruncateStream, userplatform.FaultUnframedStream} {
		for i := range 4 {
			f.ModelReplicas[0].SetFault(fault)
			f.ModelReplicas[1].SetFault(userplatform.FaultNone)
			resp, body, _ := f.do(f.Edges[0], call{method: http.MethodPost, target: fmt.Sprintf("/stream/%d-%d", fault, i), body: "prompt"})
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, allEvents(6)) // continued at the other replica
		}
		setFault(f.ModelReplicas, fault)
		conn, _ := f.sendCall(f.Edges[0], call{method: http.MethodPost, target: "/stream-once/x"})
		_, body, err := f.readResponse(conn, http.MethodPost)
		is.True(err != nil) // a truncated response must be recognizable
		is.Equal(body, allEvents(2))
	}
	setFault(f.ModelReplicas, userplatform.FaultUnframedHead)
	resp, _, _ = f.do(f.Edges[0], call{method: http.MethodPost, target: "/stream-once/x"})
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}

// TestCutAnswerIsNotPassedOn guards against a part of an answer without a length that callers get
// as the whole one, because its replica reset the connection while a long request was still being
// written to it (rules MIXED, ORDER).
func TestCutAnswerIsNotPassedOn(t *testing.T) {
	const bodyBytes = 8 << 20
	f := newEdgeFleet(t, 1)
	f.Configure(strings.Replace(f.Config(edgefleet.PlainService, "key-1"), `"max-body-bytes":100000`, fmt.Sprintf(`"max-body-bytes":%d`, bodyBytes), 1))
	f.eventually(10*time.Second, "the limit of bodies to be active", func() bool {
		resp, _, _ := f.do(f.Edges[0], call{method: http.MethodPost, target: "/check/x", body: strings.Repeat("x", 200_000)})
		return resp.StatusCode == http.StatusOK
	})
	setFault(f.PlainReplicas, userplatform.FaultResetInUpload)
	setFault(f.ModelReplicas, userplatform.FaultResetInUpload)
	for _, route := range []string{"check", "order", "stream", "stream-once"} {
		for i := range 5 {
			target := fmt.Sprintf("/%s/%d", route, i)
			conn, _ := f.sendCall(f.Edges[0], call{method: http.MethodPost, target: target, body: strings.Repeat("x", bodyBytes)})
			resp, body, err := f.readResponse(conn, http.MethodPost)
			if resp.StatusCode < 300 && err == nil {
				t.Errorf("%s: got the part %q as a complete answer with status %d", target, body, resp.StatusCode)
			}
		}
	}
}

// TestInvalidStatusIsNotPassedOn guards against an answer with status 000, which is none of HTTP, and
// that callers get as an answer of their request (rule MIXED).
func TestInvalidStatusIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	setFault(f.PlainReplicas, userplatform.FaultInvalidStatus)
	setFault(f.ModelReplicas, userplatform.FaultInvalidStatus)
	for _, route := range []string{"check", "order", "stream", "stream-once"} {
		resp, _, _ := f.do(f.Edges[0], call{method: http.MethodPost, target: "/" + route + "/x"})
		is.Equal(resp.StatusCode, http.StatusBadGateway)
	}
}

// TestStaleRefusalIsNotPassedOn guards against an earlier refusal that a replica sends once
// more on a kept connection: callers would be told that a request did not run which does,
// or it would run at a second replica (rules REFUSED, TWICE).
func TestStaleRefusalIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	for i := range 12 {
		setFault(f.PlainReplicas, []userplatform.Fault{userplatform.FaultNone, userplatform.FaultStaleRefusal}[i%2])
		for _, target := range []string{"/order/", "/check/"} {
			resp, body, id := f.do(f.Edges[0], call{method: http.MethodPost, target: fmt.Sprint(target, i)})
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(body, "answer of "+id)
		}
	}
	is.Equal(len(runs(f.PlainReplicas)), 24)
}

// TestErrorAfterEventsIsNotPassedOn guards against the error of a second replica in the
// middle of a stream that the first one broke off, and against a stream that then ends as if
// it were complete, also where the second one closes the connection behind its head (rules
// ORDER, MIXED).
func TestErrorAfterEventsIsNotPassedOn(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	for _, then := range []userplatform.Fault{
		userplatform.FaultServerError, userplatform.FaultReject, userplatform.FaultUnsigned, userplatform.FaultReset,
		userplatform.FaultUnframedHead,
	} {
		seen := false
		for i := range 12 {
			f.ModelReplicas[i%2].SetFault(userplatform.FaultTruncateStream)
			f.ModelReplicas[1-i%2].SetFault(then)
			conn, _ := f.sendCall(f.Edges[0], call{method: http.MethodPost, target: fmt.Sprint("/stream/", i)})
			resp, body, err := f.readResponse(conn, http.MethodPost)
			if resp.StatusCode != http.StatusOK {
				continue // the first replica was the one with the error
			}
			seen = true
			is.True(err != nil)
			is.Equal(body, allEvents(2))
		}
		is.True(seen)
	}
}

// TestEdgeRunsOnce guards against a request that runs twice although it is not
// idempotent, and against a refusal of a request that has run (rules TWICE, REFUSED).
func TestEdgeRunsOnce(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 1)
	setFault(f.PlainReplicas, userplatform.FaultReset)
	resp, _, _ := f.do(f.Edges[0], call{method: http.MethodPost, target: "/order/x"})
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	is.Equal(len(runs(f.PlainReplicas)), 1)
	resp, _, _ = f.do(f.Edges[0], call{method: http.MethodGet, target: "/check/x"})
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	is.Equal(len(runs(f.PlainReplicas)), 3) // an idempotent request is tried at both
	setFault(f.PlainReplicas, userplatform.FaultReject)
	resp, _, _ = f.do(f.Edges[0], call{method: http.MethodPost, target: "/order/x"})
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(len(runs(f.PlainReplicas)), 3)
	setFault(f.PlainReplicas, userplatform.FaultNoResponse)
	started := time.Now()
	resp, _, _ = f.do(f.Edges[0], call{method: http.MethodPost, target: "/order/x"})
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.True(time.Since(started) < 1500*time.Millisecond+timeoutSlack)
}
