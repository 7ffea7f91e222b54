package router

import "time"

// DefaultLameDuck is the default of the lame_duck setting.
const DefaultLameDuck = 2 * time.Second

// Settings configures a router process.
type Settings struct {
	// Instance names this own instance.
	Instance string `yaml:"instance" validate:"required,max=100"`
	// DataCentre and Region are the location of the instance.
	DataCentre string `yaml:"data_centre" validate:"required"`
	Region     string `yaml:"region" validate:"required"`
	// Listen is the address of the callers' interface, IP and port.
	Listen string `yaml:"listen" validate:"required,hostname_port"`
	// Admin is the address of /metrics, /healthz and /readyz.
	Admin string `yaml:"admin" validate:"required,hostname_port"`
	// PeerListen is the address for other own instances, TCP and UDP.
	PeerListen string `yaml:"peer_listen" validate:"required,hostname_port"`
	// Peers are the own instances to contact at start.
	Peers []PeerSettings `yaml:"peers" validate:"dive"`
	// SilenceBound is the longest time without a byte on an endpoint's stream; 0
	// means 3 s.
	SilenceBound time.Duration `yaml:"silence_bound" validate:"min=0"`
	// LameDuck is the time after the signal to stop in which new connections are
	// still accepted and idle ones kept open, until load balancers have detected
	// that the router is not ready.
	LameDuck time.Duration `yaml:"lame_duck" validate:"min=0"`
	// ShutdownBound bounds the time in which open requests can be completed after
	// the signal to stop; 0 means no bound, so that no request is aborted.
	ShutdownBound time.Duration `yaml:"shutdown_bound" validate:"min=0"`
	// Log and Instances are the base URLs of the platform's services.
	Log       string `yaml:"log" validate:"required,http_url"`
	Instances string `yaml:"instances" validate:"required,http_url"`
}

// PeerSettings identifies another own instance.
type PeerSettings struct {
	Instance   string `yaml:"instance" validate:"required,max=100"`
	DataCentre string `yaml:"data_centre" validate:"required"`
	Region     string `yaml:"region" validate:"required"`
	// Address is the instance's peer_listen address.
	Address string `yaml:"address" validate:"required,hostname_port"`
}
