package edge

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/platform"
)

// startFollower follows a topic of a store whose first reads fail as the statuses state, and
// returns a channel that receives true for each successful read, false for each outage.
func startFollower(t *testing.T, statuses ...int) <-chan bool {
	t.Helper()
	var reads atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if n := int(reads.Add(1)); n <= len(statuses) && statuses[n-1] != http.StatusOK {
			w.WriteHeader(statuses[n-1])
			return
		}
		_, _ = w.Write([]byte(`{"items":[],"end":0}`))
	}))
	t.Cleanup(server.Close)
	results := make(chan bool, 8)
	f := &follower{
		store: platform.NewStore(strings.TrimPrefix(server.URL, "http://")), topic: "keyed.x",
		log: &log.Logger{Handler: discard.New()}, untilRead: func() time.Duration { return time.Hour },
		retryDelay: func() time.Duration { return time.Millisecond }, applied: func() storelog.Position { return 0 },
		onRecords: func(context.Context, topicRead) { results <- true },
		onOutage:  func(context.Context) { results <- false }, onRecovery: func(context.Context) {},
	}
	go func() { _ = f.run(t.Context()) }()
	return results
}

// TestSingleFailedReadIsNoOutage guards against an instance that uses an outdated list since
// the store closed a connection that was idle while the instance did not run (rule DRAIN).
func TestSingleFailedReadIsNoOutage(t *testing.T) {
	is := is.New(t)
	is.True(<-startFollower(t, http.StatusServiceUnavailable))
	is.True(!<-startFollower(t, http.StatusServiceUnavailable, http.StatusServiceUnavailable))
}
