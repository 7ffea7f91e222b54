package ticket

import (
	"encoding/json"

	"github.com/cornelhold/cornelhold/internal/core/config"
)

// MaxCheckpointBytes limits the size of an encoded checkpoint.
const MaxCheckpointBytes = 4 << 20

// checkpointRecord is the JSON form of a snapshot in the log.
type checkpointRecord struct {
	Number   uint64         `json:"number"`
	TicketID string         `json:"ticket_id"`
	Offset   uint64         `json:"offset"`
	Objects  []objectRecord `json:"objects"`
}

// EncodeSnapshot returns the JSON form of a checkpoint in the log.
func EncodeSnapshot(s *config.Snapshot) (json.RawMessage, error) {
	data, err := json.Marshal(checkpointRecord{
		Number: uint64(s.Number), TicketID: s.TicketID, Offset: s.Offset, Objects: encodeObjects(s.Objects),
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if len(data) > MaxCheckpointBytes {
		return nil, Error.New("the checkpoint is %d bytes long, the limit is %d; file a ticket that deletes unused objects", len(data), MaxCheckpointBytes)
	}
	return data, nil
}

// DecodeSnapshot returns the snapshot encoded in a checkpoint record. Objects
// that are not sorted by key are an error.
func DecodeSnapshot(data []byte) (*config.Snapshot, error) {
	var r checkpointRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, Error.New("malformed checkpoint record: %w; the record is skipped", err)
	}
	if r.Number == 0 {
		return nil, Error.New("the checkpoint record has no number; the record is skipped")
	}
	objects := decodeObjects(r.Objects)
	if !config.ObjectsSorted(objects) {
		return nil, Error.New("the objects of checkpoint %d are not sorted; the record is skipped", r.Number)
	}
	return &config.Snapshot{
		Number: config.Number(r.Number), TicketID: r.TicketID, Offset: r.Offset, Objects: objects,
	}, nil
}
