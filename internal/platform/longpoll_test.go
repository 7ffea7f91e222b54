package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestUnresponsivePollTimesOut guards against a reader that waits forever on a
// connection that became unresponsive while new connections work.
func TestUnresponsivePollTimesOut(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		_ = json.NewEncoder(w).Encode(InstanceList{Version: 2})
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	client := NewInstanceClient(server.URL)
	_, err := client.Watch(ctx, 1, time.Millisecond)
	is.True(ErrUnknownOutcome.Has(err))
	is.NoErr(ctx.Err()) // ended by the client's own timeout
	list, err := client.Watch(ctx, 1, time.Millisecond)
	is.NoErr(err)
	is.Equal(list.Version, uint64(2))
}
