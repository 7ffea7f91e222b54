package gateway

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/budget"
	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quota"
	"github.com/cornelhold/cornelhold/internal/core/window"
)

const (
	// defaultDeadline applies if neither caller nor route sets one.
	defaultDeadline = 30 * time.Second
	// retryRatioShare and retryReserveShare are the shares of the permitted
	// retries that are used. The rest covers instances that have not reported yet.
	retryRatioShare   = 0.8
	retryReserveShare = 0.8
	// maxDialFailures bounds the failed connection attempts of a request.
	maxDialFailures = 4
	// minTeamRetryAfter and maxTeamRetryAfter bound the retry delay that a team
	// over its quota is given.
	minTeamRetryAfter = 250 * time.Millisecond
	maxTeamRetryAfter = 3 * time.Second
	// retryAfter is the retry delay after a refusal for overload.
	retryAfter = 700 * time.Millisecond
	// startRetryAfter is the retry delay for an instance that has no
	// configuration yet.
	startRetryAfter = time.Second
	// callTimeoutRatio is the share of the remaining time after which an
	// idempotent call without a response is retried at another endpoint.
	callTimeoutRatio = 0.4
	// streamTimeoutFactor is the wait for the first byte after which a resumable
	// stream is retried at another endpoint, as a multiple of its latency
	// objective.
	streamTimeoutFactor = 3
)

// Options configures a Machine.
type Options struct {
	Node       string
	DataCentre fleet.DataCentre
	Quota      quota.Bounds
	// RetryRatio and RetrySlack bound the retries of a service in RetryWindow
	// over all instances: a share of its requests plus a fixed number.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// DrainBound is the time within which requests must no longer reach a draining
	// endpoint; 0 means no bound.
	DrainBound time.Duration
}

type openRequest struct {
	request      Request
	route        *catalog.Route
	team         *catalog.Team
	service      fleet.ServiceName
	quotaAmount  float64
	deadlineAt   time.Duration
	priority     int
	sends        int
	dialFailures int
	// budgetWithdrawn is set while the retry budget is charged for an attempt that
	// was not sent yet, as far as known.
	budgetWithdrawn bool
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	started    bool
	tried      map[fleet.EndpointID]bool
	endpoint   *endpoint
	sentAt     time.Duration
	// expectedFirstByte is the estimated time until the first byte of the current
	// attempt, queuedWork the part of it that depends on the endpoint's load.
	expectedFirstByte, queuedWork time.Duration
	backlog                       int
}

// Machine holds the open requests and the state of endpoints and peers.
type Machine struct {
	options      Options
	catalog      *catalog.Catalog
	endpoints    map[fleet.EndpointID]*endpoint
	byService    map[fleet.ServiceName][]*endpoint
	hasEndpoints bool
	list         listAge
	// held holds the requests that wait until the list is usable.
	held          []heldRequest
	usageRestored bool
	open          map[RequestID]*openRequest
	quota         *quota.Meter
	budgets       map[fleet.ServiceName]*budget.Shared
	crashes       *crashLog
	peers         map[string]bool
	loads         map[string]peerLoads
	demand        map[fleet.ServiceName]*window.Sum
	// firstByte is the average time until the first byte of idle engines.
	firstByte map[fleet.ServiceName]time.Duration
	// demandSince is the time of the first request for a service.
	demandSince map[fleet.ServiceName]time.Duration
}

// New returns a machine without configuration and endpoints.
func New(options Options) *Machine {
	return &Machine{
		options: options, list: listAge{drainBound: options.DrainBound}, endpoints: make(map[fleet.EndpointID]*endpoint),
		byService: make(map[fleet.ServiceName][]*endpoint),
		open:      make(map[RequestID]*openRequest), quota: quota.New(options.Quota),
		budgets: make(map[fleet.ServiceName]*budget.Shared), crashes: newCrashLog(),
		peers: make(map[string]bool), loads: make(map[string]peerLoads), demand: make(map[fleet.ServiceName]*window.Sum),
		demandSince: make(map[fleet.ServiceName]time.Duration), firstByte: make(map[fleet.ServiceName]time.Duration),
	}
}

