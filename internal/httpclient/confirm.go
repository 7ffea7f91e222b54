package httpclient

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"github.com/cornelhold/cornelhold/internal/socket"
)

// exchange is a request and its response on a connection.
type exchange struct {
	// written is closed once writeErr is the result of the write of the request.
	written     chan struct{}
	writtenOnce sync.Once
	writeErr    error
	// answered is set once a byte of the response has arrived.
	answered atomic.Bool
}

// requestWritten records the result of the write. A late result of an earlier try may come in too.
func (x *exchange) requestWritten(err error) {
	x.writtenOnce.Do(func() {
		x.writeErr = err
		close(x.written)
	})
}

// confirmedConn is a connection on which a response ends with the connection only if the whole
// request was written and the peer closed the connection in good order.
type confirmedConn struct {
	net.Conn
	current   atomic.Pointer[exchange]
	closed    chan struct{}
	closeOnce sync.Once
}

func newConfirmedConn(conn net.Conn) *confirmedConn {
	return &confirmedConn{Conn: conn, closed: make(chan struct{})}
}

// Read implements io.Reader.
func (c *confirmedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	x := c.current.Load()
	if x == nil {
		return n, err
	}
	if n > 0 {
		x.answered.Store(true)
	}
	if errors.Is(err, io.EOF) && x.answered.Load() {
		if confirmErr := c.confirmEnd(x); confirmErr != nil {
			err = confirmErr
		}
	}
	return n, err
}

func (c *confirmedConn) confirmEnd(x *exchange) error {
	select {
	case <-x.written:
	case <-c.closed:
		return net.ErrClosed
	}
	if x.writeErr != nil {
		return Error.New("the request could not be written to its end, so that the response may be cut: %w", x.writeErr)
	}
	// The wait ends at the latest when the transport closes the connection.
	return socket.ConfirmEnd(context.Background(), c.Conn)
}

// Close implements io.Closer.
func (c *confirmedConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
