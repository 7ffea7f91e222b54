package deferred

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// AcceptTimeout bounds the time until a submission must be read back.
	AcceptTimeout = 3 * time.Second
	// AppendRetryInterval is the delay before a failed append of a result is
	// repeated.
	AppendRetryInterval = 2 * time.Second
	// SnapshotRetryInterval is the delay before a snapshot that was not read back
	// is appended again.
	SnapshotRetryInterval = time.Minute
	// MaxRunning bounds the concurrent jobs of one node.
	MaxRunning = 4
	// TextsPerProgress is the minimum number of texts in one progress record.
	TextsPerProgress = 256
	// minBackoff and maxBackoff bound the delay before a failed job runs again.
	minBackoff = 5 * time.Second
	maxBackoff = 5 * time.Minute
	// reconcileInterval is the longest time between two calls of reconcile.
	reconcileInterval = 10 * time.Second
	// retryAfterLog is the delay suggested to callers.
	retryAfterLog = 2 * time.Second
)

// run is a job that this node runs, or whose outcome it stores.
type run struct {
	id    RunID
	texts []string
	// progressPending: a progress record was appended and not yet read back.
	progressPending bool
	outcome         *Outcome
	retryAt         time.Duration
}

// backoff is the retry state of a job whose runs failed. The number of retries
// is not limited until the job expires, since an outage may last for hours.
type backoff struct {
	count     int
	notBefore time.Duration
	detail    string
}

// Scheduler is the state machine for deferred work on one node. Invariants: a
// submission is acknowledged only after its record was read back; a node runs
// only jobs that rendezvous hashing over its member list assigns to it, so that
// a job normally runs on one node. Two nodes with different member lists may
// run the same job; the first outcome in log order counts.
type Scheduler struct {
	self     fleet.InstanceID
	members  []fleet.InstanceID
	fold     *Fold
	caughtUp bool
	// lastReadAt is the monotonic time when the newest record was read.
	lastReadAt time.Duration
	nextRun    RunID
	runs       map[JobID]*run
	backoffs   map[JobID]backoff
	pending    map[JobID]time.Duration
	// snapshotAt is the earliest time of the next snapshot of a job.
	snapshotAt map[JobID]time.Duration
}

// NewScheduler returns a scheduler without records whose only member is self.
func NewScheduler(self fleet.InstanceID) *Scheduler {
	return &Scheduler{
		self: self, members: []fleet.InstanceID{self}, fold: NewFold(),
		runs: make(map[JobID]*run), backoffs: make(map[JobID]backoff),
		pending: make(map[JobID]time.Duration), snapshotAt: make(map[JobID]time.Duration),
	}
}

// NextOffset returns the offset of the next record to fold.
func (s *Scheduler) NextOffset() uint64 { return s.fold.NextOffset() }

// Find returns a job, which must not be modified.
func (s *Scheduler) Find(id JobID) (*Job, bool) { return s.fold.Find(id) }

// Running returns the number of jobs that run on this node.
func (s *Scheduler) Running() int { return len(s.runs) }

// Step applies one message at monotonic time now and returns the resulting
// actions.
func (s *Scheduler) Step(now time.Duration, msg Message) []Action {
	var actions []Action
	switch msg := msg.(type) {
	case Submit:
		return s.submit(now, msg)
	case Texts:
		return s.appendTexts(msg)
	case Record:
		actions = s.foldRecord(now, msg)
	case CaughtUp:
		s.caughtUp = true
	case Members:
		s.members = msg.List
	case Appended:
		actions = s.appended(now, msg)
	case RunEnded:
		s.runEnded(now, msg)
	case Tick:
		actions = s.tick(now)
	}
	return append(actions, s.reconcile(now)...)
}

func (s *Scheduler) submit(now time.Duration, msg Submit) []Action {
	switch {
	case msg.Work.size() > MaxWorkBytes:
		return refuse(msg.Job, fleet.Refuse(fleet.RefusedInvalid, 0,
			"deferred work is limited to 256 KiB; split it into several jobs"))
	case len(s.fold.jobs) >= MaxJobs:
		return refuse(msg.Job, fleet.Refuse(fleet.RefusedOverload, maxBackoff,
			"too many jobs are open or readable; submit the job again after the stated delay"))
	}
	s.pending[msg.Job] = now + AcceptTimeout
	return []Action{Append{Entry: Accepted(msg)}, SetTimer{At: now + AcceptTimeout}}
}

