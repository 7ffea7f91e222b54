package capacity

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/lease"
)

// Message is an input of Machine.
type Message interface{ capacityMessage() }

// SetSpec replaces the active configuration. A service is frozen if its object
// could not be decoded: its instances are neither started nor stopped.
type SetSpec struct {
	Spec   *config.Spec
	Frozen map[fleet.ServiceName]bool
}

// SetInstances replaces the list of instances with a token, as the cloud API
// lists them. The list may lag.
type SetInstances struct{ List []Instance }

// PermitGranted grants or extends the permit of a shard.
type PermitGranted struct{ Permit lease.Permit }

// PermitEnded reports that the permit of a shard has ended.
type PermitEnded struct{ Shard lease.Shard }

// Started is the result of Start: the instance that the cloud API holds for the
// token.
type Started struct {
	Token     Token
	Placement Placement
	State     State
}

// StartRefused reports that the cloud API refused a start, which had no effect.
type StartRefused struct {
	Token      Token
	Placement  Placement
	RetryAfter time.Duration
}

// StartUnknown reports that the outcome of a start is unknown.
type StartUnknown struct{ Token Token }

// StopDone reports that a Stop has ended. If it had no effect, the instance
// stays listed and is stopped again.
type StopDone struct{ Instance fleet.InstanceID }

// Tick runs one planning step. Ready holds the instances with a ready endpoint.
type Tick struct{ Ready map[fleet.InstanceID]bool }

func (SetSpec) capacityMessage()       {}
func (SetInstances) capacityMessage()  {}
func (PermitGranted) capacityMessage() {}
func (PermitEnded) capacityMessage()   {}
func (Started) capacityMessage()       {}
func (StartRefused) capacityMessage()  {}
func (StartUnknown) capacityMessage()  {}
func (StopDone) capacityMessage()      {}
func (Tick) capacityMessage()          {}

// Action is an output of Machine.
type Action interface{ capacityAction() }

// Start requests the instance of a token from the cloud API.
type Start struct {
	Token     Token
	Placement Placement
	Permit    lease.Permit
}

// Stop stops an instance.
type Stop struct {
	Instance fleet.InstanceID
	Permit   lease.Permit
}

func (Start) capacityAction() {}
func (Stop) capacityAction()  {}
