// Package e2e tests the programs over real sockets with the stand-ins.
package e2e

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelhold/cornelhold/internal/callerapi"
	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/operator"
	"github.com/cornelhold/cornelhold/internal/procs"
	"github.com/cornelhold/cornelhold/internal/router"
	"github.com/cornelhold/cornelhold/internal/standin"
	"github.com/cornelhold/cornelhold/internal/standin/modelengine"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

const testTicket = `
comment: first ticket
services:
  - name: dial-advisor
    kind: model
    model: cord
    class: interactive
    deadline: 5s
    replicas: [{data_centre: kyushu-a, class: gpu, on_demand: 2}]
teams:
  - name: counter
    key_sha256: [2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae]
    weight: 1
`

// testKey is the API key whose hash is in testTicket.
const testKey = "foo"

func testEnv() *daemon.Env {
	return &daemon.Env{
		Log:     &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
		Metrics: prometheus.NewRegistry(),
		Ready:   daemon.NewReadiness(),
	}
}

func waitReady(t *testing.T, env *daemon.Env) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	waitUntil(ctx, t, "the program is ready", func() bool { return env.Ready.Reason() == "" })
}

// TestStreamedAnswerReachesCaller guards against a break anywhere on the path of a
// streamed request: ticket, instance list, dispatch, engine stream, server-sent events.
func TestStreamedAnswerReachesCaller(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	logAddr, listAddr, engineAddr, routerAddr := procs.FreeAddress(), procs.FreeAddress(), procs.FreeAddress(), procs.FreeAddress()
	standinEnv, routerEnv := testEnv(), testEnv()
	go func() {
		_ = standin.Run(ctx, standinEnv, &standin.Settings{
			Log: &standin.LogSettings{Listen: logAddr},
			Instances: &standin.InstancesSettings{Listen: listAddr, List: []standin.InstanceRecord{
				{ID: "e1", Service: "dial-advisor", Address: engineAddr, DataCentre: "kyushu-a"},
			}},
			Engines: []standin.EngineSettings{{Listen: engineAddr}},
		})
	}()
	waitReady(t, standinEnv)
	go func() {
		_ = router.Run(ctx, routerEnv, &router.Settings{
			Instance: "r1", DataCentre: "kyushu-a", Region: "kyushu", Listen: routerAddr,
			Log: "http://" + logAddr, Instances: "http://" + listAddr,
		}, callerapi.New)
	}()
	doc, err := ticket.ParseFile("test", []byte(testTicket))
	is.NoErr(err)
	_, err = operator.NewFiler("http://"+logAddr).File(ctx, doc, "test")
	is.NoErr(err)
	waitReady(t, routerEnv)

	body := `{"model":"dial-advisor","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"route the cord"}]}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+routerAddr+"/v1/chat/completions", strings.NewReader(body))
	is.NoErr(err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	is.Equal(resp.StatusCode, http.StatusOK)
	text := readStream(t, resp.Body)
	is.Equal(text, modelengine.Completion("user: route the cord\n", 5)) // the whole response, each token once
}

func readStream(t *testing.T, body io.Reader) string {
	t.Helper()
	var text strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		_, rest, found := strings.Cut(scanner.Text(), `"content":"`)
		if !found {
			continue
		}
		content, _, _ := strings.Cut(rest, `"`)
		text.WriteString(content)
	}
	return text.String()
}