// Catalog returns the active configuration, nil before the first one.
func (m *Machine) Catalog() *catalog.Catalog { return m.catalog }

// Ready reports whether configuration, endpoints and the usage before a restart
// have been received.
func (m *Machine) Ready() bool { return m.catalog != nil && m.hasEndpoints && m.usageRestored }

// Step processes one message at the local monotonic time now.
func (m *Machine) Step(now time.Duration, msg Message) []Action {
	switch msg := msg.(type) {
	case RequestArrived:
		return m.requestArrived(now, msg)
	case AttemptFailed:
		return m.attemptFailed(now, msg)
	case ResponseStarted:
		return m.responseStarted(now, msg)
	case RequestFinished:
		m.requestFinished(now, msg)
	case SetCatalog:
		if m.catalog == nil || msg.Catalog.Version > m.catalog.Version {
			m.catalog = msg.Catalog
		}
	case SetEndpoints:
		m.list.offset = msg.Offset
		m.setEndpoints(now, msg.Endpoints)
	case ListConfirmed:
		m.list.confirm(msg.At)
		return m.release(now)
	case ListUnreachable:
		m.list.readFailed(msg.At)
		return m.release(now)
	case PeerReport:
		m.peerReport(now, msg)
	case UsageRestored:
		m.usageRestored = true
		m.quota.Restore(now, msg.Age, msg.Used, msg.Others)
	case PeerLeft:
		m.peerLeft(msg.Node)
	}
	return nil
}

func (m *Machine) requestArrived(now time.Duration, msg RequestArrived) []Action {
	switch {
	case !m.Ready():
		refusal := fleet.Refuse(fleet.RefusedNotReady, startRetryAfter, "this instance has no configuration yet; retry")
		return []Action{Refuse{ID: msg.ID, Refusal: refusal}}
	case !m.list.usable(now):
		return m.hold(heldRequest{id: msg.ID, arrival: &msg.Request, heldAt: now})
	default:
		return []Action{m.admit(now, msg)}
	}
}

// admit sends a new request to an endpoint or refuses it.
func (m *Machine) admit(now time.Duration, msg RequestArrived) Action {
	refuse := func(kind fleet.RefusalKind, after time.Duration, remedy string) Action {
		return Refuse{ID: msg.ID, Refusal: fleet.Refuse(kind, after, remedy)}
	}
	o, refusal := m.resolve(msg.Request)
	if refusal != nil {
		return Refuse{ID: msg.ID, Refusal: refusal}
	}
	o.deadlineAt = now + timeLimit(msg.Request.Deadline, o.route.Timeout) - msg.Request.Waited
	if o.deadlineAt <= now {
		return refuse(fleet.RefusedOverload, retryAfter, "the caller's time was over before the request was read; retry")
	}
	if m.crashes.quarantined(now, msg.Request.Fingerprint) {
		return refuse(fleet.RefusedQuarantined, o.deadlineAt-now, "endpoints crashed repeatedly while they ran this request; change it")
	}
	e, est := m.chooseEndpoint(now, o)
	if e == nil {
		return refuse(fleet.RefusedNoEndpoint, retryAfter, "no endpoint of the service is available; retry")
	}
	if o.team != nil && !m.quota.Admit(now, o.team.Name, o.team.Rate, o.team.Burst, o.quotaAmount) {
		delay := m.quota.RetryDelay(now, o.team.Name, o.team.Rate, o.team.Burst, o.quotaAmount)
		after := min(max(delay, minTeamRetryAfter), maxTeamRetryAfter)
		return Refuse{
			ID: msg.ID, Refusal: fleet.Refuse(fleet.RefusedTeamLimit, after, "the team has used its allowance; retry later"),
			Detail: m.quota.Describe(now, o.team.Name, o.team.Rate, o.team.Burst),
		}
	}
	m.recordDemand(now, o)
	if est.firstByte > m.maxWait(o) {
		m.refundQuota(now, o)
		return refuse(fleet.RefusedOverload, min(max(est.firstByte/2, retryAfter), (o.deadlineAt-now)/3), "the endpoints are overloaded; retry")
	}
	m.open[msg.ID] = o
	m.budget(o.service).RecordRequest(now)
	return m.send(now, msg.ID, o, e, est)
}

