// Package gateway decides whether callers' requests are admitted, to which
// endpoint they are sent, and whether a failed attempt is retried. It is a state
// machine without input or output; the current time is passed in.
package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/enginemodel"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
	"github.com/cornelhold/cornelhold/internal/core/quota"
	"github.com/cornelhold/cornelhold/internal/core/rollout"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/internal/core/tally"
)

// RequestID identifies a request within one process.
type RequestID uint64

// Request describes a caller's request as far as decisions depend on it.
type Request struct {
	Host, Path string
	Key        string
	HasKey     bool
	// Deadline is the time that the caller allows from the arrival of the
	// request; 0 if it set none.
	Deadline time.Duration
	// Waited is the time since the arrival, such as for reading a long body.
	Waited time.Duration
	// PromptTokens and MaxOutputTokens are valid if HasTokens is set.
	PromptTokens, MaxOutputTokens int
	HasTokens                     bool
	Parts                         []fleet.PromptPart
	Fingerprint                   fleet.Fingerprint
	// Random is a random number in [0, 1) for weighted splits and jitter.
	Random float64

	// waitedAsSuspect is set once the request has waited for the cause of crashes.
	waitedAsSuspect bool
}

// Message is an input of the machine.
type Message interface{ message() }

// RequestArrived reports a new request.
type RequestArrived struct {
	ID      RequestID
	Request Request
}

// Failure is the reason why an attempt ended without a usable response.
type Failure uint8

// Failures.
const (
	// FailureDial: no connection could be opened, so nothing was sent.
	FailureDial Failure = iota
	// FailureRejected: the endpoint reported that it did not run the request.
	FailureRejected
	// FailureConnectionLost: the connection was lost, or the response was
	// malformed or unsigned; the request may have run.
	FailureConnectionLost
	// FailureTimeout: no response arrived in time; the request may have run.
	FailureTimeout
	// FailureErrorResponse: the endpoint ran the request and returned an error
	// response.
	FailureErrorResponse
	// FailureNotSentInTime: the request was not written by SendBy. The endpoint is
	// not at fault.
	FailureNotSentInTime
)

// String returns the name used in logs and metrics.
func (f Failure) String() string {
	return [...]string{"dial", "rejected", "broken", "silent", "answered", "not-sent-in-time"}[f]
}

// AttemptFailed reports a failed attempt. The resulting action is a retry or the
// refusal of the request.
type AttemptFailed struct {
	ID      RequestID
	Failure Failure
	// Reused is set if the connection had served other requests before.
	Reused bool
	// Refused is set if the endpoint refused the connection, so that nothing listens
	// at its address.
	Refused bool
}

// EndpointChecked is the result of a CheckEndpoint.
type EndpointChecked struct {
	Endpoint fleet.EndpointID
	Started  int64
	// Refused is set if nothing listens at the address of the endpoint.
	Refused bool
}

// EndpointLeaving reports that an endpoint stated in a response that it is about to leave.
type EndpointLeaving struct {
	Endpoint fleet.EndpointID
	Started  int64
}

// EndpointPaused reports that an endpoint asked for a pause of a length from now on.
type EndpointPaused struct {
	Endpoint fleet.EndpointID
	Started  int64
	Length   time.Duration
}

// ResponseStarted reports the first byte of the endpoint's response. Events is the number of
// events that arrived with it, 0 if the response is no stream.
type ResponseStarted struct {
	ID     RequestID
	Events int
}

// RequestFinished reports the end of a request. Succeeded is set if the caller
// received a complete successful response.
type RequestFinished struct {
	ID        RequestID
	Succeeded bool
	// Events is the number of events of the last attempt, AllEvents that of all together.
	Events, AllEvents int
}

// SetCatalog activates a configuration. Versions that are not newer than the
// active one are ignored.
type SetCatalog struct{ Catalog *catalog.Catalog }

// SetEndpoints replaces the endpoints of the instance list. Position is the place
// in the list's log up to which the list was read.
type SetEndpoints struct {
	Endpoints []catalog.Endpoint
	Position  storelog.Position
}

// ListConfirmed reports that the endpoints of the last SetEndpoints were the
// complete list at the time At.
type ListConfirmed struct{ At time.Duration }

