package rollout

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// Inputs are what Leader decides by.
type Inputs struct {
	// Fence is the fencing token of the lease.
	Fence     int64
	Catalog   *catalog.Catalog
	Endpoints []catalog.Endpoint
	// ListSettled is set once endpoints that still run have renewed their entries since the list
	// of the store's current epoch was first read.
	ListSettled bool
	// Sums are the counts of all reached instances, Age their age.
	Sums map[Key]Counts
	Age  time.Duration
	// Instances is the number of reached instances with this one, Lost that of instances whose
	// reports have stopped recently.
	Instances, Lost int
	// Demand is the load of the services, as a multiple of what one endpoint can carry.
	Demand map[fleet.ServiceName]float64
}

// Action is an output of Leader.
type Action interface{ action() }

// Save asks that a record is written. The result is passed to Saved or SaveFailed.
type Save struct{ Record Record }

// Publish asks that the state of a rollout is written for the operator. The result is passed to
// Published.
type Publish struct {
	Order Order
	State State
}

// Ignored reports for the log an order that changes nothing.
type Ignored struct {
	Order  Order
	Reason Reason
}

// Reason is why an order changes nothing.
type Reason uint8

// Reasons.
const (
	// ReasonUnknownService: the configuration has no such service.
	ReasonUnknownService Reason = iota
	// ReasonDuplicate: the last order for the service names the same version.
	ReasonDuplicate
	// ReasonNoEndpoints: the version had no endpoint until the deadline.
	ReasonNoEndpoints
)

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	return [...]string{"unknown-service", "duplicate", "no-endpoints"}[r]
}

// Status describes a rollout and the inputs of its last decision.
type Status struct {
	Record Record
	// Since is the time since the order.
	Since time.Duration
	Share float64
	// Arrived and Exposed are the requests that reached the service and the new version, Rate
	// those per second that reached the service.
	Arrived, Exposed, Rate float64
	// Old and New are the responses by version. ActiveOld are the requests that run on the old
	// versions, Moved the instances that send nothing more there, of Instances.
	Old, New         Responses
	ActiveOld, Moved int64
	Instances        int
	// Demand is the smoothed load of the service, NewReady the endpoints that may carry it.
	Demand   float64
	NewReady int
	// Score is that of the test for a bad version, Threshold the one from which it is bad. Slow is
	// set if the ranks of its times show that it is slower.
	Score, Threshold float64
	Slow             bool
	// Accepted is set if the responses show that the version is good at the present step. Rank is
	// the share of pairs of a new and an old response in which the new one took longer.
	Accepted bool
	Rank     float64
}

// Decided reports for the log that a record was written and takes effect.
type Decided struct{ Status Status }

func (Save) action()    {}
func (Publish) action() {}
func (Ignored) action() {}
func (Decided) action() {}
