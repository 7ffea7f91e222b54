package member

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// State is the state of a member as this process sees it.
type State uint8

// States in order of precedence at the same incarnation.
const (
	StateAlive State = iota + 1
	// StateSuspect: a probe failed; the member is still treated as live.
	StateSuspect
	// StateLeaving: the member drains and accepts no handoff.
	StateLeaving
	StateDead
)

// String returns the name used by operators and in metrics.
func (s State) String() string {
	names := [...]string{"invalid", "alive", "suspect", "leaving", "dead"}
	if int(s) >= len(names) {
		return names[0]
	}
	return names[s]
}

// Identity names an instance and its location.
type Identity struct {
	Instance   fleet.InstanceID
	DataCentre fleet.DataCentre
	Region     fleet.Region
	// Address is the peer address, IP and port.
	Address string
}

// Update is one piece of gossip about a member.
type Update struct {
	Identity
	State State
	// Incarnation orders updates; only the member itself raises it.
	Incarnation uint64
	// Number is the last announced active ticket number of the member.
	Number config.Number
}

// Kind is the kind of a packet.
type Kind uint8

// Kinds of packets.
const (
	KindPing Kind = iota + 1
	KindAck
	KindPingRequest
)

// Packet is one membership datagram.
type Packet struct {
	Kind     Kind
	Sequence uint64
	Sender   Update
	// Target is the instance to probe for a ping request, and the instance that
	// was probed for the ack of a ping request.
	Target  fleet.InstanceID
	Updates []Update
	// Full requests a response with as many updates as fit.
	Full bool
}

// Message is an input of Machine.
type Message interface{ message() }

// Action is an output of Machine.
type Action interface{ action() }

// Messages to the machine.
type (
	// Start starts probing.
	Start struct{}
	// PacketReceived carries a packet from the network.
	PacketReceived struct{ Packet Packet }
	// SetNumber sets the active ticket number that this member announces.
	SetNumber struct{ Number config.Number }
	// Leave announces that this member drains.
	Leave struct{}
	// Tick reports that the timer of SetTimer has fired.
	Tick struct{}
)

// Actions of the machine.
type (
	// SendPacket sends a packet to an address. Packets may be lost.
	SendPacket struct {
		Address string
		Packet  Packet
	}
	// PublishMembers carries the live members, this one included, after one
	// joined, was removed, started to leave or changed its identity.
	PublishMembers struct{ Live []Update }
	// NumberAnnounced reports that a member announced a higher ticket number than
	// that of this member.
	NumberAnnounced struct {
		Instance fleet.InstanceID
		Number   config.Number
	}
	// SetTimer requests a Tick at At; it replaces an earlier timer.
	SetTimer struct{ At time.Duration }
)

func (Start) message()          {}
func (PacketReceived) message() {}
func (SetNumber) message()      {}
func (Leave) message()          {}
func (Tick) message()           {}

func (SendPacket) action()      {}
func (PublishMembers) action()  {}
func (NumberAnnounced) action() {}
func (SetTimer) action()        {}
