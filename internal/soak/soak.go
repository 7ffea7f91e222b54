// Package soak runs edge processes on loopback, injects faults from outside them
// and checks the documented guarantees against what callers, replicas and the
// platform observe. A seed determines all random choices.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samber/lo"
	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/procs"
	"github.com/cornelhold/cornelhold/internal/standin/edgefleet"
	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
	"github.com/cornelhold/cornelhold/internal/task"
)

// Error is the class of errors of this package.
var Error = errs.Class("soak")

const (
	// readyTimeout bounds the start of the processes, and their recovery after all
	// faults have ended.
	readyTimeout = 12 * time.Second
	// configApplyLimit is the time within which a configuration becomes active and
	// a draining replica gets no more requests. It holds for processes that have
	// been in contact with the store without faults for recoveryDelay.
	configApplyLimit = 2 * time.Second
	recoveryDelay    = 3 * time.Second
	// callMailboxCapacity bounds the finished calls that wait to be recorded.
	callMailboxCapacity = 4096
	replicasPerService  = 3
)

// Options configures one run.
type Options struct {
	Seed uint64
	// Program is the path of cornelhold-edge, Dir the directory for settings and logs.
	Program, Dir string
	// Edges is the number of processes, Clients the number of callers.
	Edges, Clients int
	// Length is how long faults are injected.
	Length time.Duration
}

// Result is the outcome of one run.
type Result struct {
	Calls, Served, Runs int
	Faults              []string
	Violations          []string
}

type run struct {
	options   Options
	random    *rand.Rand
	fleet     *edgefleet.Fleet
	proxies   []*proxy
	key       atomic.Pointer[string]
	keyCount  int
	faults    []string
	startedAt time.Time
	crashes   crashes
	leaving   leavingReplica
}

// Run runs the soak with one seed. It returns an error only if the run itself
// failed; violations are part of the result.
func Run(ctx context.Context, o Options) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &run{options: o, random: rand.New(rand.NewPCG(o.Seed, 0)), startedAt: time.Now()}
	r.crashes.downAt = make(map[*userplatform.Replica]time.Time)
	if err := r.start(ctx); err != nil {
		return Result{}, err
	}
	defer r.fleet.Stop()

	calls := task.NewMailbox[*call](callMailboxCapacity)
	collected := make(chan []*call, 1)
	go func() {
		var all []*call
		for c := range calls.Receive() {
			if c == nil {
				break
			}
			all = append(all, c)
		}
		collected <- all
	}()
	clientContext, stopClients := context.WithCancel(ctx)
	defer stopClients()
	var clients sync.WaitGroup
	fronts := lo.Map(r.fleet.Edges, func(e *edgefleet.Edge, _ int) string { return e.FrontAddress })
	for i := range o.Clients {
		c := &client{
			name: fmt.Sprintf("s%d-c%d", o.Seed, i), random: rand.New(rand.NewPCG(o.Seed, uint64(i)+1)), frontAddresses: fronts,
			key: func() string { return *r.key.Load() }, calls: calls,
		}
		clients.Go(func() { c.run(clientContext) })
	}
	rollbacks := make(chan []string, 1)
	go func() { rollbacks <- r.injectRollbacks(ctx) }()
	err := r.injectFaults(ctx)
	r.faults = append(r.faults, <-rollbacks...)
	if err != nil {
		return Result{}, err
	}
	violations, err := r.checkCrashingRequest(ctx)
	if err != nil {
		return Result{}, err
	}
	violations = append(violations, r.checkStatements(ctx)...)
	violations = append(violations, r.checkRecovery(ctx)...)
	violations = append(violations, r.checkPausedProcesses(ctx)...)
	stopClients()
	clients.Wait()
	if err := calls.Send(ctx, nil); err != nil {
		return Result{}, Error.Wrap(err)
	}
	all := <-collected
	return r.result(all, violations), nil
}

func (r *run) start(ctx context.Context) error {
	fleet, err := edgefleet.New(ctx, edgefleet.Options{
		Program: r.options.Program, Dir: r.options.Dir, Replicas: replicasPerService,
		ProxyFor: func(address string) (string, error) {
			p, err := startProxy(ctx, address)
			if err != nil {
				return "", err
			}
			r.proxies = append(r.proxies, p)
			return p.address, nil
		},
	})
	if err != nil {
		return err
	}
	r.fleet = fleet
	for _, replica := range r.replicas() {
		r.prepareReplica(ctx, replica)
	}
	fleet.AnnounceAll("ready")
	r.configure()
	for range r.options.Edges {
		if _, err := fleet.AddEdge(ctx); err != nil {
			fleet.Stop()
			return err
		}
	}
	if err := r.waitUntilReady(ctx); err != nil {
		fleet.Stop()
		return err
	}
	return nil
}

// configure stores a configuration with a new API key.
func (r *run) configure() {
	r.keyCount++
	key := fmt.Sprint("key-", r.keyCount)
	r.fleet.Configure(r.fleet.Config(edgefleet.PlainService, key))
	r.key.Store(&key)
}

