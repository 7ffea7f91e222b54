package order

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/lease"
)

// Endpoint is an endpoint as the cloud API lists it.
type Endpoint struct {
	ID      fleet.EndpointID
	Address string
	// Shard is the shard for which the instance was started. The instance can
	// run in another data centre if starts were refused there.
	Shard   lease.Shard
	Role    string
	Leaving bool
}

// Status is the state that an endpoint reports.
type Status struct {
	// Incarnation differs for each process start of the endpoint.
	Incarnation string
	// Loaded is the state with which the endpoint serves.
	Loaded Target
	// Loading is the state that is being loaded; nil if none.
	Loading *Target
	Ready   bool
	// Fence is the highest fencing token that the endpoint has accepted.
	Fence lease.Fence
}

// Result is the outcome of sending an order.
type Result uint8

// Results.
const (
	// ResultAccepted: the endpoint has accepted the order.
	ResultAccepted Result = iota + 1
	// ResultFenced: the endpoint has accepted a higher fencing token before.
	ResultFenced
	// ResultRejected: the endpoint can't execute the order.
	ResultRejected
	// ResultNotSent: no byte of the order was sent.
	ResultNotSent
	// ResultUnknown: the order may have taken effect.
	ResultUnknown
)

// String returns the name used in metrics.
func (r Result) String() string {
	names := [...]string{"invalid", "accepted", "fenced", "rejected", "not_sent", "unknown"}
	if int(r) >= len(names) {
		return names[0]
	}
	return names[r]
}

// Message is an input of Machine.
type Message interface{ orderMessage() }

// SetSpec replaces the active configuration.
type SetSpec struct{ Spec *config.Spec }

// SetEndpoints replaces the list of endpoints.
type SetEndpoints struct{ List []Endpoint }

// PermitGranted grants or extends the permit of a shard.
type PermitGranted struct{ Permit lease.Permit }

// PermitEnded reports that the permit of a shard has ended.
type PermitEnded struct{ Shard lease.Shard }

// Observed is the result of Observe.
type Observed struct {
	Endpoint fleet.EndpointID
	Seq      uint64
	Status   Status
}

// ObserveFailed reports that Observe failed or timed out.
type ObserveFailed struct {
	Endpoint fleet.EndpointID
	Seq      uint64
}

// SendResult is the result of SendOrder.
type SendResult struct {
	Endpoint fleet.EndpointID
	Fence    lease.Fence
	Result   Result
}

// SlotGranted reports that the endpoint may download until the given time.
type SlotGranted struct {
	Endpoint fleet.EndpointID
	Until    time.Duration
}

// SlotUnavailable reports that no slot is free or that the response was lost. A
// repeated request for the same endpoint never acquires a second slot.
type SlotUnavailable struct {
	Endpoint   fleet.EndpointID
	RetryAfter time.Duration
}

// Tick runs one reconciliation step.
type Tick struct{}

func (SetSpec) orderMessage()         {}
func (SetEndpoints) orderMessage()    {}
func (PermitGranted) orderMessage()   {}
func (PermitEnded) orderMessage()     {}
func (Observed) orderMessage()        {}
func (ObserveFailed) orderMessage()   {}
func (SendResult) orderMessage()      {}
func (SlotGranted) orderMessage()     {}
func (SlotUnavailable) orderMessage() {}
func (Tick) orderMessage()            {}

// Action is an output of Machine.
type Action interface{ orderAction() }

// Observe requests the status of an endpoint.
type Observe struct {
	Endpoint fleet.EndpointID
	Address  string
	Seq      uint64
}

// SendOrder sends an order if Permit allows it at the moment of sending.
type SendOrder struct {
	Endpoint fleet.EndpointID
	Address  string
	Permit   lease.Permit
	Target   Target
}

// AcquireSlot acquires a download slot of the weight store, or extends it.
type AcquireSlot struct {
	Endpoint fleet.EndpointID
	// Bytes is the size of the weights.
	Bytes int64
}

// ReleaseSlot releases a download slot.
type ReleaseSlot struct{ Endpoint fleet.EndpointID }

func (Observe) orderAction()     {}
func (SendOrder) orderAction()   {}
func (AcquireSlot) orderAction() {}
func (ReleaseSlot) orderAction() {}
