// Command cornelhold-standin serves stand-ins of the platform and of endpoints
// for development and tests.
package main

import (
	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/standin"
)

func main() {
	daemon.Program[standin.Settings]{
		Name:     "cornelhold-standin",
		Short:    "Serve stand-ins of the platform and of endpoints",
		Long:     "cornelhold-standin serves small stand-ins of the log service, the instance list and model engines. It is for development and tests only.",
		Example:  "  cornelhold-standin --config standin.yaml",
		Defaults: func() *standin.Settings { return &standin.Settings{} },
		Admin:    func(s *standin.Settings) string { return s.Admin },
		Run:      standin.Run,
	}.Main()
}
