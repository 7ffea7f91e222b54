package config

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// ServiceKind states how requests to a service are executed.
type ServiceKind uint8

// Service kinds.
const (
	ServiceModel ServiceKind = iota + 1
	ServicePlain
)

// Spec is the typed view of a snapshot. It is immutable once built.
type Spec struct {
	Number      Number
	Services    map[fleet.ServiceName]*Service
	Models      map[string]*Model
	Teams       map[fleet.TeamName]*Team
	DataCentres map[fleet.DataCentre]*DataCentre
}

// Service configures one service.
type Service struct {
	Name fleet.ServiceName
	Kind ServiceKind
	// Model names the model that the endpoints of a model service run.
	Model string
	// Adapters are the adapters that the endpoints keep loaded.
	Adapters []string
	// Class is the scheduling class of calls that do not name one.
	Class fleet.Class
	// FirstToken is the p95 target of the latency to the first token.
	FirstToken time.Duration
	// BetweenTokens is the p95 target of the latency between tokens.
	BetweenTokens time.Duration
	// Deadline bounds the time that a request may wait before it is granted.
	Deadline time.Duration
	// ChecksFencing reports whether endpoints refuse old fencing tokens.
	ChecksFencing bool
	// Replicas lists how many endpoints run where.
	Replicas []Replicas
	// Operations lists the calls of a plain service.
	Operations map[string]*Operation
}

// Replicas is the number of endpoints of a service in one data centre.
type Replicas struct {
	DataCentre  fleet.DataCentre
	Class       fleet.InstanceClass
	Role        string
	Reclaimable int
	OnDemand    int
}

// Operation configures one call of a plain service.
type Operation struct {
	Name string
	// Idempotent calls may be retried and hedged; all others run at most once.
	Idempotent bool
	Class      fleet.Class
	// Latency is the p95 target of the call.
	Latency time.Duration
}

// Model configures a model, its version and the size of its weights.
type Model struct {
	Name    string
	Version string
	// WeightBytes is the size of the weights in bytes.
	WeightBytes int64
	// ContextTokens limits the tokens of prompt and completion together.
	ContextTokens int
}

// Team configures a team, that is, a customer.
type Team struct {
	Name fleet.TeamName
	// KeyHashes are SHA-256 hashes of the team's API keys in hexadecimal.
	KeyHashes []string
	// Weight is the team's share under contention.
	Weight int
	// RequestsPerSecond limits accepted requests; 0 means no limit.
	RequestsPerSecond float64
	// MaxInFlight limits concurrent requests; 0 means no limit.
	MaxInFlight int
}

// DataCentre configures a zone: its region, its distances and its prices.
type DataCentre struct {
	Name   fleet.DataCentre
	Region fleet.Region
	// Distances are one-way delays to other data centres.
	Distances map[fleet.DataCentre]time.Duration
	// Prices are per instance class, in currency units per hour.
	Prices map[fleet.InstanceClass]Price
}

// Price is the price of one instance per hour.
type Price struct {
	Reclaimable float64
	OnDemand    float64
}
