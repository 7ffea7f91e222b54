package peer

import (
	"context"
	"net"
	"net/netip"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/member"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	// membershipMailbox is the number of packets that can wait for the membership
	// task. Further ones are dropped; the protocol tolerates lost datagrams.
	membershipMailbox = 256
	// maxDatagramBytes limits the size of a received datagram.
	maxDatagramBytes = 2 * member.MaxPacketBytes
)

// MembershipOptions configures a membership task.
type MembershipOptions struct {
	Machine *member.Machine
	// Listen is the UDP address to listen on, IP and port.
	Listen    string
	Directory *Directory
	Clock     task.Clock
	Logger    log.Interface
	Metrics   prometheus.Registerer
	// OnNodes is called by the membership task when the list of live members changes.
	OnNodes func(ctx context.Context, nodes []config.Node)
	// OnNumber is called by the membership task when a member announces a higher
	// ticket number.
	OnNumber func(msg config.PeerNumber)
}

// Membership is the task that owns member.Machine and sends its packets over
// UDP. It publishes the live members to the directory.
type Membership struct {
	options MembershipOptions
	mailbox task.Mailbox[any]
	// latestNumber holds the last number set until the task receives it. The
	// follower and membership tasks send to each other, so neither may block on a
	// full queue of the other: that would deadlock both.
	latestNumber chan config.Number
	timer        *task.Timer
	members      *prometheus.GaugeVec
	sent         prometheus.Counter
}

type membersRequest struct{ reply chan []member.Update }

// NewMembership returns a task that has not started.
func NewMembership(o MembershipOptions) *Membership {
	m := &Membership{
		options: o, mailbox: task.NewMailbox[any](membershipMailbox),
		latestNumber: make(chan config.Number, 1), timer: task.NewTimer(),
		members: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "cornelhold_members", Help: "Own instances known to the membership, by state.",
		}, []string{"state"}),
		sent: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "cornelhold_membership_sent_bytes_total", Help: "Bytes of membership datagrams sent, without IP and UDP headers.",
		}),
	}
	o.Metrics.MustRegister(m.members, m.sent)
	return m
}

// Run serves the membership protocol on its socket until ctx ends.
func (m *Membership) Run(ctx context.Context) error {
	conn, err := net.ListenPacket("udp", m.options.Listen)
	if err != nil {
		return Error.New("cannot listen on UDP %s: %w; free the port or change the peer_listen setting", m.options.Listen, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	receiverDone := make(chan struct{})
	go func() {
		defer close(receiverDone)
		m.receive(conn)
	}()
	m.loop(ctx, conn)
	_ = conn.Close()
	<-receiverDone
	return nil
}

// SetNumber announces the active ticket number. It never blocks: a number that
// the task has not received yet is replaced. Only one task may call it.
func (m *Membership) SetNumber(number config.Number) {
	select {
	case <-m.latestNumber:
	default:
	}
	m.latestNumber <- number
}

// Leave announces that this instance is draining.
func (m *Membership) Leave(ctx context.Context) { _ = m.mailbox.Send(ctx, member.Leave{}) }

// Members returns the state of all members, including dead ones.
func (m *Membership) Members(ctx context.Context) ([]member.Update, error) {
	reply := make(chan []member.Update, 1)
	if err := m.mailbox.Send(ctx, membersRequest{reply: reply}); err != nil {
		return nil, err
	}
	select {
	case members := <-reply:
		return members, nil
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// receive posts received packets to the task until the socket is closed.
// Malformed datagrams are dropped.
func (m *Membership) receive(conn net.PacketConn) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, _, err := conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		packet, err := DecodePacket(buffer[:n])
		if err == nil {
			m.mailbox.TrySend(member.PacketReceived{Packet: packet})
		}
	}
}

func (m *Membership) loop(ctx context.Context, conn net.PacketConn) {
	defer m.timer.Stop()
	m.step(ctx, conn, member.Start{})
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.timer.C():
			m.step(ctx, conn, member.Tick{})
			m.updateMemberGauge()
		case number := <-m.latestNumber:
			m.step(ctx, conn, member.SetNumber{Number: number})
		case msg := <-m.mailbox.Receive():
			m.handle(ctx, conn, msg)
		}
	}
}

func (m *Membership) handle(ctx context.Context, conn net.PacketConn, msg any) {
	switch msg := msg.(type) {
	case member.Message:
		m.step(ctx, conn, msg)
	case membersRequest:
		msg.reply <- m.options.Machine.Members()
	}
}

func (m *Membership) step(ctx context.Context, conn net.PacketConn, msg member.Message) {
	for _, action := range m.options.Machine.Step(m.options.Clock.Now(), msg) {
		switch action := action.(type) {
		case member.SendPacket:
			m.send(conn, action)
		case member.PublishMembers:
			m.publish(ctx, action.Live)
		case member.NumberAnnounced:
			m.options.OnNumber(config.PeerNumber{Peer: action.Instance, Number: action.Number})
		case member.SetTimer:
			m.timer.Arm(action.At - m.options.Clock.Now())
		}
	}
}

// send drops a packet that cannot be encoded or sent; the protocol tolerates lost
// datagrams.
func (m *Membership) send(conn net.PacketConn, a member.SendPacket) {
	address, err := netip.ParseAddrPort(a.Address)
	if err != nil {
		return
	}
	data, err := EncodePacket(a.Packet)
	if err != nil {
		return
	}
	if n, err := conn.WriteTo(data, net.UDPAddrFromAddrPort(address)); err == nil {
		m.sent.Add(float64(n))
	}
}

func (m *Membership) publish(ctx context.Context, live []member.Update) {
	members := make([]Member, 0, len(live))
	nodes := make([]config.Node, 0, len(live))
	for _, u := range live {
		leaving := u.State == member.StateLeaving
		members = append(members, Member{
			Instance: u.Instance, DataCentre: u.DataCentre, Region: u.Region, Address: u.Address, Leaving: leaving,
		})
		nodes = append(nodes, config.Node{Instance: u.Instance, DataCentre: u.DataCentre, Leaving: leaving})
	}
	m.options.Directory.Replace(members)
	m.updateMemberGauge()
	m.options.Logger.WithField("live", len(live)).Info("member list changed")
	m.options.OnNodes(ctx, nodes)
}

func (m *Membership) updateMemberGauge() {
	counts := map[member.State]int{member.StateAlive: 0, member.StateSuspect: 0, member.StateLeaving: 0, member.StateDead: 0}
	for _, u := range m.options.Machine.Members() {
		counts[u.State]++
	}
	for state, count := range counts {
		m.members.WithLabelValues(state.String()).Set(float64(count))
	}
}
