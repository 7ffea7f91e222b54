package engine_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/request"
	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/standin/modelengine"
)

const tokens = 6

// startEngine serves a stand-in engine with the given faults until the test
// ends and returns its address.
func startEngine(t *testing.T, s modelengine.Settings, f modelengine.Faults) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = modelengine.New(s).Serve(ctx, address)
	}()
	t.Cleanup(func() { cancel(); <-done })
	data, _ := json.Marshal(f)
	for t.Context().Err() == nil {
		req, _ := http.NewRequest(http.MethodPut, "http://"+address+"/faults", bytes.NewReader(data))
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
			break
		}
	}
	return address
}

func body() engine.CompletionRequest {
	return engine.CompletionRequest{Prompt: "route the cord", MaxTokens: tokens, RequestID: "r", Attempt: 1}
}

// TestBrokenStreamIsClassified guards against treating an endpoint as crashed
// when only one connection broke or became unresponsive and new ones work.
func TestBrokenStreamIsClassified(t *testing.T) {
	for name, c := range map[string]struct {
		faults modelengine.Faults
		want   request.AttemptFailure
		frames int
	}{
		"connection closed in the stream": {modelengine.Faults{CutAfter: 2}, request.FailureBroken, 2},
		"connection unresponsive":         {modelengine.Faults{FreezeAfter: 2}, request.FailureTimeout, 2},
		"process crashed and stays down":  {modelengine.Faults{CrashMarker: "cord", CrashAfter: 2}, request.FailureCrash, -1},
		"process crashed and restarted":   {modelengine.Faults{CrashMarker: "cord", CrashAfter: 2, RestartMillis: 1}, request.FailureCrash, -1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			// The token interval is long enough for the fault to occur in mid-stream.
			address := startEngine(t, modelengine.Settings{TokenInterval: 20 * time.Millisecond}, c.faults)
			client := engine.NewClientWithIdleTimeout(300 * time.Millisecond)
			frames := 0
			result := client.Stream(t.Context(), address, body(), func(request.Frame) { frames++ })
			failed, ok := result.(request.AttemptFailed)
			is.True(ok)
			is.Equal(failed.Failure, c.want)
			is.Equal(failed.Incarnation, "1")
			is.True(c.frames < 0 || frames == c.frames)
		})
	}
}

// TestUnreachableEndpointRanNothing guards against reporting a refused
// connection as a broken stream: only an unreachable endpoint lets the router
// state that the request was not run.
func TestUnreachableEndpointRanNothing(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(l.Close())
	result := engine.NewClient().Stream(t.Context(), l.Addr().String(), body(), func(request.Frame) {})
	is.Equal(result.(request.AttemptFailed).Failure, request.FailureUnreachable)
}

// TestExportedCacheIsNotRecomputed guards against an import that is ignored:
// the engine that takes over must not process the transferred prompt again.
func TestExportedCacheIsNotRecomputed(t *testing.T) {
	is := is.New(t)
	source := startEngine(t, modelengine.Settings{TokenInterval: time.Hour, ExportPerToken: time.Microsecond}, modelengine.Faults{})
	target := startEngine(t, modelengine.Settings{}, modelengine.Faults{})
	client := engine.NewClient()
	started := make(chan request.Message)
	first := body()
	go func() { started <- client.Stream(t.Context(), source, first, func(request.Frame) {}) }()
	var url string
	for url == "" && t.Context().Err() == nil {
		// The stream may not have started yet.
		url, _ = client.Export(t.Context(), source, engine.StreamRef{RequestID: "r", Attempt: 1})
	}
	<-started
	second := body()
	second.Attempt, second.ImportFrom = 2, url
	is.Equal(client.Stream(t.Context(), target, second, func(request.Frame) {}), request.StreamEnded{Attempt: 2})
	resp, err := http.Get("http://" + target + engine.StatusPath)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	var status engine.Status
	is.NoErr(json.NewDecoder(resp.Body).Decode(&status))
	is.Equal(status.PrefilledTokens, 0)
}
