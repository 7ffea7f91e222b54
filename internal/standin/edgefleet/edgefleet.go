// Package edgefleet runs cornelhold-edge processes on loopback, connected to
// stand-ins of the users' platform, for tests and the soak.
package edgefleet

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/procs"
	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
)

// Error is the class of errors of this package.
var Error = errs.Class("edgefleet")

// Names and times in the configuration of every fleet.
const (
	Host         = "h.example"
	Team         = "team-1"
	ModelService = "model"
	PlainService = "plain"
	// GracePeriod is the time in which a process must stop after SIGTERM.
	GracePeriod = 4 * time.Second
	// memoryMB is the memory of a process in the settings, MemoryBytes the same in bytes.
	memoryMB    = 284
	MemoryBytes = memoryMB << 20
	// firstHostOctet is the last octet of the first process's IP address; further
	// processes count up from it.
	firstHostOctet   = 100
	maxSeedAddresses = 3
	defaultObjective = 500 * time.Millisecond
)

// Fleet is a set of edge processes and the stand-ins that they are connected to.
// It isn't safe for concurrent use.
type Fleet struct {
	Store         *userplatform.Store
	Cloud         *userplatform.Cloud
	ModelReplicas []*userplatform.Replica
	PlainReplicas []*userplatform.Replica
	Edges         []*Edge

	options          Options
	cloudAddress     string
	replicaAddresses map[*userplatform.Replica]string
	entrySequence    int
	configVersion    int
	basePort         int
	seedAddresses    []string
}

// Edge is one cornelhold-edge process, which can be restarted.
type Edge struct {
	Name, FrontAddress, ReadyAddress string
	// StoreAddress is the store's address that only this process uses.
	StoreAddress string
	// LogPath is the file that receives the output of the process.
	LogPath string

	program, settingsPath string
	cmd                   *exec.Cmd
	done                  chan struct{}
	err                   error
}

// New starts the stand-ins, which run until ctx ends. AddEdge starts processes.
func New(ctx context.Context, o Options) (*Fleet, error) {
	if len(o.Zones) == 0 {
		o.Zones = []string{"a"}
	}
	if o.ProxyFor == nil {
		o.ProxyFor = func(address string) (string, error) { return address, nil }
	}
	f := &Fleet{
		Store: userplatform.StartStore(ctx), options: o, configVersion: 1,
		replicaAddresses: make(map[*userplatform.Replica]string),
	}
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	f.Cloud = userplatform.StartCloud(ctx, l)
	if f.cloudAddress, err = o.ProxyFor(l.Addr().String()); err != nil {
		return nil, err
	}
	for i := range o.Replicas {
		model, err := f.startReplica(ctx, fmt.Sprint("m", i))
		if err != nil {
			return nil, err
		}
		plain, err := f.startReplica(ctx, fmt.Sprint("p", i))
		if err != nil {
			return nil, err
		}
		plain.Slots, plain.Queue = o.PlainSlots, o.PlainQueue
		plain.ProcessingTime = max(plain.ProcessingTime, o.PlainTime)
		f.ModelReplicas, f.PlainReplicas = append(f.ModelReplicas, model), append(f.PlainReplicas, plain)
	}
	_, port, err := net.SplitHostPort(procs.FreeAddress())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	f.basePort, err = strconv.Atoi(port)
	return f, Error.Wrap(err)
}

// Listen returns a listener on a free address.
func Listen() (net.Listener, error) {
	l, err := net.Listen("tcp", procs.FreeAddress())
	return l, Error.Wrap(err)
}

func (f *Fleet) startReplica(ctx context.Context, id string) (*userplatform.Replica, error) {
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	r := userplatform.StartReplica(ctx, id, l)
	f.replicaAddresses[r], err = f.options.ProxyFor(r.Address)
	return r, err
}

// Restart starts a replica that has crashed again, at its address and under another id,
// and returns it. The list names both until RemoveEntry is called for the earlier one.
func (f *Fleet) Restart(ctx context.Context, crashed *userplatform.Replica, id string) (*userplatform.Replica, error) {
	l, err := net.Listen("tcp", crashed.Address)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r := userplatform.StartReplica(ctx, id, l)
	r.EventCount, r.EventInterval, r.ProcessingTime = crashed.EventCount, crashed.EventInterval, crashed.ProcessingTime
	f.replicaAddresses[r] = f.replicaAddresses[crashed]
	delete(f.replicaAddresses, crashed)
	for _, replicas := range [][]*userplatform.Replica{f.ModelReplicas, f.PlainReplicas} {
		if i := slices.Index(replicas, crashed); i >= 0 {
			replicas[i] = r
		}
	}
	f.Announce(r, "ready")
	return r, nil
}

