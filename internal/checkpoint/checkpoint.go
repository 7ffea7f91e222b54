// Package checkpoint reads and appends checkpoints of the configuration on the
// log service.
package checkpoint

import (
	"context"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

// maxScannedRecords limits how many records Newest reads from the end of the
// stream. Checkpoint writers overlap only briefly, so the last records include
// the one with the highest number.
const maxScannedRecords = 8

// Newest returns the checkpoint with the highest number, or nil if the log
// service holds none. Errors are those of platform.LogClient.Read.
func Newest(ctx context.Context, log *platform.LogClient) (*config.Snapshot, error) {
	bounds, err := log.Read(ctx, platform.StreamCheckpoints, 0, 1, 0)
	if err != nil && !platform.ErrExpired.Has(err) {
		return nil, err
	}
	first := bounds.First
	if bounds.Next > first+maxScannedRecords {
		first = bounds.Next - maxScannedRecords
	}
	var newest *config.Snapshot
	// Reading one record at a time keeps each response below the client's size limit.
	for offset := first; offset < bounds.Next; offset++ {
		batch, err := log.Read(ctx, platform.StreamCheckpoints, offset, 1, 0)
		if platform.ErrExpired.Has(err) {
			continue
		}
		if err != nil {
			return nil, err
		}
		for _, record := range batch.Records {
			newest = newerSnapshot(newest, record.Data)
		}
	}
	return newest, nil
}

// newerSnapshot returns the snapshot in data if it has a higher number than
// current, or the same number and a higher offset, and otherwise current. A
// malformed record is ignored.
func newerSnapshot(current *config.Snapshot, data []byte) *config.Snapshot {
	s, err := ticket.DecodeSnapshot(data)
	if err != nil {
		return current
	}
	if current == nil || s.Number > current.Number || s.Number == current.Number && s.Offset > current.Offset {
		return s
	}
	return current
}

// Append appends a checkpoint. Errors are those of platform.LogClient.Append
// and ticket.EncodeSnapshot.
func Append(ctx context.Context, log *platform.LogClient, s *config.Snapshot) error {
	data, err := ticket.EncodeSnapshot(s)
	if err != nil {
		return err
	}
	_, err = log.Append(ctx, platform.StreamCheckpoints, data)
	return err
}
