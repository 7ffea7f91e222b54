package upstream

import (
	"net/http"
	"time"

	"github.com/cornelhold/cornelhold/platform"
)

// Event is an event of an exchange. The last event is exactly one of
// FullResponse, StreamEnd and Failed.
type Event interface{ event() }

// RequestWritten reports that the request was handed to the connection: the head
// and the body, or only the head if a large body is still being written. It is the
// first event of an exchange, unless no connection could be opened.
type RequestWritten struct {
	// Connect is the time until a connection was available, Write the time that
	// the write took after that.
	Connect, Write time.Duration
	// Reused is set if the connection had served other requests before.
	Reused bool
}

// StreamHead is the head of a streamed response. StreamData events follow.
type StreamHead struct {
	Status  int
	Header  http.Header
	Decoded platform.EndpointResponse
}

// StreamData is a part of a stream's body.
type StreamData struct{ Bytes []byte }

// StreamEnd reports that the stream was received completely.
type StreamEnd struct {
	// Delimited is set if the response stated where its body ends. Otherwise only the end
	// of the connection did.
	Delimited bool
}

// FullResponse is a complete response that is not a stream.
type FullResponse struct {
	Status  int
	Header  http.Header
	Decoded platform.EndpointResponse
	Body    []byte
}

// Failed ends an exchange without a complete response.
type Failed struct {
	Cause error
	// Sent is set if a byte of the request may have reached the endpoint.
	Sent bool
	// DialFailed is set if no connection could be opened, Refused if that is because
	// nothing listens at the address.
	DialFailed, Refused bool
	// NotSentInTime is set if the request was not written because SendBy had passed.
	NotSentInTime bool
	// Reset is set if the endpoint closed or reset the connection, or violated
	// the protocol.
	Reset bool
	// Reused is set if the connection had served other requests before.
	Reused bool
}

func (RequestWritten) event() {}
func (StreamHead) event()     {}
func (StreamData) event()     {}
func (StreamEnd) event()      {}
func (FullResponse) event()   {}
func (Failed) event()         {}

// IsLast reports whether an event ends its exchange.
func IsLast(e Event) bool {
	switch e.(type) {
	case FullResponse, StreamEnd, Failed:
		return true
	}
	return false
}