// AddPlainReplica starts one more replica of the plain service with a version of its software,
// and announces it.
func (f *Fleet) AddPlainReplica(ctx context.Context, id, version string) (*userplatform.Replica, error) {
	r, err := f.startReplica(ctx, id)
	if err != nil {
		return nil, err
	}
	r.Version = version
	f.PlainReplicas = append(f.PlainReplicas, r)
	f.Announce(r, "ready")
	return r, nil
}

// OrderRollout orders that the plain service moves to a version, as the operator does.
func (f *Fleet) OrderRollout(to string, completeBy time.Duration) {
	f.Store.Put(userplatform.ConfigTopic, userplatform.RolloutKeyPrefix+PlainService,
		fmt.Appendf(nil, `{"service":%q,"to":%q,"complete-by-s":%g}`, PlainService, to, completeBy.Seconds()))
}

// RolloutStates returns the states of rollouts that were written for the operator, in their
// order.
func (f *Fleet) RolloutStates() []string {
	var states []string
	for _, r := range f.Store.Records(userplatform.StatusTopic) {
		var m struct {
			To    string `json:"to"`
			State string `json:"state"`
		}
		if err := json.Unmarshal(r.Value, &m); err == nil {
			states = append(states, m.To+" "+m.State)
		}
	}
	return states
}

// RemoveEntry removes the entry of a replica that has ended.
func (f *Fleet) RemoveEntry(r *userplatform.Replica) {
	f.Store.Put(userplatform.ServersTopic, r.ID, nil)
}

// Announce writes a replica's entry with a new state into the replica list.
func (f *Fleet) Announce(r *userplatform.Replica, state string) {
	f.entrySequence++
	service := PlainService
	for _, m := range f.ModelReplicas {
		if m == r {
			service = ModelService
		}
	}
	f.Store.Put(userplatform.ServersTopic, r.ID, r.EntryAt(f.replicaAddresses[r], service, f.zone(r), state, f.entrySequence))
}

// zone returns the data centre of a replica.
func (f *Fleet) zone(r *userplatform.Replica) string {
	i := max(slices.Index(f.ModelReplicas, r), slices.Index(f.PlainReplicas, r), 0)
	return f.options.Zones[i%len(f.options.Zones)]
}

// Reclaim announces that a replica of the model service drains, and lets its reports, except the first
// hidden ones, state that it is gone after a notice.
func (f *Fleet) Reclaim(r *userplatform.Replica, notice time.Duration, hidden int) {
	r.SetLeavesAt(time.Now().Add(notice), hidden)
	f.entrySequence++
	f.Store.Put(userplatform.ServersTopic, r.ID, r.DrainingEntry(ModelService, f.zone(r), f.entrySequence))
}

// AnnounceAll writes the entries of all replicas.
func (f *Fleet) AnnounceAll(state string) {
	for r := range f.replicaAddresses {
		f.Announce(r, state)
	}
}

// Config returns the next configuration. Its idempotent route forwards to the
// given service, and its team has the given API key.
func (f *Fleet) Config(service, key string) string {
	route := func(name, kind, service string, attempts int, extraFields string) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"path-prefix":"/%s/","type":%q,"timeout-ms":%d,"target-latency-ms":%d,"priority":1,"service":%q,"max-attempts":%d%s}`,
			name, Host, name, kind, f.routeTimeout().Milliseconds(), cmp.Or(f.options.Objective, defaultObjective).Milliseconds(), service, attempts, extraFields)
	}
	routes := []string{
		route("stream", "streaming", ModelService, 2, `,"resumable":true,"sticky":true`),
		route("stream-once", "streaming", ModelService, 1, ""),
		route("check", "idempotent", service, 2, ""),
		route("order", "unsafe", PlainService, 1, ""),
	}
	engine := ""
	if f.options.Moves {
		engine = `,"engine":{"slots":8,"kv-capacity":100000,"kv-bytes":18432,"link-mbps":370000,"moves":true,"stride":1,"handle-ttl-s":5}`
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q,"max-conns":50%s},{"name":%q,"max-conns":50}],`+
		`"limits":{"max-header-bytes":8192,"max-body-bytes":100000,"header-timeout-ms":2000,"idle-timeout-ms":5000},`+
		`"tenants":[{"name":%q,"api-keys":[%q]}]}`, f.configVersion, strings.Join(routes, ","), ModelService, engine, PlainService, Team, key)
}

// routeTimeout is the timeout of all routes. Streams that are moved last 1.5 s.
func (f *Fleet) routeTimeout() time.Duration {
	if f.options.Moves {
		return 3 * time.Second
	}
	return 1500 * time.Millisecond
}

// Configure stores a configuration, as the operator does.
func (f *Fleet) Configure(config string) {
	f.Store.Put(userplatform.ConfigTopic, userplatform.ConfigKey, []byte(config))
	f.configVersion += 3
}

