// Command cornelhold-router accepts requests from callers and routes them to
// endpoints.
package main

import (
	"context"

	"github.com/cornelhold/cornelhold/internal/callerapi"
	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/router"
)

func main() {
	daemon.Program[router.Settings]{
		Name:     "cornelhold-router",
		Short:    "Serve callers and route their requests to endpoints",
		Long:     "cornelhold-router accepts requests from callers, chooses an endpoint for each and follows the active configuration.",
		Example:  "  cornelhold-router --config router.yaml\n  cornelhold-router config check --config router.yaml",
		Defaults: func() *router.Settings { return &router.Settings{LameDuck: router.DefaultLameDuck} },
		Admin:    func(s *router.Settings) string { return s.Admin },
		Run: func(ctx context.Context, env *daemon.Env, s *router.Settings) error {
			return router.Run(ctx, env, s, callerapi.New)
		},
	}.Main()
}
