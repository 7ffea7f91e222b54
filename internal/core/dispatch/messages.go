// Package dispatch decides which endpoint serves which request. Its machine
// receives submissions, endpoint state and attempt results, and emits grants
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

// Action is an output of the machine, to be carried out by the caller of Step.
type Action interface{ isAction() }

// Prompt describes the prompt of a request without its text.
type Prompt struct {
	// Blocks are chained hashes of the prompt's prefix blocks: Blocks[i]
	// identifies the first i+1 blocks.
	Blocks []uint64
	// Tokens is the estimated length in tokens.
	Tokens int
}

// Submit asks for an endpoint for a new request.
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
	// Wait is the longest time until the request must be granted.
	MaxWait time.Duration
}

// Retry asks for another endpoint after an attempt failed or must move.
type Retry struct {
	Request fleet.RequestID
	// Generated is the number of tokens that were already emitted.
	Generated int
	// Avoid is the endpoint of the failed attempt.
	Avoid fleet.EndpointID
	// Isolate asks for an endpoint without other crash suspects.
	Isolate bool
}

// AttemptOutcome tells how an attempt ended.
type AttemptOutcome uint8

// Attempt outcomes.
const (
	// AttemptCompleted: the whole answer arrived.
	AttemptCompleted AttemptOutcome = iota + 1
	// AttemptFailed: the endpoint answered with an error.
	AttemptFailed
	// AttemptBroken: the connection broke or went silent while new connections
	// to the endpoint work; the endpoint is not blamed.
	AttemptBroken
	// AttemptRejected: the endpoint refused the attempt before running it.
	AttemptRejected
	// AttemptCancelled: the caller left or the attempt was superseded.
	AttemptCancelled
	// AttemptCrashed: the endpoint process died or can't be reached.
	AttemptCrashed
)

// FirstToken reports that an attempt produced its first token.
type FirstToken struct {
	Request fleet.RequestID
	Attempt fleet.AttemptNumber
}

// Ended reports that an attempt ended. The machine forgets the request unless
// a Retry follows; Final tells that none will.
type AttemptEnded struct {
	Request fleet.RequestID
	Attempt fleet.AttemptNumber
	Outcome AttemptOutcome
	// Generated is the number of tokens that the attempt produced.
	Generated int
	Final     bool
}

// Cancel withdraws a request that waits or runs.
type Cancel struct {
	Request fleet.RequestID
}

// LoadReport is an endpoint's own account of its load. It lags.
type LoadReport struct {
	Endpoint fleet.EndpointID
	// Running and Waiting count requests.
	Running int
	Waiting int
	// Batch is the part of Running and Waiting that is of class batch.
	Batch int
	// Sequence numbers the reports of an endpoint. Routers use it to agree on
	// who may use which free slot.
	Sequence uint64
	// Age is how old the report is on arrival.
	Age time.Duration
}

// CacheEvent tells which prefix blocks an endpoint stored or evicted. Events
// arrive late; a gap in Sequence means that events were lost.
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
	// Model and Adapters restrict what the endpoint serves; empty means
	// whatever its service is asked for.
	Model    string
	Adapters []string
	Leaving  bool
	// Slots is how many requests the endpoint runs at once.
	Slots int
}

// Endpoints replaces the list of endpoints. A leaving flag is never withdrawn
// by an older list.
type Endpoints struct {
	Version uint64
	List    []Endpoint
}

// Notice announces that an endpoint is reclaimed after Remaining.
type ReclaimNotice struct {
	Endpoint  fleet.EndpointID
	Remaining time.Duration
}

// Configure replaces the active configuration.
type Configure struct {
	Spec *config.Spec
}

// Peers tells among how many routers the limits of teams and the free slots of
// endpoints are divided, at first 1, and the position of this one, from 0.
type Peers struct {
	Count int
	Index int
}

// Tick lets the machine act on deadlines that have passed.
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
	// Cause tells why the attempt is not the first; empty for a first attempt.
	Cause budget.Cause
	Team  fleet.TeamName
	Class fleet.Class
	// Waited is the time from submission or retry to the grant.
	Waited time.Duration
}

// Refuse ends a request that was not granted.
type Refuse struct {
	Request fleet.RequestID
	Refusal *fleet.Refusal
	Team    fleet.TeamName
	Class   fleet.Class
}

// Wake asks for a Tick at the given monotonic time.
type SetTimer struct {
	At time.Duration
}

// Relocate tells a running request that its endpoint leaves, and how to move.
type Relocate struct {
	Request fleet.RequestID
	Attempt fleet.AttemptNumber
	Method  reclaim.Method
}

func (Grant) isAction()    {}
func (Refuse) isAction()   {}
func (SetTimer) isAction() {}
func (Relocate) isAction() {}
