package deferred

import "slices"

// Job is the folded state of a job.
type Job struct {
	ID       JobID
	Work     Work
	Accepted LogTime
	// Texts is the recorded part of a model's answer.
	Texts []string
	// Outcome is nil until the job has ended.
	Outcome *Outcome
	// kept is the log time of the last record from which a new reader learns the job.
	kept LogTime
}

// ReadableUntil returns the time until which the result can be read.
func (j *Job) ReadableUntil() LogTime { return j.Accepted.add(ReadableFor) }

// orphan is an outcome of a job that this reader does not know yet.
type orphan struct {
	offset  uint64
	outcome Outcome
}

// Fold is the state of the deferred stream. Invariant: two readers that know a
// job and have read the same prefix hold the same outcome for it.
type Fold struct {
	next    uint64
	start   uint64
	last    LogTime
	jobs    map[JobID]*Job
	orphans map[JobID]orphan
}

// NewFold returns a fold without records.
func NewFold() *Fold {
	return &Fold{jobs: make(map[JobID]*Job), orphans: make(map[JobID]orphan)}
}

// Next returns the offset of the next record to fold.
func (f *Fold) Next() uint64 { return f.next }

// Find returns a job, which must not be modified.
func (f *Fold) Find(id JobID) (*Job, bool) {
	job, ok := f.jobs[id]
	return job, ok
}

// Apply folds the record at the given offset and log time. Records that were
// already folded are ignored. A reader that misses records starts over: it
// learns older jobs when they are kept.
func (f *Fold) Apply(offset uint64, at LogTime, entry Entry) {
	if offset < f.next {
		return
	}
	if offset > f.next {
		f.start = offset
		clear(f.jobs)
		clear(f.orphans)
	}
	f.next = offset + 1
	f.last = max(f.last, at)
	switch e := entry.(type) {
	case Accepted:
		f.accepted(at, e)
	case Progress:
		f.progress(e)
	case Result:
		f.result(offset, e)
	case Kept:
		f.kept(at, e)
	}
	f.expire()
}

func (f *Fold) accepted(at LogTime, e Accepted) {
	if _, known := f.jobs[e.Job]; known {
		return
	}
	f.jobs[e.Job] = &Job{ID: e.Job, Work: e.Work, Accepted: at, kept: at}
}

func (f *Fold) progress(e Progress) {
	job, ok := f.jobs[e.Job]
	if !ok || job.Outcome != nil || e.From != len(job.Texts) || e.Prefix != PrefixHash(job.Texts) {
		return
	}
	job.Texts = append(slices.Clip(job.Texts), e.Texts...)
}

func (f *Fold) result(offset uint64, e Result) {
	job, ok := f.jobs[e.Job]
	if !ok {
		if _, known := f.orphans[e.Job]; !known && len(f.orphans) < MaxJobs {
			f.orphans[e.Job] = orphan{offset: offset, outcome: e.Outcome}
		}
		return
	}
	if job.Outcome == nil {
		job.Outcome = &e.Outcome
		job.Texts = nil
	}
}

// kept installs a job that this reader does not know. It is skipped when the
// reader has not seen a record between the state and its own start, because
// that record may hold the first outcome.
func (f *Fold) kept(at LogTime, e Kept) {
	if job, known := f.jobs[e.Job]; known {
		job.kept = at
		return
	}
	if e.AsOf < f.start {
		return
	}
	job := &Job{ID: e.Job, Work: e.Work, Accepted: e.Accepted, Texts: e.Texts, Outcome: e.Outcome, kept: at}
	if seen, ok := f.orphans[e.Job]; ok && job.Outcome == nil && seen.offset >= e.AsOf {
		job.Outcome = &seen.outcome
	}
	delete(f.orphans, e.Job)
	f.jobs[e.Job] = job
}

func (f *Fold) expire() {
	for id, job := range f.jobs {
		if job.ReadableUntil() < f.last {
			delete(f.jobs, id)
		}
	}
}
