package deferred

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// AcceptWait bounds the time until a submission must be read back.
	AcceptWait = 3 * time.Second
	// AppendRetry separates repeated appends of a result.
	AppendRetry = 2 * time.Second
	// KeepRetry separates repeated appends of a kept job.
	KeepRetry = time.Minute
	// MaxRunning bounds the jobs that one node runs at once.
	MaxRunning = 4
	// ProgressTexts is the number of texts in one progress record.
	ProgressTexts = 256
	// minBackoff and maxBackoff bound the delay before a failed job runs again.
	minBackoff = 5 * time.Second
	maxBackoff = 5 * time.Minute
	// reviewInterval is the time between two looks at deadlines and ages.
	reviewInterval = 10 * time.Second
	// retryAfterLog is the delay suggested to callers.
	retryAfterLog = 2 * time.Second
)

// Message is an input of a desk.
type Message interface{ isMessage() }

// Action is an output of a desk.
type Action interface{ isAction() }

// Submit asks to accept a job with a new id.
type Submit struct {
	Job  JobID
	Work Work
}

// Record delivers the next record of the deferred stream. Entry is nil if the
// record is malformed.
type Record struct {
	Offset uint64
	At     LogTime
	Entry  Entry
}

// CaughtUp tells that the reader has reached the end of the stream. No job is
// run before, since its result may lie ahead.
type CaughtUp struct{}

// Members replaces the list of live nodes that run jobs.
type Members struct {
	List []fleet.InstanceID
}

// AppendResult tells what happened to an append.
type AppendResult uint8

// Append results.
const (
	AppendStored AppendResult = iota + 1
	// AppendNotDone: the entry is not in the log and will not be.
	AppendNotDone
	// AppendUnknown: the entry may be in the log, now or later.
	AppendUnknown
)

// Appended reports the result of an Append action.
type Appended struct {
	Entry  Entry
	Result AppendResult
}

// RunID tells the runs of a desk apart.
type RunID uint64

// Texts delivers the next part of a model's answer.
type Texts struct {
	Job   JobID
	Run   RunID
	Texts []string
}

// RunEnded reports the end of a run. Failed tells that the job may be run
// again; the reason is then in Outcome.Detail.
type RunEnded struct {
	Job     JobID
	Run     RunID
	Failed  bool
	Outcome Outcome
}

// Tick lets the desk act on deadlines that have passed.
type Tick struct{}

func (Submit) isMessage()   {}
func (Record) isMessage()   {}
func (CaughtUp) isMessage() {}
func (Members) isMessage()  {}
func (Appended) isMessage() {}
func (Texts) isMessage()    {}
func (RunEnded) isMessage() {}
func (Tick) isMessage()     {}

// Append asks to append an entry to the deferred stream.
type Append struct {
	Entry Entry
}

// Start runs a job. A model's answer continues after Texts.
type Start struct {
	Job   JobID
	Run   RunID
	Work  Work
	Texts []string
}

// Stop cancels a run.
type Stop struct {
	Job JobID
	Run RunID
}

// Reply answers a submission: accepted if Refusal is nil.
type Reply struct {
	Job           JobID
	ReadableUntil LogTime
	Refusal       *fleet.Refusal
}

// Wake asks for a Tick at the given monotonic time.
type Wake struct {
	At time.Duration
}

func (Append) isAction() {}
func (Start) isAction()  {}
func (Stop) isAction()   {}
func (Reply) isAction()  {}
func (Wake) isAction()   {}

// run is a job that this node runs, or whose outcome it wants to store.
type run struct {
	id    RunID
	texts []string
	// recording: a progress record was appended and not read back.
	recording bool
	outcome   *Outcome
	retryAt   time.Duration
}

// failure remembers failed runs of a job. However many fail, the job is run
// again until it expires, since an outage may last for hours.
type failure struct {
	count     int
	notBefore time.Duration
	detail    string
}

// Desk is the part of one node in deferred work. Invariants: a submission is
// acknowledged only after its record was read back; a node runs only jobs
// that rendezvous hashing over the members that it knows assigns to it, so
// that a job normally runs on one node. Two nodes with different views may run
// the same job; the first outcome in log order counts.
type Desk struct {
	self     fleet.InstanceID
	members  []fleet.InstanceID
	fold     *Fold
	caughtUp bool
	// seenAt is the monotonic time at which the newest record was read.
	seenAt   time.Duration
	nextRun  RunID
	runs     map[JobID]*run
	failures map[JobID]failure
	pending  map[JobID]time.Duration
	keepAt   map[JobID]time.Duration
}

// NewDesk returns a desk that has read no record and knows no other member.
func NewDesk(self fleet.InstanceID) *Desk {
	return &Desk{
		self: self, members: []fleet.InstanceID{self}, fold: NewFold(),
		runs: make(map[JobID]*run), failures: make(map[JobID]failure),
		pending: make(map[JobID]time.Duration), keepAt: make(map[JobID]time.Duration),
	}
}

