package socket

import (
	"errors"
	"io"
	"math"
)

// MaxResponseHeadBytes bounds the status line and the headers of a response of any
// system that a process calls.
const MaxResponseHeadBytes = 64 << 10

// ErrLimitExceeded is returned by a read beyond the limit of a LimitedReader.
var ErrLimitExceeded = errors.New("the sender exceeded the limit of bytes; the connection must be closed")

// LimitedReader bounds the bytes that are read from a connection. Unlike
// io.LimitedReader it reports an error at the limit instead of the end of the data, and
// its limit can be changed for each part of a message.
type LimitedReader struct {
	source    io.Reader
	remaining int64
}

// NewLimitedReader returns a reader of source without a limit.
func NewLimitedReader(source io.Reader) *LimitedReader {
	return &LimitedReader{source: source, remaining: math.MaxInt64}
}

// SetLimit sets the number of bytes that may still be read.
func (l *LimitedReader) SetLimit(bytes int64) { l.remaining = bytes }

// Extend adds to the number of bytes that may still be read.
func (l *LimitedReader) Extend(bytes int64) { l.remaining += bytes }

// ClearLimit removes the limit.
func (l *LimitedReader) ClearLimit() { l.remaining = math.MaxInt64 }

// Read implements io.Reader.
func (l *LimitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 {
		return 0, ErrLimitExceeded
	}
	if int64(len(p)) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.source.Read(p)
	l.remaining -= int64(n)
	return n, err
}
