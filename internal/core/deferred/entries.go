// Package deferred runs work that may wait, such as overnight batches, and
// stores its result until ResultRetention has passed.
//
// Fold is the state built from the deferred stream. Scheduler decides, on each
// node that reads the stream, which jobs this node runs. The stream holds
// everything that is needed to continue a job, so that a job survives the loss
// of all nodes.
package deferred

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// JobTimeout is the time after acceptance, in log time, within which a job
	// must end.
	JobTimeout = 48 * time.Hour
	// ResultRetention is the time after acceptance, in log time, for which the
	// result of a job can be read.
	ResultRetention = 72 * time.Hour
	// SnapshotAge is the age in log time at which a job is appended again. It is
	// a fraction of the log's retention, which exceeds 24 h.
	SnapshotAge = 6 * time.Hour
	// MaxWorkBytes bounds the prompt or body of one job.
	MaxWorkBytes = 256 << 10
	// MaxResultBytes bounds the result of one job.
	MaxResultBytes = 1 << 20
	// MaxJobs bounds the jobs that a reader keeps in memory.
	MaxJobs = 1000
)

// LogTime is the log service's append time in Unix milliseconds.
type LogTime int64

func (t LogTime) add(d time.Duration) LogTime { return t + LogTime(d.Milliseconds()) }

// JobID identifies a job. It is a UUID in text form.
type JobID string

// Work is the content of a job: a completion of a model service, or an
// idempotent operation of a plain service. The field names of Work, Outcome and
// the entries are JSON keys of the stored records.
type Work struct {
	Team    fleet.TeamName
	Service fleet.ServiceName
	// Operation, ContentType and Body are set for plain services.
	Operation   string
	ContentType string
	Body        []byte
	// Adapter, Prompt and MaxTokens are set for model services.
	Adapter   string
	Prompt    string
	MaxTokens int
}

func (w Work) size() int { return len(w.Body) + len(w.Prompt) }

// OutcomeKind is the way in which a job ended.
type OutcomeKind uint8

// Outcome kinds.
const (
	// OutcomeDone: the result is complete.
	OutcomeDone OutcomeKind = iota + 1
	// OutcomeFailed: the job can't be run; Detail is the reason.
	OutcomeFailed
	// OutcomeExpired: the job did not end within JobTimeout.
	OutcomeExpired
)

// Outcome is the end of a job.
type Outcome struct {
	Kind   OutcomeKind
	Detail string
	// Texts and Finish are the response of a model service.
	Texts  []string
	Finish string
	// Status, ContentType and Body are the response of a plain service.
	Status      int
	ContentType string
	Body        []byte
}

func (o Outcome) size() int {
	size := len(o.Body)
	for _, text := range o.Texts {
		size += len(text)
	}
	return size
}

// Entry is one record of the deferred stream.
type Entry interface {
	isEntry()
	// Subject returns the job that the entry is about.
	Subject() JobID
}

// Accepted records a new job. The submission is acknowledged once this entry
// was read back.
type Accepted struct {
	Job  JobID
	Work Work
}

// Progress records a part of a model's response, so that another node can
// continue after it. Prefix is PrefixHash of the texts before From; a part
// that does not continue the recorded texts is ignored.
type Progress struct {
	Job    JobID
	From   int
	Prefix uint64
	Texts  []string
}

// Result ends a job. The first one in log order counts.
type Result struct {
	Job     JobID
	Outcome Outcome
}

// Snapshot is the record that repeats the state of one job in the deferred stream
// before the job's other records expire. AsOf is the offset of the first record
// that it does not cover.
type Snapshot struct {
	Job      JobID
	Work     Work
	Accepted LogTime
	Texts    []string
	Outcome  *Outcome
	AsOf     uint64
}

func (Accepted) isEntry() {}
func (Progress) isEntry() {}
func (Result) isEntry()   {}
func (Snapshot) isEntry() {}

// Subject implements Entry.
func (e Accepted) Subject() JobID { return e.Job }

// Subject implements Entry.
func (e Progress) Subject() JobID { return e.Job }

// Subject implements Entry.
func (e Result) Subject() JobID { return e.Job }

// Subject implements Entry.
func (e Snapshot) Subject() JobID { return e.Job }

// PrefixHash returns a hash of the texts and their boundaries.
func PrefixHash(texts []string) uint64 {
	digest := xxhash.New()
	for _, text := range texts {
		_, _ = digest.WriteString(text)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}
