package config

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// LogRetryDelay is the time between reads while the log service fails.
	LogRetryDelay = 200 * time.Millisecond
	// RepairDelay is how long a follower waits for a push or its own read before
	// it fetches an announced ticket from a peer.
	RepairDelay = 500 * time.Millisecond
	// PeerRetryDelay is the time before the next fetch from a peer that failed or
	// had nothing new.
	PeerRetryDelay = time.Second
	// GapRetryDelay is the time between searches for a checkpoint that covers
	// expired records.
	GapRetryDelay = 5 * time.Second
	// CheckpointRetryDelay is the time between attempts to append a checkpoint.
	CheckpointRetryDelay = 10 * time.Second
	// recentTickets bounds the number of accepted tickets cached for peers.
	recentTickets = 128
	// recentBytes bounds the object values of the tickets cached for peers.
	recentBytes = 1 << 20
)

// Follower decides how one process obtains the active configuration: what to
// read from the log service, which peer to fetch from and which nodes to relay
// to.
//
// Invariants: the number of the current snapshot never decreases, and every
// snapshot is the fold of a prefix of the ticket stream.
type Follower struct {
	self   Node
	policy CheckpointPolicy
	fold   *Fold
	plan   Plan
	peers  map[fleet.InstanceID]*peerState
	// recent caches consecutive accepted tickets for peers, the newest last.
	recent []Record

	started bool
	// Outstanding requests, at most one of each kind.
	readingTickets, readingCheckpoints, fetching, appending bool
	// checkpointsRead tells whether checkpoints have been read since the start.
	checkpointsRead bool
	// oldestHeld is the oldest offset that the log service was seen to hold after
	// records had expired.
	oldestHeld uint64
	logDown    bool
	// Times before which a request is not repeated.
	logRetryAt, gapRetryAt, checkpointRetryAt, fetchAt time.Duration

	// announced is the highest number seen in announcements and pushes;
	// behindSince is when it first exceeded the current number.
	announced   Number
	behindSince time.Duration
	// skipRepairDelay skips the repair delay after a push that left a gap.
	skipRepairDelay bool

	// lastCheckpoint is nil until this node has appended a checkpoint.
	lastCheckpoint    *CheckpointPosition
	pendingCheckpoint CheckpointPosition

	status  FollowerStatus
	timerAt time.Duration
	actions []FollowerAction
	// accepted and verdicts are the results of the current step.
	accepted []Record
	verdicts []Verdict
}

// NewFollower returns a follower without a configuration.
func NewFollower(self Node, policy CheckpointPolicy) *Follower {
	return &Follower{
		self: self, policy: policy, fold: NewFold(), plan: PlanFor(self, nil),
		peers: make(map[fleet.InstanceID]*peerState),
	}
}

// Current returns the active snapshot. It is never nil.
func (f *Follower) Current() *Snapshot { return f.fold.Current() }

// Plan returns the node's current role in the distribution.
func (f *Follower) Plan() Plan { return f.plan }

// RespondToFetch returns what a peer lacks whose active number is after: the
// later tickets, or the snapshot if complete is set or the tickets are no longer
// cached.
func (f *Follower) RespondToFetch(after Number, complete bool) FetchResponse {
	current := f.fold.Current()
	response := FetchResponse{Number: current.Number}
	missing := uint64(0)
	if current.Number > after {
		missing = uint64(current.Number - after)
	}
	switch {
	case complete, missing > uint64(len(f.recent)):
		response.Snapshot = current
	default:
		response.Tickets = slices.Clone(f.recent[len(f.recent)-int(missing):])
	}
	return response
}

// Step handles one message at the given monotonic time.
func (f *Follower) Step(now time.Duration, msg FollowerMessage) []FollowerAction {
	f.actions, f.accepted, f.verdicts = nil, nil, nil
	before := f.fold.Current().Number
	f.handle(now, msg)
	f.emitResults(before)
	if f.started {
		f.readNext(now)
		f.reportStatus()
		f.setTimer(now)
	}
	return f.actions
}

