package router

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/do/v2"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/peer"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	// maxFeeds bounds the engines whose reports one router reads, independent of
	// the size of the fleet. The load of other engines is estimated from this
	// router's own requests.
	maxFeeds = 64
	// feedInterval is the delay between two reads of one engine.
	feedInterval = 250 * time.Millisecond
	// feedPollTimeout bounds the time for which an engine may hold a read open
	// (long polling).
	feedPollTimeout = time.Second
	// feedRetryDelay is the delay after a failed read, and between two checks
	// whether an endpoint is a model engine in the active configuration.
	feedRetryDelay = 2 * time.Second
	feedsCapacity  = 16
	// memberInterval is the time between two reads of the member list.
	memberInterval = 2 * time.Second
)

// feeds reads the load reports and cache events of engines, each in a task of
// its own, and sends them to the dispatcher.
type feeds struct {
	mailbox    task.Mailbox[[]dispatch.Endpoint]
	dispatcher task.Mailbox[dispatcherMessage]
	client     *engine.Client
	active     *Active
	self       string
	tasks      *task.Group
	followed   map[fleet.EndpointID]context.CancelFunc
	directory  *peer.Directory
	peers      dispatch.Peers
}

func newFeeds(i do.Injector) (*feeds, error) {
	return &feeds{
		mailbox:    task.NewMailbox[[]dispatch.Endpoint](feedsCapacity),
		dispatcher: do.MustInvoke[*dispatcher](i).mailbox,
		client:     do.MustInvoke[*engine.Client](i),
		active:     do.MustInvoke[*Active](i),
		self:       do.MustInvoke[*Settings](i).Instance,
		tasks:      do.MustInvoke[*task.Group](i),
		followed:   make(map[fleet.EndpointID]context.CancelFunc),
		directory:  do.MustInvoke[*peer.Directory](i),
	}, nil
}

// Run owns the set of followed engines until ctx ends.
func (f *feeds) Run(ctx context.Context) error {
	members := time.NewTicker(memberInterval)
	defer members.Stop()
	f.reportPeers(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-members.C:
			f.reportPeers(ctx)
		case list := <-f.mailbox.Receive():
			f.follow(ctx, f.selectEndpoints(list))
		}
	}
}

// reportPeers sends the dispatcher the number of routers and this router's
// position among them when they have changed. Routers that are leaving accept
// no requests and don't count.
func (f *feeds) reportPeers(ctx context.Context) {
	peers := dispatch.Peers{}
	for _, m := range f.directory.Members() {
		if m.Leaving {
			continue
		}
		peers.Count++
		if string(m.Instance) < f.self {
			peers.Index++
		}
	}
	if peers != f.peers {
		f.peers = peers
		_ = f.dispatcher.Send(ctx, dispatcherMessage{message: peers})
	}
}

// selectEndpoints returns the live endpoints to follow. If there are more than
// maxFeeds, each router selects a different subset by rendezvous hashing.
func (f *feeds) selectEndpoints(list []dispatch.Endpoint) []dispatch.Endpoint {
	live := slices.DeleteFunc(slices.Clone(list), func(e dispatch.Endpoint) bool { return e.Leaving })
	rank := func(e dispatch.Endpoint) uint64 { return xxhash.Sum64String(f.self + "/" + string(e.ID)) }
	slices.SortFunc(live, func(a, b dispatch.Endpoint) int { return cmp.Compare(rank(a), rank(b)) })
	return live[:min(len(live), maxFeeds)]
}

func (f *feeds) follow(ctx context.Context, selected []dispatch.Endpoint) {
	keep := make(map[fleet.EndpointID]struct{}, len(selected))
	for _, e := range selected {
		keep[e.ID] = struct{}{}
		if _, ok := f.followed[e.ID]; ok {
			continue
		}
		feedCtx, cancel := context.WithCancel(ctx)
		f.followed[e.ID] = cancel
		f.tasks.Go("feed", func(context.Context) error {
			f.read(feedCtx, e)
			return nil
		})
	}
	for id, cancel := range f.followed {
		if _, ok := keep[id]; !ok {
			cancel()
			delete(f.followed, id)
		}
	}
}

// read follows one engine until ctx ends.
func (f *feeds) read(ctx context.Context, e dispatch.Endpoint) {
	after := uint64(0)
	for ctx.Err() == nil {
		if !f.isModel(e.Service) {
			sleep(ctx, feedRetryDelay)
			continue
		}
		events, err := f.poll(ctx, e.Address, after)
		if err != nil {
			sleep(ctx, feedRetryDelay)
			continue
		}
		after = events.Sequence
		f.reportLoad(e.ID, events)
		sleep(ctx, feedInterval)
	}
}

// poll reads one batch of events. The timeout ends reads on unresponsive
// connections.
func (f *feeds) poll(ctx context.Context, address string, after uint64) (engine.Events, error) {
	ctx, cancel := context.WithTimeout(ctx, feedPollTimeout+engine.StreamIdleTimeout)
	defer cancel()
	return f.client.Events(ctx, address, after, feedPollTimeout)
}

func (f *feeds) isModel(name fleet.ServiceName) bool {
	spec := f.active.Spec()
	if spec == nil {
		return false
	}
	service, ok := spec.Services[name]
	return ok && service.Kind == config.ServiceModel
}

// reportLoad sends without blocking and drops the report if the dispatcher's
// mailbox is full, since requests have priority over reports.
func (f *feeds) reportLoad(id fleet.EndpointID, events engine.Events) {
	f.dispatcher.TrySend(dispatcherMessage{message: dispatch.LoadReport{
		Endpoint: id, Running: events.Running, Waiting: events.Waiting, Batch: events.Batch,
		Sequence: events.Sequence, Age: time.Duration(events.AgeMillis) * time.Millisecond,
	}})
	if len(events.Stored)+len(events.Evicted) > 0 {
		f.dispatcher.TrySend(dispatcherMessage{message: dispatch.CacheEvent{
			Endpoint: id, Sequence: events.Sequence, Stored: events.Stored, Evicted: events.Evicted,
		}})
	}
}
