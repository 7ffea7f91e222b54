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

// Status is what an endpoint reports about itself.
type Status struct {
	// Incarnation differs for each process start of the endpoint.
	Incarnation string
	// Loaded is the state that the endpoint serves with.
	Loaded Target
	// Loading is the state that is being loaded; nil if none.
	Loading *Target
	Ready   bool
	// Fence is the highest fencing number that the endpoint has accepted.
	Fence lease.Fence
}

// Result is the outcome of sending an order.
type Result uint8

// Results.
const (
	// ResultAccepted: the endpoint has taken the order.
	ResultAccepted Result = iota + 1
	// ResultFenced: the endpoint has accepted a higher fencing number.
	ResultFenced
	// ResultRejected: the endpoint can't carry the order out.
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

// PermitGranted hands over or extends the permit of a shard.
type PermitGranted struct{ Permit lease.Permit }

// PermitEnded tells that the permit of a shard has ended.
type PermitEnded struct{ Shard lease.Shard }

// Observed is the answer to Observe.
type Observed struct {
	Endpoint fleet.EndpointID
	Seq      uint64
	Status   Status
}

// ObserveFailed tells that an endpoint did not report.
type ObserveFailed struct {
	Endpoint fleet.EndpointID
	Seq      uint64
}

// OrderResult tells how sending an order ended.
type OrderResult struct {
	Endpoint fleet.EndpointID
	Fence    lease.Fence
	Result   Result
}

// SlotGranted tells that the endpoint may download until the given time.
type SlotGranted struct {
	Endpoint fleet.EndpointID
	Until    time.Duration
}

// SlotUnavailable tells that no slot is free, or that the answer was lost. Asking
// again for the same endpoint never takes a second slot.
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
func (OrderResult) orderMessage()     {}
func (SlotGranted) orderMessage()     {}
func (SlotUnavailable) orderMessage() {}
func (Tick) orderMessage()            {}

// Action is an output of Machine.
type Action interface{ orderAction() }

// Observe asks for the status of an endpoint.
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

// AcquireSlot asks the weight store for a download slot, or extends it.
type AcquireSlot struct {
	Endpoint fleet.EndpointID
	// Bytes is the size of the weights.
	Bytes int64
}

// ReleaseSlot gives a download slot back.
type ReleaseSlot struct{ Endpoint fleet.EndpointID }

func (Observe) orderAction()     {}
func (SendOrder) orderAction()   {}
func (AcquireSlot) orderAction() {}
func (ReleaseSlot) orderAction() {}