func refuse(id JobID, r *fleet.Refusal) []Action {
	return []Action{Reply{Job: id, Refusal: r}}
}

func (s *Scheduler) foldRecord(now time.Duration, msg Record) []Action {
	s.fold.Apply(msg.Offset, msg.At, msg.Entry)
	s.lastReadAt = now
	if msg.Entry == nil {
		return nil
	}
	id := msg.Entry.Subject()
	job, ok := s.fold.Find(id)
	if _, isProgress := msg.Entry.(Progress); isProgress {
		return s.progressDone(id)
	}
	if _, waiting := s.pending[id]; !waiting || !ok {
		return nil
	}
	delete(s.pending, id)
	return []Action{Reply{Job: id, ReadableUntil: job.ReadableUntil()}}
}

func (s *Scheduler) appended(now time.Duration, msg Appended) []Action {
	id := msg.Entry.Subject()
	switch msg.Entry.(type) {
	case Accepted:
		if _, waiting := s.pending[id]; waiting && msg.Result == AppendNotDone {
			delete(s.pending, id)
			return refuse(id, fleet.Refuse(fleet.RefusedLogUnavailable, retryAfterLog,
				"the job was not accepted, because the log service is unavailable; submit it again"))
		}
	case Progress:
		if msg.Result != AppendStored {
			return s.progressDone(id)
		}
	case Result:
		if r, ok := s.runs[id]; ok && msg.Result != AppendStored {
			r.retryAt = now + AppendRetryInterval
		}
	}
	return nil
}

func (s *Scheduler) appendTexts(msg Texts) []Action {
	r, ok := s.runs[msg.Job]
	if !ok || r.id != msg.Run {
		return nil
	}
	r.texts = append(r.texts, msg.Texts...)
	return s.appendProgress(msg.Job, r)
}

// progressDone ends a pending progress record, so that the run may append the
// next one.
func (s *Scheduler) progressDone(id JobID) []Action {
	r, ok := s.runs[id]
	if !ok {
		return nil
	}
	r.progressPending = false
	return s.appendProgress(id, r)
}

// appendProgress appends the texts that follow the recorded ones. A run whose
// texts do not continue the recorded ones appends only its result.
func (s *Scheduler) appendProgress(id JobID, r *run) []Action {
	job, ok := s.fold.Find(id)
	if !ok || r.progressPending || r.outcome != nil || len(r.texts)-len(job.Texts) < TextsPerProgress {
		return nil
	}
	from := len(job.Texts)
	prefix := PrefixHash(job.Texts)
	if PrefixHash(r.texts[:from]) != prefix {
		return nil
	}
	r.progressPending = true
	return []Action{Append{Entry: Progress{Job: id, From: from, Prefix: prefix, Texts: slices.Clone(r.texts[from:])}}}
}

func (s *Scheduler) runEnded(now time.Duration, msg RunEnded) {
	r, ok := s.runs[msg.Job]
	if !ok || r.id != msg.Run || r.outcome != nil {
		return
	}
	outcome := msg.Outcome
	if msg.Failed {
		f := s.backoffs[msg.Job]
		f.count++
		f.notBefore = now + min(minBackoff<<min(f.count-1, 10), maxBackoff)
		f.detail = outcome.Detail
		s.backoffs[msg.Job] = f
		delete(s.runs, msg.Job)
		return
	}
	if outcome.size() > MaxResultBytes {
		outcome = Outcome{Kind: OutcomeFailed, Detail: "the result exceeds 1 MiB; ask for fewer tokens"}
	}
	r.outcome = &outcome
	r.retryAt = now
}

func (s *Scheduler) tick(now time.Duration) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(s.pending)) {
		if now < s.pending[id] {
			continue
		}
		delete(s.pending, id)
		actions = append(actions, Reply{Job: id, Refusal: &fleet.Refusal{
			Kind: fleet.RefusedLogUnavailable, Run: fleet.RunUnknown, RetryAfter: retryAfterLog,
			Remedy: "the job may have been accepted as " + string(id) + "; read /v1/deferred/" + string(id) + " before submitting it again",
		}})
	}
	return actions
}

