// Package fleet defines the identifiers and the vocabulary that every state
// machine of the system shares. It contains no behaviour beyond formatting.
package fleet

// InstanceID names a machine, either one of the system's own instances or an
// instance that hosts an endpoint.
type InstanceID string

// DataCentre names a zone within a region.
type DataCentre string

// Region names a group of data centres.
type Region string

// TeamName names a customer of the deployment.
type TeamName string

// EndpointID names one replica of a service: a model engine or a plain service.
type EndpointID string

// ServiceName names a service as configured by tickets.
type ServiceName string

// InstanceClass names an instance type of the cloud API.
type InstanceClass string

// RequestID identifies an accepted request. It is a UUID in text form.
type RequestID string

// AttemptNumber counts the attempts of one request, starting at 1.
type AttemptNumber uint32

// Fingerprint identifies the content of a request: equal requests of one team
// have the same fingerprint.
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

// RunState tells a caller whether its request was executed.
type RunState uint8

// Run states. RunUnknown is the zero value so that an unset state never
// claims more than is known.
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

// PromptPart is one part of a model request's prompt. Requests share parts.
type PromptPart struct {
	ID     uint64
	Tokens int
}
