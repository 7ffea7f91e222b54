package userplatform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// importTarget is the call with which one stand-in hands the copy of a run to another.
	importTarget = "/standin-import"
	// importTimeout bounds that call.
	importTimeout = 500 * time.Millisecond
)

// MoveFault selects how a replica deviates when runs are moved from it or to it.
type MoveFault uint8

// Faults of moves.
const (
	// MoveFaultNone follows the protocol.
	MoveFaultNone MoveFault = iota
	// MoveFaultNoRoom takes no copies of other replicas.
	MoveFaultNoRoom
	// MoveFaultNoRoomForRest takes the first copy of a run and none after that.
	MoveFaultNoRoomForRest
	// MoveFaultLostAnswer stops and copies a run and closes the connection without an answer.
	MoveFaultLostAnswer
	// MoveFaultRefusedUse takes copies and loses them before their use.
	MoveFaultRefusedUse
)

// liveRun is a stream that a replica runs, or one that it has stopped and whose memory it keeps.
type liveRun struct {
	attempt string
	handle  string
	created int
	to      string
	copying bool
	// stop is set to end the run, stopped is closed once it has ended.
	stop    bool
	stopped chan struct{}
}

// moveState is what a replica knows of moved runs.
type moveState struct {
	fault    MoveFault
	runs     map[string]*liveRun
	kept     map[string]*liveRun
	imported map[string]bool
	handles  int
	// leavesAt is when the replica is gone, zero if it is not taken back. reports counts the calls for
	// its report, of which hiddenReports do not state it.
	leavesAt               time.Time
	reports, hiddenReports int
}

func newMoveState() moveState {
	return moveState{runs: make(map[string]*liveRun), kept: make(map[string]*liveRun), imported: make(map[string]bool)}
}

// SetMoveFault selects the fault of the moves that follow.
func (r *Replica) SetMoveFault(f MoveFault) { r.do(func(s *replicaState) { s.moves.fault = f }) }

// SetLeavesAt makes the replica state in its reports when it is gone, except in the first ones.
func (r *Replica) SetLeavesAt(at time.Time, hidden int) {
	r.do(func(s *replicaState) { s.moves.leavesAt, s.moves.hiddenReports = at, hidden })
}

// Reports returns the number of calls for the replica's report.
func (r *Replica) Reports() int {
	var reports int
	r.do(func(s *replicaState) { reports = s.moves.reports })
	return reports
}

// report answers the call for the replica's report, with values of reportAge ago.
func (r *Replica) report(conn net.Conn) bool {
	const reportAge = 100 * time.Millisecond
	var notice string
	r.do(func(s *replicaState) {
		s.moves.reports++
		if !s.moves.leavesAt.IsZero() && s.moves.reports > s.moves.hiddenReports {
			notice = fmt.Sprintf(`,"leaves_ms":%d`, (time.Until(s.moves.leavesAt) + reportAge).Milliseconds())
		}
	})
	return writeResponse(conn, "200 OK", "Content-Type: application/json\r\n", `{"phase":"mixed","queued":0,"state":"draining"`+notice+`,"runs":[]}`)
}

// UnusedCopies returns the number of copies from other replicas that the replica holds.
func (r *Replica) UnusedCopies() int {
	var unused int
	r.do(func(s *replicaState) { unused = len(s.moves.imported) })
	return unused
}

// IsContinuation reports whether the run continues a moved one.
func (r Run) IsContinuation() bool { return r.Header.Get("Kv-From") != "" }

// beginRun registers a stream that begins. endRun ends it; both are called by the connection's
// goroutine.
func (r *Replica) beginRun(attempt string, created int) {
	r.do(func(s *replicaState) {
		s.moves.handles++
		s.moves.runs[attempt] = &liveRun{
			attempt: attempt, handle: fmt.Sprint(r.ID, "-", s.moves.handles), created: created, stopped: make(chan struct{}),
		}
	})
}

// generate reports whether the run goes on, and counts one more event of it.
func (r *Replica) generate(attempt string, id int) bool {
	goesOn := true
	r.do(func(s *replicaState) {
		run := s.moves.runs[attempt]
		if run.stop {
			goesOn = false
			return
		}
		run.created = id
	})
	return goesOn
}

func (r *Replica) endRun(attempt string) {
	r.do(func(s *replicaState) {
		run := s.moves.runs[attempt]
		delete(s.moves.runs, attempt)
		if run.stop {
			s.moves.kept[run.handle] = run
		}
		close(run.stopped)
	})
}