// Next returns the offset of the next record that the desk needs.
func (d *Desk) Next() uint64 { return d.fold.Next() }

// Find returns a job, which must not be modified.
func (d *Desk) Find(id JobID) (*Job, bool) { return d.fold.Find(id) }

// Running returns the number of jobs that run on this node.
func (d *Desk) Running() int { return len(d.runs) }

// Step applies one message at monotonic time now and returns what to do.
func (d *Desk) Step(now time.Duration, msg Message) []Action {
	var actions []Action
	switch msg := msg.(type) {
	case Submit:
		return d.submit(now, msg)
	case Texts:
		return d.texts(msg)
	case Record:
		actions = d.record(now, msg)
	case CaughtUp:
		d.caughtUp = true
	case Members:
		d.members = msg.List
	case Appended:
		actions = d.appended(now, msg)
	case RunEnded:
		d.runEnded(now, msg)
	case Tick:
		actions = d.tick(now)
	}
	return append(actions, d.review(now)...)
}

func (d *Desk) submit(now time.Duration, msg Submit) []Action {
	switch {
	case msg.Work.size() > MaxWorkBytes:
		return refuse(msg.Job, fleet.Refuse(fleet.RefusedInvalid, 0,
			"deferred work is limited to 256 KiB; split it into several jobs"))
	case len(d.fold.jobs) >= MaxJobs:
		return refuse(msg.Job, fleet.Refuse(fleet.RefusedOverload, maxBackoff,
			"too many jobs are open or readable; submit the job again after the stated delay"))
	}
	d.pending[msg.Job] = now + AcceptWait
	return []Action{Append{Entry: Accepted(msg)}, Wake{At: now + AcceptWait}}
}

func refuse(id JobID, r *fleet.Refusal) []Action {
	return []Action{Reply{Job: id, Refusal: r}}
}

func (d *Desk) record(now time.Duration, msg Record) []Action {
	d.fold.Apply(msg.Offset, msg.At, msg.Entry)
	d.seenAt = now
	if msg.Entry == nil {
		return nil
	}
	id := msg.Entry.Subject()
	job, ok := d.fold.Find(id)
	if _, isProgress := msg.Entry.(Progress); isProgress {
		return d.progressRead(id)
	}
	if _, waits := d.pending[id]; !waits || !ok {
		return nil
	}
	delete(d.pending, id)
	return []Action{Reply{Job: id, ReadableUntil: job.ReadableUntil()}}
}

func (d *Desk) appended(now time.Duration, msg Appended) []Action {
	id := msg.Entry.Subject()
	switch msg.Entry.(type) {
	case Accepted:
		if _, waits := d.pending[id]; waits && msg.Result == AppendNotDone {
			delete(d.pending, id)
			return refuse(id, fleet.Refuse(fleet.RefusedLogUnavailable, retryAfterLog,
				"the job was not accepted, because the log service is unavailable; submit it again"))
		}
	case Progress:
		if msg.Result != AppendStored {
			return d.progressRead(id)
		}
	case Result:
		if r, ok := d.runs[id]; ok && msg.Result != AppendStored {
			r.retryAt = now + AppendRetry
		}
	}
	return nil
}

func (d *Desk) texts(msg Texts) []Action {
	r, ok := d.runs[msg.Job]
	if !ok || r.id != msg.Run {
		return nil
	}
	r.texts = append(r.texts, msg.Texts...)
	return d.recordProgress(msg.Job, r)
}

// progressRead allows the next progress record of a run.
func (d *Desk) progressRead(id JobID) []Action {
	r, ok := d.runs[id]
	if !ok {
		return nil
	}
	r.recording = false
	return d.recordProgress(id, r)
}

// recordProgress appends the texts that follow the recorded ones. A run whose
// texts differ from the recorded ones appends only its result.
func (d *Desk) recordProgress(id JobID, r *run) []Action {
	job, ok := d.fold.Find(id)
	if !ok || r.recording || r.outcome != nil || len(r.texts)-len(job.Texts) < ProgressTexts {
		return nil
	}
	from := len(job.Texts)
	prefix := PrefixHash(job.Texts)
	if PrefixHash(r.texts[:from]) != prefix {
		return nil
	}
	r.recording = true
	return []Action{Append{Entry: Progress{Job: id, From: from, Prefix: prefix, Texts: slices.Clone(r.texts[from:])}}}
}

func (d *Desk) runEnded(now time.Duration, msg RunEnded) {
	r, ok := d.runs[msg.Job]
	if !ok || r.id != msg.Run || r.outcome != nil {
		return
	}
	outcome := msg.Outcome
	if msg.Failed {
		f := d.failures[msg.Job]
		f.count++
		f.notBefore = now + min(minBackoff<<min(f.count-1, 10), maxBackoff)
		f.detail = outcome.Detail
		d.failures[msg.Job] = f
		delete(d.runs, msg.Job)
		return
	}
	if outcome.size() > MaxResultBytes {
		outcome = Outcome{Kind: OutcomeFailed, Detail: "the result exceeds 1 MiB; ask for fewer tokens"}
	}
	r.outcome = &outcome
	r.retryAt = now
}

