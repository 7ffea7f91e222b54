// Package load is an open-loop load generator: requests start at times that the
// seed determines, whether or not earlier ones have completed, so that a slow
// system doesn't reduce its own load (coordinated omission).
package load

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of the load generator.
var Error = errs.Class("load")

// Experiment is the configuration file of one run.
type Experiment struct {
	// Targets are base URLs of routers, which are used in round-robin order.
	Targets  []string      `yaml:"targets" validate:"required,min=1,dive,http_url"`
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration" validate:"required,min=100ms,max=1h"`
	// MaxInFlight bounds concurrent requests. Arrivals beyond it are counted as
	// skipped, since the load generator is the bottleneck then.
	MaxInFlight int     `yaml:"max_in_flight" validate:"min=0,max=20000"`
	Classes     []Class `yaml:"classes" validate:"required,min=1,dive"`
}

// Class is one kind of request with its own rate.
type Class struct {
	Name string `yaml:"name" validate:"required"`
	// Kind is chat (streamed) or call (plain service).
	Kind string `yaml:"kind" validate:"required,oneof=chat call"`
	// Key is the API key of the team.
	Key     string `yaml:"key" validate:"required"`
	Service string `yaml:"service" validate:"required"`
	// Operation and Body apply to calls.
	Operation string `yaml:"operation" validate:"required_if=Kind call"`
	Body      string `yaml:"body"`
	// Unique adds a new Idempotency-Key to each call.
	Unique bool `yaml:"unique_key"`
	// RatePerSecond is the mean arrival rate.
	RatePerSecond float64 `yaml:"rate_per_second" validate:"gt=0,max=100000"`
	// PrefixBytes of the prompt are shared by all requests of one of
	// PrefixGroups groups; SuffixBytes are unique.
	PrefixBytes  int `yaml:"prefix_bytes" validate:"min=0,max=1000000"`
	PrefixGroups int `yaml:"prefix_groups" validate:"min=0,max=100000"`
	SuffixBytes  int `yaml:"suffix_bytes" validate:"min=0,max=1000000"`
	MaxTokens    int `yaml:"max_tokens" validate:"min=0,max=100000"`
}

// DefaultMaxInFlight applies when an experiment sets no bound.
const DefaultMaxInFlight = 1000

// Arrival is one planned request.
type Arrival struct {
	// At is the time since the start of the run.
	At time.Duration
	// Class is an index of Experiment.Classes.
	Class int
	// Sequence numbers the arrivals of a class and seeds the prompt.
	Sequence int
}

// Plan returns all arrivals in order of time: a Poisson process for each class.
// Equal experiments have equal plans.
func (e *Experiment) Plan() []Arrival {
	var arrivals []Arrival
	for i, class := range e.Classes {
		source := rand.New(rand.NewPCG(e.Seed, uint64(i)))
		at := time.Duration(0)
		for sequence := 0; ; sequence++ {
			at += time.Duration(source.ExpFloat64() / class.RatePerSecond * float64(time.Second))
			if at >= e.Duration {
				break
			}
			arrivals = append(arrivals, Arrival{At: at, Class: i, Sequence: sequence})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}
