package e2e

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/standin/modelengine"
)

// slowEngine generates tokens slowly enough that a fault occurs in mid-stream.
var slowEngine = modelengine.Settings{TokenInterval: 10 * time.Millisecond, ExportPerToken: time.Microsecond}

// eventReader reads a server-sent event stream token by token. ended reports that the
// stream was terminated by [DONE].
type eventReader struct {
	scanner *bufio.Scanner
	text    strings.Builder
	lastID  string
	ended   bool
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{scanner: bufio.NewScanner(body)}
}

// next reads one token and reports whether the stream had another one.
func (e *eventReader) next() bool {
	for e.scanner.Scan() {
		line := e.scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			e.lastID = id
		}
		if line == "data: [DONE]" {
			e.ended = true
			return false
		}
		if _, rest, ok := strings.Cut(line, `"content":"`); ok {
			text, _, _ := strings.Cut(rest, `"`)
			e.text.WriteString(text)
			return true
		}
	}
	return false
}

func (e *eventReader) readTokens(n int) {
	for range n {
		e.next()
	}
}

func (e *eventReader) readRest() {
	for e.next() {
	}
}

// TestOpenAIClientIsServed guards against an API that an unmodified OpenAI client can't
// use, for whole and streamed responses.
func TestOpenAIClientIsServed(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, modelengine.Settings{}, 1, 1, 0)
	client := openai.NewClient(option.WithBaseURL("http://"+c.routers[0].address+"/v1"), option.WithAPIKey(testKey))
	params := openai.ChatCompletionNewParams{
		Model: "dial-advisor", MaxCompletionTokens: openai.Int(7),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("route the cord")},
	}
	whole, err := client.Chat.Completions.New(c.ctx, params)
	is.NoErr(err)
	is.Equal(whole.Choices[0].Message.Content, expectedText("route the cord", 7))
	stream := client.Chat.Completions.NewStreaming(c.ctx, params)
	var text strings.Builder
	for stream.Next() {
		text.WriteString(stream.Current().Choices[0].Delta.Content)
	}
	is.NoErr(stream.Err())
	is.Equal(text.String(), expectedText("route the cord", 7))
}

// TestStreamSurvivesItsEndpoint guards against a response with missing or duplicate
// tokens when the endpoint fails or is reclaimed in mid-stream (guarantees G1, G2).
func TestStreamSurvivesItsEndpoint(t *testing.T) {
	const tokens = 60
	for name, inject := range map[string]func(c *cluster, engine int){
		"reclaimed endpoint":      func(c *cluster, e int) { c.reclaim(c.instances[e].ID, 300*time.Millisecond) },
		"crashed endpoint":        func(c *cluster, e int) { c.injectFaults(e, modelengine.Faults{CrashMarker: "cord", CrashAfter: 1}) },
		"misordered frames":       nil,
		"frozen stream":           nil,
		"cut connection":          nil,
		"two endpoints reclaimed": func(c *cluster, _ int) { c.reclaim("e0", 300*time.Millisecond); c.reclaim("e1", 300*time.Millisecond) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(t, slowEngine, 3, 1, 0)
			for i := range 3 {
				switch name {
				case "frozen stream":
					c.injectFaults(i, modelengine.Faults{FreezeAfter: 20, Streams: 1})
				case "cut connection":
					c.injectFaults(i, modelengine.Faults{CutAfter: 20, Streams: 1})
				case "misordered frames":
					c.injectFaults(i, modelengine.Faults{Late: true, Duplicate: true, Crossed: true})
				}
			}
			resp := c.requestCompletion(0, "route the cord", tokens, true)
			is.Equal(resp.StatusCode, http.StatusOK)
			e := newEventReader(resp.Body)
			e.readTokens(3)
			if inject != nil {
				inject(c, c.busyEngine())
			}
			e.readRest()
			is.True(e.ended)
			is.Equal(e.text.String(), expectedText("route the cord", tokens))
		})
	}
}

// busyEngine returns the engine that runs a stream.
func (c *cluster) busyEngine() int {
	busy := 0
	c.eventually(func() bool {
		for i := range c.engines {
			resp, err := http.Get("http://" + c.engines[i] + "/v1/status")
			if err != nil {
				continue
			}
			var status struct{ Running int }
			_ = json.NewDecoder(resp.Body).Decode(&status)
			_ = resp.Body.Close()
			if status.Running > 0 {
				busy = i
				return true
			}
		}
		return false
	})
	return busy
}

func (c *cluster) drain(r int, remaining string) {
	w := httptest.NewRecorder()
	c.routers[r].env.Admin.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/drain?remaining_ms="+remaining, nil))
	if w.Code != http.StatusAccepted {
		c.t.Fatal("drain was not accepted: ", w.Body.String())
	}
}

