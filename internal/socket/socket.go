// Package socket inspects TCP connections without consuming received bytes.
package socket

import (
	"net"

	"golang.org/x/sys/unix"
)

// State is the state of a connection's receive queue.
type State uint8

// States of a connection.
const (
	// Open: the connection is open and has no unread bytes.
	Open State = iota
	// Unread: the connection has unread bytes; the peer may have closed it.
	Unread
	// Closed: the peer closed or reset the connection, and all bytes are read.
	Closed
)

// Peek returns the state of a connection. Connections other than TCP count as
// open.
func Peek(conn net.Conn) State {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return Open
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		n, _, readErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case readErr == unix.EAGAIN:
			state = Open
		case readErr == nil && n > 0:
			state = Unread
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
