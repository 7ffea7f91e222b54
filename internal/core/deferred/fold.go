package deferred

import "slices"

// Job is the folded state of a job.
type Job struct {
	ID       JobID
	Work     Work
	Accepted LogTime
	// Texts is the recorded part of a model's response.
	Texts []string
	// Outcome is nil until the job has ended.
	Outcome *Outcome
	// recordedAt is the log time of the last Accepted or Snapshot record of the
	// job, from which a new reader can restore it.
	recordedAt LogTime
}

// ReadableUntil returns the time until which the result can be read.
func (j *Job) ReadableUntil() LogTime { return j.Accepted.add(ResultRetention) }

// earlyOutcome is an outcome of a job that is missing from the fold. It applies
// once a snapshot restores the job.
type earlyOutcome struct {
	offset  uint64
	outcome Outcome
}

// Fold is the state of the deferred stream. Invariant: two folds at the same
// offset that both contain a job have the same outcome for it.
type Fold struct {
	next          uint64
	firstOffset   uint64
	lastTime      LogTime
	jobs          map[JobID]*Job
	earlyOutcomes map[JobID]earlyOutcome
}

// NewFold returns a fold without records.
func NewFold() *Fold {
	return &Fold{jobs: make(map[JobID]*Job), earlyOutcomes: make(map[JobID]earlyOutcome)}
}

// NextOffset returns the offset of the next record to fold.
func (f *Fold) NextOffset() uint64 { return f.next }

// Find returns a job, which must not be modified.
func (f *Fold) Find(id JobID) (*Job, bool) {
	job, ok := f.jobs[id]
	return job, ok
}

// Apply folds the record at the given offset and log time. Records that were
// already folded are ignored. If records are missing, the fold starts over and
// restores older jobs from their snapshots.
func (f *Fold) Apply(offset uint64, at LogTime, entry Entry) {
	if offset < f.next {
		return
	}
	if offset > f.next {
		f.firstOffset = offset
		clear(f.jobs)
		clear(f.earlyOutcomes)
	}
	f.next = offset + 1
	f.lastTime = max(f.lastTime, at)
	switch e := entry.(type) {
	case Accepted:
		f.applyAccepted(at, e)
	case Progress:
		f.applyProgress(e)
	case Result:
		f.applyResult(offset, e)
	case Snapshot:
		f.applySnapshot(at, e)
	}
	f.expire()
}

func (f *Fold) applyAccepted(at LogTime, e Accepted) {
	if _, exists := f.jobs[e.Job]; exists {
		return
	}
	f.jobs[e.Job] = &Job{ID: e.Job, Work: e.Work, Accepted: at, recordedAt: at}
}

func (f *Fold) applyProgress(e Progress) {
	job, ok := f.jobs[e.Job]
	if !ok || job.Outcome != nil || e.From != len(job.Texts) || e.Prefix != PrefixHash(job.Texts) {
		return
	}
	job.Texts = append(slices.Clip(job.Texts), e.Texts...)
}

func (f *Fold) applyResult(offset uint64, e Result) {
	job, ok := f.jobs[e.Job]
	if !ok {
		if _, exists := f.earlyOutcomes[e.Job]; !exists && len(f.earlyOutcomes) < MaxJobs {
			f.earlyOutcomes[e.Job] = earlyOutcome{offset: offset, outcome: e.Outcome}
		}
		return
	}
	if job.Outcome == nil {
		job.Outcome = &e.Outcome
		job.Texts = nil
	}
}

// applySnapshot adds a job that is missing from the fold. The snapshot is
// skipped if the fold starts after the offset that the snapshot covers, because
// a record in between may hold the first outcome.
func (f *Fold) applySnapshot(at LogTime, e Snapshot) {
	if job, exists := f.jobs[e.Job]; exists {
		job.recordedAt = at
		return
	}
	if e.AsOf < f.firstOffset {
		return
	}
	job := &Job{ID: e.Job, Work: e.Work, Accepted: e.Accepted, Texts: e.Texts, Outcome: e.Outcome, recordedAt: at}
	if early, ok := f.earlyOutcomes[e.Job]; ok && job.Outcome == nil && early.offset >= e.AsOf {
		job.Outcome = &early.outcome
	}
	delete(f.earlyOutcomes, e.Job)
	f.jobs[e.Job] = job
}

func (f *Fold) expire() {
	for id, job := range f.jobs {
		if job.ReadableUntil() < f.lastTime {
			delete(f.jobs, id)
		}
	}
}