func (d *Desk) tick(now time.Duration) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(d.pending)) {
		if now < d.pending[id] {
			continue
		}
		delete(d.pending, id)
		actions = append(actions, Reply{Job: id, Refusal: &fleet.Refusal{
			Kind: fleet.RefusedLogUnavailable, Run: fleet.RunUnknown, RetryAfter: retryAfterLog,
			Remedy: "the job may have been accepted as " + string(id) + "; read /v1/deferred/" + string(id) + " before submitting it again",
		}})
	}
	return actions
}

// review compares the jobs with what this node does about them.
func (d *Desk) review(now time.Duration) []Action {
	if !d.caughtUp {
		return nil
	}
	actions := d.stopLost()
	maps.DeleteFunc(d.failures, func(id JobID, _ failure) bool { return d.fold.jobs[id] == nil })
	maps.DeleteFunc(d.keepAt, func(id JobID, _ time.Duration) bool { return d.fold.jobs[id] == nil })
	for _, id := range slices.Sorted(maps.Keys(d.fold.jobs)) {
		if d.owner(id) == d.self {
			actions = append(actions, d.reviewJob(now, d.fold.jobs[id])...)
		}
	}
	return append(actions, Wake{At: now + reviewInterval})
}

// stopLost ends runs of jobs that have an outcome or belong to another node.
func (d *Desk) stopLost() []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(d.runs)) {
		job, known := d.fold.Find(id)
		if known && job.Outcome == nil && d.owner(id) == d.self {
			continue
		}
		actions = append(actions, Stop{Job: id, Run: d.runs[id].id})
		delete(d.runs, id)
		delete(d.failures, id)
	}
	return actions
}

func (d *Desk) reviewJob(now time.Duration, job *Job) []Action {
	actions := d.keep(now, job)
	if job.Outcome != nil {
		return actions
	}
	r, running := d.runs[job.ID]
	expired := d.logNow(now) >= job.Accepted.add(RunFor)
	switch {
	case expired && (!running || r.outcome == nil):
		if running {
			actions = append(actions, Stop{Job: job.ID, Run: r.id})
		}
		detail := "the job did not end within 48 h; submit it again"
		if failed, ok := d.failures[job.ID]; ok {
			detail += " (last failure: " + failed.detail + ")"
		}
		d.runs[job.ID] = &run{outcome: &Outcome{Kind: OutcomeExpired, Detail: detail}, retryAt: now}
		return append(actions, d.storeOutcome(now, job.ID)...)
	case running:
		return append(actions, d.storeOutcome(now, job.ID)...)
	case len(d.runs) >= MaxRunning || now < d.failures[job.ID].notBefore:
		return actions
	}
	d.nextRun++
	d.runs[job.ID] = &run{id: d.nextRun, texts: slices.Clone(job.Texts)}
	return append(actions, Start{Job: job.ID, Run: d.nextRun, Work: job.Work, Texts: slices.Clone(job.Texts)})
}

// storeOutcome appends the outcome until it, or another one, is read back.
func (d *Desk) storeOutcome(now time.Duration, id JobID) []Action {
	r := d.runs[id]
	if r.outcome == nil || now < r.retryAt {
		return nil
	}
	r.retryAt = now + AcceptWait
	return []Action{Append{Entry: Result{Job: id, Outcome: *r.outcome}}, Wake{At: r.retryAt}}
}

// keep appends the job again before its records expire.
func (d *Desk) keep(now time.Duration, job *Job) []Action {
	if d.logNow(now) < job.kept.add(KeepAfter) || now < d.keepAt[job.ID] {
		return nil
	}
	d.keepAt[job.ID] = now + KeepRetry
	return []Action{Append{Entry: Kept{
		Job: job.ID, Work: job.Work, Accepted: job.Accepted, Texts: slices.Clone(job.Texts),
		Outcome: job.Outcome, AsOf: d.fold.Next(),
	}}}
}

// logNow estimates the log time: the newest record's plus the time since it
// was read.
func (d *Desk) logNow(now time.Duration) LogTime { return d.fold.last.add(now - d.seenAt) }

// owner returns the member that runs the job, by rendezvous hashing.
func (d *Desk) owner(id JobID) fleet.InstanceID {
	var best fleet.InstanceID
	var bestHash uint64
	for _, member := range d.members {
		hash := xxhash.Sum64String(string(id) + "/" + string(member))
		if best == "" || hash > bestHash || (hash == bestHash && member < best) {
			best, bestHash = member, hash
		}
	}
	return best
}
