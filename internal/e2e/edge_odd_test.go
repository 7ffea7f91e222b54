package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
	"github.com/cornelhold/cornelhold/platform"
)

// TestEdgeSurvivesOddEntries guards against entries of another writer that end a process
// again and again, or keep it from following the list, in each topic that it reads.
func TestEdgeSurvivesOddEntries(t *testing.T) {
	is := is.New(t)
	f := newEdgeFleet(t, 2)
	odd := []string{
		strings.Repeat("[", 100_000), strings.Repeat(`{"a":`, 30_000), "null", "\x00\xff", `{"version":1e999}`,
		`{"service":"plain","addr":"127.0.0.1:99999","state":"ready"}`, `{"service":"plain","addr":"127.0.0.1:0","state":"ready"}`,
		`{"service":"plain","addr":"127.0.0.1:1","state":"ready","slots":99999999999999999999}`,
	}
	topics := []string{
		userplatform.ServersTopic, userplatform.ConfigTopic, platform.TopicLease, platform.TopicUsage, platform.TopicQuotaUse, platform.TopicMembers,
	}
	for _, topic := range topics {
		for i := range 100 {
			key := fmt.Sprint("odd-", i, strings.Repeat("x", 2*i))
			f.Store.Put(topic, key, []byte(odd[i%len(odd)]))
		}
	}
	f.Configure(f.Config("plain", "key-2"))
	f.Announce(f.PlainReplicas[0], "draining")
	time.Sleep(max(configBound, drainBound))
	before := len(f.PlainReplicas[0].Runs())
	for _, e := range f.Edges {
		for range 4 {
			resp, _, _ := f.do(e, call{method: http.MethodGet, target: "/check/x", key: "key-2"})
			is.Equal(resp.StatusCode, http.StatusOK)
		}
		select {
		case <-e.Done():
			t.Fatal("the process has ended")
		default:
		}
	}
	is.Equal(len(f.PlainReplicas[0].Runs()), before)
}
