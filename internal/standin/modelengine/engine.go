// Package modelengine is a stand-in of a model engine. Its completion is a
// deterministic function of the prompt, so that a test can check a resumed
// completion token by token.
//
// The state task owns slots, cache, exports and faults; each HTTP handler owns
// its stream; the server task owns the listener and restarts it after a crash.
package modelengine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/standin/httpjson"
	"github.com/cornelhold/cornelhold/internal/task"
)

// Error is the class of errors of the stand-in.
var Error = errs.Class("model engine stand-in")

const (
	heartbeatInterval = time.Second
	headerTimeout     = 5 * time.Second
	importTimeout     = 2 * time.Second
	// listenRetryInterval is the time between attempts to listen on the address
	// again after a crash.
	listenRetryInterval = 20 * time.Millisecond
)

// Settings configures the stand-in.
type Settings struct {
	// TokenInterval is the time between two tokens.
	TokenInterval time.Duration `yaml:"token_interval" validate:"min=0"`
	// PrefillPerToken is the time to prefill one prompt token that is not cached.
	PrefillPerToken time.Duration `yaml:"prefill_per_token" validate:"min=0"`
	// ExportPerToken is the time to export the KV cache of one token; 0 disables
	// exports.
	ExportPerToken time.Duration `yaml:"export_per_token" validate:"min=0"`
	// Slots is how many streams run at once; 0 means 64.
	Slots int `yaml:"slots" validate:"min=0"`
	// CacheTokens is the size of the prefix cache; 0 means 1 Mi tokens.
	CacheTokens int `yaml:"cache_tokens" validate:"min=0"`
}

// Engine serves completions.
type Engine struct {
	settings Settings
	state    *state
	client   *http.Client
}

// New returns an engine stand-in. Run or Serve must run for it to serve requests.
func New(settings Settings) *Engine {
	return &Engine{settings: settings, state: newState(settings), client: &http.Client{Timeout: importTimeout}}
}

// Run owns the engine's state until ctx ends.
func (e *Engine) Run(ctx context.Context) error { return e.state.Run(ctx) }

// Serve runs the engine on an address until ctx ends. After a crash the engine
// restarts with a new incarnation if the fault sets a restart time.
func (e *Engine) Serve(ctx context.Context, address string) error {
	group := task.NewGroup(ctx)
	group.Go("state", e.Run)
	group.Go("server", func(ctx context.Context) error { return e.serve(ctx, address) })
	return group.Wait()
}

func (e *Engine) serve(ctx context.Context, address string) error {
	for ctx.Err() == nil {
		listener, err := listen(ctx, address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: e.Handler(), ReadHeaderTimeout: headerTimeout}
		done := make(chan error, 1)
		go func() { done <- server.Serve(listener) }()
		select {
		case <-ctx.Done():
			_ = server.Close()
			return nil
		case err := <-done:
			return err
		case crash := <-e.state.crashed:
			_ = server.Close()
			if crash.RestartMillis == 0 {
				<-ctx.Done()
				return nil
			}
			_ = e.state.mailbox.Send(ctx, restartMessage{})
			sleep(ctx, time.Duration(crash.RestartMillis)*time.Millisecond)
		}
	}
	return nil
}

// listen listens on the address. It retries, because the closed listener of a
// crashed server may still occupy the address.
func listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	for attempt := 0; ; attempt++ {
		listener, err := config.Listen(ctx, "tcp", address)
		if err == nil {
			return listener, nil
		}
		if attempt == 50 || ctx.Err() != nil {
			return nil, Error.New("cannot listen on %s: %w; free the port or change the setting", address, err)
		}
		sleep(ctx, listenRetryInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Handler returns the HTTP interface of the engine.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	mux.HandleFunc("GET "+engine.StatusPath, e.handleStatus)
	mux.HandleFunc("POST "+engine.CancelPath, e.handleCancel)
	mux.HandleFunc("POST "+engine.ExportPath, e.handleExport)
	mux.HandleFunc("GET "+engine.KVPath+"{id}", e.handleImport)
	mux.HandleFunc("GET "+engine.EventsPath, e.handleEvents)
	mux.HandleFunc("PUT /faults", e.handleFaults)
	return mux
}

// Token returns the token at the given index of the completion of a prompt.
func Token(prompt string, index int) string {
	return fmt.Sprintf("%04x ", xxhash.Sum64String(fmt.Sprintf("%d/%s", index, prompt))&0xffff)
}

// Completion returns the first tokens of the completion of a prompt.
func Completion(prompt string, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(Token(prompt, i))
	}
	return b.String()
}

func (e *Engine) handleStatus(w http.ResponseWriter, r *http.Request) {
	reply := make(chan engine.Status, 1)
	if status, ok := requestReply(r.Context(), e, statusMessage{reply: reply}, reply); ok {
		httpjson.Write(w, status)
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	if ref, ok := httpjson.Decode[engine.StreamRef](w, r); ok {
		_ = e.state.mailbox.Send(r.Context(), cancelMessage{key: toStreamKey(ref)})
		w.WriteHeader(http.StatusNoContent)
	}
}

func (e *Engine) handleExport(w http.ResponseWriter, r *http.Request) {
	ref, ok := httpjson.Decode[engine.StreamRef](w, r)
	if !ok {
		return
	}
	reply := make(chan exportReply, 1)
	export, ok := requestReply(r.Context(), e, exportMessage{key: toStreamKey(ref), reply: reply}, reply)
	if !ok || export.tokens == 0 {
		http.Error(w, "the stream does not run here or the engine can't export", http.StatusConflict)
		return
	}
	sleep(r.Context(), export.wait)
	httpjson.Write(w, engine.ExportResult{Path: engine.KVPath + export.id, Tokens: export.tokens})
}

func (e *Engine) handleImport(w http.ResponseWriter, r *http.Request) {
	reply := make(chan kvEntry, 1)
	entry, ok := requestReply(r.Context(), e, importMessage{id: r.PathValue("id"), reply: reply}, reply)
	if !ok || entry.Tokens == 0 {
		http.NotFound(w, r)
		return
	}
	httpjson.Write(w, entry)
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	faults, ok := httpjson.Decode[Faults](w, r)
	if !ok {
		return
	}
	done := make(chan struct{})
	if _, ok := requestReply(r.Context(), e, faultsMessage{faults: faults, reply: done}, done); ok || r.Context().Err() == nil {
		w.WriteHeader(http.StatusNoContent)
	}
}

func toStreamKey(ref engine.StreamRef) streamKey {
	return streamKey{request: ref.RequestID, attempt: ref.Attempt}
}

// requestReply sends a message to the state task and waits for its reply. It
// reports false if ctx ended or the reply channel was closed.
func requestReply[T any](ctx context.Context, e *Engine, msg any, reply <-chan T) (T, bool) {
	var zero T
	if e.state.mailbox.Send(ctx, msg) != nil {
		return zero, false
	}
	select {
	case value, ok := <-reply:
		return value, ok
	case <-ctx.Done():
		return zero, false
	}
}
