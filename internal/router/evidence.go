package router

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

// evidenceError is the class of malformed records of the crash stream.
var evidenceError = errs.Class("crash evidence")

// maxEvidenceBatch bounds the crash events of one append.
const maxEvidenceBatch = 64

// evidenceRecord is the wire form of quarantine.Evidence. It is idempotent, so
// that an append whose response was lost can be repeated.
type evidenceRecord struct {
	Endpoint     string              `json:"endpoint,omitempty"`
	Incarnation  string              `json:"incarnation,omitempty"`
	Fingerprints []fleet.Fingerprint `json:"fingerprints,omitempty"`
	Cleared      []fleet.Fingerprint `json:"cleared,omitempty"`
}

func decodeEvidence(data []byte) (quarantine.Evidence, error) {
	var r evidenceRecord
	if err := json.Unmarshal(data, &r); err != nil {
		return quarantine.Evidence{}, evidenceError.Wrap(err)
	}
	return quarantine.Evidence{
		Event:        quarantine.Event{Endpoint: fleet.EndpointID(r.Endpoint), Incarnation: r.Incarnation},
		Fingerprints: r.Fingerprints, Cleared: r.Cleared,
	}, nil
}

// evidenceWriter appends crash evidence to the crash stream.
type evidenceWriter struct {
	client *platform.LogClient
	unsent task.Mailbox[quarantine.Evidence]
}

// Run appends until ctx ends.
func (w *evidenceWriter) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-w.unsent.Receive():
			for _, record := range mergeEvidence(w.collect(first)) {
				w.append(ctx, record)
			}
		}
	}
}

// collect returns first and the evidence that is already queued, up to
// maxEvidenceBatch.
func (w *evidenceWriter) collect(first quarantine.Evidence) []quarantine.Evidence {
	batch := []quarantine.Evidence{first}
	for len(batch) < maxEvidenceBatch {
		select {
		case next := <-w.unsent.Receive():
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// mergeEvidence merges consecutive evidence of the same crash into one record.
func mergeEvidence(batch []quarantine.Evidence) []evidenceRecord {
	var records []evidenceRecord
	for _, e := range batch {
		last := len(records) - 1
		if last >= 0 && len(e.Cleared) == 0 && len(records[last].Cleared) == 0 &&
			records[last].Endpoint == string(e.Event.Endpoint) && records[last].Incarnation == e.Event.Incarnation {
			records[last].Fingerprints = append(records[last].Fingerprints, e.Fingerprints...)
			continue
		}
		records = append(records, evidenceRecord{
			Endpoint: string(e.Event.Endpoint), Incarnation: e.Event.Incarnation,
			Fingerprints: e.Fingerprints, Cleared: e.Cleared,
		})
	}
	return records
}

func (w *evidenceWriter) append(ctx context.Context, record evidenceRecord) {
	for ctx.Err() == nil {
		if _, err := w.client.Append(ctx, platform.StreamCrashes, record); err == nil {
			return
		}
		sleep(ctx, retryDelay)
	}
}

// evidenceReader reads the crash stream and sends its records to the quarantine
// task.
type evidenceReader struct {
	client     *platform.LogClient
	quarantine task.Mailbox[any]
}

// Run reads until ctx ends.
func (r *evidenceReader) Run(ctx context.Context) error {
	next := uint64(0)
	replies := make(chan uint64, 1)
	for ctx.Err() == nil {
		batch, err := r.client.Read(ctx, platform.StreamCrashes, next, readLimit, logPollTimeout)
		if platform.ErrExpired.Has(err) {
			// Expired evidence is ignored.
			batch = platform.Batch{First: firstAvailable(err, next)}
		} else if err != nil {
			sleep(ctx, retryDelay)
			continue
		}
		if r.quarantine.Send(ctx, evidenceRecords{batch: batch, next: replies}) != nil {
			return nil
		}
		select {
		case next = <-replies:
		case <-ctx.Done():
		}
	}
	return nil
}

// firstAvailable returns the oldest offset that the log service still stores.
// The response to a read of an expired offset contains it.
func firstAvailable(err error, next uint64) uint64 {
	var refused *platform.RefusedError
	var batch platform.Batch
	if errors.As(err, &refused) && json.Unmarshal([]byte(refused.Message), &batch) == nil && batch.First > next {
		return batch.First
	}
	return next + readLimit
}
