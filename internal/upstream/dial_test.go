package upstream

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestRefusesConnections guards against a live endpoint that is taken for a crashed one,
// and the reverse.
func TestRefusesConnections(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.True(!RefusesConnections(t.Context(), l.Addr().String()))
	is.NoErr(l.Close())
	is.True(RefusesConnections(t.Context(), l.Addr().String()))
}
