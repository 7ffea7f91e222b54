package userplatform

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// Run is a request that a replica started to execute.
type Run struct {
	Method, Target, Host string
	Header               http.Header
	Body                 string
}

type replicaState struct {
	fault            Fault
	crash            CrashRule
	onCrash          func()
	crashed          bool
	leaving          bool
	pause            string
	rejectedInPause  int
	room             roomState
	conns            map[net.Conn]bool
	runs             []Run
	abandonedStreams int
	moves            moveState
}

// Replica is one back end. It responds with an event stream on paths that contain
// "stream" and with a fixed-length body elsewhere. One task owns its state.
type Replica struct {
	ID      string
	Address string
	// EventCount is the number of events of a stream, EventInterval the time
	// between two.
	EventCount    int
	EventInterval time.Duration
	// ProcessingTime is the delay before a fixed-length response.
	ProcessingTime time.Duration
	// Slots and Queue bound the requests with fixed-length responses that run and wait; more are
	// rejected. There is no bound if Slots is 0.
	Slots, Queue int
	// Unframed streams have neither a length nor chunks; only the end of the connection tells their
	// end.
	Unframed bool
	// CopyTime is the time to copy a run to another replica.
	CopyTime time.Duration
	// Version is the version of its software in the replica list.
	Version  string
	listener net.Listener
	commands chan func(*replicaState)
	// ended is closed once the replica's task has returned.
	ended chan struct{}
}

// StartReplica serves a replica on a listener until ctx ends.
func StartReplica(ctx context.Context, id string, listener net.Listener) *Replica {
	r := &Replica{
		ID: id, Address: listener.Addr().String(), EventCount: 6, EventInterval: 5 * time.Millisecond, ProcessingTime: time.Millisecond, CopyTime: 2 * time.Millisecond, Version: "v1",
		listener: listener, commands: make(chan func(*replicaState), commandBufferSize), ended: make(chan struct{}),
	}
	go r.run(ctx)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if r.track(conn) {
				go r.serve(conn)
			}
		}
	}()
	return r
}

func (r *Replica) run(ctx context.Context) {
	defer close(r.ended)
	state := &replicaState{conns: make(map[net.Conn]bool), moves: newMoveState()}
	for {
		select {
		case command := <-r.commands:
			command(state)
		case <-ctx.Done():
			return
		}
	}
}

// do runs a function in the replica's task and waits until it has returned. It has no
// effect once the task has ended.
func (r *Replica) do(command func(*replicaState)) {
	done := make(chan struct{})
	select {
	case r.commands <- func(s *replicaState) { command(s); close(done) }:
	case <-r.ended:
		return
	}
	select {
	case <-done:
	case <-r.ended:
	}
}

// SetPause makes the replica reject all requests and ask for a pause of that many seconds. An
// empty text ends that.
func (r *Replica) SetPause(seconds string) { r.do(func(s *replicaState) { s.pause = seconds }) }

// RejectedInPause returns the number of requests that the replica rejected with a pause.
func (r *Replica) RejectedInPause() int {
	var rejected int
	r.do(func(s *replicaState) { rejected = s.rejectedInPause })
	return rejected
}

// rejectInPause returns the pause to ask for, or "" if the request is to be served.
func (r *Replica) rejectInPause() string {
	var pause string
	r.do(func(s *replicaState) {
		if pause = s.pause; pause != "" {
			s.rejectedInPause++
		}
	})
	return pause
}

// SetLeaving makes the replica state in all its responses that it is about to leave.
func (r *Replica) SetLeaving() { r.do(func(s *replicaState) { s.leaving = true }) }

func (r *Replica) isLeaving() bool {
	var leaving bool
	r.do(func(s *replicaState) { leaving = s.leaving })
	return leaving
}

// Runs returns the requests that the replica started to execute.
func (r *Replica) Runs() []Run {
	var runs []Run
	r.do(func(s *replicaState) { runs = append(runs, s.runs...) })
	return runs
}

// AbandonedStreams returns the number of streams whose caller closed the
// connection before their end.
func (r *Replica) AbandonedStreams() int {
	var streams int
	r.do(func(s *replicaState) { streams = s.abandonedStreams })
	return streams
}

// Entry returns the replica's record for the replica list.
func (r *Replica) Entry(service, zone, state string, sequence int) []byte {
	return r.EntryAt(r.Address, service, zone, state, sequence)
}

// DrainingEntry is the record of a preemptible replica that drains.
func (r *Replica) DrainingEntry(service, zone string, sequence int) []byte {
	return fmt.Appendf(nil, `{"service":%q,"addr":%q,"zone":%q,"version":"v1","slots":8,"state":"draining","cold-left-ms":0,"preemptible":true,"seq":%d,"born":1}`,
		service, r.Address, zone, sequence)
}

// EntryAt is Entry with another address for the replica, such as that of a proxy.
func (r *Replica) EntryAt(address, service, zone, state string, sequence int) []byte {
	return fmt.Appendf(nil, `{"service":%q,"addr":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"cold-left-ms":0,"seq":%d,"born":1}`,
		service, address, zone, r.Version, cmp.Or(r.Slots, defaultSlots), state, sequence)
}

