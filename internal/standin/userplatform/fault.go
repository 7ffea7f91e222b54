package userplatform

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Fault selects how a replica deviates from the protocol.
type Fault uint8

// Faults of a replica.
const (
	// FaultNone follows the protocol.
	FaultNone Fault = iota
	// FaultServerError responds with status 500.
	FaultServerError
	// FaultInvalidStatus responds with status 000.
	FaultInvalidStatus
	// FaultReject responds with status 503 and Not-Executed, without executing the
	// request.
	FaultReject
	// FaultReset executes the request and resets the connection instead of
	// responding.
	FaultReset
	// FaultTruncateStream resets the connection in the middle of a stream's third
	// event.
	FaultTruncateStream
	// FaultUnframedStream sends a stream with neither a length nor chunks, which ends in the
	// middle of its third event with the connection.
	FaultUnframedStream
	// FaultUnframedHead ends such a stream behind its head.
	FaultUnframedHead
	// FaultResetInUpload responds without a length before it has read the request's body, and
	// resets the connection after a part of the response.
	FaultResetInUpload
	// FaultStaleResponse sends a response to another request before its own.
	FaultStaleResponse
	// FaultStaleRefusal sends refusals before its own response: one of another request and
	// one without an id.
	FaultStaleRefusal
	// FaultExtraResponse sends a second response after its own.
	FaultExtraResponse
	// FaultUnsigned responds without a signature.
	FaultUnsigned
	// FaultNoResponse reads the request and never responds.
	FaultNoResponse
	// FaultEndlessHead sends a header line without end.
	FaultEndlessHead
	// FaultEndlessBody sends a body without end and without an event.
	FaultEndlessBody
)

// SetFault selects the fault of the requests that follow.
func (r *Replica) SetFault(f Fault) { r.do(func(s *replicaState) { s.fault = f }) }

// resetInUpload applies FaultResetInUpload, if it is selected, and reports whether it did.
func (r *Replica) resetInUpload(conn net.Conn, req *http.Request) bool {
	var selected bool
	r.do(func(s *replicaState) { selected = s.fault == FaultResetInUpload })
	if !selected {
		return false
	}
	contentType, part := "text/plain", "answer of"
	if isStream(req) {
		contentType, part = "text/event-stream", Event(1)
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nReplica-Signature: %s\r\nContent-Type: %s\r\n\r\n%s",
		req.Header.Get("Attempt-Id"), r.ID, contentType, part)
	time.Sleep(r.EventInterval)
	resetConn(conn)
	return true
}

// writeForever writes start and then bytes until the other side closes the connection.
func writeForever(conn net.Conn, start string) bool {
	_, err := io.WriteString(conn, start)
	filler := bytes.Repeat([]byte("a"), fillerBytes)
	for err == nil {
		_, err = conn.Write(filler)
	}
	return false
}

// fillerBytes is the number of bytes that an endless response writes at once.
const fillerBytes = 32 << 10

func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
