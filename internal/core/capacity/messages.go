package capacity

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/lease"
)

// Message is an input of Machine.
type Message interface{ capacityMessage() }

// SetSpec replaces the active configuration. The instances of a frozen
// service stay as they are: its object could not be read.
type SetSpec struct {
	Spec   *config.Spec
	Frozen map[fleet.ServiceName]bool
}

// SetInstances replaces the list of instances with a token, as the cloud API
// lists them. The list may lag.
type SetInstances struct{ List []Instance }

// PermitGranted hands over or extends the permit of a shard.
type PermitGranted struct{ Permit lease.Permit }

// PermitEnded tells that the permit of a shard has ended.
type PermitEnded struct{ Shard lease.Shard }

// Started answers Start: the instance that the cloud API holds for the token.
type Started struct {
	Token     Token
	Placement Placement
	State     State
}

// StartRefused tells that a start had no effect.
type StartRefused struct {
	Token      Token
	Placement  Placement
	RetryAfter time.Duration
}

// StartUnknown tells that a start may have taken effect.
type StartUnknown struct{ Token Token }

// StopDone ends a Stop. If it did not take effect, the instance is still
// listed and is stopped again.
type StopDone struct{ Instance fleet.InstanceID }

// Tick runs one planning step. Ready holds the instances whose endpoint serves.
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

// Start asks the cloud API for the instance of a token.
type Start struct {
	Token     Token
	Placement Placement
	Permit    lease.Permit
}

// Stop gives an instance back.
type Stop struct {
	Instance fleet.InstanceID
	Permit   lease.Permit
}

func (Start) capacityAction() {}
func (Stop) capacityAction()  {}
