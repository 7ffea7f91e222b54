// Package edge runs one entry instance: it serves callers, follows the platform's
// store, exchanges reports with its peers and performs the duties of the deployment
// while it holds their lease.
package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/quota"
	"github.com/cornelhold/cornelhold/internal/front"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/internal/upstream"
	"github.com/cornelhold/cornelhold/platform"
)

// Error is the class of errors that stop the process.
var Error = errs.Class("edge")

const (
	// MetricsPort is the port of the metrics address; the deploy file names it.
	MetricsPort = 9464
	// closingDelay is the time after the stop signal from which requests that may
	// outlast the process are refused. By then the platform has detected that the
	// process is not ready.
	closingDelay = 2500 * time.Millisecond
	// stopMargin is how long before the end of the grace period the process exits.
	stopMargin = 700 * time.Millisecond
	// signalBuffer is the number of signals that wait to be handled.
	signalBuffer = 4
	// startedMailbox bounds the started requests that wait to be counted.
	startedMailbox = 4096
	// heapShare is the share of the process's memory that the Go runtime uses before it
	// collects garbage more often. The rest is for the program itself and for bytes that were
	// received and not yet read, which count as its memory.
	heapShare = 0.5
	// bodyShare is the share of the process's memory for the bodies of requests: half of the
	// heap. defaultBodyMemory is used if the settings do not state the memory.
	bodyShare         = heapShare / 2
	defaultBodyMemory = 64 << 20
)

// process holds the tasks and the shared state of one process run.
type process struct {
	deployment platform.Deployment
	clock      task.Clock
	log        log.Interface
	metrics    *metrics
	registry   *prometheus.Registry
	gateway    *gatewayTask
	directory  *directoryTask
	duties     *dutiesTask
	peers      *peersTask
	turns      *turnsTask
	crashes    *crashRecordsTask
	rollouts   *rolloutsTask
	pool       *upstream.Pool
	store      *platform.Store
	started    task.Mailbox[gateway.CountStarted]
	stage      atomic.Uint32
	drain      chan struct{}
	requests   atomic.Uint64
	list       listFreshness
	// configTrigger and listTrigger make the followers read immediately.
	configTrigger, listTrigger chan struct{}
	// deadline is when a draining process exits, in nanoseconds of the process
	// clock.
	deadline atomic.Int64
}

// Run serves until the process receives a stop signal or a task fails.
func Run(ctx context.Context, d platform.Deployment) error {
	// A signal that arrives before it is handled would end the process.
	received := make(chan os.Signal, signalBuffer)
	signal.Notify(received, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(received)
	limitMemory(d)
	writer := newLogWriter(os.Stdout)
	logContext, stopLog := context.WithCancel(context.Background())
	logged := make(chan struct{})
	go func() { defer close(logged); writer.run(logContext) }()
	defer func() { stopLog(); <-logged }()

	logger := (&log.Logger{Handler: json.New(writer), Level: log.InfoLevel}).WithField("node", d.Node)
	registry := prometheus.NewRegistry()
	processMetrics := newMetrics(registry, logger)
	writer.dropped = processMetrics.droppedLog
	p := newProcess(d, logger, processMetrics, registry)
	logger.WithFields(log.Fields{"data_centre": string(d.DataCentre), "front": d.Front}).Info("start")
	err := p.run(ctx, received)
	logger.WithError(err).Info("stop")
	return err
}

// limitMemory sets the memory limit of the Go runtime. Garbage that waits for its collection
// would otherwise double the memory of the process.
func limitMemory(d platform.Deployment) {
	if d.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(heapShare * float64(d.MemoryBytes)))
	}
}

