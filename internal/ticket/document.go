// Package ticket translates tickets between their YAML file form, their JSON
// form in the log and the core's types, and checks them before they are filed.
package ticket

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors about tickets.
var Error = errs.Class("ticket")

// SchemaVersion is the version of the object encoding that this program writes.
const SchemaVersion = 1

// Document is the file form of a ticket. Number 0 makes the client use the
// number after the active one.
type Document struct {
	Number      uint64       `yaml:"number"`
	Comment     string       `yaml:"comment" validate:"max=2000"`
	Services    []Service    `yaml:"services" validate:"dive"`
	Models      []Model      `yaml:"models" validate:"dive"`
	Teams       []Team       `yaml:"teams" validate:"dive"`
	DataCentres []DataCentre `yaml:"data_centres" validate:"dive"`
	// Delete lists objects to remove, as kind/name.
	Delete []string `yaml:"delete" validate:"dive,contains=/"`
}

// Service is the file form of config.Service.
type Service struct {
	Name          string        `yaml:"name" json:"name" validate:"required,max=100"`
	Kind          string        `yaml:"kind" json:"kind" validate:"required,oneof=model plain"`
	Model         string        `yaml:"model" json:"model,omitempty" validate:"required_if=Kind model"`
	Adapters      []string      `yaml:"adapters" json:"adapters,omitempty"`
	Class         string        `yaml:"class" json:"class" validate:"required,oneof=interactive standard batch"`
	FirstToken    time.Duration `yaml:"first_token" json:"first_token_ns,omitempty" validate:"min=0"`
	BetweenTokens time.Duration `yaml:"between_tokens" json:"between_tokens_ns,omitempty" validate:"min=0"`
	Deadline      time.Duration `yaml:"deadline" json:"deadline_ns" validate:"required,min=1ms"`
	ChecksFencing bool          `yaml:"checks_fencing" json:"checks_fencing"`
	Replicas      []Replicas    `yaml:"replicas" json:"replicas" validate:"required,dive"`
	Operations    []Operation   `yaml:"operations" json:"operations,omitempty" validate:"required_if=Kind plain,dive"`
}

// Replicas is the file form of config.Replicas.
type Replicas struct {
	DataCentre  string `yaml:"data_centre" json:"data_centre" validate:"required"`
	Class       string `yaml:"class" json:"class" validate:"required"`
	Role        string `yaml:"role" json:"role,omitempty" validate:"omitempty,oneof=mixed prefill decode"`
	Reclaimable int    `yaml:"reclaimable" json:"reclaimable" validate:"min=0"`
	OnDemand    int    `yaml:"on_demand" json:"on_demand" validate:"min=0"`
}

// Operation is the file form of config.Operation.
type Operation struct {
	Name       string        `yaml:"name" json:"name" validate:"required,max=100"`
	Idempotent bool          `yaml:"idempotent" json:"idempotent"`
	Class      string        `yaml:"class" json:"class" validate:"required,oneof=interactive standard batch"`
	Latency    time.Duration `yaml:"latency" json:"latency_ns" validate:"min=0"`
}

// Model is the file form of config.Model.
type Model struct {
	Name          string `yaml:"name" json:"name" validate:"required,max=100"`
	Version       string `yaml:"version" json:"version" validate:"required"`
	WeightBytes   int64  `yaml:"weight_bytes" json:"weight_bytes" validate:"min=0"`
	ContextTokens int    `yaml:"context_tokens" json:"context_tokens" validate:"min=1"`
}

// Team is the file form of config.Team.
type Team struct {
	Name string `yaml:"name" json:"name" validate:"required,max=100"`
	// KeyHashes are SHA-256 hashes in hexadecimal, so that a ticket holds no secret.
	KeyHashes         []string `yaml:"key_sha256" json:"key_sha256" validate:"required,dive,len=64,hexadecimal"`
	Weight            int      `yaml:"weight" json:"weight" validate:"min=1,max=1000"`
	RequestsPerSecond float64  `yaml:"requests_per_second" json:"requests_per_second" validate:"min=0"`
	MaxInFlight       int      `yaml:"max_in_flight" json:"max_in_flight" validate:"min=0"`
}

// DataCentre is the file form of config.DataCentre.
type DataCentre struct {
	Name      string                   `yaml:"name" json:"name" validate:"required"`
	Region    string                   `yaml:"region" json:"region" validate:"required"`
	Distances map[string]time.Duration `yaml:"distances" json:"distances_ns,omitempty" validate:"dive,min=0"`
	Prices    map[string]Price         `yaml:"prices" json:"prices,omitempty"`
}

// Price is the file form of config.Price, in currency units per hour.
type Price struct {
	Reclaimable float64 `yaml:"reclaimable" json:"reclaimable" validate:"min=0"`
	OnDemand    float64 `yaml:"on_demand" json:"on_demand" validate:"min=0"`
}
