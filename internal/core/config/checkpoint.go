package config

import "time"

// Checkpoint defaults. The log service keeps records for at least 24 h and
// 5 min, which the claim stream requires; the age limit leaves time for several
// failed attempts before the newest checkpoint expires.
const (
	DefaultCheckpointRecords = 500
	DefaultCheckpointAge     = 6 * time.Hour
)

// CheckpointPolicy decides when the folded state is appended as a checkpoint.
type CheckpointPolicy struct {
	// Records is the number of ticket records after which a checkpoint is due.
	Records uint64
	// Age is the age of the newest checkpoint at which a new one is due even
	// without new records, because checkpoints expire as well. It must be well
	// below the retention of the log service.
	Age time.Duration
}

// CheckpointPolicyFor returns the policy for a log service that keeps records
// for the given time. A checkpoint is replaced after a quarter of that time.
func CheckpointPolicyFor(retention time.Duration) CheckpointPolicy {
	return CheckpointPolicy{Records: DefaultCheckpointRecords, Age: retention / 4}
}

// CheckpointPosition describes the newest checkpoint that this writer appended.
type CheckpointPosition struct {
	// Offset is the first ticket offset that the checkpoint does not cover.
	Offset uint64
	// At is the monotonic time taken before the checkpoint was appended.
	At time.Duration
}

// Due reports whether a checkpoint of s must be appended. last is nil if this
// writer has not appended one yet; one is due at once then, because the expiry
// of the previous writer's checkpoint is unknown.
func (p CheckpointPolicy) Due(now time.Duration, s *Snapshot, last *CheckpointPosition) bool {
	if s.Number == 0 {
		return false
	}
	if last == nil {
		return true
	}
	return s.Offset >= last.Offset+p.Records || now-last.At >= p.Age
}
