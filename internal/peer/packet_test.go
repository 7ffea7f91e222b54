package peer

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/member"
)

// FuzzDecodePacket guards the membership task against datagrams that crash it,
// and against packets that change when they are encoded and decoded again.
func FuzzDecodePacket(f *testing.F) {
	seed, _ := EncodePacket(member.Packet{
		Kind: member.KindAck, Sequence: 7,
		Sender:  member.Update{Identity: member.Identity{Instance: "a", Address: "127.0.0.1:1"}, State: member.StateAlive},
		Updates: []member.Update{{Identity: member.Identity{Instance: "b"}, State: member.StateDead, Incarnation: 3, Number: 9}},
	})
	f.Add(seed)
	f.Add([]byte{0x1a, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		packet, err := DecodePacket(data)
		if err != nil {
			return
		}
		machine := member.New(member.Options{Self: member.Identity{Instance: "self", Address: "127.0.0.1:2"}})
		machine.Step(0, member.Start{})
		machine.Step(0, member.PacketReceived{Packet: packet})
		encoded, err := EncodePacket(packet)
		is.NoErr(err)
		decoded, err := DecodePacket(encoded)
		is.NoErr(err)
		is.Equal(decoded, packet)
	})
}
