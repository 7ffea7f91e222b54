package gateway

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/budget"
	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/enginemodel"
	"github.com/cornelhold/cornelhold/internal/core/evacuation"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
	"github.com/cornelhold/cornelhold/internal/core/quota"
	"github.com/cornelhold/cornelhold/internal/core/rollout"
	"github.com/cornelhold/cornelhold/internal/core/tally"
	"github.com/cornelhold/cornelhold/internal/core/turns"
	"github.com/cornelhold/cornelhold/internal/core/window"
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
	// FirstStart is set if no instance of the deployment has run before, so that no retries
	// were used.
	FirstStart bool
	// DrainBound is the time within which requests must no longer reach a draining
	// endpoint; 0 means no bound.
	DrainBound time.Duration
}

type openRequest struct {
	request     Request
	route       *catalog.Route
	team        *catalog.Team
	service     fleet.ServiceName
	quotaAmount float64
	// arrivedAt is the time of the request's arrival, also if it had to wait.
	arrivedAt, deadlineAt time.Duration
	sends                 int
	dialFailures          int
	// budgetWithdrawn is set while the retry budget is charged for an attempt that
	// was not sent yet, as far as known.
	budgetWithdrawn bool
	// mayHaveRun is set once an endpoint may have run the request.
	mayHaveRun bool
	// trial is set if the request is sent to learn whether it still crashes endpoints.
	trial   bool
	started bool
	// everStarted is set once a response has begun, also that of an earlier attempt.
	everStarted bool
	// startedAt is the time of the first byte of the current attempt's response.
	startedAt time.Duration
	// traits may be the cause if an endpoint crashes with the request.
	traits   []quarantine.Trait
	tried    map[fleet.EndpointID]bool
	endpoint *endpoint
	sentAt   time.Duration
	// estimate is that of the current attempt, loadBefore the load of the endpoint without it.
	estimate   estimate
	loadBefore tally.Load
	// firstEvents is the number of events that arrived with the first byte.
	firstEvents int
	// turn is the turn of the current attempt or the ask for the next one, nil if there is none.
	turn *turn
	// withoutTurn is set if the next attempt is sent without a turn, returned holds the endpoints
	// whose turns for it were given back.
	withoutTurn bool
	returned    map[fleet.EndpointID]bool
	// asked is set while the progress of the stream is asked for, move while its run is moved.
	asked bool
	move  *runMove
	// awaitUntil is until when a retry waits for an endpoint, 0 if it does not.
	awaitUntil time.Duration
	// preferred are the engines that all instances prefer for the session of the request.
	preferred preferredEndpoints
	moveTried map[fleet.EndpointID]bool
	continued *continuation
	// planned is the last decision for the stream of an endpoint that leaves.
	planned evacuation.Option
	// version is the software version chosen for the request while its service has a rollout.
	// counted is set if the current attempt counts for it.
	version rollout.Choice
	counted bool
}

// Machine holds the open requests and the state of endpoints and peers.
type Machine struct {
	options      Options
	catalog      *catalog.Catalog
	endpoints    map[fleet.EndpointID]*endpoint
	byService    map[fleet.ServiceName][]*endpoint
	hasEndpoints bool
	// engines are the endpoints of each service by their distance.
	engines map[fleet.ServiceName]engineGroup
	list    listAge
	// held holds the requests that wait until the list is usable.
	held []heldRequest
	// waitingSuspects holds the new requests that wait until the cause of crashes is decided.
	waitingSuspects []waitingSuspect
	turns           turnRequests
	// leaving and paused hold what endpoints stated of themselves in responses.
	leaving       leavingLog
	paused        pauseLog
	usageRestored bool
	open          map[RequestID]*openRequest
	quota         *quota.Meter
	budgets       map[fleet.ServiceName]*budget.Shared
	// reserveFrom is the time from which retries beyond the ratio are allowed.
	reserveFrom time.Duration
	crashes     *crashEvidence
	others      others
	demand      map[fleet.ServiceName]*window.Sum
	latencies   map[fleet.ServiceName]*latencyWindow
	// notes are the observations of the current step.
	notes []Action
	// model estimates the speeds of model engines.
	model    *enginemodel.Model
	rollouts rollouts
	// demandSince is the time of the first request for a service.
	demandSince map[fleet.ServiceName]time.Duration
	// evacuating holds the endpoints that the cloud takes back.
	evacuating []*endpoint
	// awaiting are the requests that wait for the first endpoint of their service, reclaimedAt is when an
	// endpoint of a service was last known to leave with a notice.
	awaiting    []awaitingRequest
	reclaimedAt map[fleet.ServiceName]time.Duration
	// draining are the endpoints of each service that leave with a notice.
	draining map[fleet.ServiceName][]*endpoint
	// lengths holds the lengths of responses by route.
	lengths map[string]*evacuation.Lengths
}

