package controller

// Settings configures a controller process.
type Settings struct {
	// Instance names this own instance.
	Instance string `yaml:"instance" validate:"required,max=100"`
	// DataCentre and Region tell where the instance runs.
	DataCentre string `yaml:"data_centre" validate:"required"`
	Region     string `yaml:"region" validate:"required"`
	// Admin is the address of /metrics, /healthz and /readyz.
	Admin string `yaml:"admin" validate:"required,hostname_port"`
	// Log, Cloud and Weights are the base URLs of the platform's services.
	Log     string `yaml:"log" validate:"required,http_url"`
	Cloud   string `yaml:"cloud" validate:"required,http_url"`
	Weights string `yaml:"weights" validate:"required,http_url"`
	// MaxShards bounds the shards that this process acquires; 0 means no bound.
	MaxShards int `yaml:"max_shards" validate:"min=0"`
	// MaxOutDivisor: a version change takes at most one in that many replicas of
	// a service out of service at once, at least one.
	MaxOutDivisor int `yaml:"max_out_divisor" validate:"min=2,max=1000"`
	// MaxDownloadSlots bounds the download slots held at a time.
	MaxDownloadSlots int `yaml:"max_download_slots" validate:"min=1,max=10000"`
	// MaxStarts bounds the instance starts that are in flight.
	MaxStarts int `yaml:"max_starts" validate:"min=1,max=10000"`
	// StartsPerStep bounds the starts of one step, twice a second.
	StartsPerStep int `yaml:"starts_per_step" validate:"min=1,max=1000"`
}

// DefaultSettings returns the settings that a file may leave out.
func DefaultSettings() *Settings {
	return &Settings{MaxOutDivisor: 4, MaxDownloadSlots: 8, MaxStarts: 16, StartsPerStep: 4}
}
