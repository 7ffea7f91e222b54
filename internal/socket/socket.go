// Package socket tells what is known of a TCP channel without reading from it.
package socket

import (
	"net"

	"golang.org/x/sys/unix"
)

// State is what the receive queue of a channel holds.
type State uint8

// States of a channel.
const (
	// Open channels hold no unread bytes.
	Open State = iota
	// Unread channels hold bytes that were not read yet.
	Unread
	// Closed channels were closed or reset by the peer, and all bytes are read.
	Closed
)

// Peek returns the state of a channel. Channels that are not TCP count as open.
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
