package userplatform

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"
)

// eraHeader is in all answers of the store.
const eraHeader = "Store-Era"

// Drill is an exercise of the platform: the store is away for a moment and comes back from an older
// copy. What was written since is lost; the operator and the replicas write theirs again.
type Drill struct {
	// CopyAge is the age of the copy when the store goes away.
	CopyAge time.Duration
	// Silent is set if requests get no answer while the store is away; otherwise their connections
	// are closed.
	Silent bool
	// RewriteDelay bounds the random time after the return at which each lost record of the operator
	// and the replicas is written again, so that they come in another order.
	RewriteDelay time.Duration
}

// drill is the state of the store that concerns drills.
type drill struct {
	era          int
	away, silent bool
	awayAt       time.Time
	// written is the newest record of each key that the operator and the replicas wrote, by topic.
	written map[string]map[string]StoredRecord
}

func newDrill() drill { return drill{written: make(map[string]map[string]StoredRecord)} }

func (d *drill) remember(topic string, r StoredRecord) {
	if d.written[topic] == nil {
		d.written[topic] = make(map[string]StoredRecord)
	}
	d.written[topic][r.Key] = r
}

// Leave makes the store unreachable. Requests that wait get no answer.
func (s *Store) Leave(d Drill) {
	s.do(func(state *storeState) {
		if !state.drill.away {
			state.drill.awayAt = time.Now()
		}
		state.drill.away, state.drill.silent = true, d.Silent
		for _, t := range state.topics {
			t.wake()
		}
	})
}

// ComeBack makes the store reachable again, from a copy that was made before it left. Nothing
// happens if it is not away.
func (s *Store) ComeBack(d Drill) {
	s.do(func(state *storeState) {
		if !state.drill.away {
			return
		}
		state.drill.away = false
		state.drill.era++
		for _, t := range state.topics {
			t.restore(state.drill.awayAt.Add(-d.CopyAge))
		}
		for name, records := range state.drill.written {
			for _, key := range slices.Sorted(maps.Keys(records)) {
				s.writeAgain(state.drill.era, name, key, d.RewriteDelay)
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
func (s *Store) writeAgain(era int, name, key string, delay time.Duration) {
	if delay > 0 {
		delay = rand.N(delay)
	}
	time.AfterFunc(delay, func() {
		s.commands <- func(state *storeState) {
			r, t := state.drill.written[name][key], state.topic(name)
			if state.drill.away || state.drill.era != era || t.shows(r) {
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
