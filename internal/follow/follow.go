// Package follow keeps the configuration of one process up to date with the
// ticket log and with its peers. The follower task owns config.Follower, which
// decides what to read, fetch and push; log and peer tasks own the connections,
// perform these calls and post the results back.
package follow

import (
	"context"
	"net/http"
	"sync/atomic"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/gen/cornelhold/v1/cornelholdv1connect"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

// Error is the class of errors about following the configuration.
var Error = errs.Class("follow")

const (
	mailboxCapacity = 256
	// relayTasks is the number of tasks that push tickets. Peers are spread over
	// several, so that an unresponsive peer does not delay the pushes to all others.
	relayTasks = 2 * config.RelayFanOut
)

// Active is the atomically replaced view of the active configuration that
// other tasks and handlers read.
type Active struct {
	spec atomic.Pointer[config.Spec]
}

// Spec returns the active configuration, or nil before the first ticket.
func (a *Active) Spec() *config.Spec { return a.spec.Load() }

// Set replaces the active configuration. The follower task calls it.
func (a *Active) Set(spec *config.Spec) { a.spec.Store(spec) }

// Options configures a follower.
type Options struct {
	Self   config.Node
	Policy config.CheckpointPolicy
	// Log is the base URL of the log service.
	Log string
	// LookupAddress returns the addresses of peers; nil if the process has no peers.
	LookupAddress AddressLookup
	Clock         task.Clock
	Logger        log.Interface
	Metrics       prometheus.Registerer
	Active        *Active
	// OnActive is called by the follower task with each new configuration.
	OnActive func(ctx context.Context, spec *config.Spec)
	// OnStatus is called by the follower task when the status changes.
	OnStatus func(status config.FollowerStatus)
}

// Follower is the task that owns config.Follower.
type Follower struct {
	options Options
	machine *config.Follower
	mailbox task.Mailbox[any]
	timer   *task.Timer
	metrics *metrics
	reader  *logTask
	writer  *logTask
	fetcher *peerTask
	relays  [relayTasks]*peerTask
}

// Messages to the follower task besides config.FollowerMessage.
type (
	pushRequest struct {
		records []config.Record
		reply   chan config.Number
	}
	fetchRequest struct {
		after    config.Number
		complete bool
		reply    chan config.FetchResponse
	}
	currentRequest struct{ reply chan *config.Snapshot }
)

// New returns a follower that has not started.
func New(o Options) *Follower {
	if o.LookupAddress == nil {
		o.LookupAddress = noPeers
	}
	mailbox := task.NewMailbox[any](mailboxCapacity)
	f := &Follower{
		options: o, machine: config.NewFollower(o.Self, o.Policy), mailbox: mailbox, timer: task.NewTimer(),
		metrics: newMetrics(o.Metrics),
		reader:  newLogTask(platform.NewLogClient(o.Log), mailbox),
		writer:  newLogTask(platform.NewLogClient(o.Log), mailbox),
		fetcher: newPeerTask(o.LookupAddress, mailbox),
	}
	for i := range f.relays {
		f.relays[i] = newPeerTask(o.LookupAddress, mailbox)
	}
	return f
}

// Start starts the follower's tasks in the group.
func (f *Follower) Start(g *task.Group) {
	g.Go("follower", f.run)
	g.Go("follower log reader", f.reader.Run)
	g.Go("follower log writer", f.writer.Run)
	g.Go("follower fetch", f.fetcher.Run)
	for _, relay := range f.relays {
		g.Go("follower relay", relay.Run)
	}
}

// Register adds the ConfigRelay service to the peer server.
func (f *Follower) Register(mux *http.ServeMux) {
	mux.Handle(cornelholdv1connect.NewConfigRelayHandler(&relayHandler{mailbox: f.mailbox}))
}

// SetNodes reports the live own instances.
func (f *Follower) SetNodes(ctx context.Context, nodes []config.Node) {
	_ = f.mailbox.Send(ctx, config.Nodes{List: nodes})
}

// PeerNumber reports the ticket number that a peer announced. A report is dropped when
// the task is overloaded; the next heartbeat repeats it.
func (f *Follower) PeerNumber(msg config.PeerNumber) { f.mailbox.TrySend(msg) }

// Current returns the active snapshot.
func (f *Follower) Current(ctx context.Context) (*config.Snapshot, error) {
	reply := make(chan *config.Snapshot, 1)
	if err := f.mailbox.Send(ctx, currentRequest{reply: reply}); err != nil {
		return nil, err
	}
	select {
	case snapshot := <-reply:
		return snapshot, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func (f *Follower) run(ctx context.Context) error {
	defer f.timer.Stop()
	f.step(ctx, config.Start{})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-f.timer.C():
			f.step(ctx, config.Tick{})
		case msg := <-f.mailbox.Receive():
			f.handle(ctx, msg)
		}
	}
}

func (f *Follower) handle(ctx context.Context, msg any) {
	switch msg := msg.(type) {
	case config.FollowerMessage:
		f.step(ctx, msg)
	case pushRequest:
		f.step(ctx, config.TicketsPushed{Records: msg.records})
		msg.reply <- f.machine.Current().Number
	case fetchRequest:
		msg.reply <- f.machine.RespondToFetch(msg.after, msg.complete)
	case currentRequest:
		msg.reply <- f.machine.Current()
	}
}

func (f *Follower) step(ctx context.Context, msg config.FollowerMessage) {
	for _, action := range f.machine.Step(f.options.Clock.Now(), msg) {
		f.perform(ctx, action)
	}
}

func (f *Follower) perform(ctx context.Context, action config.FollowerAction) {
	switch action := action.(type) {
	case config.ReadTickets, config.ReadCheckpoints:
		_ = f.reader.calls.Send(ctx, action)
	case config.AppendCheckpoint:
		_ = f.writer.calls.Send(ctx, action)
	case config.FetchPeer:
		_ = f.fetcher.calls.Send(ctx, action)
	case config.Relay:
		index := xxhash.Sum64String(string(action.To)) % relayTasks
		f.relays[index].calls.TrySend(action)
	case config.Activate:
		f.activate(ctx, action)
	case config.ReportVerdicts:
		f.metrics.countVerdicts(action.Verdicts)
	case config.ReportStatus:
		f.reportStatus(action.Status)
	case config.SetTimer:
		f.timer.Arm(action.At - f.options.Clock.Now())
	}
}

func (f *Follower) activate(ctx context.Context, a config.Activate) {
	spec, skipped := ticket.BuildSpec(a.Snapshot)
	f.options.Active.Set(spec)
	f.metrics.recordActivation(a)
	f.options.Logger.WithFields(log.Fields{"number": uint64(spec.Number), "skipped_objects": len(skipped)}).
		Info("configuration active")
	f.options.OnActive(ctx, spec)
}

func (f *Follower) reportStatus(s config.FollowerStatus) {
	f.metrics.recordStatus(s)
	f.options.Logger.WithFields(log.Fields{"known": s.HasConfig, "log_down": s.LogDown, "gap": s.Gap}).
		Info("configuration source changed")
	if f.options.OnStatus != nil {
		f.options.OnStatus(s)
	}
}

func noPeers(fleet.InstanceID) (string, bool) { return "", false }
