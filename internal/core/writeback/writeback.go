// Package writeback decides when changed records are appended to a keyed topic of the store. A
// Buffer holds the newest value of each key until it is stored, so that changes in quick
// succession cost one append, and an outage loses none. It is a state machine without input or
// output; the current time is passed in.
package writeback

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// writeShare is the share of the store's writes that the appends of all instances together
	// may take. Lists, leases and the use of quotas need the rest.
	writeShare = 0.1
	// firstRetry is the delay after a failed append. It doubles with each further failure up
	// to maxRetry.
	firstRetry = 500 * time.Millisecond
	maxRetry   = 8 * time.Second
	// removedTTL is how long a removal is kept for Rewrite. The copy from which the store comes back
	// is younger.
	removedTTL = time.Minute
)

// Record is the value of a key. An empty value removes the key.
type Record struct {
	Key   string
	Value []byte
}

// Buffer holds the records that are not stored yet, and those that the store may forget when it
// comes back from an older copy. At most one append is under way.
type Buffer struct {
	pending  map[string][]byte
	inFlight []Record
	// stored are the newest stored values; those of removed keys are kept for a while. isOutdated is
	// set if the store may forget what the append under way stores.
	stored     map[string]storedValue
	isOutdated bool
	interval   time.Duration
	notUntil   time.Duration
	retry      time.Duration
}

type storedValue struct {
	value []byte
	at    time.Duration
}

// New returns an empty buffer.
func New() *Buffer {
	return &Buffer{pending: make(map[string][]byte), stored: make(map[string]storedValue), retry: firstRetry}
}

// SetRate sets the writes per second that the store accepts and the number of instances that
// share them. The time between two appends follows from both.
func (b *Buffer) SetRate(writesPerSecond float64, instances int) {
	b.interval = time.Duration(float64(instances) / (writeShare * writesPerSecond) * float64(time.Second))
}

// Put replaces the value of a key.
func (b *Buffer) Put(key string, value []byte) { b.pending[key] = value }

// Rewrite makes all records pending that this buffer has stored, since the store may have
// forgotten them. Those that have changed since are pending with their newer value.
func (b *Buffer) Rewrite() {
	for key, s := range b.stored {
		if _, ok := b.pending[key]; !ok && !b.isInFlight(key) {
			b.pending[key] = s.value
		}
	}
	b.isOutdated = b.inFlight != nil
}

// Wait returns the time until the next append. It reports false if there is nothing to append,
// or one is under way.
func (b *Buffer) Wait(now time.Duration) (time.Duration, bool) {
	if b.inFlight != nil || len(b.pending) == 0 {
		return 0, false
	}
	return max(b.notUntil-now, 0), true
}

// Next returns the records to append now, ordered by key. Finished must be called with the
// result.
func (b *Buffer) Next(now time.Duration) []Record {
	if wait, ok := b.Wait(now); !ok || wait > 0 {
		return nil
	}
	for key, value := range b.pending {
		b.inFlight = append(b.inFlight, Record{Key: key, Value: value})
	}
	slices.SortFunc(b.inFlight, func(x, y Record) int { return cmp.Compare(x.Key, y.Key) })
	clear(b.pending)
	return b.inFlight
}

// Finished ends an append. Records that were not stored, as far as is known, are appended
// again, but for those that have a newer value by now.
func (b *Buffer) Finished(now time.Duration, stored bool) {
	stored = stored && !b.isOutdated
	b.isOutdated = false
	if stored {
		b.keep(now)
		b.notUntil, b.retry = now+b.interval, firstRetry
	} else {
		failed := make(map[string][]byte, len(b.inFlight))
		for _, r := range b.inFlight {
			failed[r.Key] = r.Value
		}
		maps.Copy(failed, b.pending)
		b.pending = failed
		b.notUntil, b.retry = now+b.retry, min(2*b.retry, maxRetry)
	}
	b.inFlight = nil
}

func (b *Buffer) isInFlight(key string) bool {
	return slices.ContainsFunc(b.inFlight, func(r Record) bool { return r.Key == key })
}

// keep keeps the records of the append that was stored.
func (b *Buffer) keep(now time.Duration) {
	for _, r := range b.inFlight {
		b.stored[r.Key] = storedValue{value: r.Value, at: now}
	}
	maps.DeleteFunc(b.stored, func(_ string, s storedValue) bool { return len(s.value) == 0 && now-s.at > removedTTL })
}
