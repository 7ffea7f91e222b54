package modelengine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/engine"
)

const (
	// maxBufferedEvents bounds the events kept for slow readers.
	maxBufferedEvents = 256
	// maxEventWait bounds the wait of a long poll.
	maxEventWait = 30 * time.Second
)

// event is a snapshot of the load with the cache changes since the previous
// event.
type event struct {
	sequence        uint64
	at              time.Duration
	running         int
	waiting         int
	batch           int
	stored, evicted []uint64
}

// Messages from readers of events to the state task.
type (
	readEvents struct {
		after uint64
		reply chan engine.Events
		// nonBlocking requests an immediate reply, also without a new event.
		nonBlocking bool
	}
	cancelRead struct {
		reply chan engine.Events
	}
)

// eventLog has the latest events and the reads that wait for the next one. The
// state task owns it.
type eventLog struct {
	sequence     uint64
	events       []event
	blockedReads []readEvents
}

func (s *state) handleEvents(msg any) {
	switch msg := msg.(type) {
	case readEvents:
		if msg.nonBlocking || msg.after != s.log.sequence {
			msg.reply <- s.eventsAfter(msg.after)
			return
		}
		s.log.blockedReads = append(s.log.blockedReads, msg)
	case cancelRead:
		s.log.blockedReads = slices.DeleteFunc(s.log.blockedReads, func(r readEvents) bool { return r.reply == msg.reply })
	}
}

// publish appends an event and replies to the blocked reads.
func (s *state) publish() {
	e := event{at: s.clock.Now()}
	e.stored, e.evicted = s.cache.drainChanges()
	for _, st := range s.streams {
		if st.running {
			e.running++
		} else {
			e.waiting++
		}
		if st.priority >= int(fleet.ClassBatch) {
			e.batch++
		}
	}
	s.log.sequence++
	e.sequence = s.log.sequence
	if len(s.log.events) == maxBufferedEvents {
		s.log.events = slices.Delete(s.log.events, 0, 1)
	}
	s.log.events = append(s.log.events, e)
	for _, r := range s.log.blockedReads {
		r.reply <- s.eventsAfter(r.after)
	}
	s.log.blockedReads = nil
}

func (s *state) eventsAfter(after uint64) engine.Events {
	out := engine.Events{Incarnation: fmt.Sprint(s.incarnation), Sequence: s.log.sequence}
	for _, e := range s.log.events {
		out.Running, out.Waiting, out.Batch = e.running, e.waiting, e.batch
		out.AgeMillis = (s.clock.Now() - e.at).Milliseconds()
		// A reader beyond the current sequence number has read from an earlier
		// incarnation and gets all events of this one.
		if e.sequence > after || after > s.log.sequence {
			out.Stored = append(out.Stored, e.stored...)
			out.Evicted = append(out.Evicted, e.evicted...)
		}
	}
	return out
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxEventWait))
	defer timer.Stop()
	reply := make(chan engine.Events, 1)
	if e.state.mailbox.Send(r.Context(), readEvents{after: after, reply: reply}) != nil {
		return
	}
	for {
		select {
		case events := <-reply:
			w.Header().Set("Content-Type", "application/json")
			_ = json.NewEncoder(w).Encode(events)
			return
		case <-r.Context().Done():
			e.state.mailbox.TrySend(cancelRead{reply: reply})
			return
		case <-timer.C:
			e.state.mailbox.TrySend(cancelRead{reply: reply})
			final := make(chan engine.Events, 1)
			if e.state.mailbox.Send(r.Context(), readEvents{after: after, reply: final, nonBlocking: true}) != nil {
				return
			}
			reply = final
		}
	}
}