// resolve determines the route, team, service and quota amount of a request.
func (m *Machine) resolve(r Request) (*openRequest, *fleet.Refusal) {
	route, ok := m.catalog.Match(r.Host, r.Path)
	if !ok {
		return nil, fleet.Refuse(fleet.RefusedNotFound, 0, "no route matches host and path; check both")
	}
	o := &openRequest{request: r, route: route, tried: make(map[fleet.EndpointID]bool), priority: route.Priority}
	if m.catalog.HasTeams() {
		team, known := m.catalog.TeamByKey(r.Key)
		if r.HasKey && known {
			o.team = team
		} else if !route.Public {
			return nil, fleet.Refuse(fleet.RefusedUnauthorized, 0, "the key is not known; check the key")
		}
	}
	o.service = split(route.Targets, r.Random)
	if o.team != nil {
		o.quotaAmount = 1
		if o.team.CountTokens {
			o.quotaAmount = float64(o.team.DefaultTokens)
			if r.HasTokens {
				o.quotaAmount = float64(r.PromptTokens + r.MaxOutputTokens)
			}
		}
	}
	return o, nil
}

// split chooses a target by weight.
func split(targets []catalog.Target, random float64) fleet.ServiceName {
	var total float64
	for _, t := range targets {
		total += t.Weight
	}
	position := random * total
	for _, t := range targets {
		if position < t.Weight {
			return t.Service
		}
		position -= t.Weight
	}
	return targets[0].Service
}

func timeLimit(deadline, timeout time.Duration) time.Duration {
	switch {
	case deadline <= 0 && timeout <= 0:
		return defaultDeadline
	case deadline <= 0:
		return timeout
	case timeout <= 0:
		return deadline
	default:
		return min(deadline, timeout)
	}
}

func (m *Machine) send(now time.Duration, id RequestID, o *openRequest, e *endpoint, est estimate) Action {
	o.sends++
	o.endpoint, o.sentAt, o.expectedFirstByte, o.queuedWork = e, now, est.firstByte, est.queuedWork
	o.tried[e.ID] = true
	load := e.load()
	o.backlog = e.addRequest(now, o.request)
	return Send{
		ID: id, Endpoint: e.Endpoint, Route: o.route, Team: teamName(o.team), DeadlineAt: o.deadlineAt,
		SendBy: m.list.sendBy(now), AttemptTimeout: m.attemptTimeout(now, o), Priority: requestPriority(o),
		Attempt: o.sends, ExpectedFirstByte: est.firstByte, Load: load, Version: m.catalog.Version,
		ListOffset: m.list.offset, ListAge: now - m.list.completeAt,
	}
}

func teamName(t *catalog.Team) fleet.TeamName {
	if t == nil {
		return ""
	}
	return t.Name
}

// requestPriority ranks by route and, within a route, by team.
func requestPriority(o *openRequest) int {
	const perRoute = 3
	team := 1
	if o.team != nil && o.team.Priority >= 0 {
		team = min(o.team.Priority, perRoute-1)
	}
	return min(o.route.Priority*perRoute+team, 9)
}

