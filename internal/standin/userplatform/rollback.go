package userplatform

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// epochHeader is in all answers of the store.
const epochHeader = "Store-Era"

// Rollback is a return of the store from an older copy, after it was away for a moment.
// What was written since the copy is lost; the operator and the replicas write theirs again.
type Rollback struct {
	// CopyAge is the age of the copy when the store goes away.
	CopyAge time.Duration
	// Silent is set if requests get no answer while the store is away; otherwise their connections
	// are closed.
	Silent bool
	// RewriteDelay bounds the random time after the return at which each lost record of the operator
	// and the replicas is written again, so that they come in another order.
	RewriteDelay time.Duration
}

// rollback is the state of the store that concerns rollbacks.
type rollback struct {
	epoch        int
	away, silent bool
	awayAt       time.Time
	// written is the newest record of each key that the operator and the replicas wrote, by topic.
	written map[string]map[string]StoredRecord
}

func newRollback() rollback { return rollback{written: make(map[string]map[string]StoredRecord)} }

func (b *rollback) remember(topic string, r StoredRecord) {
	if b.written[topic] == nil {
		b.written[topic] = make(map[string]StoredRecord)
	}
	b.written[topic][r.Key] = r
}

// Suspend makes the store unreachable. Requests that wait get no answer.
func (s *Store) Suspend(b Rollback) {
	s.do(func(state *storeState) {
		if !state.rollback.away {
			state.rollback.awayAt = time.Now()
		}
		state.rollback.away, state.rollback.silent = true, b.Silent
		for _, t := range state.topics {
			t.wake()
		}
	})
}

// RollBack makes the store reachable again, from a copy that was made before it left. Nothing
// happens if it is not away.
func (s *Store) RollBack(b Rollback) {
	s.do(func(state *storeState) {
		if !state.rollback.away {
			return
		}
		state.rollback.away = false
		state.rollback.epoch++
		for _, t := range state.topics {
			t.restore(state.rollback.awayAt.Add(-b.CopyAge))
		}
		for name, records := range state.rollback.written {
			for _, key := range slices.Sorted(maps.Keys(records)) {
				s.writeAgain(state.rollback.epoch, name, key, b.RewriteDelay)
			}
		}
	})
}

// restore replaces the records by those of a copy.
func (t *topic) restore(copiedAt time.Time) {
	kept := 0
	for kept < len(t.records) && !t.records[kept].at.After(copiedAt) {
		kept++
	}
	t.records = t.records[:kept:kept]
	t.wake()
}

// writeAgain writes the newest record of a key again after a random delay, unless the topic shows
// it, or the store has left again, which begins anew with the next return.
func (s *Store) writeAgain(epoch int, name, key string, delay time.Duration) {
	if delay > 0 {
		delay = rand.N(delay)
	}
	time.AfterFunc(delay, func() {
		s.commands <- func(state *storeState) {
			r, t := state.rollback.written[name][key], state.topic(name)
			if state.rollback.away || state.rollback.epoch != epoch || t.shows(r) {
				return
			}
			t.appendRecord(r)
		}
	})
}

// shows reports whether a record is the newest one of its key.
func (t *topic) shows(r StoredRecord) bool {
	for _, record := range slices.Backward(t.records) {
		if record.Key == r.Key {
			return string(record.Value) == string(r.Value) && (record.Value == nil) == (r.Value == nil)
		}
	}
	return r.Value == nil
}

// hangUp ends a request without an answer, at once or when the caller has given up.
func hangUp(w http.ResponseWriter, r *http.Request, silent bool) {
	if silent {
		<-r.Context().Done()
	}
	if hijacker, ok := w.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}
