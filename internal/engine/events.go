package engine

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// EventsPath is the long poll for load and cache events:
// GET /v1/events?after=SEQUENCE&wait_ms=MILLISECONDS.
const EventsPath = "/v1/events"

// Events is the response to GET /v1/events: the latest load of the engine and
// what its prefix cache stored and evicted after the requested sequence number.
// The engine keeps a limited number of events; a gap in them is not reported,
// because cache events are hints only.
type Events struct {
	Incarnation string `json:"incarnation"`
	// Sequence is the number of the latest event; it restarts with the incarnation.
	Sequence uint64 `json:"sequence"`
	// Running, Waiting and Batch count requests; Batch is the part of both with
	// the lowest priority.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Batch   int `json:"batch"`
	// AgeMillis is how long ago the load was measured, in milliseconds.
	AgeMillis int64 `json:"age_ms"`
	// Stored and Evicted are prefix block hashes.
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// Events waits up to wait for an event after the given sequence number. If none
// occurs, the response carries the same number. Errors of the connection or the
// engine are of class Error.
func (c *Client) Events(ctx context.Context, address string, after uint64, wait time.Duration) (Events, error) {
	url := "http://" + address + EventsPath + "?after=" + strconv.FormatUint(after, 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	var events Events
	err := c.call(ctx, http.MethodGet, url, nil, &events)
	return events, err
}