func newProcess(d platform.Deployment, logger log.Interface, m *metrics, registry *prometheus.Registry) *process {
	clock := task.NewClock()
	p := &process{
		deployment: d, clock: clock, log: logger, metrics: m, registry: registry,
		pool: upstream.NewPool(clock), store: platform.NewStore(d.StoreAddr),
		started: task.NewMailbox[gateway.CountStarted](startedMailbox), drain: make(chan struct{}), configTrigger: make(chan struct{}, 1), listTrigger: make(chan struct{}, 1),
	}
	p.gateway = newGatewayTask(p.clock, logger, m, gateway.Options{
		Node: d.Node, DataCentre: d.DataCentre,
		Quota: quota.Bounds{
			Window: d.Bounds.QuotaWindow, Overrun: d.Bounds.QuotaOverrun, Slack: d.Bounds.QuotaSlack,
		},
		RetryRatio: d.Bounds.RetryRatio, RetrySlack: d.Bounds.RetrySlack, RetryWindow: d.Bounds.RetryWindow,
		FirstStart: d.FirstStart, DrainBound: d.Bounds.Drain,
	}, p.started)
	p.gateway.readList, p.gateway.pool = p.readOutdatedList, p.pool
	p.crashes = newCrashRecordsTask(p)
	p.gateway.persist = p.crashes.submit
	p.directory = newDirectoryTask(p.clock, logger, m, p.gateway)
	seed := rand.Uint64()
	boot := strconv.FormatUint(seed, 36)
	p.duties = newDutiesTask(p, boot, seed>>1)
	p.rollouts = newRolloutsTask(p)
	p.peers = newPeersTask(p, boot)
	p.turns = newTurnsTask(p, boot)
	p.gateway.turns = p.turns.mailbox
	p.directory.onChange = func(s directoryState) {
		// A state dropped because the mailbox is full is superseded by a newer one.
		p.duties.post(endpointsUpdate{state: s})
		p.rollouts.post(endpointsUpdate{state: s})
		p.turns.post(endpointsUpdate{state: s})
		p.pool.Retain(lo.SliceToMap(s.Endpoints, func(e catalog.Endpoint) (string, bool) { return e.Address, true }))
	}
	return p
}

func (p *process) run(ctx context.Context, received <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	listeners, err := p.listen()
	if err != nil {
		return err
	}
	group := task.NewGroup(ctx)
	group.Go("gateway", p.gateway.run)
	group.Go("directory", p.directory.run)
	group.Go("pool", p.pool.Run)
	group.Go("follow configuration", p.configFollower().run)
	group.Go("follow endpoints", p.endpointFollower().run)
	group.Go("follow epoch", p.followEpoch)
	p.peers.conn = listeners.peers
	context.AfterFunc(ctx, func() { _ = listeners.peers.Close() })
	group.Go("peers", p.peers.run)
	if p.turns.conn = listeners.turns; listeners.turns != nil {
		context.AfterFunc(ctx, func() { _ = listeners.turns.Close() })
		group.Go("turns", p.turns.run)
	}
	group.Go("join", p.peers.joinThroughStore)
	group.Go("duties", p.duties.run)
	group.Go("restore quota use", p.restoreQuotaUse)
	group.Go("restore engine speeds", p.restoreEngines)
	group.Go("crash records", p.crashes.run)
	group.Go("rollouts", p.rollouts.run)
	group.Go("snapshots", func(ctx context.Context) error {
		return serveHTTP(ctx, listeners.snapshots, snapshotHandler(p))
	})
	group.Go("ready", func(ctx context.Context) error {
		return serveHTTP(ctx, listeners.ready, readyHandler(p.ready))
	})
	group.Go("metrics", func(ctx context.Context) error {
		return serveHTTP(ctx, listeners.metrics, metricsHandler(p.registry))
	})
	server := front.NewServer(listeners.front, p.frontOptions())
	group.Go("front", func(ctx context.Context) error {
		context.AfterFunc(ctx, func() { _ = listeners.front.Close() })
		return server.Run(ctx)
	})
	group.Go("stalls", p.detectStalls)
	group.Go("signals", func(ctx context.Context) error { return p.signals(ctx, received, cancel) })
	return group.Wait()
}