func (r *Replica) serve(conn net.Conn) {
	defer r.untrack(conn)
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if r.resetInUpload(conn, req) {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		served, keepOpen := r.serveMoves(conn, req, string(body))
		if !served {
			keepOpen = r.respondInRoom(conn, req, string(body))
		}
		if !keepOpen {
			return
		}
	}
}

// respond serves one request and reports whether the connection stays open.
func (r *Replica) respond(conn net.Conn, req *http.Request, body string) bool {
	attempt := req.Header.Get("Attempt-Id")
	head := "Attempt-Id: " + attempt + "\r\nKeep-Alive: timeout=10\r\n"
	if r.isLeaving() {
		head += "Server-Leaving: 1\r\n"
	}
	if expected := req.Header.Get("Expect-Replica"); expected != "" && expected != r.ID {
		return writeResponse(conn, "421 Misdirected Request", head+"Replica-Id: "+r.ID+"\r\n", "")
	}
	if pause := r.rejectInPause(); pause != "" {
		return writeResponse(conn, "503 Service Unavailable", head+"Not-Executed: 1\r\nRetry-After: "+pause+"\r\n", "")
	}
	var fault Fault
	r.do(func(s *replicaState) {
		fault = s.fault
		if fault != FaultReject {
			s.runs = append(s.runs, Run{req.Method, req.RequestURI, req.Host, req.Header, body})
		}
	})
	if r.crashesOn(req) {
		r.Crash()
		return false
	}
	signed := head + "Replica-Signature: " + r.ID + "\r\n"
	switch fault {
	case FaultReject:
		return writeResponse(conn, "503 Service Unavailable", head+"Not-Executed: 1\r\n", "")
	case FaultServerError:
		return writeResponse(conn, "500 Internal Server Error", signed, "failed")
	case FaultInvalidStatus:
		return writeResponse(conn, "000 Failed", signed, "failed")
	case FaultReset:
		resetConn(conn)
		return false
	case FaultNoResponse:
		time.Sleep(time.Minute)
		return false
	case FaultStaleResponse:
		writeResponse(conn, "200 OK", "Attempt-Id: other\r\nReplica-Signature: x\r\n", "the answer to another request")
	case FaultStaleRefusal:
		writeResponse(conn, "503 Service Unavailable", "Attempt-Id: other\r\nNot-Executed: 1\r\n", "")
		writeResponse(conn, "503 Service Unavailable", "Not-Executed: 1\r\n", "")
	case FaultUnsigned:
		return writeResponse(conn, "200 OK", head, "unsigned")
	case FaultEndlessHead:
		return writeForever(conn, "HTTP/1.1 200 OK\r\n"+signed+"X-Endless: ")
	case FaultEndlessBody:
		return writeForever(conn, "HTTP/1.1 200 OK\r\n"+signed+"Content-Type: text/event-stream\r\n\r\n")
	}
	if isStream(req) {
		return r.streamEvents(conn, req, signed, fault)
	}
	time.Sleep(r.ProcessingTime)
	keepOpen := writeResponse(conn, "200 OK", signed, "answer of "+attempt)
	if fault == FaultExtraResponse {
		writeResponse(conn, "200 OK", signed, "a second answer")
	}
	return keepOpen
}

func (r *Replica) streamEvents(conn net.Conn, req *http.Request, head string, fault Fault) bool {
	first := 1
	if id, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = id + 1
	}
	if fault == FaultUnframedStream || fault == FaultUnframedHead {
		event := Event(3)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/event-stream\r\n\r\n")
		if fault == FaultUnframedHead {
			return false
		}
		for id := first; id < 3; id++ {
			_, _ = io.WriteString(conn, Event(id))
		}
		_, _ = io.WriteString(conn, event[:len(event)/2])
		return false
	}
	framing, format, end := "Transfer-Encoding: chunked\r\n", "%x\r\n%s\r\n", "0\r\n\r\n"
	if r.Unframed {
		framing, format, end = "", "%[2]s", ""
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/event-stream\r\n"+framing+"\r\n")
	attempt := req.Header.Get("Attempt-Id")
	r.beginRun(attempt, first-1)
	defer r.endRun(attempt)
	for id := first; id <= r.EventCount; id++ {
		if !r.generate(attempt, id) {
			return false
		}
		event := Event(id)
		if fault == FaultTruncateStream && id == 3 {
			_, _ = fmt.Fprintf(conn, "%x\r\n%s", len(event), event[:len(event)/2])
			time.Sleep(r.EventInterval)
			resetConn(conn)
			return false
		}
		if _, err := fmt.Fprintf(conn, format, len(event), event); err != nil {
			r.do(func(s *replicaState) { s.abandonedStreams++ })
			return false
		}
		time.Sleep(r.EventInterval)
	}
	_, err := io.WriteString(conn, end)
	return err == nil && !r.Unframed
}

// Event returns the event of a stream that has the given id.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: piece-%d\n\n", id, id) }

func writeResponse(conn net.Conn, status, head, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
	return err == nil
}
