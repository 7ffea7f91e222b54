package router

import (
	"encoding/json"

	"github.com/cornelhold/cornelhold/internal/core/deferred"
)

// deferredRecord is the JSON form of an entry; exactly one field is set.
type deferredRecord struct {
	Accepted *deferred.Accepted `json:"accepted,omitempty"`
	Progress *deferred.Progress `json:"progress,omitempty"`
	Result   *deferred.Result   `json:"result,omitempty"`
	Snapshot *deferred.Snapshot `json:"kept,omitempty"`
}

func encodeDeferred(entry deferred.Entry) deferredRecord {
	switch e := entry.(type) {
	case deferred.Accepted:
		return deferredRecord{Accepted: &e}
	case deferred.Progress:
		return deferredRecord{Progress: &e}
	case deferred.Result:
		return deferredRecord{Result: &e}
	case deferred.Snapshot:
		return deferredRecord{Snapshot: &e}
	default:
		return deferredRecord{}
	}
}

// decodeDeferred returns nil for a malformed record or one of an unknown kind.
func decodeDeferred(data []byte) deferred.Entry {
	var r deferredRecord
	if json.Unmarshal(data, &r) != nil {
		return nil
	}
	switch {
	case r.Accepted != nil:
		return *r.Accepted
	case r.Progress != nil:
		return *r.Progress
	case r.Result != nil:
		return *r.Result
	case r.Snapshot != nil:
		return *r.Snapshot
	default:
		return nil
	}
}
