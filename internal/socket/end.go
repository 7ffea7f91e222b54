package socket

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// confirmInterval is the time between two looks at a connection whose peer has not confirmed all
// bytes yet.
const confirmInterval = 5 * time.Millisecond

// ErrReset is returned for a connection that was reset or timed out, although its reader saw an
// ordinary end.
var ErrReset = errors.New("the connection was reset; what was received may be incomplete")

// ConfirmEnd checks, after a read has returned io.EOF, that the peer has closed the connection in
// good order: it has confirmed all bytes sent to it, and did not reset the connection. The kernel
// reports a reset to one call only, which may be a write; a later read returns io.EOF. ConfirmEnd
// waits until the bytes are confirmed, the connection is reset or ctx ends. Connections other than
// TCP pass, and so do those of a kernel that does not tell their state.
func ConfirmEnd(ctx context.Context, conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	timer := time.NewTimer(confirmInterval)
	defer timer.Stop()
	for {
		confirmed, err := endConfirmed(tcp)
		if confirmed || err != nil {
			return err
		}
		select {
		case <-timer.C:
			timer.Reset(confirmInterval)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// endConfirmed reports whether the peer has confirmed all bytes sent on a connection. It fails if
// the connection was reset, timed out or was closed on this side.
func endConfirmed(conn *net.TCPConn) (bool, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	switch {
	case err != nil:
		return false, err
	case infoErr != nil:
		return true, nil
	case info.State == unix.BPF_TCP_CLOSE:
		return false, ErrReset
	}
	return info.Unacked == 0 && info.Notsent_bytes == 0, nil
}