// attemptTimeout returns the wait limit for the first byte of an attempt; 0 means
// no limit, because the request must not be retried or has no attempts left.
func (m *Machine) attemptTimeout(now time.Duration, o *openRequest) time.Duration {
	if o.sends >= o.route.MaxAttempts {
		return 0
	}
	left := o.deadlineAt - now
	switch {
	case o.route.Kind == catalog.KindIdempotent:
		return time.Duration(float64(left) * callTimeoutRatio)
	case o.route.Kind == catalog.KindStream && o.route.Resumable:
		return min(max(streamTimeoutFactor*o.route.LatencyObjective, 2*o.expectedFirstByte), left/2)
	default:
		return 0
	}
}

func (m *Machine) attemptFailed(now time.Duration, msg AttemptFailed) []Action {
	o, ok := m.open[msg.ID]
	if !ok || o.endpoint == nil {
		return nil
	}
	e := o.endpoint
	if msg.Failure == FailureTimeout {
		e.observeTimeout(now, o, m.idleFirstByte(o.service))
	}
	e.removeRequest(o.backlog, o.started)
	o.endpoint = nil
	m.observeFailure(now, o, e, msg)
	switch msg.Failure {
	case FailureDial:
		o.sends--
		o.dialFailures++
	case FailureNotSentInTime:
		o.sends--
		delete(o.tried, e.ID)
	case FailureRejected:
		o.budgetWithdrawn = false
	case FailureConnectionLost, FailureTimeout, FailureErrorResponse:
		o.budgetWithdrawn = false
		o.mayHaveRun = true
	}
	return m.retryOrRefuse(now, msg.ID, msg.Failure)
}

// retryOrRefuse sends an open request to another endpoint after a failed attempt, or
// refuses it if no retry is allowed.
func (m *Machine) retryOrRefuse(now time.Duration, id RequestID, failure Failure) []Action {
	o := m.open[id]
	refusal := failureRefusal(o, failure)
	if m.mayRetry(now, o, failure) {
		if !m.list.usable(now) {
			return m.hold(heldRequest{id: id, failure: failure, heldAt: now})
		}
		if changed := m.resolveAgain(o); changed != nil {
			refusal = changed
		} else if next, est, ok := m.chooseRetry(now, o); ok {
			o.started = false
			return []Action{m.send(now, id, o, next, est)}
		}
	}
	delete(m.open, id)
	if !o.mayHaveRun {
		m.refundQuota(now, o)
	}
	return []Action{Refuse{ID: id, Refusal: refusal}}
}

// resolveAgain resolves a request that no endpoint has received by the configuration
// that is active now. It returns the refusal if that does not allow the request.
func (m *Machine) resolveAgain(o *openRequest) *fleet.Refusal {
	if o.sends > 0 || o.mayHaveRun {
		return nil
	}
	current, refusal := m.resolve(o.request)
	if refusal != nil {
		return refusal
	}
	o.route, o.team, o.service, o.priority = current.route, current.team, current.service, current.priority
	return nil
}

func (m *Machine) refundQuota(now time.Duration, o *openRequest) {
	if o.team != nil {
		m.quota.Refund(now, o.team.Name, o.quotaAmount)
	}
}

func failureRefusal(o *openRequest, f Failure) *fleet.Refusal {
	if !o.mayHaveRun {
		return fleet.Refuse(fleet.RefusedOverload, retryAfter, "the endpoints did not take the request; retry")
	}
	kind := fleet.RefusedUpstream
	if f == FailureTimeout {
		kind = fleet.RefusedDeadline
	}
	return &fleet.Refusal{Kind: kind, Run: fleet.RunUnknown, Remedy: "the endpoint failed; check the outcome before a repeat"}
}

// mayRetry reports whether deadline, attempts, route and quarantine allow a retry.
func (m *Machine) mayRetry(now time.Duration, o *openRequest, failure Failure) bool {
	if now >= o.deadlineAt || o.sends >= o.route.MaxAttempts || o.dialFailures >= maxDialFailures {
		return false
	}
	notRun := failure == FailureDial || failure == FailureRejected || failure == FailureNotSentInTime
	return notRun || o.route.Repeatable() && !m.crashes.quarantined(now, o.request.Fingerprint)
}

