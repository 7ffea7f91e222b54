package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// StateLive and StateStopped are states of a cloud instance, next to
// StateLeaving.
const (
	StateLive    = "live"
	StateStopped = "stopped"
)

// CloudInstance is an instance as the cloud API lists it.
type CloudInstance struct {
	ID string `json:"id"`
	// Token is the token of the start call; empty if another tool started it.
	Token       string `json:"token,omitempty"`
	Service     string `json:"service"`
	Role        string `json:"role,omitempty"`
	Address     string `json:"address"`
	DataCentre  string `json:"data_centre"`
	Class       string `json:"class"`
	Reclaimable bool   `json:"reclaimable"`
	// State is "live", "leaving" or "stopped". The cloud API decides how long a
	// stopped instance stays in the list.
	State string `json:"state"`
	// ReclaimInMillis is the time until the reclaim, counted from when the entry
	// was written; 0 if none is announced.
	ReclaimInMillis int64 `json:"reclaim_in_ms,omitempty"`
}

// CloudList is one version of the cloud API's list.
type CloudList struct {
	Version   uint64          `json:"version"`
	Instances []CloudInstance `json:"instances"`
}

// StartRequest asks for the instance of a token. The cloud API starts at most
// one instance for a token and returns it for every later call, whatever its
// state and the other fields.
type StartRequest struct {
	Token       string `json:"token"`
	Service     string `json:"service"`
	Role        string `json:"role,omitempty"`
	DataCentre  string `json:"data_centre"`
	Class       string `json:"class"`
	Reclaimable bool   `json:"reclaimable"`
}

// CloudClient starts, lists and stops instances.
type CloudClient struct {
	base   string
	client *http.Client
}

// NewCloudClient returns a client of the cloud API at the base URL.
func NewCloudClient(base string) *CloudClient {
	return &CloudClient{base: base, client: NewHTTPClient()}
}

// Watch waits up to wait for a version newer than after and returns the list.
func (c *CloudClient) Watch(ctx context.Context, after uint64, wait time.Duration) (CloudList, error) {
	query := url.Values{
		"after":   {strconv.FormatUint(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var list CloudList
	err := longPoll(ctx, c.client, c.base+"/v1/cloud/instances?"+query.Encode(), wait, &list)
	return list, err
}

// Start returns the instance of the token. ErrNotDone with a RefusedError means
// that the cloud API has no such instance to offer. After ErrUnknownOutcome the
// call must be repeated with the same token.
func (c *CloudClient) Start(ctx context.Context, request StartRequest) (CloudInstance, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return CloudInstance{}, Error.Wrap(err)
	}
	var instance CloudInstance
	err = call(ctx, c.client, http.MethodPost, c.base+"/v1/cloud/instances", body, &instance)
	return instance, err
}

// Stop stops an instance once the notice period has passed. It is idempotent.
func (c *CloudClient) Stop(ctx context.Context, id string, notice time.Duration) error {
	query := url.Values{"notice_ms": {strconv.FormatInt(notice.Milliseconds(), 10)}}
	var instance CloudInstance
	target := c.base + "/v1/cloud/instances/" + url.PathEscape(id) + "?" + query.Encode()
	return call(ctx, c.client, http.MethodDelete, target, nil, &instance)
}
