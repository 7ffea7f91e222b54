package dispatch

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/admit"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Options configure a machine. The zero value is valid.
type Options struct {
	// DataCentre is the router's own. If it is empty, all endpoints have the same
	// distance.
	DataCentre fleet.DataCentre
	// Seed should differ among routers, so that they spread requests without
	// prefix blocks over different endpoints.
	Seed uint64
	// QueuePolicy selects the team's queue that is served next within a class.
	QueuePolicy admit.Policy
}

const (
	// RetryAfterNoEndpoint is the delay suggested to callers when a service has
	// no live endpoint; replacement instances are listed after a few seconds.
	RetryAfterNoEndpoint = 2 * time.Second
	// RetryAfterTeamLimit is suggested when a team has too many requests in flight.
	RetryAfterTeamLimit = time.Second
	// minRetryAfter is the shortest delay suggested to a caller.
	minRetryAfter = 200 * time.Millisecond
	// defaultWait is the maximum wait of requests to services without a deadline.
	defaultWait = 5 * time.Second
	// freshFraction is the fraction of the latency target that a request may
	// spend in the queue; the remainder is for the endpoint.
	freshFraction = 0.25
	// blockTokens is the estimated number of tokens in one prefix block.
	blockTokens = 64
	// assumedTokenInterval is the time between tokens that reclaim plans assume.
	assumedTokenInterval = 70 * time.Millisecond
	// assumedTransferPerToken is the time to export the KV cache of one token
	// that reclaim plans assume: some 300 KB at 25 Gbit/s.
	assumedTransferPerToken = 100 * time.Microsecond
)
