package edge

import (
	"fmt"
	"io"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

func newTestDirectory() *directoryTask {
	clock := task.NewClock()
	logger := &log.Logger{Handler: json.New(io.Discard)}
	m := newMetrics(prometheus.NewRegistry(), logger)
	return newDirectoryTask(clock, logger, m, newGatewayTask(clock, gateway.Options{}, task.NewMailbox[gateway.Started](1)))
}

func entry(id, state string, offset int64) platform.Record {
	value := fmt.Sprintf(`{"service":"s","addr":"127.0.0.1:80","zone":"a","slots":8,"state":%q,"seq":%d,"born":1}`, state, offset)
	return platform.Record{Key: id, Value: []byte(value), Offset: offset}
}

func (t *directoryTask) ids() []string {
	var ids []string
	for _, e := range t.directory.Endpoints() {
		ids = append(ids, string(e.ID))
	}
	return ids
}

// TestOlderSnapshotRevivesNothing guards against endpoints that had left before
// this instance started and come back with the snapshot of a peer that had not
// read their removal yet, as on hzk-dial-grown trouble-3 (rule DRAIN).
func TestOlderSnapshotRevivesNothing(t *testing.T) {
	is := is.New(t)
	d := newTestDirectory()
	d.applyEntries(t.Context(), entriesFound{
		records: []platform.Record{entry("i-1", "ready", 3), entry("i-2", "ready", 8)}, resync: true, end: 10, source: sourceStore,
	})
	d.applyEntries(t.Context(), entriesFound{
		records: []platform.Record{entry("i-1", "ready", 3), entry("i-gone", "ready", 5)}, end: 9, source: sourcePeer, steady: true,
	})
	is.Equal(d.ids(), []string{"i-1", "i-2"})
	d.applyEntries(t.Context(), entriesFound{
		records: []platform.Record{entry("i-new", "ready", 11)}, end: 12, source: sourcePeer, steady: true,
	})
	is.Equal(d.ids(), []string{"i-1", "i-2", "i-new"})
	d.applyEntries(t.Context(), entriesFound{
		records: []platform.Record{entry("i-2", "ready", 8), entry("i-late", "ready", 13)}, resync: true, end: 14, source: sourceStore,
	})
	is.Equal(d.ids(), []string{"i-2", "i-late"})
}