// ListUnreachable reports that the list could not be read at the time At, although this
// instance was running. For a while after that a list of any age is used.
type ListUnreachable struct{ At time.Duration }

// Report is what this instance states of itself.
type Report struct {
	Tally tally.Tally
	// QuotaUse is what all instances together used.
	QuotaUse quota.Record
	Crashes  CrashReport
	// Engines are the speeds of the services that are known.
	Engines map[fleet.ServiceName]EngineSpeeds
	// RejectedAt is when endpoints of a service last rejected a plain call as full.
	RejectedAt map[fleet.ServiceName]time.Duration
}

// OthersReported delivers the sums over the other instances.
type OthersReported struct {
	// Reached are the instances whose reports arrive, Lost those whose reports have
	// stopped recently.
	Reached, Lost tally.Group
	// Relays is set if this instance relays the crash reports of others.
	Relays bool
	// RelayNodes are the nodes of the instances that relay reports.
	RelayNodes []string
}

// CrashesReported delivers what another instance reports about crashes.
type CrashesReported struct{ Report CrashReport }

// RolloutsReported delivers plans of rollouts and new orders, from this instance or another.
type RolloutsReported struct{ Plans []rollout.Plan }

// UsageRestored delivers the usage that all instances had admitted before the start of
// this one. The machine is not ready before it arrives.
type UsageRestored struct{ Record quota.Record }

// EnginesRestored delivers what was known of the speeds of engines before the start of this
// instance.
type EnginesRestored struct{ Engines enginemodel.Sums }

// CrashesRestored delivers the crash evidence in the store from before the start of this
// instance: the crashes that this instance (Own) and others witnessed, and the causes.
type CrashesRestored struct {
	Own, Others []Crash
	Causes      []quarantine.Entry
}

// CrashesUnavailable reports that the crash evidence could not be read in time. The machine
// does not wait for it any more, and persists nothing until CrashesRestored arrives.
type CrashesUnavailable struct{}

func (RequestArrived) message()     {}
func (AttemptFailed) message()      {}
func (EndpointChecked) message()    {}
func (EndpointLeaving) message()    {}
func (EndpointPaused) message()     {}
func (ResponseStarted) message()    {}
func (RequestFinished) message()    {}
func (SetCatalog) message()         {}
func (SetEndpoints) message()       {}
func (ListConfirmed) message()      {}
func (ListUnreachable) message()    {}
func (OthersReported) message()     {}
func (CrashesReported) message()    {}
func (UsageRestored) message()      {}
func (EnginesRestored) message()    {}
func (RolloutsReported) message()   {}
func (CrashesRestored) message()    {}
func (CrashesUnavailable) message() {}

// Action is an output of the machine.
type Action interface{ action() }

// Send starts an attempt at an endpoint.
type Send struct {
	ID       RequestID
	Endpoint catalog.Endpoint
	Route    *catalog.Route
	Team     fleet.TeamName
	// DeadlineAt is the time by which the caller gets a final response.
	DeadlineAt time.Duration
	// SendBy is the time after which the request must not be written any more, since
	// the endpoint may have begun to drain; 0 means no limit.
	SendBy time.Duration
	// AttemptTimeout bounds the wait for the first byte; 0 means no bound.
	AttemptTimeout time.Duration
	// Priority ranges from 0, the most urgent, to 9.
	Priority int
	// Attempt counts from 1.
	Attempt int
	// ExpectedFirstByte is the estimated time until the first byte, Load the
	// endpoint's load from all instances at the decision.
	ExpectedFirstByte time.Duration
	Load              tally.Load
	// Version is the active configuration at the decision.
	Version catalog.Version
	// Traits are those of the request by which crashes are attributed to it.
	Traits []quarantine.Trait
	// ListPosition and ListAge are the position of the instance list that the
	// decision is based on and the time since it was last complete.
	ListPosition storelog.Position
	ListAge      time.Duration
	// Turn is that of the attempt, nil if it needed none.
	Turn *TurnTaken
	// Copy, if it has a handle, is the copy with which a moved run goes on.
	Copy RunCopy
	// FetchFrom, if not empty, is the address of an endpoint that probably has the shared parts of the
	// prompt in its memory. The endpoint fetches from there what it lacks.
	FetchFrom string
}

