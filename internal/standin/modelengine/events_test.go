package modelengine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/request"
	"github.com/cornelhold/cornelhold/internal/engine"
)

// TestEventsReportLoadAndCache guards against an event feed that loses events, from
// which routers would get a wrong load and cache: a blocked read must return when
// a stream starts, and a later one must report the blocks that the stream cached.
func TestEventsReportLoadAndCache(t *testing.T) {
	is := is.New(t)
	e := New(Settings{})
	go func() { _ = e.Run(t.Context()) }()
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := engine.NewClient()

	idle, err := client.Events(t.Context(), address, 0, time.Millisecond)
	is.NoErr(err)
	is.Equal(idle.Sequence, uint64(0)) // no event yet

	prompt := strings.Repeat("planogram ", 100)
	body := engine.CompletionRequest{Prompt: prompt, MaxTokens: 2, Stream: true, RequestID: "r", Attempt: 1}
	client.Stream(t.Context(), address, body, func(request.Frame) {})

	var stored []uint64
	after := uint64(0)
	for len(stored) == 0 {
		events, err := client.Events(t.Context(), address, after, 10*time.Second)
		is.NoErr(err)
		is.True(events.Sequence > after) // each response has a new event
		after = events.Sequence
		stored = events.Stored
	}
	is.Equal(stored[0], prefixBlocks(prompt)[0])

	resp, err := http.Get(server.URL + engine.EventsPath + "?after=9999&wait_ms=10000")
	is.NoErr(err)
	is.NoErr(resp.Body.Close()) // a reader of an earlier incarnation doesn't block
}
