package claim

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// expiryBucketMillis is the width of one expiry bucket in milliseconds of log time.
const expiryBucketMillis = 60_000

// Verdict is the result of folding one entry.
type Verdict uint8

// Verdicts.
const (
	// VerdictIgnored: the entry has no effect.
	VerdictIgnored Verdict = iota
	// VerdictAccepted: the attempt holds the key and may send.
	VerdictAccepted
	// VerdictHeld: another attempt holds the key for the same request.
	VerdictHeld
	// VerdictMismatch: the key is held for a different request.
	VerdictMismatch
	// VerdictExpired: the key is older than KeyMaxAge, or was created before the
	// first record that this reader has read.
	VerdictExpired
	// VerdictFuture: the key's creation time is ahead of log time by more than
	// ClockTolerance.
	VerdictFuture
	// VerdictVoided: a release of the attempt precedes its claim.
	VerdictVoided
	// VerdictReleased: the release ended an accepted claim.
	VerdictReleased
	// VerdictRecorded: the outcome ended the claim.
	VerdictRecorded
)

// Event is the effect of one entry on its key.
type Event struct {
	Key     Key
	Attempt AttemptID
	Verdict Verdict
}

// KeyState is the state of a key with an accepted claim.
type KeyState struct {
	Attempt     AttemptID
	Fingerprint fleet.Fingerprint
	// FoldedAt is the reader's monotonic time when it folded the claim.
	FoldedAt time.Duration
	// Done reports that an outcome is stored, in the record at offset Outcome.
	Done    bool
	Outcome uint64
}

// Fold is the state of the claim stream. Responses stay in the log; the fold
// stores only their offsets, so that memory depends only on the number of keys
// that are younger than KeyMaxAge.
//
// Invariants: a key has at most one holder; horizon never decreases, and a key
// created before it is refused. A refusal is always safe: the reader never
// accepts a later claim on such a key either, so its own attempts never send.
type Fold struct {
	next    uint64
	started bool
	horizon LogTime
	states  map[Key]*KeyState
	voided  map[Key][]AttemptID
	buckets map[int64][]Key
}

// NewFold returns a fold without records.
func NewFold() *Fold {
	return &Fold{
		states:  make(map[Key]*KeyState),
		voided:  make(map[Key][]AttemptID),
		buckets: make(map[int64][]Key),
	}
}

// NextOffset returns the offset of the next record to fold.
func (f *Fold) NextOffset() uint64 { return f.next }

// Len returns the number of keys held in memory.
func (f *Fold) Len() int { return len(f.states) }

// Lookup returns the state of a key.
func (f *Fold) Lookup(key Key) (KeyState, bool) {
	h, ok := f.states[key]
	if !ok {
		return KeyState{}, false
	}
	return *h, true
}

// Expired reports whether the key was created before the horizon and can no
// longer be claimed.
func (f *Fold) Expired(key Key) bool { return key.ID.Created() < f.horizon }

// Apply folds the record at the given offset and log time. now is the reader's
// monotonic time. Records that were already folded are ignored.
func (f *Fold) Apply(now time.Duration, offset uint64, at LogTime, entries []Entry) []Event {
	if f.started && offset < f.next {
		return nil
	}
	f.advance(offset, at)
	events := make([]Event, 0, len(entries))
	for _, entry := range entries {
		key, attempt := entry.Subject()
		events = append(events, Event{Key: key, Attempt: attempt, Verdict: f.applyEntry(now, offset, at, entry)})
	}
	return events
}

// advance moves the next offset and the horizon past a record. If records are
// missing, one of them may be a claim on any key created up to ClockTolerance
// after this record's log time, since a claim may precede the creation time of
// its key by that much.
func (f *Fold) advance(offset uint64, at LogTime) {
	horizon := at.add(-KeyMaxAge)
	if offset != f.next {
		horizon = at.add(ClockTolerance)
	}
	f.started = true
	f.next = offset + 1
	if horizon <= f.horizon {
		return
	}
	if int64(horizon)/expiryBucketMillis != int64(f.horizon)/expiryBucketMillis {
		f.expire(horizon)
	}
	f.horizon = horizon
}

func (f *Fold) expire(horizon LogTime) {
	for bucket, keys := range f.buckets {
		if bucket >= int64(horizon)/expiryBucketMillis {
			continue
		}
		for _, key := range keys {
			delete(f.states, key)
			delete(f.voided, key)
		}
		delete(f.buckets, bucket)
	}
}

func (f *Fold) applyEntry(now time.Duration, offset uint64, at LogTime, entry Entry) Verdict {
	switch e := entry.(type) {
	case Claim:
		return f.applyClaim(now, at, e)
	case Release:
		return f.applyRelease(e)
	case Outcome:
		return f.applyOutcome(offset, e)
	default:
		return VerdictIgnored
	}
}

func (f *Fold) applyClaim(now time.Duration, at LogTime, c Claim) Verdict {
	held, ok := f.states[c.Key]
	switch {
	case f.Expired(c.Key):
		return VerdictExpired
	case c.Key.ID.Created() > at.add(ClockTolerance):
		return VerdictFuture
	case slices.Contains(f.voided[c.Key], c.Attempt):
		return VerdictVoided
	case ok && held.Fingerprint != c.Fingerprint:
		return VerdictMismatch
	case ok && held.Attempt == c.Attempt:
		// The same claim was appended twice.
		return VerdictIgnored
	case ok:
		return VerdictHeld
	}
	f.trackExpiry(c.Key)
	f.states[c.Key] = &KeyState{Attempt: c.Attempt, Fingerprint: c.Fingerprint, FoldedAt: now}
	return VerdictAccepted
}

func (f *Fold) applyRelease(r Release) Verdict {
	held, ok := f.states[r.Key]
	own := ok && held.Attempt == r.Attempt
	if (own && held.Done) || f.Expired(r.Key) {
		return VerdictIgnored
	}
	if !slices.Contains(f.voided[r.Key], r.Attempt) {
		f.trackExpiry(r.Key)
		f.voided[r.Key] = append(f.voided[r.Key], r.Attempt)
	}
	if !own {
		return VerdictIgnored
	}
	delete(f.states, r.Key)
	return VerdictReleased
}

func (f *Fold) applyOutcome(offset uint64, o Outcome) Verdict {
	held, ok := f.states[o.Key]
	if !ok || held.Attempt != o.Attempt || held.Done {
		return VerdictIgnored
	}
	held.Done = true
	held.Outcome = offset
	return VerdictRecorded
}

// trackExpiry adds a new key to its expiry bucket. It is called before the key
// is claimed or voided, and ignores keys that already are.
func (f *Fold) trackExpiry(key Key) {
	_, held := f.states[key]
	if held || len(f.voided[key]) > 0 {
		return
	}
	bucket := int64(key.ID.Created()) / expiryBucketMillis
	f.buckets[bucket] = append(f.buckets[bucket], key)
}
