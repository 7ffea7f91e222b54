// Package fleet defines the identifiers and basic types that all state machines
// of the system share. It contains no behaviour beyond formatting and parsing.
package fleet

// InstanceID identifies an instance (a machine): one that runs a process of
// this system or one that hosts an endpoint.
type InstanceID string

// DataCentre is the name of an availability zone within a region.
type DataCentre string

// Region is the name of a group of data centres.
type Region string

// TeamName is the name of a team, a customer of the deployment.
type TeamName string

// EndpointID identifies an endpoint: one replica of a model engine or of a
// plain service.
type EndpointID string

// ServiceName is the name of a service in the configuration.
type ServiceName string

// SoftwareVersion is the version of the software that an endpoint runs.
type SoftwareVersion string

// InstanceClass is the name of an instance type of the cloud API.
type InstanceClass string

// RequestID identifies an accepted request. It is a UUID in text form.
type RequestID string

// AttemptNumber counts the attempts of one request, starting at 1.
type AttemptNumber uint32

// Fingerprint is a hash of a request's content: equal requests of one team have
// the same fingerprint.
type Fingerprint uint64

// Class is the scheduling class of a request. Lower values are served first.
type Class uint8

// Scheduling classes in order of priority.
const (
	ClassInteractive Class = iota
	ClassStandard
	ClassBatch
	// ClassCount is the number of classes.
	ClassCount = 3
)

// String returns the name used in settings, metrics and logs.
func (c Class) String() string {
	switch c {
	case ClassInteractive:
		return "interactive"
	case ClassStandard:
		return "standard"
	case ClassBatch:
		return "batch"
	default:
		return "invalid"
	}
}

// ParseClass returns the class with the given name.
func ParseClass(name string) (Class, bool) {
	for c := ClassInteractive; c <= ClassBatch; c++ {
		if c.String() == name {
			return c, true
		}
	}
	return 0, false
}

// RunState states whether a request was executed.
type RunState uint8

// Run states. RunUnknown is the zero value, so that an unset state makes no
// claim about the execution.
const (
	RunUnknown RunState = iota
	RunNotRun
	RunRan
)

// String returns the name used on the wire.
func (s RunState) String() string {
	switch s {
	case RunNotRun:
		return "not_run"
	case RunRan:
		return "ran"
	default:
		return "unknown"
	}
}

// PromptPart is one part of a model request's prompt. Requests that
// share a part have the same ID for it.
type PromptPart struct {
	ID     uint64
	Tokens int
}
