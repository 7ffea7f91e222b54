// Package platform contains the clients of the platform's services: the log
// service, the instance list, the cloud API and the weight store. All of them
// use HTTP with JSON bodies.
package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

// Stream names of the log service.
const (
	StreamTickets     = "tickets"
	StreamCheckpoints = "checkpoints"
	StreamClaims      = "claims"
	StreamLeases      = "leases"
	StreamDeferred    = "deferred"
	StreamCrashes     = "crashes"
)

// Record is one record of a log stream.
type Record struct {
	// Offset is the position of the record in its stream.
	Offset uint64 `json:"offset"`
	// TimeMillis is the log service's append time, Unix milliseconds.
	TimeMillis int64           `json:"time_ms"`
	Data       json.RawMessage `json:"data"`
}

// Batch is the response to a read.
type Batch struct {
	Records []Record `json:"records"`
	// First is the oldest offset that the stream still holds.
	First uint64 `json:"first"`
	// Next is the offset of the next record to be appended.
	Next uint64 `json:"next"`
}

// LogClient appends to and reads from the log service.
type LogClient struct {
	base   string
	client *http.Client
}

// NewLogClient returns a client of the log service at the given base URL.
func NewLogClient(base string) *LogClient {
	return &LogClient{base: base, client: NewHTTPClient()}
}

// Append appends one record and returns it with its offset and time. An error of
// class ErrUnknownOutcome means that the record may have been stored.
func (c *LogClient) Append(ctx context.Context, stream string, data any) (Record, error) {
	body, err := json.Marshal(struct {
		Data any `json:"data"`
	}{data})
	if err != nil {
		return Record{}, Error.Wrap(err)
	}
	var record Record
	err = call(ctx, c.client, http.MethodPost, c.streamURL(stream, nil), body, &record)
	return record, err
}

// Read returns records from the given offset on. It waits up to wait for the
// first record. ErrExpired means that the offset is older than the retention;
// First and Next of the returned batch are then set.
func (c *LogClient) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Batch, error) {
	query := url.Values{
		"from":    {strconv.FormatUint(from, 10)},
		"limit":   {strconv.Itoa(limit)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var batch Batch
	err := longPoll(ctx, c.client, c.streamURL(stream, query), wait, &batch)
	return batch, err
}

// CloseIdle closes the connections that are not in use.
func (c *LogClient) CloseIdle() { c.client.CloseIdleConnections() }

func (c *LogClient) streamURL(stream string, query url.Values) string {
	u := fmt.Sprintf("%s/v1/streams/%s/records", c.base, url.PathEscape(stream))
	if len(query) > 0 {
		u += "?" + query.Encode()
	}
	return u
}