// reconcile stops and starts runs and repeats appends, so that they match the
// folded jobs and the member list.
func (s *Scheduler) reconcile(now time.Duration) []Action {
	if !s.caughtUp {
		return nil
	}
	actions := s.stopObsoleteRuns()
	maps.DeleteFunc(s.backoffs, func(id JobID, _ backoff) bool { return s.fold.jobs[id] == nil })
	maps.DeleteFunc(s.snapshotAt, func(id JobID, _ time.Duration) bool { return s.fold.jobs[id] == nil })
	for _, id := range slices.Sorted(maps.Keys(s.fold.jobs)) {
		if s.owner(id) == s.self {
			actions = append(actions, s.reconcileJob(now, s.fold.jobs[id])...)
		}
	}
	return append(actions, SetTimer{At: now + reconcileInterval})
}

// stopObsoleteRuns stops runs of jobs that have an outcome, are no longer in
// the fold or are assigned to another node.
func (s *Scheduler) stopObsoleteRuns() []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(s.runs)) {
		job, exists := s.fold.Find(id)
		if exists && job.Outcome == nil && s.owner(id) == s.self {
			continue
		}
		actions = append(actions, Stop{Job: id, Run: s.runs[id].id})
		delete(s.runs, id)
		delete(s.backoffs, id)
	}
	return actions
}

func (s *Scheduler) reconcileJob(now time.Duration, job *Job) []Action {
	actions := s.snapshot(now, job)
	if job.Outcome != nil {
		return actions
	}
	r, running := s.runs[job.ID]
	expired := s.logTimeAt(now) >= job.Accepted.add(JobTimeout)
	switch {
	case expired && (!running || r.outcome == nil):
		if running {
			actions = append(actions, Stop{Job: job.ID, Run: r.id})
		}
		detail := "the job did not end within 48 h; submit it again"
		if failed, ok := s.backoffs[job.ID]; ok {
			detail += " (last failure: " + failed.detail + ")"
		}
		s.runs[job.ID] = &run{outcome: &Outcome{Kind: OutcomeExpired, Detail: detail}, retryAt: now}
		return append(actions, s.storeOutcome(now, job.ID)...)
	case running:
		return append(actions, s.storeOutcome(now, job.ID)...)
	case len(s.runs) >= MaxRunning || now < s.backoffs[job.ID].notBefore:
		return actions
	}
	s.nextRun++
	s.runs[job.ID] = &run{id: s.nextRun, texts: slices.Clone(job.Texts)}
	return append(actions, Start{Job: job.ID, Run: s.nextRun, Work: job.Work, Texts: slices.Clone(job.Texts)})
}

// storeOutcome repeats the append of the outcome until an outcome of the job is
// read back.
func (s *Scheduler) storeOutcome(now time.Duration, id JobID) []Action {
	r := s.runs[id]
	if r.outcome == nil || now < r.retryAt {
		return nil
	}
	r.retryAt = now + AcceptTimeout
	return []Action{Append{Entry: Result{Job: id, Outcome: *r.outcome}}, SetTimer{At: r.retryAt}}
}

// snapshot appends the job again before its records expire.
func (s *Scheduler) snapshot(now time.Duration, job *Job) []Action {
	if s.logTimeAt(now) < job.recordedAt.add(SnapshotAge) || now < s.snapshotAt[job.ID] {
		return nil
	}
	s.snapshotAt[job.ID] = now + SnapshotRetryInterval
	return []Action{Append{Entry: Snapshot{
		Job: job.ID, Work: job.Work, Accepted: job.Accepted, Texts: slices.Clone(job.Texts),
		Outcome: job.Outcome, AsOf: s.fold.NextOffset(),
	}}}
}

// logTimeAt estimates the log time as that of the newest record plus the time
// since it was read.
func (s *Scheduler) logTimeAt(now time.Duration) LogTime {
	return s.fold.lastTime.add(now - s.lastReadAt)
}

// owner returns the member that runs the job, by rendezvous hashing.
func (s *Scheduler) owner(id JobID) fleet.InstanceID {
	var selected fleet.InstanceID
	var maxHash uint64
	for _, member := range s.members {
		hash := xxhash.Sum64String(string(id) + "/" + string(member))
		if selected == "" || hash > maxHash || (hash == maxHash && member < selected) {
			selected, maxHash = member, hash
		}
	}
	return selected
}