// TestStreamContinuesAtAnotherRouter guards against missing or duplicate tokens when a
// reclaimed router hands off a request: the caller may reconnect to any other router,
// although one of the two peers that hold the record is dead.
func TestStreamContinuesAtAnotherRouter(t *testing.T) {
	const tokens = 60
	is := is.New(t)
	c := newCluster(t, slowEngine, 2, 3, 1)
	resp := c.requestCompletion(0, "route the cord", tokens, true)
	id := resp.Header.Get("X-Request-Id")
	e := newEventReader(resp.Body)
	e.readTokens(5)
	c.drain(0, "200")
	e.readRest()
	is.True(!e.ended)               // the stream was cut off without [DONE]
	is.True(e.scanner.Err() != nil) // the caller sees a broken connection
	is.Equal(c.requestCompletion(0, "new", 1, false).StatusCode, http.StatusServiceUnavailable)
	for _, r := range []int{1, 2, 1} {
		// The caller reconnects three times; each connection is closed after five tokens.
		next := c.get(r, "/v1/requests/"+id+"/events", e.lastID)
		is.Equal(next.StatusCode, http.StatusOK)
		e.scanner = bufio.NewScanner(next.Body)
		e.readTokens(5)
		_ = next.Body.Close()
	}
	e.scanner = bufio.NewScanner(c.get(2, "/v1/requests/"+id+"/events", e.lastID).Body)
	e.readRest()
	is.True(e.ended)
	is.Equal(e.text.String(), expectedText("route the cord", tokens))
	status := c.get(1, "/v1/requests/"+id, "")
	data, _ := io.ReadAll(status.Body)
	is.True(strings.Contains(string(data), `"state":"completed","frames":60`))
	is.Equal(c.get(1, "/v1/requests/"+strings.Replace(id, "-", "0", 1), "").StatusCode, http.StatusNotFound)
}

// TestWholeAnswerIsFoundAfterRedirect guards against the loss of a response that is not
// streamed when the instance list announces the reclaim of its router: the caller must
// be redirected to another router that has the result.
func TestWholeAnswerIsFoundAfterRedirect(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, slowEngine, 2, 2, 0)
	responses := make(chan *http.Response, 1)
	go func() { responses <- c.requestCompletion(0, "route the cord", 100, false) }()
	c.busyEngine()
	c.instances = append(c.instances, platform.Instance{ID: "r0"})
	c.reclaim("r0", 100*time.Millisecond)
	resp := <-responses
	is.Equal(resp.StatusCode, http.StatusSeeOther)
	result := c.get(1, resp.Header.Get("Location"), "")
	is.Equal(result.StatusCode, http.StatusOK)
	data, err := io.ReadAll(result.Body)
	is.NoErr(err)
	is.True(strings.Contains(string(data), strings.TrimSpace(expectedText("route the cord", 100))))
}

// TestStopInterruptsNothing guards against requests that a graceful shutdown interrupts,
// and against a shutdown that waits for idle connections (guarantee G6). A stream, an
// idle keep-alive connection and a connection without a request are open at the stop.
func TestStopInterruptsNothing(t *testing.T) {
	const tokens = 60
	is := is.New(t)
	c := newCluster(t, slowEngine, 1, 1, 0)
	idle := &http.Client{Transport: &http.Transport{}}
	kept, err := idle.Get("http://" + c.routers[0].address + "/openapi.json")
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, kept.Body)
	_ = kept.Body.Close()
	resp := c.requestCompletion(0, "route the cord", tokens, true)
	e := newEventReader(resp.Body)
	e.readTokens(3)
	fresh, err := net.Dial("tcp", c.routers[0].address)
	is.NoErr(err)
	c.routers[0].stop()
	_, err = io.WriteString(fresh, "GET /openapi.json HTTP/1.1\r\nHost: router\r\n\r\n")
	is.NoErr(err)
	served, err := http.ReadResponse(bufio.NewReader(fresh), nil)
	is.NoErr(err) // a connection that was established before the stop is served
	is.Equal(served.StatusCode, http.StatusOK)
	e.readRest()
	is.True(e.ended)
	is.Equal(e.text.String(), expectedText("route the cord", tokens))
	is.NoErr(<-c.routers[0].done) // the idle connection does not delay the shutdown
}

// TestEveryRouterRefusesQuarantinedRequest guards against a request that crashes one
// endpoint after another. Every router must refuse it after CrashThreshold crashes,
// also one that never ran it, and a concurrent request must get its whole response.
func TestEveryRouterRefusesQuarantinedRequest(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, slowEngine, 4, 2, 0)
	for i := range c.engines {
		c.injectFaults(i, modelengine.Faults{CrashMarker: "poison", CrashAfter: 2, RestartMillis: 1})
	}
	concurrent := newEventReader(c.requestCompletion(0, "concurrent", 60, true).Body)
	refused := c.requestCompletion(0, "poison", 50, false)
	data, _ := io.ReadAll(refused.Body)
	is.Equal(refused.StatusCode, http.StatusUnprocessableEntity)
	is.True(strings.Contains(string(data), "quarantined"))
	is.True(strings.Contains(string(data), `"run":"ran"`) || strings.Contains(string(data), `"run":"unknown"`))
	concurrent.readRest()
	is.Equal(concurrent.text.String(), expectedText("concurrent", 60))
	c.eventually(func() bool { return c.routers[1].metric(t, "cornelhold_quarantine_fingerprints", "") == 1 })
	again := c.requestCompletion(1, "poison", 50, false)
	is.Equal(again.StatusCode, http.StatusUnprocessableEntity)
	is.Equal(c.routers[1].metric(t, "cornelhold_endpoint_crashes_total", ""), 0.0)
	is.Equal(c.routers[1].metric(t, "cornelhold_request_quarantined_total", ""), 1.0)
}