func (f *Follower) handle(now time.Duration, msg FollowerMessage) {
	switch msg := msg.(type) {
	case Start:
		f.started = true
	case Nodes:
		f.setNodes(msg.List)
	case PeerNumber:
		f.recordPeerNumber(now, msg.Peer, msg.Number)
	case PeerFetched:
		f.handleFetched(now, msg)
	case PeerFetchFailed:
		f.fetching = false
		f.delayPeer(now, msg.Peer, true)
	case TicketsPushed:
		f.foldAccepted(now, msg.Records)
	default:
		f.handleLog(now, msg)
	}
}

func (f *Follower) handleLog(now time.Duration, msg FollowerMessage) {
	switch msg := msg.(type) {
	case TicketsRead:
		f.readingTickets, f.logDown = false, false
		f.foldLog(msg.Records)
	case TicketsReadFailed:
		f.readingTickets = false
		f.delayLogRetry(now)
	case TicketsExpired:
		f.readingTickets, f.logDown = false, false
		f.oldestHeld = max(f.oldestHeld, msg.First)
	case CheckpointsRead:
		f.readingCheckpoints, f.logDown, f.checkpointsRead = false, false, true
		f.gapRetryAt = now + GapRetryDelay
		if msg.Newest != nil {
			f.adopt(msg.Newest)
		}
	case CheckpointsReadFailed:
		f.readingCheckpoints = false
		f.delayLogRetry(now)
	case CheckpointAppended:
		f.appending = false
		position := f.pendingCheckpoint
		f.lastCheckpoint = &position
	case CheckpointAppendFailed:
		f.appending = false
		f.checkpointRetryAt = now + CheckpointRetryDelay
	}
}

func (f *Follower) delayLogRetry(now time.Duration) {
	f.logDown = true
	f.logRetryAt = now + LogRetryDelay
}

// foldLog folds consecutive records of the ticket stream. It stops at a missing
// offset, because the unread record may hold the next number.
func (f *Follower) foldLog(records []Record) {
	for _, r := range records {
		if r.Offset > f.fold.Current().Offset {
			f.oldestHeld = max(f.oldestHeld, r.Offset)
			return
		}
		f.foldRecord(r)
	}
}

// foldAccepted folds tickets that a peer has accepted. Their offsets need not be
// consecutive: an accepted ticket implies that no record between it and its
// predecessor was accepted.
func (f *Follower) foldAccepted(now time.Duration, records []Record) {
	for _, r := range records {
		if r.Ticket.Number > f.fold.Current().Number+1 {
			f.recordAnnounced(now, r.Ticket.Number)
			f.skipRepairDelay = true
			return
		}
		f.foldRecord(r)
	}
}

func (f *Follower) foldRecord(r Record) {
	var verdict Verdict
	if r.Malformed {
		verdict = f.fold.Skip(r.Offset)
	} else {
		verdict = f.fold.Apply(r.Offset, r.Ticket)
	}
	if verdict != VerdictCovered {
		f.verdicts = append(f.verdicts, verdict)
	}
	if verdict == VerdictAccepted {
		f.accepted = append(f.accepted, r)
		f.cacheTicket(r)
	}
}

func (f *Follower) cacheTicket(r Record) {
	f.recent = append(f.recent, r)
	bytes := 0
	for i := len(f.recent) - 1; i >= 0; i-- {
		for _, o := range f.recent[i].Ticket.Objects {
			bytes += len(o.Value)
		}
		if bytes > recentBytes || len(f.recent)-i > recentTickets {
			f.recent = slices.Clone(f.recent[i+1:])
			return
		}
	}
}

func (f *Follower) adopt(s *Snapshot) {
	skipsTickets := s.Number > f.fold.Current().Number
	if f.fold.Adopt(s) && skipsTickets {
		f.recent = nil
	}
}

