package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/member"
	"github.com/cornelhold/cornelhold/internal/task"
)

// TestMembershipOverUDP guards the UDP transport: an instance that has only a
// seed address joins the seed, the seed receives its ticket number, the instance
// sees the seed leave, and all goroutines stop.
func TestMembershipOverUDP(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	group := task.NewGroup(ctx)
	first := member.Identity{Instance: "a", DataCentre: "dc", Address: freeUDPAddress(t)}
	second := member.Identity{Instance: "b", DataCentre: "dc", Address: freeUDPAddress(t)}
	a, announced, _ := startMembership(group, first)
	b, _, nodes := startMembership(group, second, first)
	b.SetNumber(7)
	is.Equal(<-announced, config.PeerNumber{Peer: "b", Number: 7})
	a.Leave(ctx)
	for list := range nodes {
		if len(list) == 2 && list[1].Leaving {
			break
		}
	}
	is.Equal(len(b.options.Directory.Members()), 2)
	cancel()
	is.NoErr(group.Wait())
}

func startMembership(group *task.Group, self member.Identity, peers ...member.Identity) (*Membership, chan config.PeerNumber, chan []config.Node) {
	announced, nodes := make(chan config.PeerNumber, 100), make(chan []config.Node, 100)
	m := NewMembership(MembershipOptions{
		Machine: member.New(member.Options{Self: self, Peers: peers, Incarnation: 1, Seed: 1}),
		Listen:  self.Address, Directory: NewDirectory(nil), Clock: task.NewClock(),
		Logger: &log.Logger{Handler: discard.New()}, Metrics: prometheus.NewRegistry(),
		OnNodes:  func(_ context.Context, list []config.Node) { nodes <- list },
		OnNumber: func(msg config.PeerNumber) { announced <- msg },
	})
	group.Go("membership", m.Run)
	return m, announced, nodes
}

func freeUDPAddress(t *testing.T) string {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().String()
}
