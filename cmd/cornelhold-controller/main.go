// Command cornelhold-controller makes endpoint instances match the active
// configuration.
package main

import (
	"github.com/cornelhold/cornelhold/internal/controller"
	"github.com/cornelhold/cornelhold/internal/daemon"
)

func main() {
	daemon.Program[controller.Settings]{
		Name:     "cornelhold-controller",
		Short:    "Make endpoint instances match the active configuration",
		Long:     "cornelhold-controller starts and stops instances and orders endpoints to load what the active configuration says. Several controllers share the work by leases.",
		Example:  "  cornelhold-controller --config controller.yaml\n  cornelhold-controller config check --config controller.yaml",
		Defaults: controller.DefaultSettings,
		Admin:    func(s *controller.Settings) string { return s.Admin },
		Run:      controller.Run,
	}.Main()
}
