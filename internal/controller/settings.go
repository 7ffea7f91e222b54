package controller

// Settings configures a controller process.
type Settings struct {
	// Instance names this own instance.
	Instance string `yaml:"instance" validate:"required,max=100"`
	// DataCentre and Region are the location of the instance.
	DataCentre string `yaml:"data_centre" validate:"required"`
	Region     string `yaml:"region" validate:"required"`
	// Admin is the address of /metrics, /healthz and /readyz.
	Admin string `yaml:"admin" validate:"required,hostname_port"`
	// Log, Cloud and Weights are the base URLs of the platform's services.
	Log     string `yaml:"log" validate:"required,http_url"`
	Cloud   string `yaml:"cloud" validate:"required,http_url"`
	Weights string `yaml:"weights" validate:"required,http_url"`
	// MaxShards limits the shards that this process acquires; 0 means no limit.
	MaxShards int `yaml:"max_shards" validate:"min=0"`
	// MaxOutDivisor limits a version change: at most 1/MaxOutDivisor of a service's
	// replicas, but at least one replica, may be out of service at a time.
	MaxOutDivisor int `yaml:"max_out_divisor" validate:"min=2,max=1000"`
	// MaxDownloadSlots limits the download slots held at a time.
	MaxDownloadSlots int `yaml:"max_download_slots" validate:"min=1,max=10000"`
	// MaxStarts limits the instance starts in flight.
	MaxStarts int `yaml:"max_starts" validate:"min=1,max=10000"`
	// StartsPerStep limits the instance starts per reconciliation step; there are
	// two steps per second.
	StartsPerStep int `yaml:"starts_per_step" validate:"min=1,max=1000"`
}

// DefaultSettings returns the default values of the optional settings.
func DefaultSettings() *Settings {
	return &Settings{MaxOutDivisor: 4, MaxDownloadSlots: 8, MaxStarts: 16, StartsPerStep: 4}
}
