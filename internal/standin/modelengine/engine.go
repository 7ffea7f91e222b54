// Package modelengine is a stand-in of a model engine. Its answer is a
// deterministic function of the prompt, so that a test can check a resumed
// answer token by token.
package modelengine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/engine"
)

const (
	maxBodyBytes      = 8 << 20
	heartbeatInterval = time.Second
)

// Settings configures the stand-in.
type Settings struct {
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration `yaml:"token_interval" validate:"min=0"`
	// PrefillPerToken is the time to process one prompt token.
	PrefillPerToken time.Duration `yaml:"prefill_per_token" validate:"min=0"`
}

// Engine serves completions.
type Engine struct {
	settings Settings
}

// New returns an engine stand-in.
func New(settings Settings) *Engine { return &Engine{settings: settings} }

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	return mux
}

// Token returns the token at the given index of the answer to a prompt.
func Token(prompt string, index int) string {
	return fmt.Sprintf("%04x ", xxhash.Sum64String(fmt.Sprintf("%d/%s", index, prompt))&0xffff)
}

// Answer returns the whole answer to a prompt.
func Answer(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	var body engine.CompletionRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	out := &eventWriter{w: w, flusher: w.(http.Flusher)}
	if !out.wait(r.Context(), e.settings.PrefillPerToken*time.Duration(len(body.Prompt)/4)) {
		return
	}
	for i := body.NextIndex; i < body.MaxTokens; i++ {
		if !out.wait(r.Context(), e.settings.TokenInterval) {
			return
		}
		out.chunk(body, i)
	}
	out.done()
}

type eventWriter struct {
	w       io.Writer
	flusher http.Flusher
}

// wait pauses for d and writes heartbeats meanwhile. It reports false when the
// caller left.
func (o *eventWriter) wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-heartbeat.C:
			_, _ = io.WriteString(o.w, ": heartbeat\n\n")
			o.flusher.Flush()
		}
	}
}

func (o *eventWriter) chunk(body engine.CompletionRequest, index int) {
	choice := engine.CompletionChoice{Index: index, Text: Token(body.Prompt, index)}
	if index == body.MaxTokens-1 {
		choice.FinishReason = "length"
	}
	data, _ := json.Marshal(engine.CompletionChunk{
		RequestID: body.RequestID, Attempt: body.Attempt, Choices: []engine.CompletionChoice{choice},
	})
	_, _ = fmt.Fprintf(o.w, "data: %s\n\n", data)
	o.flusher.Flush()
}

func (o *eventWriter) done() {
	_, _ = io.WriteString(o.w, "data: [DONE]\n\n")
	o.flusher.Flush()
}
