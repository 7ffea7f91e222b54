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
	return newDirectoryTask(clock, logger, m, newGatewayTask(clock, gateway.Options{}, task.NewMailbox[gateway.CountStarted](1)))
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

// TestSnapshotTellsOfRemovals guards against an instance that learns the list
// from a peer which was started after an entry had been removed, and keeps that
// entry although it knows the list up to a later offset (hunt of hzk-dial,
// readers-lost seed 76050009641, rule DRAIN).
func TestSnapshotTellsOfRemovals(t *testing.T) {
	is := is.New(t)
	known := newTestDirectory()
	known.applyEntries(t.Context(), entriesFound{
		records: []platform.Record{entry("i-1", "ready", 3), entry("i-gone", "ready", 5)}, resync: true, end: 6, source: sourceStore,
	})
	started := newTestDirectory() // i-gone was removed at offset 7
	started.applyEntries(t.Context(), entriesFound{
		records: []platform.Record{entry("i-1", "ready", 3), entry("i-2", "ready", 8)}, resync: true, end: 9, source: sourceStore,
	})
	pull := func() {
		s := started.snapshot(snapshotRequest{haveOffset: known.offset})
		known.applyEntries(t.Context(), entriesFound{
			records: s.records, end: s.end, resync: s.complete, source: sourcePeer, steady: true,
		})
	}
	pull()
	is.Equal(known.ids(), []string{"i-1", "i-2"})
	is.Equal(known.offset, int64(9))
	is.True(!started.snapshot(snapshotRequest{haveOffset: known.offset}).complete)
	started.applyEntries(t.Context(), entriesFound{records: []platform.Record{{Key: "i-2", Offset: 9}}, end: 10, source: sourceStore})
	pull()
	is.Equal(known.ids(), []string{"i-1"})
	// An older complete snapshot takes nothing away that is newer.
	known.applyEntries(t.Context(), entriesFound{records: []platform.Record{entry("i-3", "ready", 12)}, end: 13, source: sourceStore})
	known.applyEntries(t.Context(), entriesFound{records: []platform.Record{entry("i-1", "ready", 3)}, end: 9, resync: true, source: sourcePeer, steady: true})
	is.Equal(known.ids(), []string{"i-1", "i-3"})
}