func (f *Follower) setNodes(list []Node) {
	for _, n := range list {
		if n.Instance == f.self.Instance {
			f.self.Leaving = n.Leaving
		}
	}
	plan := PlanFor(f.self, list)
	if !plan.WritesCheckpoints {
		f.lastCheckpoint = nil
	}
	f.plan = plan
	f.logDown = f.logDown && plan.Reads
	peers := make(map[fleet.InstanceID]*peerState, len(list))
	for _, n := range list {
		if n.Instance == f.self.Instance {
			continue
		}
		state, found := f.peers[n.Instance]
		if !found {
			state = &peerState{}
		}
		state.node = n
		peers[n.Instance] = state
	}
	f.peers = peers
}

func (f *Follower) emitResults(before Number) {
	if len(f.verdicts) > 0 {
		f.emit(ReportVerdicts{Verdicts: f.verdicts})
	}
	current := f.fold.Current()
	if current.Number == before {
		return
	}
	f.emit(Activate{Snapshot: current, Records: f.accepted})
	if len(f.accepted) == 0 {
		return
	}
	for _, to := range f.plan.RelayTo {
		f.emit(Relay{To: to, Records: f.accepted})
	}
}

func (f *Follower) readNext(now time.Duration) {
	if f.followsLog() && now >= f.logRetryAt {
		f.readLog(now)
	}
	f.fetchPeer(now)
	f.writeCheckpoint(now)
}

// followsLog reports whether the node reads the log: by plan, or because it has
// no configuration and every peer failed to respond.
func (f *Follower) followsLog() bool {
	if f.plan.Reads {
		return true
	}
	if f.fold.Current().Number > 0 {
		return false
	}
	for _, peer := range f.peers {
		if !peer.failed {
			return false
		}
	}
	return true
}

func (f *Follower) hasGap() bool { return f.fold.Current().Offset < f.oldestHeld }

func (f *Follower) readLog(now time.Duration) {
	if f.readingTickets || f.readingCheckpoints {
		return
	}
	switch {
	case !f.checkpointsRead, f.hasGap() && now >= f.gapRetryAt:
		f.readingCheckpoints = true
		f.emit(ReadCheckpoints{})
	case !f.hasGap():
		f.readingTickets = true
		f.emit(ReadTickets{From: f.fold.Current().Offset})
	}
}

func (f *Follower) writeCheckpoint(now time.Duration) {
	if !f.plan.WritesCheckpoints || f.appending || f.logDown || now < f.checkpointRetryAt {
		return
	}
	current := f.fold.Current()
	if !f.policy.Due(now, current, f.lastCheckpoint) {
		return
	}
	f.appending = true
	f.pendingCheckpoint = CheckpointPosition{Offset: current.Offset, At: now}
	f.emit(AppendCheckpoint{Snapshot: current})
}

func (f *Follower) reportStatus() {
	status := FollowerStatus{
		HasConfig: f.fold.Current().Number > 0, LogDown: f.logDown, Gap: f.hasGap(),
	}
	if status != f.status {
		f.status = status
		f.emit(ReportStatus{Status: status})
	}
}

// setTimer requests a Tick at the earliest pending time.
func (f *Follower) setTimer(now time.Duration) {
	next := time.Duration(-1)
	consider := func(at time.Duration) {
		if at > now && (next < 0 || at < next) {
			next = at
		}
	}
	consider(f.logRetryAt)
	consider(f.checkpointRetryAt)
	if f.hasGap() {
		consider(f.gapRetryAt)
	}
	if f.announced > f.fold.Current().Number {
		consider(f.behindSince + RepairDelay)
	}
	if f.plan.WritesCheckpoints && f.lastCheckpoint != nil {
		consider(f.lastCheckpoint.At + f.policy.Age)
	}
	if f.hasGap() || f.announced > f.fold.Current().Number || f.fold.Current().Number == 0 {
		consider(f.fetchAt)
		for _, peer := range f.peers {
			consider(peer.retryAt)
		}
	}
	if next >= 0 && next != f.timerAt {
		f.timerAt = next
		f.emit(SetTimer{At: next})
	}
}

func (f *Follower) emit(a FollowerAction) { f.actions = append(f.actions, a) }
