package socket

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/procs"
)

// TestPeek guards against a connection that counts as open after its peer closed
// it, or as closed while bytes of the peer are unread.
func TestPeek(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", procs.FreeAddress())
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	peer, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	conn, err := l.Accept()
	is.NoErr(err)
	is.Equal(Peek(conn), Open)
	eventually := func(want State) {
		t.Helper()
		is.NoErr(procs.WaitFor(t.Context(), 2*time.Second, "the expected state of the connection", func() bool { return Peek(conn) == want }))
	}
	_, err = peer.Write([]byte("x"))
	is.NoErr(err)
	eventually(Unread)
	is.NoErr(peer.Close())
	is.Equal(Peek(conn), Unread) // the unread byte takes precedence over the close
	_, err = conn.Read(make([]byte, 1))
	is.NoErr(err)
	eventually(Closed)
}
