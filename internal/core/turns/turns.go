// Package turns grants permits to send single calls of services that have fewer slots than there
// are instances. One instance, the owner of a service, keeps one order of the waiting calls of all
// instances and counts the calls at each endpoint. Owner is the state machine of the instance that
// grants, Client that of every instance that asks. Both perform no input or output; the current
// time is passed in. Datagrams may be lost, duplicated and reordered.
package turns

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Key identifies an ask, and the turn granted for it, over all instances.
type Key struct {
	// Instance is the node and the boot of the asking instance.
	Instance string
	ID       uint64
}

// Ask requests a turn for one call.
type Ask struct {
	Key     Key
	Service fleet.ServiceName
	Team    fleet.TeamName
	// Priority is the rank of the call; 0 is the most urgent.
	Priority int
	// ObjectiveLeft and DeadlineLeft are the times from now to the latency objective and to the
	// time-out of the call.
	ObjectiveLeft, DeadlineLeft time.Duration
	// Fingerprint recognises a call that was refused before; 0 if there is none.
	Fingerprint fleet.Fingerprint
	// Excluded are endpoints that may not be granted, at most MaxExcluded.
	Excluded []fleet.EndpointID
}

// MaxExcluded bounds Ask.Excluded.
const MaxExcluded = 4

// Outcome states how a turn ended.
type Outcome uint8

// Outcomes. The zero value is invalid.
const (
	// OutcomeDone: the endpoint answered the call.
	OutcomeDone Outcome = iota + 1
	// OutcomeRejected: the endpoint was full and did not run the call.
	OutcomeRejected
	// OutcomeLost: there was no answer.
	OutcomeLost
	// OutcomeUnused: the call was not sent, because its caller left or the endpoint is not usable
	// from this instance. It also withdraws an ask that has no turn yet.
	OutcomeUnused
)

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"none", "done", "rejected", "lost", "unused"}[o]
}

// End returns a turn, or withdraws an ask; Endpoint is empty then.
type End struct {
	Key      Key
	Service  fleet.ServiceName
	Endpoint fleet.EndpointID
	Outcome  Outcome
	// Took is the time from sending the call to the end of the response.
	Took time.Duration
}

// HeldTurn is a turn in use.
type HeldTurn struct {
	Key      Key
	Endpoint fleet.EndpointID
	Team     fleet.TeamName
	Priority int
	// Left is the time from now to the time-out of the call.
	Left time.Duration
}

// Held states all turns and asks that an instance has of one service. It is sent every
// StatementInterval while there are any, and repeats recent ends.
type Held struct {
	// From is the node of the instance, Instance its node and boot as in Key.
	From, Instance string
	Service        fleet.ServiceName
	Turns          []HeldTurn
	// Asks are the asks without an answer yet.
	Asks []Key
	// Ended are the turns that ended since the statement before the last.
	Ended []End
}

// StatementInterval is the time between two statements of an instance.
const StatementInterval = 200 * time.Millisecond

// Answer is what the owner answers to an ask.
type Answer interface{ answer() }

// Grant permits the sending of one call to an endpoint.
type Grant struct {
	Key      Key
	Service  fleet.ServiceName
	Endpoint fleet.EndpointID
	// Waited is the time since the owner received the ask, Place the number of calls that were
	// ahead of it then.
	Waited time.Duration
	Place  int
}

// Deny refuses a call.
type Deny struct {
	Key        Key
	RetryAfter time.Duration
	Reason     string
}

// Queued states that an ask waits. Expected is the time until its turn as far as known.
type Queued struct {
	Key      Key
	Service  fleet.ServiceName
	Place    int
	Expected time.Duration
}

// Unknown states that an ask that was listed as waiting is not known and must be sent again.
type Unknown struct{ Key Key }

func (Grant) answer()   {}
func (Deny) answer()    {}
func (Queued) answer()  {}
func (Unknown) answer() {}

// Reasons of Deny and Refused.
const (
	// ReasonObjective: the call would miss its objective while others could still meet theirs.
	ReasonObjective = "objective"
	// ReasonDeadline: the call cannot be served before its time-out.
	ReasonDeadline = "deadline"
	// ReasonFull: too many calls wait.
	ReasonFull = "queue full"
	// ReasonNoEndpoint: the service has no endpoint that may be used.
	ReasonNoEndpoint = "no endpoint"
)

