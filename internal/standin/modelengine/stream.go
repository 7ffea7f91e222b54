package modelengine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/standin/httpjson"
)

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, ok := httpjson.Decode[engine.CompletionRequest](w, r)
	if !ok {
		return
	}
	status := make(chan engine.Status, 1)
	current, ok := requestReply(r.Context(), e, statusMessage{reply: status}, status)
	if !ok {
		return
	}
	st := &stream{
		key: streamKey{request: body.RequestID, attempt: body.Attempt}, body: body, priority: body.Priority,
		stop: make(chan struct{}), start: make(chan startReply, 1),
	}
	if e.state.mailbox.Send(r.Context(), startMessage{stream: st}) != nil {
		return
	}
	// The slot must be freed even if the caller has closed the request.
	defer func() { _ = e.state.mailbox.Send(context.WithoutCancel(r.Context()), endMessage{stream: st}) }()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(engine.IncarnationHeader, current.Incarnation)
	w.WriteHeader(http.StatusOK)
	out := &eventWriter{w: w, flusher: w.(http.Flusher), stop: st.stop}
	out.flusher.Flush()
	if start, ok := out.waitStart(r.Context(), st.start); ok {
		e.run(r.Context(), out, st, start)
	}
}

// run generates the tokens of a started stream and injects its faults.
func (e *Engine) run(ctx context.Context, out *eventWriter, st *stream, start startReply) {
	body, faults := st.body, start.faults
	cached := max(start.cached, e.importKV(ctx, body.ImportFrom))
	uncached := max(len(body.Prompt+body.Resume)/bytesPerToken-cached, 0)
	if e.state.mailbox.Send(ctx, prefillMessage{tokens: uncached}) != nil {
		return
	}
	if !out.wait(ctx, e.settings.PrefillPerToken*time.Duration(uncached)) {
		return
	}
	interval := e.settings.TokenInterval + time.Duration(faults.DelayMillis)*time.Millisecond
	reply := make(chan streamKey, 1)
	for i := body.NextIndex; i < body.MaxTokens; i++ {
		if !out.wait(ctx, interval) {
			return
		}
		other, ok := requestReply(ctx, e, tokenMessage{stream: st, reply: reply}, reply)
		if !ok {
			return
		}
		out.writeToken(body, i, cached, faults, other)
		sent := i - body.NextIndex + 1
		if faults.CutAfter == sent {
			panic(http.ErrAbortHandler)
		}
		if faults.FreezeAfter == sent {
			<-ctx.Done()
			return
		}
	}
	out.finish(body)
}

// importKV fetches an exported KV cache and returns its size in tokens, 0 if it
// can't be fetched.
func (e *Engine) importKV(ctx context.Context, source string) int {
	if source == "" {
		return 0
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, source, nil)
	if err != nil {
		return 0
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	var entry kvEntry
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&entry) != nil {
		return 0
	}
	return entry.Tokens
}

type eventWriter struct {
	w       io.Writer
	flusher http.Flusher
	stop    <-chan struct{}
	// delayedChunk is held back by the Late fault until its successor is written.
	delayedChunk []byte
}

// wait blocks for d and writes heartbeats meanwhile. It reports false if the
// caller closed the request or the stream was stopped.
func (o *eventWriter) wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	_, ok := waitFor(ctx, o, timer.C)
	return ok
}

func (o *eventWriter) waitStart(ctx context.Context, start <-chan startReply) (startReply, bool) {
	return waitFor(ctx, o, start)
}

func waitFor[T any](ctx context.Context, o *eventWriter, ready <-chan T) (T, bool) {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-ctx.Done():
			return *new(T), false
		case <-o.stop:
			return *new(T), false
		case value := <-ready:
			return value, true
		case <-heartbeat.C:
			_, _ = io.WriteString(o.w, ": heartbeat\n\n")
			o.flusher.Flush()
		}
	}
}

// writeToken writes one token, with the frames that its faults add or reorder.
func (o *eventWriter) writeToken(body engine.CompletionRequest, index, cached int, faults Faults, other streamKey) {
	choice := engine.CompletionChoice{Index: index, Text: Token(body.Prompt, index)}
	last := index == body.MaxTokens-1
	if last {
		choice.FinishReason = "length"
	}
	chunk := engine.CompletionChunk{RequestID: body.RequestID, Attempt: body.Attempt, Choices: []engine.CompletionChoice{choice}}
	if index == body.NextIndex {
		chunk.CachedTokens = cached
	}
	if faults.Crossed {
		crossed := engine.CompletionChunk{RequestID: other.request, Attempt: other.attempt, Choices: []engine.CompletionChoice{{Index: index, Text: "crossed "}}}
		o.writeChunk(encode(crossed))
		crossed.RequestID, crossed.Attempt = body.RequestID, body.Attempt-1
		o.writeChunk(encode(crossed))
	}
	data := encode(chunk)
	if faults.Late && o.delayedChunk == nil && !last {
		o.delayedChunk = data
		return
	}
	o.writeChunk(data)
	if faults.Duplicate {
		o.writeChunk(data)
	}
	if o.delayedChunk != nil {
		o.writeChunk(o.delayedChunk)
		o.delayedChunk = nil
	}
}

func encode(chunk engine.CompletionChunk) []byte {
	data, _ := json.Marshal(chunk)
	return data
}

func (o *eventWriter) writeChunk(data []byte) {
	_, _ = fmt.Fprintf(o.w, "data: %s\n\n", data)
	o.flusher.Flush()
}

// finish ends the stream. If a resumed stream had no tokens left to send, it first
// writes the finish reason, which the last token carries otherwise.
func (o *eventWriter) finish(body engine.CompletionRequest) {
	if body.NextIndex >= body.MaxTokens {
		o.writeChunk(encode(engine.CompletionChunk{
			RequestID: body.RequestID, Attempt: body.Attempt,
			Choices: []engine.CompletionChoice{{Index: body.NextIndex, FinishReason: "length"}},
		}))
	}
	_, _ = io.WriteString(o.w, "data: [DONE]\n\n")
	o.flusher.Flush()
}