// serveMoves answers the calls that concern moves, and requests that name a copy which cannot be
// used. It reports false for all others.
func (r *Replica) serveMoves(conn net.Conn, req *http.Request, body string) (served, keepOpen bool) {
	switch {
	case req.URL.Path == "/kv-move":
		return true, r.move(conn, body)
	case strings.HasPrefix(req.URL.Path, "/kv-handle/"):
		return true, r.release(conn, strings.TrimPrefix(req.URL.Path, "/kv-handle/"))
	case req.URL.Path == "/report":
		return true, r.report(conn)
	case req.URL.Path == importTarget:
		return true, r.importCopy(conn, req.Method, body)
	}
	if from := req.Header.Get("Kv-From"); from != "" && !r.useCopy(from) {
		return true, writeResponse(conn, "503 Service Unavailable", "Attempt-Id: "+req.Header.Get("Attempt-Id")+"\r\n", "")
	}
	return false, false
}

func (r *Replica) move(conn net.Conn, body string) bool {
	var call struct {
		ID   string `json:"id"`
		To   string `json:"to"`
		Last bool   `json:"last"`
	}
	if err := json.Unmarshal([]byte(body), &call); err != nil {
		return writeResponse(conn, "400 Bad Request", "", "")
	}
	var run *liveRun
	status, fault := "404 Not Found", MoveFaultNone
	r.do(func(s *replicaState) {
		fault = s.moves.fault
		if run = s.moves.find(call.ID); run == nil {
			return
		}
		if status = "409 Conflict"; run.copying {
			run = nil
			return
		}
		run.copying, run.to = true, call.To
		run.stop = run.stop || call.Last
	})
	if run == nil {
		return writeResponse(conn, status, "", "")
	}
	if call.Last {
		<-run.stopped
	}
	time.Sleep(r.CopyTime)
	copied := sendImport(http.MethodPost, call.To, run.handle, call.Last)
	var created int
	r.do(func(*replicaState) { run.copying, created = false, run.created })
	if call.Last && fault == MoveFaultLostAnswer {
		return false
	}
	answer := fmt.Sprintf(`{"kv-handle":%q,"created":%d}`, run.handle, created)
	switch {
	case copied:
		return writeResponse(conn, "200 OK", "", answer)
	case call.Last:
		return writeResponse(conn, "503 Service Unavailable", "", answer)
	default:
		return writeResponse(conn, "503 Service Unavailable", "", "")
	}
}

// find returns the run of an attempt, also one that has stopped, or nil.
func (m *moveState) find(attempt string) *liveRun {
	if run := m.runs[attempt]; run != nil {
		return run
	}
	for _, run := range m.kept {
		if run.attempt == attempt {
			return run
		}
	}
	return nil
}

// sendImport passes a copy to another replica, or removes it there.
func sendImport(method, to, handle string, last bool) bool {
	client := http.Client{Timeout: importTimeout}
	body, _ := json.Marshal(map[string]any{"handle": handle, "last": last})
	req, err := http.NewRequest(method, "http://"+to+importTarget, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Close = true
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *Replica) importCopy(conn net.Conn, method, body string) bool {
	var call struct {
		Handle string `json:"handle"`
		Last   bool   `json:"last"`
	}
	_ = json.Unmarshal([]byte(body), &call)
	status := "200 OK"
	r.do(func(s *replicaState) {
		switch {
		case method == http.MethodDelete:
			delete(s.moves.imported, call.Handle)
		case s.moves.fault == MoveFaultNoRoom, s.moves.fault == MoveFaultNoRoomForRest && call.Last:
			status = "503 Service Unavailable"
		default:
			s.moves.imported[call.Handle] = true
		}
	})
	return writeResponse(conn, status, "", "")
}

// release frees a copy at both ends.
func (r *Replica) release(conn net.Conn, handle string) bool {
	var to string
	r.do(func(s *replicaState) {
		for _, runs := range []map[string]*liveRun{s.moves.runs, s.moves.kept} {
			for _, run := range runs {
				if run.handle == handle {
					to = run.to
				}
			}
		}
		delete(s.moves.kept, handle)
		delete(s.moves.imported, handle)
	})
	if to != "" {
		sendImport(http.MethodDelete, to, handle, false)
	}
	return writeResponse(conn, "200 OK", "", "")
}

// useCopy reports whether the copy that a request names may be used; it is then used up.
func (r *Replica) useCopy(from string) bool {
	i := strings.LastIndexByte(from, '/')
	if i < 0 {
		return false
	}
	source, handle := from[:i], from[i+1:]
	usable := false
	r.do(func(s *replicaState) {
		if s.moves.fault == MoveFaultRefusedUse {
			delete(s.moves.imported, handle)
			return
		}
		if source == r.Address {
			usable = s.moves.kept[handle] != nil
			delete(s.moves.kept, handle)
			return
		}
		usable = s.moves.imported[handle]
		delete(s.moves.imported, handle)
	})
	return usable
}