// AddEdge starts one more process.
func (f *Fleet) AddEdge(ctx context.Context) (*Edge, error) {
	i := len(f.Edges)
	host, _, err := net.SplitHostPort(procs.FreeAddress())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	hostAddress, err := netip.ParseAddr(host)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	octets := hostAddress.As4()
	octets[3] = byte(firstHostOctet + i)
	ip := netip.AddrFrom4(octets).String()
	addressAt := func(offset int) string { return fmt.Sprintf("%s:%d", ip, f.basePort+offset) }
	l, err := Listen()
	if err != nil {
		return nil, err
	}
	f.Store.Serve(ctx, l)
	e := &Edge{
		Name: fmt.Sprint("edge-", i), FrontAddress: addressAt(0), ReadyAddress: addressAt(1), StoreAddress: l.Addr().String(),
		program: f.options.Program, LogPath: filepath.Join(f.options.Dir, fmt.Sprintf("edge-%d.log", i)),
		settingsPath: filepath.Join(f.options.Dir, fmt.Sprintf("edge-%d.yaml", i)),
	}
	store, err := f.options.ProxyFor(e.StoreAddress)
	if err != nil {
		return nil, err
	}
	if len(f.seedAddresses) < maxSeedAddresses {
		f.seedAddresses = append(f.seedAddresses, addressAt(2))
	}
	lastPort := f.basePort + 6
	if f.options.OnePort {
		lastPort = f.basePort + 3
	}
	settings := fmt.Sprintf(`node-name: %s
ip: %q
zone: a
listen: {front: %q, ready-addr: %q, control: %q}
port-range: [%d, %d]
seeds: ["%s"]
bootstrap: true
platform: {addr: %q}
cloud-api: {addr: %q}
limits: {memory-mb: %d, max-fds: 4100}
bounds: {drain-ms: 2000, grace-s: %d, config-apply-ms: 2000, retry-ratio: 0.2, retry-window-s: 10, retry-slack: 56,
  quota-window-s: 8, quota-overrun: 0.1, quota-slack: 72000, lease-ms: 3000, usage-window-s: 1, usage-delay-s: 10,
  canary-share: 0.1, canary-slack: 50, outer-ms: 6000}
`, e.Name, ip, e.FrontAddress, e.ReadyAddress, addressAt(2), f.basePort+3, lastPort, strings.Join(f.seedAddresses, `", "`), store, f.cloudAddress, memoryMB, int(GracePeriod.Seconds()))
	if err := os.WriteFile(e.settingsPath, []byte(settings), 0o600); err != nil {
		return nil, Error.Wrap(err)
	}
	f.Edges = append(f.Edges, e)
	return e, e.Start()
}

// Start starts the process, or restarts it after it has ended. Its output is
// appended to the log.
func (e *Edge) Start() error {
	if e.cmd != nil {
		if err := e.endBootstrap(); err != nil {
			return err
		}
	}
	out, err := os.OpenFile(e.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() { _ = out.Close() }() // the process inherits a duplicate descriptor
	//nolint:gosec // a development tool starts the program that it was given
	e.cmd = exec.Command(e.program, "--settings", e.settingsPath)
	e.cmd.Env = append(os.Environ(), "CORNELHOLD_SETTINGS="+e.settingsPath)
	e.cmd.Stdout, e.cmd.Stderr = out, out
	if err := e.cmd.Start(); err != nil {
		return Error.New("cannot start %s: %w; run make build first", e.program, err)
	}
	done := make(chan struct{})
	e.done = done
	go func() { e.err = e.cmd.Wait(); close(done) }()
	return nil
}

// endBootstrap changes the settings to those of a process whose deployment has run before.
func (e *Edge) endBootstrap() error {
	settings, err := os.ReadFile(e.settingsPath)
	if err != nil {
		return Error.Wrap(err)
	}
	settings = bytes.Replace(settings, []byte("bootstrap: true"), []byte("bootstrap: false"), 1)
	//nolint:gosec // a development tool writes a file that it has named itself
	return Error.Wrap(os.WriteFile(e.settingsPath, settings, 0o600))
}

// Signal sends a signal to the process.
func (e *Edge) Signal(s syscall.Signal) error { return Error.Wrap(e.cmd.Process.Signal(s)) }

// Done returns a channel that is closed once the process has ended.
func (e *Edge) Done() <-chan struct{} { return e.done }

// Err waits for the end of the process and returns its error; nil means exit
// code 0.
func (e *Edge) Err() error {
	<-e.done
	return e.err
}

// Kill sends SIGKILL to the process and waits until it has ended.
func (e *Edge) Kill() {
	_ = e.cmd.Process.Kill()
	<-e.done
}

// Stop kills all processes.
func (f *Fleet) Stop() {
	for _, e := range f.Edges {
		e.Kill()
	}
}