type listeners struct {
	front, ready, metrics, snapshots net.Listener
	// turns is nil if the port range has no port for it.
	peers, turns *net.UDPConn
}

func (p *process) listen() (listeners, error) {
	var l listeners
	var err error
	addresses := []struct {
		address string
		into    *net.Listener
	}{
		{p.deployment.Front, &l.front},
		{p.deployment.Ready, &l.ready},
		{net.JoinHostPort(p.deployment.IP, strconv.Itoa(MetricsPort)), &l.metrics},
		{net.JoinHostPort(p.deployment.IP, p.snapshotPort()), &l.snapshots},
	}
	for _, a := range addresses {
		if *a.into, err = net.Listen("tcp", a.address); err != nil {
			return l, Error.New("cannot listen on %s: %w; free the address or correct the settings", a.address, err)
		}
	}
	if l.peers, err = p.listenUDP(p.deployment.FirstPeerPort); err != nil {
		return l, err
	}
	if p.deployment.TurnsPort > 0 {
		l.turns, err = p.listenUDP(p.deployment.TurnsPort)
	}
	return l, err
}

func (p *process) listenUDP(port int) (*net.UDPConn, error) {
	address := net.UDPAddr{IP: net.ParseIP(p.deployment.IP), Port: port}
	conn, err := net.ListenUDP("udp", &address)
	if err != nil {
		return nil, Error.New("cannot listen on %s: %w; free the address or correct the settings", address.String(), err)
	}
	return conn, nil
}

func (p *process) draining() bool { return front.Stage(p.stage.Load()) != front.StageServing }

func (p *process) frontOptions() front.Options {
	return front.Options{
		Clock: p.clock, Gateway: p.gateway, Pool: p.pool, Observer: p.metrics, Log: p.log,
		Limits:   p.gateway.currentLimits,
		Stage:    func() front.Stage { return front.Stage(p.stage.Load()) },
		TimeLeft: func() time.Duration { return time.Duration(p.deadline.Load()) - p.clock.Now() },
		Drain:    p.drain, Random: rand.Float64,
		NextID:     func() gateway.RequestID { return gateway.RequestID(p.requests.Add(1)) },
		BodyMemory: bodyMemory(p.deployment),
	}
}

// bodyMemory returns the memory for the bodies of requests.
func bodyMemory(d platform.Deployment) int64 {
	if d.MemoryBytes <= 0 {
		return defaultBodyMemory
	}
	return int64(bodyShare * float64(d.MemoryBytes))
}

func (p *process) ready() bool {
	return p.gateway.ready.Load() && front.Stage(p.stage.Load()) == front.StageServing
}

// signals drains and stops the process on SIGTERM and SIGINT. SIGHUP only checks
// and logs a changed settings file: its values apply from the next start.
func (p *process) signals(ctx context.Context, received <-chan os.Signal, cancel context.CancelFunc) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-received:
			if s == syscall.SIGHUP {
				p.reload()
				continue
			}
			p.shutdown(ctx)
			cancel()
			return nil
		}
	}
}

func (p *process) reload() {
	d, err := platform.LoadSettings(platform.SettingsPath())
	if err != nil {
		p.log.WithError(err).Warn("settings not reloaded")
		return
	}
	p.log.WithField("bounds", d.Bounds).Info("settings reloaded")
}

// shutdown drains the process within its grace period: new requests are accepted
// for closingDelay, then only those that end in time.
func (p *process) shutdown(ctx context.Context) {
	grace := p.deployment.Bounds.Grace
	p.log.WithField("grace_ms", grace.Milliseconds()).Info("drain")
	p.deadline.Store(int64(p.clock.Now() + grace - stopMargin))
	p.stage.Store(uint32(front.StageDraining))
	close(p.drain)
	sleep(ctx, min(closingDelay, grace/2))
	p.stage.Store(uint32(front.StageClosing))
	sleep(ctx, max(grace-min(closingDelay, grace/2)-stopMargin, 0))
}