// OwnerMessage is an input of Owner.
type OwnerMessage interface{ ownerMessage() }

// Asked is an ask of an instance; From is its node.
type Asked struct {
	From string
	Ask  Ask
}

// Ended is an end reported by an instance.
type Ended struct {
	From string
	End  End
}

// EndpointsChanged states all usable endpoints of plain services.
type EndpointsChanged struct{ Endpoints []catalog.Endpoint }

// EndpointLoad is the load of an endpoint in the sums over all instances.
type EndpointLoad struct {
	// Active are all requests at the endpoint, WithoutTurn those that were sent without a turn.
	Active, WithoutTurn int
}

// LoadsReported states the loads of the endpoints of plain services. Endpoints that are missing
// have none.
type LoadsReported struct {
	Loads map[fleet.EndpointID]EndpointLoad
}

// InstanceGone states that an instance, identified as in Key, runs no more.
type InstanceGone struct{ Instance string }

// OwnerTick is passed in at the time that Owner.NextTick returns.
type OwnerTick struct{}

func (Asked) ownerMessage()            {}
func (Ended) ownerMessage()            {}
func (Held) ownerMessage()             {}
func (EndpointsChanged) ownerMessage() {}
func (LoadsReported) ownerMessage()    {}
func (InstanceGone) ownerMessage()     {}
func (OwnerTick) ownerMessage()        {}

// OwnerAction is an output of Owner.
type OwnerAction interface{ ownerAction() }

// Reply sends an answer to a node.
type Reply struct {
	To     string
	Answer Answer
}

func (Reply) ownerAction() {}

// ClientMessage is an input of Client.
type ClientMessage interface{ clientMessage() }

// Wanted is a call that needs a turn. Client sets Ask.Key, anew each time that the call asks.
type Wanted struct {
	ID  uint64
	Ask Ask
}

// Finished is the end of a call for which Proceed was returned.
type Finished struct {
	ID      uint64
	Outcome Outcome
	Took    time.Duration
}

// Abandoned is a call whose caller left while it waited.
type Abandoned struct{ ID uint64 }

// Replied is an answer of the owner on a node.
type Replied struct {
	From   string
	Answer Answer
}

// CarriersChanged states the nodes of the carriers of all data centres, in any order.
type CarriersChanged struct{ Nodes []string }

// ServiceLoad is the load of a plain service, known from the sums and this instance's own calls.
type ServiceLoad struct {
	// Slots are those of all its endpoints, Active the requests of all instances.
	Slots, Active int
	// Rejected is set if an endpoint has rejected a call as full, the last time at RejectedAt.
	Rejected   bool
	RejectedAt time.Duration
}

// LoadsChanged states the loads of all plain services.
type LoadsChanged struct {
	Services map[fleet.ServiceName]ServiceLoad
}

// InstancesChanged states the number of instances.
type InstancesChanged struct{ Count int }

// ClientTick is passed in at the time that Client.NextTick returns.
type ClientTick struct{}

func (Wanted) clientMessage()           {}
func (Finished) clientMessage()         {}
func (Abandoned) clientMessage()        {}
func (Replied) clientMessage()          {}
func (CarriersChanged) clientMessage()  {}
func (LoadsChanged) clientMessage()     {}
func (InstancesChanged) clientMessage() {}
func (ClientTick) clientMessage()       {}

// ClientAction is an output of Client.
type ClientAction interface{ clientAction() }

// SendAsk sends an ask to the owner on a node, which may be this one.
type SendAsk struct {
	To  string
	Ask Ask
}

// SendEnd sends an end.
type SendEnd struct {
	To  string
	End End
}

// SendHeld sends a statement.
type SendHeld struct {
	To   string
	Held Held
}

// Proceed lets a call be sent to an endpoint. It must be followed by Finished.
type Proceed struct {
	ID       uint64
	Endpoint fleet.EndpointID
	Waited   time.Duration
	Place    int
}

// ProceedFreely lets a call be sent without a turn. Nothing must follow.
type ProceedFreely struct{ ID uint64 }

// Refused refuses a call.
type Refused struct {
	ID         uint64
	RetryAfter time.Duration
	Reason     string
}

func (SendAsk) clientAction()       {}
func (SendEnd) clientAction()       {}
func (SendHeld) clientAction()      {}
func (Proceed) clientAction()       {}
func (ProceedFreely) clientAction() {}
func (Refused) clientAction()       {}
