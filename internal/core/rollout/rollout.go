// Package rollout decides how the traffic of a service moves to endpoints of another software
// version. Leader runs in the holder of the duties' lease: it judges the new version by the
// counts of all instances, chooses its share, and decides when the rollout is done or reverted.
// Follower runs in each instance: it chooses the version of each request by the newest plan.
// The package performs no input or output; the current time is passed in.
package rollout

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
)

// Order asks that a service's traffic moves to endpoints of a version.
type Order struct {
	Service fleet.ServiceName
	To      fleet.SoftwareVersion
	// CompleteBy is the time after the order by which a good version has all traffic.
	CompleteBy time.Duration
	// Position is the place of the order in its log. A later order replaces an earlier one.
	Position storelog.Position
}

// State is the state of a rollout.
type State uint8

// States of a rollout. Done and Reverted are final.
const (
	Running State = iota
	Done
	Reverted
)

// String returns the name used in logs, metrics and on the platform.
func (s State) String() string { return [...]string{"running", "done", "reverted"}[s] }

// IsFinal reports whether a rollout in this state never changes again.
func (s State) IsFinal() bool { return s != Running }

// Step is the progress of a running rollout.
type Step uint8

// Steps in their order.
const (
	// StepWait: no endpoint of the new version is registered yet.
	StepWait Step = iota
	// StepProbe: few requests, until there are responses and the rate is known.
	StepProbe
	// StepCanary: the share that the bound on exposure allows, until the verdict.
	StepCanary
	// StepQuarter, StepHalf and StepFull follow a positive verdict. The version is still
	// judged, since it may fail only under load.
	StepQuarter
	StepHalf
	StepFull
)

// String returns the name used in logs and metrics.
func (s Step) String() string {
	return [...]string{"wait", "probe", "canary", "quarter", "half", "full"}[s]
}

// Record is the durable state of a rollout.
type Record struct {
	Order Order
	// Epoch is the epoch of the store for which the record was written.
	Epoch storelog.Epoch
	// StartedAt is when the order was first read.
	StartedAt time.Duration
	Step      Step
	State     State
	// Exposed is the number of requests that were sent to the new version by then.
	Exposed int64
	// Withheld are versions of earlier rollouts that did not become done. They get no
	// requests.
	Withheld []fleet.SoftwareVersion
}

// Plan is what instances are told of a rollout.
type Plan struct {
	Service  fleet.ServiceName
	To       fleet.SoftwareVersion
	Withheld []fleet.SoftwareVersion
	// Order is the position of the order.
	Order storelog.Position
	// Fence is the fencing token of the holder that made the plan, 0 if only the order is known.
	Fence int64
	Step  Step
	// Revision counts the changes by one holder, also those of the step.
	Revision int64
	State    State
	// Share is the share of requests that go to the new version.
	Share float64
	// ConfirmedAt is when the holder last confirmed the plan, or when the order was first read.
	ConfirmedAt time.Duration
}

// supersedes reports whether p replaces q.
func (p Plan) supersedes(q Plan) bool {
	if p.Order != q.Order {
		return p.Order > q.Order
	}
	if p.Fence != q.Fence {
		return p.Fence > q.Fence
	}
	return p.Revision > q.Revision
}

// isNew reports whether a version is the one that the plan moves to.
func (p Plan) isNew(v fleet.SoftwareVersion) bool { return v == p.To }

// isOld reports whether requests may go to a version instead of the new one.
func (p Plan) isOld(v fleet.SoftwareVersion) bool {
	return v != p.To && !slices.Contains(p.Withheld, v)
}

// Key identifies the counts of a rollout.
type Key struct {
	Service fleet.ServiceName
	Order   storelog.Position
}

// Key returns the key of the counts of the plan's rollout.
func (p Plan) Key() Key { return Key{Service: p.Service, Order: p.Order} }
