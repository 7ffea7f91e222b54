package platform

import (
	"encoding/json"
	"errors"
)

// FirstRetainedOffset returns the oldest offset that the stream still holds, as
// stated in an error of class ErrExpired. ok is false for other errors.
func FirstRetainedOffset(err error) (first uint64, ok bool) {
	var refused *RefusedError
	if !ErrExpired.Has(err) || !errors.As(err, &refused) {
		return 0, false
	}
	var batch Batch
	if json.Unmarshal([]byte(refused.Message), &batch) != nil {
		return 0, false
	}
	return batch.First, true
}
