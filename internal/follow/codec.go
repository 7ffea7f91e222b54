package follow

import (
	"github.com/samber/lo"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/config"
)

// EncodeSnapshot returns the protobuf form of a snapshot.
func EncodeSnapshot(s *config.Snapshot) *cornelholdv1.Snapshot {
	return &cornelholdv1.Snapshot{
		Number: uint64(s.Number), TicketId: s.TicketID, Offset: s.Offset, Objects: encodeObjects(s.Objects),
	}
}

// DecodeSnapshot returns the snapshot that a peer sent. Objects that are not
// sorted are an error, because lookups use a binary search by key.
func DecodeSnapshot(s *cornelholdv1.Snapshot) (*config.Snapshot, error) {
	objects := decodeObjects(s.GetObjects())
	if !config.ObjectsSorted(objects) {
		return nil, Error.New("the objects of snapshot %d are not sorted; upgrade the peer that sent it", s.GetNumber())
	}
	return &config.Snapshot{
		Number: config.Number(s.GetNumber()), TicketID: s.GetTicketId(), Offset: s.GetOffset(), Objects: objects,
	}, nil
}

func encodeFetchResponse(a config.FetchResponse) *cornelholdv1.FetchResponse {
	response := &cornelholdv1.FetchResponse{Number: uint64(a.Number), Tickets: encodeTickets(a.Tickets)}
	if a.Snapshot != nil {
		response.Snapshot = EncodeSnapshot(a.Snapshot)
	}
	return response
}

func decodeFetchResponse(r *cornelholdv1.FetchResponse) (config.FetchResponse, error) {
	response := config.FetchResponse{Number: config.Number(r.GetNumber()), Tickets: decodeTickets(r.GetTickets())}
	if r.GetSnapshot() == nil {
		return response, nil
	}
	snapshot, err := DecodeSnapshot(r.GetSnapshot())
	response.Snapshot = snapshot
	return response, err
}

func encodeTickets(records []config.Record) []*cornelholdv1.Ticket {
	return lo.Map(records, func(r config.Record, _ int) *cornelholdv1.Ticket {
		return &cornelholdv1.Ticket{
			Id: r.Ticket.ID, Number: uint64(r.Ticket.Number), Schema: int32(r.Ticket.Schema),
			Author: r.Ticket.Author, Comment: r.Ticket.Comment, Objects: encodeObjects(r.Ticket.Objects),
			Offset: r.Offset, TimeMs: r.TimeMillis,
		}
	})
}

func decodeTickets(tickets []*cornelholdv1.Ticket) []config.Record {
	return lo.Map(tickets, func(t *cornelholdv1.Ticket, _ int) config.Record {
		return config.Record{
			Offset: t.GetOffset(), TimeMillis: t.GetTimeMs(),
			Ticket: config.Ticket{
				ID: t.GetId(), Number: config.Number(t.GetNumber()), Schema: int(t.GetSchema()),
				Author: t.GetAuthor(), Comment: t.GetComment(), Objects: decodeObjects(t.GetObjects()),
			},
		}
	})
}

func encodeObjects(objects []config.Object) []*cornelholdv1.Object {
	return lo.Map(objects, func(o config.Object, _ int) *cornelholdv1.Object {
		return &cornelholdv1.Object{Kind: o.Key.Kind, Name: o.Key.Name, Value: o.Value, Deleted: o.Deleted}
	})
}

func decodeObjects(objects []*cornelholdv1.Object) []config.Object {
	return lo.Map(objects, func(o *cornelholdv1.Object, _ int) config.Object {
		return config.Object{
			Key:   config.ObjectKey{Kind: o.GetKind(), Name: o.GetName()},
			Value: o.GetValue(), Deleted: o.GetDeleted(),
		}
	})
}