// chooseRetry returns the endpoint for a retry. It reports false if there is none or
// the retry budget does not allow one.
func (m *Machine) chooseRetry(now time.Duration, o *openRequest) (*endpoint, estimate, bool) {
	next, est := m.chooseEndpoint(now, o)
	if next == nil {
		return nil, estimate{}, false
	}
	reserve := m.options.RetrySlack * retryReserveShare / float64(m.instances())
	if o.sends > 0 && !o.budgetWithdrawn {
		if !m.budget(o.service).TryWithdraw(now, reserve) {
			return nil, estimate{}, false
		}
		o.budgetWithdrawn = true
	}
	return next, est, true
}

func (m *Machine) responseStarted(now time.Duration, msg ResponseStarted) []Action {
	o, ok := m.open[msg.ID]
	if !ok || o.endpoint == nil || o.started {
		return nil
	}
	first := !o.mayHaveRun
	o.started, o.mayHaveRun = true, true
	m.observeIdleFirstByte(now, o)
	o.endpoint.responseStarted(now, o, m.options.DataCentre, m.idleFirstByte(o.service))
	if !first || o.team == nil {
		return nil
	}
	return []Action{CountStarted{Team: o.team.Name}}
}

func (m *Machine) requestFinished(now time.Duration, msg RequestFinished) {
	m.held = slices.DeleteFunc(m.held, func(h heldRequest) bool { return h.id == msg.ID })
	o, ok := m.open[msg.ID]
	if !ok {
		return
	}
	delete(m.open, msg.ID)
	if o.endpoint == nil {
		return
	}
	o.endpoint.observeTimeout(now, o, m.idleFirstByte(o.service))
	o.endpoint.removeRequest(o.backlog, o.started)
	if msg.Succeeded {
		o.endpoint.observeSuccess()
	}
}

func (m *Machine) budget(s fleet.ServiceName) *budget.Shared {
	b, ok := m.budgets[s]
	if !ok {
		b = budget.NewShared(m.options.RetryRatio*retryRatioShare, m.options.RetryWindow)
		m.budgets[s] = b
	}
	return b
}

// instances returns the number of instances of the deployment. While no peer has
// been found a number is assumed, so that an isolated instance does not use the whole
// retry reserve.
func (m *Machine) instances() int {
	const assumedInstances = 9
	if len(m.peers) == 0 {
		return assumedInstances
	}
	return len(m.peers) + 1
}

func (m *Machine) peerReport(now time.Duration, r PeerReport) {
	m.peers[r.Node] = true
	m.quota.SetPeer(r.Node, quota.Peer{At: now, Used: r.Used})
	m.setLoads(now, r.Node, r.Loads)
	for _, c := range r.Crashes {
		m.crashes.addConfirmed(now, c)
	}
}

func (m *Machine) peerLeft(node string) {
	delete(m.peers, node)
	m.quota.DropPeer(node)
	m.dropLoads(node)
}

// Report returns the periodic report to the peers. It drops expired loads.
func (m *Machine) Report(now time.Duration) PeerReport {
	m.expireLoads(now)
	r := PeerReport{
		Node: m.options.Node, Used: m.quota.OwnUsage(now),
		Loads: make(map[fleet.EndpointID]Load), Crashes: m.crashes.recent(now),
		Demand: make(map[fleet.ServiceName]float64),
	}
	for service, sum := range m.demand {
		// The window is not full yet shortly after the first request.
		span := min(max(now-m.demandSince[service], demandWindow/4), demandWindow)
		r.Demand[service] = sum.Total(now) / span.Seconds()
	}
	for id, e := range m.endpoints {
		if e.own.Active > 0 {
			r.Loads[id] = e.own
		}
	}
	return r
}
