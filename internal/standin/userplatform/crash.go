package userplatform

import (
	"net"
	"net/http"
	"time"
)

// CrashDelay is the time from the start of a request until the replica that it crashes
// ends.
const CrashDelay = 30 * time.Millisecond

// CrashRule reports whether a replica that starts to execute a request crashes.
type CrashRule func(r *http.Request) bool

// SetCrash sets the requests that crash the replica.
func (r *Replica) SetCrash(rule CrashRule) { r.do(func(s *replicaState) { s.crash = rule }) }

// OnCrash sets a function that is called when the replica crashes for any reason, before its
// connections break.
func (r *Replica) OnCrash(crashed func()) { r.do(func(s *replicaState) { s.onCrash = crashed }) }

// Crash ends the replica as a crash does: all its connections break, and nothing listens
// at its address. What it has executed is kept.
func (r *Replica) Crash() {
	r.do(func(s *replicaState) {
		if s.crashed {
			return
		}
		s.crashed = true
		_ = r.listener.Close()
		if s.onCrash != nil {
			s.onCrash()
		}
		for conn := range s.conns {
			_ = conn.Close()
		}
	})
}

// Crashed reports whether the replica has crashed.
func (r *Replica) Crashed() bool {
	var crashed bool
	r.do(func(s *replicaState) { crashed = s.crashed })
	return crashed
}

// crashesOn reports, after CrashDelay, whether a request crashes the replica.
func (r *Replica) crashesOn(req *http.Request) bool {
	var rule CrashRule
	r.do(func(s *replicaState) { rule = s.crash })
	if rule == nil || !rule(req) {
		return false
	}
	time.Sleep(CrashDelay)
	return true
}

// track records an open connection. It reports false if the replica has crashed.
func (r *Replica) track(conn net.Conn) bool {
	tracked := false
	r.do(func(s *replicaState) {
		if s.crashed {
			_ = conn.Close()
			return
		}
		s.conns[conn], tracked = true, true
	})
	return tracked
}

func (r *Replica) untrack(conn net.Conn) {
	_ = conn.Close()
	r.do(func(s *replicaState) { delete(s.conns, conn) })
}
