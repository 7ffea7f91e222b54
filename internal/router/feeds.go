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
	// maxFeeds bounds the engines that one router follows, whatever the size of
	// the fleet; the others are known by the router's own requests only.
	maxFeeds = 64
	// feedInterval separates two reads of one engine.
	feedInterval = 250 * time.Millisecond
	// feedPoll is how long an engine may hold a read open.
	feedPoll = time.Second
	// feedRetry separates reads of an engine that does not answer, and checks of
	// an endpoint that is not known to be a model engine.
	feedRetry     = 2 * time.Second
	feedsCapacity = 16
	// memberInterval separates looks at the list of own instances.
	memberInterval = 2 * time.Second
)

// feeds is the task that follows the load reports and cache events of engines.
// Each followed engine has its own task.
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
	f.announcePeers(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-members.C:
			f.announcePeers(ctx)
		case list := <-f.mailbox.Receive():
			f.follow(ctx, f.choose(list))
		}
	}
}

// announcePeers tells the dispatcher how many routers there are when it has
// changed. Leaving ones take no more requests.
func (f *feeds) announcePeers(ctx context.Context) {
	now := dispatch.Peers{}
	for _, m := range f.directory.Members() {
		if m.Leaving {
			continue
		}
		now.Count++
		if string(m.Instance) < f.self {
			now.Index++
		}
	}
	if now != f.peers {
		f.peers = now
		_ = f.dispatcher.Send(ctx, dispatcherMessage{message: now})
	}
}

// choose returns the live endpoints to follow. Each router follows others when
// there are more than maxFeeds.
func (f *feeds) choose(list []dispatch.Endpoint) []dispatch.Endpoint {
	live := slices.DeleteFunc(slices.Clone(list), func(e dispatch.Endpoint) bool { return e.Leaving })
	rank := func(e dispatch.Endpoint) uint64 { return xxhash.Sum64String(f.self + "/" + string(e.ID)) }
	slices.SortFunc(live, func(a, b dispatch.Endpoint) int { return cmp.Compare(rank(a), rank(b)) })
	return live[:min(len(live), maxFeeds)]
}

func (f *feeds) follow(ctx context.Context, chosen []dispatch.Endpoint) {
	keep := make(map[fleet.EndpointID]struct{}, len(chosen))
	for _, e := range chosen {
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
			pause(ctx, feedRetry)
			continue
		}
		events, err := f.poll(ctx, e.Address, after)
		if err != nil {
			pause(ctx, feedRetry)
			continue
		}
		after = events.Sequence
		f.tell(e.ID, events)
		pause(ctx, feedInterval)
	}
}

// poll bounds a read on a connection that has gone silent.
func (f *feeds) poll(ctx context.Context, address string, after uint64) (engine.Events, error) {
	ctx, cancel := context.WithTimeout(ctx, feedPoll+engine.SilenceBound)
	defer cancel()
	return f.client.Events(ctx, address, after, feedPoll)
}

func (f *feeds) isModel(name fleet.ServiceName) bool {
	spec := f.active.Spec()
	if spec == nil {
		return false
	}
	service, ok := spec.Services[name]
	return ok && service.Kind == config.ServiceModel
}

// tell posts without waiting: under overload a report is worth less than the
// requests that wait for the dispatcher.
func (f *feeds) tell(id fleet.EndpointID, events engine.Events) {
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
