package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
)

const (
	maxEventBytes     = 1 << 20
	maxProblemBytes   = 64 << 10
	problemTypePrefix = "urn:cornelhold:problem:"
)

// sample is the outcome of one request.
type sample struct {
	class int
	// refusal is the problem type and failure the cause; both are empty if the
	// request completed.
	refusal    string
	failure    string
	firstToken time.Duration
	// betweenTokens holds the intervals between successive tokens.
	betweenTokens []time.Duration
	total         time.Duration
	tokens        int
}

type client struct {
	http *http.Client
}

// newClient returns an HTTP/1.1 client, so that concurrent requests never share
// a connection. Idle connections are reused.
func newClient(maxInFlight int) *client {
	return &client{http: &http.Client{Transport: &http.Transport{
		MaxIdleConns: maxInFlight, MaxIdleConnsPerHost: maxInFlight,
	}}}
}

func (c *client) do(ctx context.Context, target string, e *Experiment, a Arrival) sample {
	class := &e.Classes[a.Class]
	start := time.Now()
	s := sample{class: a.Class}
	resp, err := c.http.Do(newRequest(ctx, target, e, a, class))
	if err != nil {
		s.failure = "connection"
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	switch {
	case resp.StatusCode >= http.StatusBadRequest:
		s.refusal = refusalKind(resp)
	case class.Kind == "chat":
		readStream(resp.Body, start, &s)
	default:
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			s.failure = "cut"
		}
	}
	s.total = time.Since(start)
	return s
}

func newRequest(ctx context.Context, target string, e *Experiment, a Arrival, class *Class) *http.Request {
	path := "/v1/chat/completions"
	body := []byte(class.Body)
	if class.Kind == "chat" {
		body = chatBody(class, class.prompt(e.Seed, a.Class, a.Sequence))
	} else {
		path = "/v1/services/" + class.Service + "/calls/" + class.Operation
	}
	// The target was checked when the experiment was loaded, so this can't fail.
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, target+path, bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+class.Key)
	req.Header.Set("Content-Type", "application/json")
	if class.Unique {
		req.Header.Set("Idempotency-Key", uuid.Must(uuid.NewV7()).String())
	}
	return req
}

func chatBody(class *Class, prompt string) []byte {
	type message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
	data, _ := json.Marshal(struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream"`
		MaxTokens int       `json:"max_tokens,omitempty"`
		Messages  []message `json:"messages"`
	}{class.Service, true, class.MaxTokens, []message{{"user", prompt}}})
	return data
}

// readStream records when the tokens of a server-sent event stream arrive. A
// stream that ends without the [DONE] event counts as cut.
func readStream(body io.Reader, start time.Time, s *sample) {
	s.failure = "cut"
	last := start
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxEventBytes)
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		switch {
		case !ok:
			continue
		case data == "[DONE]":
			s.failure = ""
			return
		case strings.HasPrefix(data, `{"error"`):
			s.failure = "ended by error"
			return
		}
		now := time.Now()
		if s.tokens == 0 {
			s.firstToken = now.Sub(start)
		} else {
			s.betweenTokens = append(s.betweenTokens, now.Sub(last))
		}
		last = now
		s.tokens++
	}
}

func refusalKind(resp *http.Response) string {
	var problem struct {
		Type string `json:"type"`
	}
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxProblemBytes))
	if json.Unmarshal(data, &problem) != nil || problem.Type == "" {
		return resp.Status
	}
	return strings.TrimPrefix(problem.Type, problemTypePrefix)
}
