package userplatform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Fault is how a replica misbehaves.
type Fault uint8

// Faults of a replica.
const (
	// FaultNone answers as the protocol says.
	FaultNone Fault = iota
	// FaultFail answers with status 500.
	FaultFail
	// FaultFull rejects without running.
	FaultFull
	// FaultReset runs the request and resets the channel instead of answering.
	FaultReset
	// FaultBreak breaks a stream off in the middle of its third event.
	FaultBreak
	// FaultStale sends a late answer to another request before its own.
	FaultStale
	// FaultExtra sends another answer after its own.
	FaultExtra
	// FaultUnsigned answers without a signature.
	FaultUnsigned
	// FaultMute reads the request and never answers.
	FaultMute
)

// Run is a request that a replica began to run.
type Run struct {
	Method, Target, Host string
	Header               http.Header
	Body                 string
}

type replicaState struct {
	fault Fault
	runs  []Run
	left  int
}

// Replica is one back end. It serves streams on paths that contain "stream"
// and whole answers elsewhere. One task owns its state.
type Replica struct {
	ID      string
	Address string
	// Events is the number of events of a stream, Pause the time between two.
	Events int
	Pause  time.Duration
	// Work is the time of a whole answer.
	Work     time.Duration
	commands chan func(*replicaState)
}

// StartReplica serves a replica on a listener until ctx ends.
func StartReplica(ctx context.Context, id string, listener net.Listener) *Replica {
	r := &Replica{
		ID: id, Address: listener.Addr().String(), Events: 6, Pause: 5 * time.Millisecond, Work: time.Millisecond,
		commands: make(chan func(*replicaState), storeMailbox),
	}
	go r.run(ctx)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

func (r *Replica) run(ctx context.Context) {
	state := &replicaState{}
	for {
		select {
		case command := <-r.commands:
			command(state)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Replica) do(command func(*replicaState)) {
	done := make(chan struct{})
	r.commands <- func(s *replicaState) { command(s); close(done) }
	<-done
}

// SetFault changes how the replica misbehaves.
func (r *Replica) SetFault(f Fault) { r.do(func(s *replicaState) { s.fault = f }) }

// Runs returns the requests that the replica began to run.
func (r *Replica) Runs() []Run {
	var runs []Run
	r.do(func(s *replicaState) { runs = append(runs, s.runs...) })
	return runs
}

// Abandoned returns the number of streams whose caller left before their end.
func (r *Replica) Abandoned() int {
	var left int
	r.do(func(s *replicaState) { left = s.left })
	return left
}

// Entry returns the replica's record in the list of replicas.
func (r *Replica) Entry(service, zone, state string, sequence int) []byte {
	return r.EntryAt(r.Address, service, zone, state, sequence)
}

// EntryAt is Entry for a replica that is reached at another address, such as
// that of a proxy.
func (r *Replica) EntryAt(address, service, zone, state string, sequence int) []byte {
	return fmt.Appendf(nil, `{"service":%q,"addr":%q,"zone":%q,"version":"v1","slots":8,"state":%q,"cold-left-ms":0,"seq":%d,"born":1}`,
		service, address, zone, state, sequence)
}

func (r *Replica) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil || !r.answer(conn, req, string(body)) {
			return
		}
	}
}

// answer serves one request and reports whether the channel is kept.
func (r *Replica) answer(conn net.Conn, req *http.Request, body string) bool {
	attempt := req.Header.Get("Attempt-Id")
	head := "Attempt-Id: " + attempt + "\r\nKeep-Alive: timeout=10\r\n"
	if expected := req.Header.Get("Expect-Replica"); expected != "" && expected != r.ID {
		return whole(conn, "421 Misdirected Request", head+"Replica-Id: "+r.ID+"\r\n", "")
	}
	var fault Fault
	r.do(func(s *replicaState) {
		fault = s.fault
		if fault != FaultFull {
			s.runs = append(s.runs, Run{req.Method, req.RequestURI, req.Host, req.Header, body})
		}
	})
	signed := head + "Replica-Signature: " + r.ID + "\r\n"
	switch fault {
	case FaultFull:
		return whole(conn, "503 Service Unavailable", head+"Not-Executed: 1\r\n", "")
	case FaultFail:
		return whole(conn, "500 Internal Server Error", signed, "failed")
	case FaultReset:
		reset(conn)
		return false
	case FaultMute:
		time.Sleep(time.Minute)
		return false
	case FaultStale:
		whole(conn, "200 OK", "Attempt-Id: other\r\nReplica-Signature: x\r\n", "the answer to another request")
	case FaultUnsigned:
		return whole(conn, "200 OK", head, "unsigned")
	}
	if strings.Contains(req.URL.Path, "stream") {
		return r.stream(conn, req, signed, fault)
	}
	time.Sleep(r.Work)
	kept := whole(conn, "200 OK", signed, "answer of "+attempt)
	if fault == FaultExtra {
		whole(conn, "200 OK", signed, "a second answer")
	}
	return kept
}

func (r *Replica) stream(conn net.Conn, req *http.Request, head string, fault Fault) bool {
	first := 1
	if id, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = id + 1
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	for id := first; id <= r.Events; id++ {
		event := Event(id)
		if fault == FaultBreak && id == 3 {
			_, _ = fmt.Fprintf(conn, "%x\r\n%s", len(event), event[:len(event)/2])
			time.Sleep(r.Pause)
			reset(conn)
			return false
		}
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			r.do(func(s *replicaState) { s.left++ })
			return false
		}
		time.Sleep(r.Pause)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err == nil
}

// Event returns the event of a stream with an id.
func Event(id int) string { return fmt.Sprintf("id: %d\ndata: piece-%d\n\n", id, id) }

func whole(conn net.Conn, status, head, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
	return err == nil
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
