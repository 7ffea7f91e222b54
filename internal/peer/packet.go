package peer

import (
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/member"
)

// EncodePacket returns the datagram body of a membership packet.
func EncodePacket(p member.Packet) ([]byte, error) {
	data, err := proto.Marshal(&cornelholdv1.MemberPacket{
		Kind:     cornelholdv1.MemberPacket_Kind(p.Kind),
		Sequence: p.Sequence,
		Sender:   encodeUpdate(p.Sender, 0),
		Target:   string(p.Target),
		Updates:  lo.Map(p.Updates, encodeUpdate),
		Joining:  p.Full,
	})
	return data, Error.Wrap(err)
}

// DecodePacket returns the packet in a datagram body. Errors mean that the
// datagram is not a membership packet and must be dropped.
func DecodePacket(data []byte) (member.Packet, error) {
	var p cornelholdv1.MemberPacket
	if err := proto.Unmarshal(data, &p); err != nil {
		return member.Packet{}, Error.New("malformed membership packet: %w; the datagram is dropped", err)
	}
	kind := p.GetKind()
	if kind < cornelholdv1.MemberPacket_KIND_PING || kind > cornelholdv1.MemberPacket_KIND_PING_REQUEST {
		return member.Packet{}, Error.New("membership packet of unknown kind %d; the datagram is dropped", kind)
	}
	sender := decodeUpdate(p.GetSender(), 0)
	if sender.Instance == "" || sender.Address == "" {
		return member.Packet{}, Error.New("membership packet without a sender; the datagram is dropped")
	}
	return member.Packet{
		Kind: member.Kind(kind), Sequence: p.GetSequence(), Sender: sender,
		Target: fleet.InstanceID(p.GetTarget()), Updates: lo.Map(p.GetUpdates(), decodeUpdate),
		Full: p.GetJoining(),
	}, nil
}

func encodeUpdate(u member.Update, _ int) *cornelholdv1.MemberUpdate {
	return &cornelholdv1.MemberUpdate{
		Instance: string(u.Instance), DataCentre: string(u.DataCentre), Region: string(u.Region), Address: u.Address,
		State: cornelholdv1.MemberUpdate_State(u.State), Incarnation: u.Incarnation, Number: uint64(u.Number),
	}
}

func decodeUpdate(u *cornelholdv1.MemberUpdate, _ int) member.Update {
	state := u.GetState()
	if state < 0 || state > cornelholdv1.MemberUpdate_STATE_DEAD {
		state = cornelholdv1.MemberUpdate_STATE_UNSPECIFIED
	}
	return member.Update{
		Identity: member.Identity{
			Instance: fleet.InstanceID(u.GetInstance()), DataCentre: fleet.DataCentre(u.GetDataCentre()),
			Region: fleet.Region(u.GetRegion()), Address: u.GetAddress(),
		},
		State: member.State(state), Incarnation: u.GetIncarnation(), Number: config.Number(u.GetNumber()),
	}
}
