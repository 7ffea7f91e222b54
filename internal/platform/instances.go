package platform

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Class       string `json:"class"`
	Reclaimable bool   `json:"reclaimable"`
	Role        string `json:"role,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	// State is "live" or "leaving".
	State string `json:"state"`
	// ReclaimInMillis is the time until the reclaim, counted from when the entry
	// was written; 0 if none is announced.
	ReclaimInMillis int64 `json:"reclaim_in_ms,omitempty"`
}

// StateLeaving is the state of an instance that must not be sent new work.
const StateLeaving = "leaving"

// InstanceList is one version of the instance list.
type InstanceList struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// InstanceClient reads the instance list.
type InstanceClient struct {
	base   string
	client *http.Client
}

// NewInstanceClient returns a client of the instance list at the base URL.
func NewInstanceClient(base string) *InstanceClient {
	return &InstanceClient{base: base, client: NewHTTPClient()}
}

// Watch waits up to wait for a version newer than after and returns the list.
func (c *InstanceClient) Watch(ctx context.Context, after uint64, wait time.Duration) (InstanceList, error) {
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var list InstanceList
	err := longPoll(ctx, c.client, c.base+"/v1/instances?"+query.Encode(), wait, &list)
	return list, err
}
