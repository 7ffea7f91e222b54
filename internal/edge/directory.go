package edge

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
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
	// expireInterval is the time between two checks for entries that are
	// missing since an outage.
	expireInterval = 200 * time.Millisecond
)

// configFound is a configuration as it was read. Source is the store or a peer.
type configFound struct {
	record platform.Record
	source string
}

// entriesFound are records of the instance list. A resync replaces the list:
// entries before end that are not among the records are gone.
type entriesFound struct {
	records []platform.Record
	resync  bool
	end     int64
	source  string
	// steady is set for records of a peer that reads the store without an
	// outage. Entries that it saw disappear are gone.
	steady bool
	// applied is closed once the records are applied; nil if nobody waits.
	applied chan<- struct{}
}

// storeReturned tells that reads of the store succeed again.
type storeReturned struct{}

// snapshotRequest asks for what this instance knows beyond what a peer has.
type snapshotRequest struct {
	haveVersion catalog.Version
	haveOffset  int64
	reply       chan<- snapshot
}

// snapshot is the configuration, unless the peer has it, and the records of the
// instance list from an offset on.
type snapshot struct {
	config  *platform.Record
	records []platform.Record
	end     int64
	// complete is set if records holds all entries before end.
	complete bool
}

// directoryState is published for tasks that only read it.
type directoryState struct {
	Version   catalog.Version
	Offset    int64
	Catalog   *catalog.Catalog
	Endpoints []catalog.Endpoint
}

// directoryTask owns the configuration and the instance list as read from the
// store or from peers, and passes changes on to the gateway and the duties.
type directoryTask struct {
	clock     task.Clock
	log       log.Interface
	metrics   *metrics
	mailbox   task.Mailbox[any]
	directory *catalog.Directory
	config    *platform.Record
	catalog   *catalog.Catalog
	// records holds the newest record of each entry for peers.
	records map[fleet.EndpointID]platform.Record
	offset  int64
	listed  bool
	// complete is the offset up to which the newest records of all entries were
	// read from the store. An unknown entry of an older record is gone.
	complete int64
	// outageIsLocal is set if peers read the store while this instance could not.
	outageIsLocal bool
	// publish passes a change on.
	gateway *gatewayTask
	changed func(directoryState)
	// known is published for tasks that only read it.
	known atomic.Pointer[directoryState]
}

func newDirectoryTask(clock task.Clock, logger log.Interface, m *metrics, g *gatewayTask) *directoryTask {
	t := &directoryTask{
		clock: clock, log: logger, metrics: m, gateway: g, mailbox: task.NewMailbox[any](directoryMailbox),
		directory: catalog.NewDirectory(), records: make(map[fleet.EndpointID]platform.Record),
		changed: func(directoryState) {},
	}
	t.known.Store(&directoryState{})
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
	case configFound:
		t.applyConfig(ctx, msg)
	case entriesFound:
		t.applyEntries(ctx, msg)
		if msg.applied != nil {
			close(msg.applied)
		}
	case storeReturned:
		if !t.outageIsLocal {
			t.directory.StoreRecovered(t.clock.Now())
		}
		t.outageIsLocal = false
	case snapshotRequest:
		msg.reply <- t.snapshot(msg)
	}
}

func (t *directoryTask) applyConfig(ctx context.Context, msg configFound) {
	c, err := platform.DecodeCatalog(msg.record.Value)
	if err != nil {
		t.metrics.malformed.WithLabelValues("config").Inc()
		t.log.WithError(err).WithField("offset", msg.record.Offset).Warn("configuration left out")
		return
	}
	if t.catalog != nil && c.Version <= t.catalog.Version {
		return
	}
	record := msg.record
	t.config, t.catalog = &record, c
	t.log.WithFields(log.Fields{
		"version": c.Version, "source": msg.source, "offset": record.Offset,
		"routes": len(c.Routes), "teams": len(c.Teams),
	}).Info("configuration in force")
	t.gateway.Post(ctx, gateway.SetCatalog{Catalog: c})
	s := t.state()
	t.known.Store(&s)
	t.changed(s)
}

func (t *directoryTask) applyEntries(ctx context.Context, msg entriesFound) {
	now := t.clock.Now()
	if msg.source == sourcePeer {
		t.outageIsLocal = msg.steady
		if !msg.steady {
			t.directory.StoreRecovered(now)
		}
	}
	changed := !t.listed
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
			if !seen[id] && r.Offset < msg.end {
				changed = t.applyEntry(now, platform.Record{Key: string(id), Offset: msg.end - 1}) || changed
			}
		}
	}
	t.directory.CaughtUp()
	t.offset = max(t.offset, msg.end)
	t.listed = true
	if changed {
		t.publish(ctx, msg.source)
	}
	s := *t.known.Load()
	s.Offset = t.offset
	t.known.Store(&s)
}

func (t *directoryTask) applyEntry(now time.Duration, r platform.Record) bool {
	known, ok := t.records[fleet.EndpointID(r.Key)]
	if (ok && r.Offset <= known.Offset) || (!ok && r.Offset < t.complete) {
		return false
	}
	entry, err := platform.DecodeEntry(r)
	if err != nil {
		t.metrics.malformed.WithLabelValues("entry").Inc()
		t.log.WithError(err).WithField("offset", r.Offset).Warn("instance entry left out")
	}
	t.records[entry.ID] = r
	return t.directory.Apply(now, entry)
}

func (t *directoryTask) state() directoryState {
	s := directoryState{Offset: t.offset, Catalog: t.catalog, Endpoints: t.directory.Endpoints()}
	if t.catalog != nil {
		s.Version = t.catalog.Version
	}
	return s
}

func (t *directoryTask) publish(ctx context.Context, source string) {
	s := t.state()
	draining := 0
	for _, e := range s.Endpoints {
		if e.Draining {
			draining++
		}
	}
	t.log.WithFields(log.Fields{
		"source": source, "offset": t.offset, "endpoints": len(s.Endpoints), "draining": draining,
	}).Info("endpoints changed")
	t.gateway.Post(ctx, gateway.SetEndpoints{Endpoints: s.Endpoints})
	t.known.Store(&s)
	t.changed(s)
}

func (t *directoryTask) snapshot(r snapshotRequest) snapshot {
	// An instance that read the whole list knows no entries that were removed
	// before, so it cannot tell a peer of their removal.
	s := snapshot{end: t.offset, complete: r.haveOffset < t.complete}
	if t.catalog != nil && t.catalog.Version > r.haveVersion {
		s.config = t.config
	}
	for _, record := range t.records {
		if s.complete || record.Offset >= r.haveOffset {
			s.records = append(s.records, record)
		}
	}
	return s
}
