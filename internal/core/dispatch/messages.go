// Package dispatch decides which endpoint serves which request. Its state machine
// receives submissions, endpoint state and attempt results, and returns grants
// and refusals.
package dispatch

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/budget"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/reclaim"
)

// Message is an input of the machine.
type Message interface{ isMessage() }

// Action is an output of the machine, to be performed by the caller of Step.
type Action interface{ isAction() }

// Prompt describes the prompt of a request without its text.
type Prompt struct {
	// Blocks are chained hashes of the prompt's prefix blocks: Blocks[i]
	// identifies the first i+1 blocks.
	Blocks []uint64
	// Tokens is the estimated length in tokens.
	Tokens int
}

// Submit requests an endpoint for a new request.
type Submit struct {
	Request     fleet.RequestID
	Team        fleet.TeamName
	Service     fleet.ServiceName
	Class       fleet.Class
	Model       string
	Adapter     string
	Prompt      Prompt
	MaxTokens   int
	Fingerprint fleet.Fingerprint
	// Idempotent requests may be retried and hedged.
	Idempotent bool
	// Operation is the call of a plain service; empty for a model request.
	Operation string
	// MaxWait is the time within which the request must be granted; 0 means the
	// deadline of the service.
	MaxWait time.Duration
}

// Retry requests another endpoint after an attempt failed or must move.
type Retry struct {
	Request fleet.RequestID
	// Generated is the number of tokens that were already emitted.
	Generated int
	// Avoid is the endpoint of the failed attempt.
	Avoid fleet.EndpointID
	// Isolate marks the request as a crash suspect, to be run on an endpoint
	// without other crash suspects.
	Isolate bool
}

// AttemptOutcome is the way an attempt ended.
type AttemptOutcome uint8

// Attempt outcomes.
const (
	// AttemptCompleted: the complete response arrived.
	AttemptCompleted AttemptOutcome = iota + 1
	// AttemptFailed: the endpoint responded with an error.
	AttemptFailed
	// AttemptBroken: the connection broke or timed out while new connections to
	// the endpoint succeed, so that the endpoint is not considered failed.
	AttemptBroken
	// AttemptRejected: the endpoint rejected the attempt before running it.
	AttemptRejected
	// AttemptCancelled: the caller disconnected or the attempt was superseded.
	AttemptCancelled
	// AttemptCrashed: the endpoint process crashed or is unreachable.
	AttemptCrashed
)

// FirstToken reports that an attempt produced its first token.
type FirstToken struct {
	Request fleet.RequestID
	Attempt fleet.AttemptNumber
}

// AttemptEnded reports that an attempt ended. Final means that no Retry follows,
// so that the machine deletes the request.
type AttemptEnded struct {
	Request fleet.RequestID
	Attempt fleet.AttemptNumber
	Outcome AttemptOutcome
	// Generated is the number of tokens that the attempt produced.
	Generated int
	Final     bool
}

// Cancel withdraws a waiting or running request.
type Cancel struct {
	Request fleet.RequestID
}

// LoadReport is the load that an endpoint reported about itself Age ago.
type LoadReport struct {
	Endpoint fleet.EndpointID
	// Running and Waiting count requests.
	Running int
	Waiting int
	// Batch is the number of requests in Running and Waiting that are of class
	// batch.
	Batch int
	// Sequence numbers the reports of an endpoint. It is an input to the division
	// of its free slots, so that all routers compute the same one.
	Sequence uint64
	// Age is the age of the report on arrival.
	Age time.Duration
}

// CacheEvent reports prefix blocks that an endpoint stored in or evicted from
// its cache. Events are delayed; a gap in Sequence means that events were lost.
type CacheEvent struct {
	Endpoint fleet.EndpointID
	Sequence uint64
	Stored   []uint64
	Evicted  []uint64
}

// Endpoint describes one live or leaving replica.
type Endpoint struct {
	ID          fleet.EndpointID
	Service     fleet.ServiceName
	Address     string
	DataCentre  fleet.DataCentre
	Class       fleet.InstanceClass
	Reclaimable bool
	Role        string
	// Model and Adapters restrict what the endpoint serves; empty means any model
	// or adapter of its service.
	Model    string
	Adapters []string
	Leaving  bool
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
}

// Endpoints replaces the list of endpoints unless Version is older than the
// current list's. An endpoint that was ever listed as leaving stays leaving.
type Endpoints struct {
	Version uint64
	List    []Endpoint
}

// ReclaimNotice announces that an endpoint will be reclaimed after Remaining.
type ReclaimNotice struct {
	Endpoint  fleet.EndpointID
	Remaining time.Duration
}

// Configure replaces the active configuration.
type Configure struct {
	Spec *config.Spec
}

// Peers sets the number of routers among which the limits of teams and the free
// slots of endpoints are divided, initially 1, and the index of this router among
// them, from 0.
type Peers struct {
	Count int
	Index int
}

// Tick reports that a timer has fired.
type Tick struct{}

func (Submit) isMessage()        {}
func (Retry) isMessage()         {}
func (FirstToken) isMessage()    {}
func (AttemptEnded) isMessage()  {}
func (Cancel) isMessage()        {}
func (LoadReport) isMessage()    {}
func (CacheEvent) isMessage()    {}
func (Endpoints) isMessage()     {}
func (ReclaimNotice) isMessage() {}
func (Configure) isMessage()     {}
func (Peers) isMessage()         {}
func (Tick) isMessage()          {}

// Grant starts an attempt on an endpoint.
type Grant struct {
	Request  fleet.RequestID
	Attempt  fleet.AttemptNumber
	Endpoint Endpoint
	// Hedge marks an additional attempt beside a running one.
	Hedge bool
	// Cause is the reason for an attempt after the first; empty for the first.
	Cause budget.Cause
	Team  fleet.TeamName
	Class fleet.Class
	// Waited is the time from submission or retry to the grant.
	Waited time.Duration
}

// Refuse ends a request that is not granted an attempt.
type Refuse struct {
	Request fleet.RequestID
	Refusal *fleet.Refusal
	Team    fleet.TeamName
	Class   fleet.Class
}

// SetTimer requests a Tick at the given monotonic time.
type SetTimer struct {
	At time.Duration
}

// Relocate notifies a running request that its endpoint is leaving, and by which
// method to move.
type Relocate struct {
	Request fleet.RequestID
	Attempt fleet.AttemptNumber
	Method  reclaim.Method
}

func (Grant) isAction()    {}
func (Refuse) isAction()   {}
func (SetTimer) isAction() {}
func (Relocate) isAction() {}
