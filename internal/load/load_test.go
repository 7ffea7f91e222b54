package load

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newExperiment(target string) *Experiment {
	return &Experiment{
		Targets: []string{target}, Seed: 1, Duration: 300 * time.Millisecond,
		Classes: []Class{{
			Name: "quote", Kind: "chat", Key: "k", Service: "s", RatePerSecond: 100,
			PrefixBytes: 600, PrefixGroups: 3, SuffixBytes: 40, MaxTokens: 2,
		}},
	}
}

// TestPlanIsReproducible guards against runs of one experiment that differ in
// their arrivals or prompts and so can't be compared.
func TestPlanIsReproducible(t *testing.T) {
	is := is.New(t)
	e := newExperiment("http://127.0.0.1:1")
	is.Equal(e.Plan(), e.Plan())
	c := &e.Classes[0]
	is.Equal(c.prompt(1, 0, 0)[:600], c.prompt(1, 0, 3)[:600]) // same group, same prefix
	is.True(c.prompt(1, 0, 0) != c.prompt(1, 0, 3))
	is.True(c.prompt(1, 0, 0)[:600] != c.prompt(1, 0, 1)[:600])
}

// TestOutcomesAreCounted guards against counting a stream that was cut as
// answered and against refusals that no counter includes.
func TestOutcomesAreCounted(t *testing.T) {
	is := is.New(t)
	requests := make(chan int, 1)
	requests <- 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls := <-requests
		requests <- calls + 1
		switch calls % 3 {
		case 0:
			_, _ = fmt.Fprint(w, "id: 1\ndata: {}\n\nid: 2\ndata: {}\n\ndata: [DONE]\n\n")
		case 1:
			_, _ = fmt.Fprint(w, "id: 1\ndata: {}\n\n")
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = fmt.Fprint(w, `{"type":"urn:cornelhold:problem:overload"}`)
		}
	}))
	defer server.Close()
	e := newExperiment(server.URL)
	report := Run(context.Background(), e)
	c := report.Classes[0]
	is.Equal(c.Sent, len(e.Plan()))
	is.Equal(c.Answered+c.Failed["cut"]+c.Refused["overload"], c.Sent)
	is.True(c.Answered > 0 && c.Failed["cut"] > 0 && c.Refused["overload"] > 0)

	var text bytes.Buffer
	is.NoErr(report.WriteText(&text))
	is.True(strings.Contains(text.String(), "first token"))
}
