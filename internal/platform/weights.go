package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"
)

// DownloadSlot allows one endpoint to download weights.
type DownloadSlot struct {
	// TTLMillis is how long the slot is held without an extension.
	TTLMillis int64 `json:"ttl_ms"`
}

// DownloadRequest asks for a slot.
type DownloadRequest struct {
	Bytes int64 `json:"bytes"`
}

// WeightClient acquires and releases download slots of the weight store.
type WeightClient struct {
	base   string
	client *http.Client
}

// NewWeightClient returns a client of the weight store at the base URL.
func NewWeightClient(base string) *WeightClient {
	return &WeightClient{base: base, client: NewHTTPClient()}
}

// AcquireSlot acquires or extends the slot of an endpoint and returns how long
// it is held. ErrNotDone with a RefusedError means that all slots are in use.
// The call is idempotent: an endpoint never holds a second slot.
func (c *WeightClient) AcquireSlot(ctx context.Context, endpoint string, bytes int64) (time.Duration, error) {
	body, err := json.Marshal(DownloadRequest{Bytes: bytes})
	if err != nil {
		return 0, Error.Wrap(err)
	}
	var slot DownloadSlot
	if err := call(ctx, c.client, http.MethodPut, c.slotURL(endpoint), body, &slot); err != nil {
		return 0, err
	}
	return time.Duration(slot.TTLMillis) * time.Millisecond, nil
}

// ReleaseSlot releases the slot of an endpoint. It is idempotent.
func (c *WeightClient) ReleaseSlot(ctx context.Context, endpoint string) error {
	var slot DownloadSlot
	return call(ctx, c.client, http.MethodDelete, c.slotURL(endpoint), nil, &slot)
}

func (c *WeightClient) slotURL(endpoint string) string {
	return c.base + "/v1/slots/" + url.PathEscape(endpoint)
}