// Refuse ends a request with a refusal.
type Refuse struct {
	ID      RequestID
	Refusal *fleet.Refusal
	// Detail describes the inputs of the decision for the log.
	Detail string
}

// CountStarted counts a team's request whose first response has started.
type CountStarted struct{ Team fleet.TeamName }

// ReadList requests a read of the instance list, which is too old to choose from. The
// result is a ListConfirmed or a ListUnreachable.
type ReadList struct{}

// EndEvidence is how the end of an endpoint's incarnation was noticed.
type EndEvidence uint8

// Evidence of an end.
const (
	// EndRefused: attempts were lost and a connection was refused.
	EndRefused EndEvidence = iota
	// EndRestarted: the list names a newer incarnation.
	EndRestarted
	// EndReplaced: the list names another endpoint at the address.
	EndReplaced
	// EndRemoved: the list no longer names the endpoint.
	EndRemoved
	// EndReported: a peer reported it.
	EndReported
)

// String returns the name used in logs and metrics.
func (e EndEvidence) String() string {
	return [...]string{"refused", "restarted", "replaced", "removed", "reported"}[e]
}

// EndpointEnded reports for the log that an incarnation of an endpoint has ended, and
// the requests that are suspected of it.
type EndpointEnded struct {
	Endpoint fleet.EndpointID
	Started  int64
	Evidence EndEvidence
	Suspects []quarantine.Trait
}

// CauseSource is how an instance learned of a cause.
type CauseSource uint8

// Sources of a cause.
const (
	// CauseDecided: this instance concluded it from the crashes.
	CauseDecided CauseSource = iota
	// CauseReported: a peer reported it.
	CauseReported
	// CauseRestored: it was in the store at the start.
	CauseRestored
)

// String returns the name used in logs.
func (s CauseSource) String() string { return [...]string{"decided", "reported", "restored"}[s] }

// CauseQuarantined reports for the log that requests with all of the traits are refused
// from now on.
type CauseQuarantined struct {
	Traits  []quarantine.Trait
	Crashes int
	Source  CauseSource
}

// TrialStarted reports for the log that one request with the traits is sent, to learn whether
// it still crashes endpoints.
type TrialStarted struct {
	Traits          []quarantine.Trait
	Crashes, Trials int
}

// PersistCrashes replaces this instance's record of the crashes that it witnessed. Without
// crashes the record is removed.
type PersistCrashes struct{ Crashes []Crash }

// PersistCause replaces the record of a cause.
type PersistCause struct{ Entry quarantine.Entry }

// RemoveCause removes the record of a cause.
type RemoveCause struct{ Traits []quarantine.Trait }

// TraitLifted reports for the log that a request with a trait was executed, which was
// among the traits of a quarantined cause.
type TraitLifted struct {
	Trait  quarantine.Trait
	Traits []quarantine.Trait
}

// LeavingNoticed reports for the log the first statement of an incarnation that it is about
// to leave.
type LeavingNoticed struct {
	Endpoint fleet.EndpointID
	Started  int64
}

// PauseNoticed reports for the log that an endpoint asked for a pause, and the length that is
// observed.
type PauseNoticed struct {
	Endpoint      fleet.EndpointID
	Started       int64
	Asked, Length time.Duration
}

// RolloutPlanned reports for the log a changed plan of a rollout.
type RolloutPlanned struct{ Plan rollout.Plan }

// CheckEndpoint asks whether a connection to an endpoint can be opened. The result is
// an EndpointChecked, or nothing if it remains unknown.
type CheckEndpoint struct {
	Endpoint fleet.EndpointID
	Started  int64
	Address  string
}

func (Send) action()             {}
func (Refuse) action()           {}
func (ReadList) action()         {}
func (CountStarted) action()     {}
func (EndpointEnded) action()    {}
func (CauseQuarantined) action() {}
func (TraitLifted) action()      {}
func (TrialStarted) action()     {}
func (PersistCrashes) action()   {}
func (PersistCause) action()     {}
func (RemoveCause) action()      {}
func (LeavingNoticed) action()   {}
func (PauseNoticed) action()     {}
func (CheckEndpoint) action()    {}
func (RolloutPlanned) action()   {}
