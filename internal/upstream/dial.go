package upstream

import (
	"context"
	"errors"
	"net"
	"syscall"

	"github.com/cornelhold/cornelhold/platform"
)

func dial(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, Control: platform.SetUserTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	return conn, Error.Wrap(err)
}

// isRefused reports whether nothing listens at the address of a failed dial.
func isRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// RefusesConnections opens a connection to an address and closes it. It reports whether
// nothing listens there; a connection that could not be opened in time proves nothing.
func RefusesConnections(ctx context.Context, address string) bool {
	conn, err := dial(ctx, address)
	if err != nil {
		return isRefused(err)
	}
	_ = conn.Close()
	return false
}