// New returns a machine without configuration and endpoints.
func New(options Options) *Machine {
	return &Machine{
		options: options, list: listAge{drainBound: options.DrainBound}, endpoints: make(map[fleet.EndpointID]*endpoint),
		byService: make(map[fleet.ServiceName][]*endpoint),
		draining:  make(map[fleet.ServiceName][]*endpoint), reclaimedAt: make(map[fleet.ServiceName]time.Duration),
		open: make(map[RequestID]*openRequest), quota: quota.New(options.Quota),
		budgets: make(map[fleet.ServiceName]*budget.Shared), crashes: newCrashEvidence(), leaving: make(leavingLog), paused: make(pauseLog),
		demand:      make(map[fleet.ServiceName]*window.Sum),
		latencies:   make(map[fleet.ServiceName]*latencyWindow),
		demandSince: make(map[fleet.ServiceName]time.Duration), model: enginemodel.New(),
		lengths:  make(map[string]*evacuation.Lengths),
		rollouts: newRollouts(), turns: newTurnRequests(),
	}
}

// Catalog returns the active configuration, nil before the first one.
func (m *Machine) Catalog() *catalog.Catalog { return m.catalog }

// Ready reports whether configuration, endpoints, and the usage and crash evidence from before
// a restart have been received.
func (m *Machine) Ready() bool {
	return m.catalog != nil && m.hasEndpoints && m.usageRestored && !m.crashes.persisted.awaited
}

// Step processes one message at the local monotonic time now. Observations for the
// log follow the other actions.
func (m *Machine) Step(now time.Duration, msg Message) []Action {
	actions := append(m.process(now, msg), m.releaseSuspects(now)...)
	actions = append(actions, m.startDueMoves(now)...)
	actions = append(actions, m.takeTurnActions()...)
	actions = append(actions, m.persistCrashes(now)...)
	actions = append(actions, m.notes...)
	m.notes = nil
	return actions
}

func (m *Machine) process(now time.Duration, msg Message) []Action {
	switch msg := msg.(type) {
	case RequestArrived:
		return m.requestArrived(now, msg)
	case AttemptFailed:
		return m.attemptFailed(now, msg)
	case EndpointChecked:
		m.endpointChecked(now, msg)
	case EndpointLeaving:
		m.endpointLeaving(now, msg)
	case EndpointPaused:
		m.endpointPaused(now, msg)
	case ResponseStarted:
		return m.responseStarted(now, msg)
	case RequestFinished:
		m.requestFinished(now, msg)
	case SetCatalog:
		if m.catalog == nil || msg.Catalog.Version > m.catalog.Version {
			m.catalog = msg.Catalog
		}
	case SetEndpoints:
		return m.endpointsChanged(now, msg)
	case ListConfirmed:
		m.list.confirm(msg.At)
		return m.release(now)
	case ListUnreachable:
		m.list.readFailed(msg.At)
		return m.release(now)
	case OthersReported:
		return append(m.othersReported(now, msg), m.releaseAwaiting(now)...)
	case RolloutsReported:
		m.rolloutsReported(now, msg)
	case CrashesReported:
		m.crashReported(now, msg.Report)
	case EnginesRestored:
		m.model.Restore(now, msg.Engines)
	case CrashesRestored:
		m.crashesRestored(now, msg)
	case CrashesUnavailable:
		m.crashes.persisted.awaited = false
	case UsageRestored:
		m.restoreUsage(now, msg)
	default:
		return m.processTurns(now, msg)
	}
	return nil
}

func (m *Machine) endpointChecked(now time.Duration, msg EndpointChecked) {
	if msg.Refused {
		m.connectionRefused(now, msg.Endpoint, msg.Started)
		return
	}
	// The endpoint goes on, so that the lost attempts are evidence against its version.
	m.rollouts.confirmLosses(incarnation{id: msg.Endpoint, started: msg.Started})
}