func (r *run) waitUntilReady(ctx context.Context) error {
	return procs.WaitFor(ctx, readyTimeout, "all processes to be ready", func() bool {
		return lo.EveryBy(r.fleet.Edges, func(e *edgefleet.Edge) bool {
			return procs.Status("http://"+e.ReadyAddress+"/readyz") == http.StatusOK
		})
	})
}

func (r *run) recordFault(format string, args ...any) {
	r.faults = append(r.faults, r.atNow(format, args...))
}

// atNow returns the description of a fault that begins now.
func (r *run) atNow(format string, args ...any) string {
	return fmt.Sprintf("%.2f ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...)
}

// checkRecovery checks that the system recovers after all faults have ended: every
// process serves, applies a new configuration and stops sending requests to a
// draining replica.
func (r *run) checkRecovery(ctx context.Context) []string {
	var found []string
	if err := r.waitUntilReady(ctx); err != nil {
		found = append(found, err.Error())
	}
	sleep(ctx, recoveryDelay)
	found = append(found, r.checkDutiesGoOn(ctx, time.Now())...)
	old := *r.key.Load()
	leaving := r.fleet.PlainReplicas[0]
	r.configure()
	r.fleet.Announce(leaving, "draining")
	sleep(ctx, configApplyLimit)
	before := len(leaving.Runs())
	for _, e := range r.fleet.Edges {
		if status := r.probe(ctx, e, old); status != http.StatusUnauthorized {
			found = append(found, fmt.Sprintf("%s answers %d to a key that was taken away", e.Name, status))
		}
	}
	return append(found, r.checkLeft(ctx, leaving, before, "once all faults have ended")...)
}

// checkLeft checks that every process serves and that none sends requests to a replica
// that has left. before is the number of requests that the replica had got by then, when
// names the situation.
func (r *run) checkLeft(ctx context.Context, left *userplatform.Replica, before int, when string) []string {
	var found []string
	for _, e := range r.fleet.Edges {
		for range 2 * replicasPerService {
			if status := r.probe(ctx, e, *r.key.Load()); status != http.StatusOK {
				found = append(found, fmt.Sprintf("%s answers %d %s", e.Name, status, when))
			}
		}
	}
	if after := len(left.Runs()); after != before {
		found = append(found, fmt.Sprintf("replica %s got %d requests after it had left, %s", left.ID, after-before, when))
	}
	return found
}

// checkPausedProcesses checks that processes which do not run while a replica begins to
// drain send no requests to it afterwards, also none that waited for them meanwhile.
func (r *run) checkPausedProcesses(ctx context.Context) []string {
	leaving := r.fleet.PlainReplicas[1]
	paused := lo.Filter(r.fleet.Edges, func(*edgefleet.Edge, int) bool { return r.random.Float64() < 0.5 })
	for _, e := range paused {
		_ = e.Signal(syscall.SIGSTOP)
	}
	r.fleet.Announce(leaving, "draining")
	sleep(ctx, configApplyLimit)
	before := len(leaving.Runs())
	for _, e := range paused {
		_ = e.Signal(syscall.SIGCONT)
	}
	return r.checkLeft(ctx, leaving, before, "after processes were paused")
}

// probe sends one request to a process and returns its status, 0 if there was no
// response.
func (r *run) probe(ctx context.Context, e *edgefleet.Edge, key string) int {
	return r.probeTarget(ctx, e, key, "/check/probe")
}

func (r *run) probeTarget(ctx context.Context, e *edgefleet.Edge, key, target string) int {
	return r.probeCall(ctx, e, key, probePrefix+e.Name, target).status
}

func sendProbe(ctx context.Context, c *call) (status int, header http.Header, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestDeadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.front+c.target, nil)
	if err != nil {
		return 0, nil, Error.Wrap(err)
	}
	req.Host = edgefleet.Host
	userplatform.SetCallerHeaders(req.Header, c.attempt, c.key)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0, nil, Error.Wrap(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header, nil
}

// probePrefix starts the attempt ids of the soak's own probes, which are no calls
// of clients and excluded from the checks.
const probePrefix = "probe-"

func (r *run) result(calls []*call, violations []string) Result {
	var runs []userplatform.Run
	for _, replica := range slices.Concat(r.crashes.ended, r.replicas()) {
		runs = append(runs, lo.Filter(replica.Runs(), func(x userplatform.Run, _ int) bool {
			return !strings.HasPrefix(x.Attempt(), probePrefix)
		})...)
	}
	for _, e := range r.fleet.Edges {
		_ = e.Signal(syscall.SIGCONT)
	}
	violations = append(violations, r.leaving.findLateRequests(calls, r.leaving.replica.Runs())...)
	return Result{
		Calls: len(calls), Served: lo.CountBy(calls, func(c *call) bool { return c.err == nil && c.status == http.StatusOK }),
		Runs: len(runs), Faults: r.faults,
		Violations: append(violations, findViolations(calls, runs, r.fleet.Cloud.UsageReports(), r.fleet.Cloud.ScaleRequests())...),
	}
}
