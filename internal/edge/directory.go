package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

// Sources of configurations and entries, as they are logged.
const (
	sourceStore = "store"
	sourcePeer  = "peer"
)

const (
	directoryMailbox = 256
	// expireInterval is the time between two checks for entries that are still
	// missing after an outage.
	expireInterval = 200 * time.Millisecond
)

// configRead is a configuration read from the store or a peer, as source states.
type configRead struct {
	record platform.Record
	source string
}

// entriesRead holds records of the instance list. A resync replaces the list:
// entries older than end that are not among the records were removed.
type entriesRead struct {
	records []platform.Record
	resync  bool
	end     storelog.Position
	source  string
	// storeHealthy is set for records of a peer whose reads of the store have
	// succeeded for some time. Entries missing from its list were really removed,
	// rather than lost in an outage of the store.
	storeHealthy bool
	// applied is closed once the records are applied; nil if no task waits for it.
	applied chan<- struct{}
}

// storeRecovered reports that reads of the store succeed again.
type storeRecovered struct{}

// snapshotRequest requests what a peer lacks, given the configuration version and
// the list position that the peer has.
type snapshotRequest struct {
	peerVersion  catalog.Version
	peerPosition storelog.Position
	reply        chan<- snapshot
}

// snapshot is the response to a snapshotRequest: the configuration, unless the peer
// has it, and the records of the instance list from the peer's position.
type snapshot struct {
	config  *platform.Record
	records []platform.Record
	end     storelog.Position
	// complete is set if records holds all entries before end.
	complete bool
}

// directoryState is the state that is published to other tasks.
type directoryState struct {
	Version catalog.Version
	// ConfigBytes is the size of the record of the configuration.
	ConfigBytes int
	Position    storelog.Position
	// ListSince is when the list of the store's current epoch was first read completely.
	ListSince time.Duration
	Catalog   *catalog.Catalog
	Endpoints []catalog.Endpoint
}

// directoryTask owns the configuration and the instance list, as read from the
// store or received from peers, and sends changes to the gateway and the duties.
type directoryTask struct {
	clock     task.Clock
	log       log.Interface
	metrics   *metrics
	mailbox   task.Mailbox[any]
	directory *catalog.Directory
	config    *platform.Record
	catalog   *catalog.Catalog
	// records holds the newest record of each entry, to be sent to peers.
	records  map[fleet.EndpointID]platform.Record
	position storelog.Position
	hasList  bool
	// since is when the list of the store's current epoch was first read completely.
	since time.Duration
	// complete is the position up to which the newest records of all entries were
	// read. An older record of an entry that is not in records is outdated: the
	// entry was removed.
	complete storelog.Position
	// localOutage is set if peers read the store while this instance could not.
	localOutage bool
	gateway     *gatewayTask
	onChange    func(directoryState)
	// published is the current state for tasks that only read it.
	published atomic.Pointer[directoryState]
}

func newDirectoryTask(clock task.Clock, logger log.Interface, m *metrics, g *gatewayTask) *directoryTask {
	t := &directoryTask{
		clock: clock, log: logger, metrics: m, gateway: g, mailbox: task.NewMailbox[any](directoryMailbox),
		directory: catalog.NewDirectory(), records: make(map[fleet.EndpointID]platform.Record),
		onChange: func(directoryState) {},
	}
	t.published.Store(&directoryState{})
	return t
}

func (t *directoryTask) run(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if t.directory.Expire(t.clock.Now()) {
				t.publish(ctx, "entries still missing after an outage")
			}
		case msg := <-t.mailbox.Receive():
			t.handle(ctx, msg)
		}
	}
}

func (t *directoryTask) handle(ctx context.Context, msg any) {
	switch msg := msg.(type) {
	case configRead:
		t.applyConfig(ctx, msg)
	case entriesRead:
		t.applyEntries(ctx, msg)
		if msg.applied != nil {
			close(msg.applied)
		}
	case storeRecovered:
		if !t.localOutage {
			t.directory.StoreRecovered(t.clock.Now())
		}
		t.localOutage = false
	case snapshotRequest:
		msg.reply <- t.snapshot(msg)
	}
}

func (t *directoryTask) applyConfig(ctx context.Context, msg configRead) {
	c, err := platform.DecodeCatalog(msg.record.Value)
	if err != nil {
		t.metrics.malformed.WithLabelValues("config").Inc()
		t.log.WithError(err).WithField("position", msg.record.Position).Warn("malformed configuration ignored")
		return
	}
	if t.catalog != nil && c.Version <= t.catalog.Version {
		return
	}
	record := msg.record
	t.config, t.catalog = &record, c
	t.log.WithFields(log.Fields{
		"version": c.Version, "source": msg.source, "position": record.Position,
		"routes": len(c.Routes), "teams": len(c.Teams),
	}).Info("configuration in force")
	t.gateway.Post(ctx, gateway.SetCatalog{Catalog: c})
	s := t.state()
	t.published.Store(&s)
	t.onChange(s)
}