func (m *Machine) restoreUsage(now time.Duration, msg UsageRestored) {
	m.usageRestored = true
	if !m.options.FirstStart {
		// An earlier process of this instance may have used its part of the reserve.
		m.reserveFrom = now + m.options.RetryWindow
	}
	m.quota.Restore(now, msg.Record)
}

func (m *Machine) send(now time.Duration, id RequestID, o *openRequest, e *endpoint, est estimate) Action {
	o.sends++
	load := e.load()
	o.endpoint, o.sentAt, o.estimate, o.loadBefore, o.continued = e, now, est, load, nil
	o.tried[e.ID] = true
	e.addRequest(now, o.request, est.read)
	o.useTurn()
	m.countSent(o)
	send := m.sendAction(now, id, o)
	send.Load, send.FetchFrom = load, m.fetchSource(now, o)
	if t := o.turn; t != nil {
		send.Turn = &t.taken
	}
	return send
}

// sendAction describes a request that is sent to its endpoint now.
func (m *Machine) sendAction(now time.Duration, id RequestID, o *openRequest) Send {
	return Send{
		ID: id, Endpoint: o.endpoint.Endpoint, Route: o.route, Team: teamName(o.team), DeadlineAt: o.deadlineAt,
		SendBy: m.drainingSendBy(o.endpoint, m.leavingSendBy(o.endpoint, m.list.sendBy(now))), AttemptTimeout: m.attemptTimeout(now, o), Priority: requestPriority(o),
		Attempt: o.sends, ExpectedFirstByte: o.estimate.firstByte, Load: o.endpoint.load(), Version: m.catalog.Version, Traits: o.traits,
		ListPosition: m.list.position, ListAge: now - m.list.completeAt,
	}
}

func (m *Machine) responseStarted(now time.Duration, msg ResponseStarted) []Action {
	o, ok := m.open[msg.ID]
	if !ok || o.endpoint == nil {
		return nil
	}
	o.continued = nil
	if o.started {
		return nil
	}
	first := !o.mayHaveRun
	o.started, o.everStarted, o.startedAt, o.mayHaveRun = true, true, now, true
	m.executed(now, o.partTraits())

	m.countResponse(now, o)
	o.endpoint.responseStarted(now, o, m.options.DataCentre)
	if o.firstEvents = msg.Events; msg.Events > 0 {
		m.observeFirstEvent(now, o)
		m.recordLatency(now, o, now-o.sentAt)
	} else {
		m.releaseTurn(now, o, turns.OutcomeDone)
	}
	actions := m.askProgress(now, msg.ID, o)
	if first && o.team != nil {
		actions = append(actions, CountStarted{Team: o.team.Name})
	}
	return actions
}

func (m *Machine) requestFinished(now time.Duration, msg RequestFinished) {
	m.waitingSuspects = slices.DeleteFunc(m.waitingSuspects, func(w waitingSuspect) bool { return w.arrival.ID == msg.ID })
	m.held = slices.DeleteFunc(m.held, func(h heldRequest) bool { return h.id == msg.ID })
	m.awaiting = slices.DeleteFunc(m.awaiting, func(w awaitingRequest) bool { return w.id == msg.ID })
	o, ok := m.open[msg.ID]
	if !ok {
		return
	}
	delete(m.open, msg.ID)
	o.dropMove()
	if o.endpoint == nil {
		m.dropTurn(o)
		return
	}
	switch {
	case msg.Succeeded:
		m.observeLength(o, msg.AllEvents)
		m.executed(now, o.traits)
	case !o.started:
		// The caller left, or its time was over.
		m.attemptLost(now, o, o.endpoint, false)
		m.countAbandoned(now, o)
	}
	if !o.started {
		m.observeNoEvent(now, o)
		m.recordMissingEvent(now, o)
	} else if msg.Succeeded && o.continued == nil {
		m.observeStream(now, o, msg.Events)
	}
	o.endpoint.removeRequest(o.estimate.read, o.started)
	outcome := turns.OutcomeLost
	if o.started {
		outcome = turns.OutcomeDone
	}
	m.endTurn(now, o, o.endpoint, outcome)
	if msg.Succeeded {
		o.endpoint.observeSuccess()
	}
}
