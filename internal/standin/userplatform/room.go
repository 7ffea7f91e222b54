package userplatform

import (
	"net"
	"net/http"
	"strings"
)

// defaultSlots is the number of slots in the entry of a replica without a bound.
const defaultSlots = 8

// roomState counts the requests of a replica with a bound.
type roomState struct {
	running, rejected int
	// waiting are closed in turn as slots become free.
	waiting []chan struct{}
}

func isStream(req *http.Request) bool { return strings.Contains(req.URL.Path, "stream") }

// respondInRoom serves a request once it has a slot, or rejects it. Streams need none.
func (r *Replica) respondInRoom(conn net.Conn, req *http.Request, body string) bool {
	if r.Slots == 0 || isStream(req) {
		return r.respond(conn, req, body)
	}
	if !r.enter() {
		return writeResponse(conn, "503 Service Unavailable", "Attempt-Id: "+req.Header.Get("Attempt-Id")+"\r\nKeep-Alive: timeout=10\r\nNot-Executed: 1\r\n", "")
	}
	defer r.leave()
	return r.respond(conn, req, body)
}

// enter waits for a slot. It reports false if the queue is full.
func (r *Replica) enter() bool {
	var turn chan struct{}
	entered := true
	r.do(func(s *replicaState) {
		switch room := &s.room; {
		case room.running < r.Slots:
			room.running++
		case len(room.waiting) < r.Queue:
			turn = make(chan struct{})
			room.waiting = append(room.waiting, turn)
		default:
			room.rejected++
			entered = false
		}
	})
	if turn != nil {
		select {
		case <-turn:
		case <-r.ended:
		}
	}
	return entered
}

// leave gives the slot of a request to the next one.
func (r *Replica) leave() {
	r.do(func(s *replicaState) {
		if len(s.room.waiting) == 0 {
			s.room.running--
			return
		}
		close(s.room.waiting[0])
		s.room.waiting = s.room.waiting[1:]
	})
}

// Rejected returns the number of requests that the replica rejected because it was full.
func (r *Replica) Rejected() int {
	var rejected int
	r.do(func(s *replicaState) { rejected = s.room.rejected })
	return rejected
}
