package edge

import (
	"fmt"
	"io"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

func newTestDirectory() *directoryTask {
	clock := task.NewClock()
	logger := &log.Logger{Handler: json.New(io.Discard)}
	m := newMetrics(prometheus.NewRegistry(), logger)
	return newDirectoryTask(clock, logger, m, newGatewayTask(clock, logger, m, gateway.Options{}, task.NewMailbox[gateway.CountStarted](1)))
}

func entry(id, state string, position storelog.Position) platform.Record {
	value := fmt.Sprintf(`{"service":"s","addr":"127.0.0.1:80","zone":"a","slots":8,"state":%q,"seq":%d,"born":1}`, state, position)
	return platform.Record{Key: id, Value: []byte(value), Position: position}
}

func (t *directoryTask) ids() []string {
	var ids []string
	for _, e := range t.directory.Endpoints() {
		ids = append(ids, string(e.ID))
	}
	return ids
}

// TestOlderSnapshotDoesNotRestoreRemovedEntries guards against endpoints that were
// removed before this instance started and are restored by the snapshot of a peer
// that has not read their removal yet, as on hzk-dial-grown trouble-3 (rule DRAIN).
func TestOlderSnapshotDoesNotRestoreRemovedEntries(t *testing.T) {
	is := is.New(t)
	d := newTestDirectory()
	d.applyEntries(t.Context(), entriesRead{
		records: []platform.Record{entry("i-1", "ready", 3), entry("i-2", "ready", 8)}, resync: true, end: 10, source: sourceStore,
	})
	d.applyEntries(t.Context(), entriesRead{
		records: []platform.Record{entry("i-1", "ready", 3), entry("i-gone", "ready", 5)}, end: 9, source: sourcePeer, storeHealthy: true,
	})
	is.Equal(d.ids(), []string{"i-1", "i-2"})
	d.applyEntries(t.Context(), entriesRead{
		records: []platform.Record{entry("i-new", "ready", 11)}, end: 12, source: sourcePeer, storeHealthy: true,
	})
	is.Equal(d.ids(), []string{"i-1", "i-2", "i-new"})
	d.applyEntries(t.Context(), entriesRead{
		records: []platform.Record{entry("i-2", "ready", 8), entry("i-late", "ready", 13)}, resync: true, end: 14, source: sourceStore,
	})
	is.Equal(d.ids(), []string{"i-2", "i-late"})
}

// TestSnapshotContainsRemovals guards against an instance that keeps a removed entry
// after it received the list, up to an offset after the removal, from a peer that
// was started after the removal (found on hzk-dial, readers-lost seed 76050009641,
// rule DRAIN).
func TestSnapshotContainsRemovals(t *testing.T) {
	is := is.New(t)
	receiver := newTestDirectory()
	receiver.applyEntries(t.Context(), entriesRead{
		records: []platform.Record{entry("i-1", "ready", 3), entry("i-gone", "ready", 5)}, resync: true, end: 6, source: sourceStore,
	})
	sender := newTestDirectory() // i-gone was removed at offset 7
	sender.applyEntries(t.Context(), entriesRead{
		records: []platform.Record{entry("i-1", "ready", 3), entry("i-2", "ready", 8)}, resync: true, end: 9, source: sourceStore,
	})
	pull := func() {
		s := sender.snapshot(snapshotRequest{peerPosition: receiver.position})
		receiver.applyEntries(t.Context(), entriesRead{
			records: s.records, end: s.end, resync: s.complete, source: sourcePeer, storeHealthy: true,
		})
	}
	pull()
	is.Equal(receiver.ids(), []string{"i-1", "i-2"})
	is.Equal(receiver.position, storelog.Position(9))
	is.True(!sender.snapshot(snapshotRequest{peerPosition: receiver.position}).complete)
	sender.applyEntries(t.Context(), entriesRead{records: []platform.Record{{Key: "i-2", Position: 9}}, end: 10, source: sourceStore})
	pull()
	is.Equal(receiver.ids(), []string{"i-1"})
	// An older complete snapshot does not remove newer entries.
	receiver.applyEntries(t.Context(), entriesRead{records: []platform.Record{entry("i-3", "ready", 12)}, end: 13, source: sourceStore})
	receiver.applyEntries(t.Context(), entriesRead{records: []platform.Record{entry("i-1", "ready", 3)}, end: 9, resync: true, source: sourcePeer, storeHealthy: true})
	is.Equal(receiver.ids(), []string{"i-1", "i-3"})
}

// inEpoch returns a position in an epoch of the store.
func inEpoch(epoch storelog.Epoch, offset int64) storelog.Position {
	p, _ := storelog.At(epoch, offset)
	return p
}

// heartbeatOf returns a record of an entry with a sequence number.
func heartbeatOf(id, state string, position storelog.Position, sequence int) platform.Record {
	value := fmt.Sprintf(`{"service":"s","addr":"127.0.0.1:80","zone":"a","slots":8,"state":%q,"seq":%d,"born":1}`, state, sequence)
	return platform.Record{Key: id, Value: []byte(value), Position: position}
}

// TestRemovalAfterRollbackIsApplied guards against an endpoint that gets requests for good since its
// entry was removed at a lower offset than the known one, after the store came back from an older
// copy (rule DRAIN, review case 12): by the changes, by a complete list, and by a peer.
func TestRemovalAfterRollbackIsApplied(t *testing.T) {
	before := entriesRead{
		records: []platform.Record{heartbeatOf("i-1", "ready", 90, 9), heartbeatOf("i-2", "ready", 99, 9)},
		resync:  true, end: 100, source: sourceStore,
	}
	copied := entriesRead{
		records: []platform.Record{heartbeatOf("i-1", "ready", inEpoch(1, 38), 7), heartbeatOf("i-2", "ready", inEpoch(1, 39), 7)},
		resync:  true, end: inEpoch(1, 40), source: sourceStore,
	}
	removed := platform.Record{Key: "i-2", Position: inEpoch(1, 40)}
	newDirectory := func() *directoryTask {
		d := newTestDirectory()
		d.applyEntries(t.Context(), before)
		return d
	}
	t.Run("changes", func(t *testing.T) {
		is, d := is.New(t), newDirectory()
		d.applyEntries(t.Context(), copied)
		is.Equal(d.ids(), []string{"i-1", "i-2"})
		d.applyEntries(t.Context(), entriesRead{records: []platform.Record{removed}, end: inEpoch(1, 41), source: sourceStore})
		is.Equal(d.ids(), []string{"i-1"})
		// A list of the earlier epoch that arrives late brings nothing back.
		d.applyEntries(t.Context(), before)
		is.Equal(d.ids(), []string{"i-1"})
	})
	t.Run("peer", func(t *testing.T) {
		is, d, peer := is.New(t), newDirectory(), newDirectory()
		peer.applyEntries(t.Context(), copied)
		peer.applyEntries(t.Context(), entriesRead{records: []platform.Record{removed}, end: inEpoch(1, 41), source: sourceStore})
		s := peer.snapshot(snapshotRequest{peerPosition: d.position})
		is.True(s.complete)
		d.applyEntries(t.Context(), entriesRead{records: s.records, end: s.end, resync: s.complete, source: sourcePeer, storeHealthy: true})
		d.directory.Expire(d.clock.Now() + catalog.RecoveryGrace)
		is.Equal(d.ids(), []string{"i-1"})
		is.Equal(d.position, inEpoch(1, 41))
	})
	t.Run("lost entry", func(t *testing.T) {
		is, d := is.New(t), newDirectory()
		d.applyEntries(t.Context(), entriesRead{
			records: []platform.Record{heartbeatOf("i-1", "ready", inEpoch(1, 38), 7)}, resync: true, end: inEpoch(1, 39), source: sourceStore,
		})
		is.Equal(d.ids(), []string{"i-1", "i-2"}) // it may be written again
		d.directory.Expire(d.clock.Now() + catalog.RecoveryGrace)
		is.Equal(d.ids(), []string{"i-1"})
		// Written again as it was.
		d.applyEntries(t.Context(), entriesRead{records: []platform.Record{heartbeatOf("i-2", "ready", inEpoch(1, 39), 9)}, end: inEpoch(1, 40), source: sourceStore})
		is.Equal(d.ids(), []string{"i-1", "i-2"})
	})
}

// TestLeavingEndpointStaysSoAfterRollback guards against an endpoint that drains or is removed and that
// gets requests again since the copy from which the store came back has its older entry (rule DRAIN).
func TestLeavingEndpointStaysSoAfterRollback(t *testing.T) {
	is := is.New(t)
	d := newTestDirectory()
	d.applyEntries(t.Context(), entriesRead{
		records: []platform.Record{heartbeatOf("i-1", "draining", 90, 9), heartbeatOf("i-2", "ready", 91, 9)},
		resync:  true, end: 100, source: sourceStore,
	})
	d.applyEntries(t.Context(), entriesRead{records: []platform.Record{{Key: "i-2", Position: 100}}, end: 101, source: sourceStore})
	d.applyEntries(t.Context(), entriesRead{
		records: []platform.Record{heartbeatOf("i-1", "ready", inEpoch(1, 8), 8), heartbeatOf("i-2", "ready", inEpoch(1, 9), 9)},
		resync:  true, end: inEpoch(1, 10), source: sourceStore,
	})
	endpoints := d.directory.Endpoints()
	is.Equal(len(endpoints), 1)
	is.True(endpoints[0].Draining)
}