func (t *directoryTask) applyEntries(ctx context.Context, msg entriesRead) {
	now := t.clock.Now()
	if msg.source == sourcePeer {
		t.localOutage = msg.storeHealthy
		if !msg.storeHealthy {
			t.directory.StoreRecovered(now)
		}
	}
	if msg.end.Epoch() < t.position.Epoch() {
		// The store has come back from an older copy since this list was read.
		return
	}
	t.beginEpoch(now, msg)
	changed := !t.hasList
	if msg.resync && msg.source == sourceStore {
		t.complete = 0
	}
	seen := make(map[fleet.EndpointID]bool, len(msg.records))
	for _, r := range msg.records {
		seen[fleet.EndpointID(r.Key)] = true
		changed = t.applyEntry(now, r) || changed
	}
	if msg.resync {
		t.complete = max(t.complete, msg.end)
		for id, r := range t.records {
			if !seen[id] && r.Position < msg.end {
				changed = t.removeMissing(now, id, msg.end-1) || changed
			}
		}
	}
	t.directory.CaughtUp()
	t.position = max(t.position, msg.end)
	t.hasList = true
	if changed {
		t.publish(ctx, msg.source)
	}
	s := *t.published.Load()
	s.Position = t.position
	t.published.Store(&s)
}

// beginEpoch prepares for the first complete list of an epoch of the store. Entries that the copy lacks
// are written again by endpoints that still run, as after an outage.
func (t *directoryTask) beginEpoch(now time.Duration, msg entriesRead) {
	isNew := msg.end.Epoch() > t.position.Epoch()
	if t.hasList && isNew {
		t.directory.StoreRecovered(now)
	}
	if msg.resync && (isNew || !t.hasList) {
		t.directory.BeginEpoch(msg.end)
		t.since = now
	}
}

// removeMissing removes an entry that a complete list up to a position lacks.
func (t *directoryTask) removeMissing(now time.Duration, id fleet.EndpointID, position storelog.Position) bool {
	if position <= t.records[id].Position {
		return false
	}
	t.records[id] = platform.Record{Key: string(id), Position: position}
	return t.directory.Apply(now, catalog.Entry{ID: id, Position: position, Removed: true, Missing: true})
}

// applyEntry applies a record unless it is outdated and reports whether the
// endpoints changed.
func (t *directoryTask) applyEntry(now time.Duration, r platform.Record) bool {
	previous, ok := t.records[fleet.EndpointID(r.Key)]
	if (ok && r.Position <= previous.Position) || (!ok && r.Position < t.complete) {
		return false
	}
	entry, err := platform.DecodeEntry(r)
	if err != nil {
		t.metrics.malformed.WithLabelValues("entry").Inc()
		t.log.WithError(err).WithField("position", r.Position).Warn("malformed instance entry ignored")
	}
	t.records[entry.ID] = r
	return t.directory.Apply(now, entry)
}

func (t *directoryTask) state() directoryState {
	s := directoryState{Position: t.position, ListSince: t.since, Catalog: t.catalog, Endpoints: t.directory.Endpoints()}
	if t.catalog != nil {
		s.Version, s.ConfigBytes = t.catalog.Version, len(t.config.Value)
	}
	return s
}

// publish sends the endpoints to the gateway and to onChange.
func (t *directoryTask) publish(ctx context.Context, source string) {
	s := t.state()
	draining := 0
	for _, e := range s.Endpoints {
		if e.Draining {
			draining++
		}
	}
	t.log.WithFields(log.Fields{
		"source": source, "position": t.position, "endpoints": len(s.Endpoints), "draining": draining,
	}).Info("endpoints changed")
	t.gateway.Post(ctx, gateway.SetEndpoints{Endpoints: s.Endpoints, Position: s.Position})
	t.published.Store(&s)
	t.onChange(s)
}

// snapshot returns what a peer lacks. It is complete if the peer is behind
// complete: this instance has no records of entries removed before that
// position, so only a full list lets the peer detect their removal.
func (t *directoryTask) snapshot(r snapshotRequest) snapshot {
	s := snapshot{end: t.position, complete: r.peerPosition < t.complete}
	if t.catalog != nil && t.catalog.Version > r.peerVersion {
		s.config = t.config
	}
	for _, record := range t.records {
		if s.complete || record.Position >= r.peerPosition {
			s.records = append(s.records, record)
		}
	}
	return s
}
