package router

// Settings configures a router process.
type Settings struct {
	// Instance names this own instance.
	Instance string `yaml:"instance" validate:"required,max=100"`
	// DataCentre and Region tell where the instance runs.
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
	// Log and Instances are the base URLs of the platform's services.
	Log       string `yaml:"log" validate:"required,http_url"`
	Instances string `yaml:"instances" validate:"required,http_url"`
}

// PeerSettings names another own instance.
type PeerSettings struct {
	Instance   string `yaml:"instance" validate:"required,max=100"`
	DataCentre string `yaml:"data_centre" validate:"required"`
	Region     string `yaml:"region" validate:"required"`
	// Address is the instance's peer_listen address.
	Address string `yaml:"address" validate:"required,hostname_port"`
}
