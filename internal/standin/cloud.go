package standin

import (
	"context"
	"net"
	"net/http"
	"slices"

	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/standin/modelengine"
	"github.com/cornelhold/cornelhold/internal/standin/plainservice"
	"github.com/cornelhold/cornelhold/internal/standin/platformapi"
	"github.com/cornelhold/cornelhold/internal/task"
)

// CloudSettings configures the cloud API stand-in. The endpoints that it starts
// run in this process on loopback ports.
type CloudSettings struct {
	Listen string                    `yaml:"listen" validate:"required,hostname_port"`
	Cloud  platformapi.CloudSettings `yaml:"cloud"`
	Engine modelengine.Settings      `yaml:"engine"`
	Orders modelengine.OrderSettings `yaml:"orders"`
	// Plain lists the services whose instances run a plain service; the instances
	// of all others run a model engine.
	Plain []string `yaml:"plain"`
}

// WeightsSettings configures the weight store stand-in.
type WeightsSettings struct {
	Listen string                     `yaml:"listen" validate:"required,hostname_port"`
	Store  platformapi.WeightSettings `yaml:"store"`
}

// runCloud starts the cloud API. Unless list is nil, it shows the cloud's instances.
func runCloud(group *task.Group, s *CloudSettings, list *platformapi.Instances) {
	cloud := platformapi.NewCloud(s.Cloud, list, newLauncher(group, s))
	group.Go("cloud", cloud.Run)
	group.Go("cloud server", serve(s.Listen, cloud.Handler()))
}

func runWeights(group *task.Group, s *WeightsSettings) {
	weights := platformapi.NewWeights(s.Store)
	group.Go("weights", weights.Run)
	group.Go("weights server", serve(s.Listen, weights.Handler()))
}

// newLauncher returns a function that starts an endpoint in this process for an
// instance. The endpoint runs until the instance's ctx ends.
func newLauncher(group *task.Group, s *CloudSettings) platformapi.Launch {
	return func(ctx context.Context, i platform.CloudInstance) (string, error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", daemon.Error.New("cannot listen on a loopback port: %w; close unused processes", err)
		}
		var handler http.Handler
		if slices.Contains(s.Plain, i.Service) {
			handler = hostPlain(ctx, group)
		} else {
			handler = hostEngine(ctx, group, s)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		group.Go("hosted server", func(context.Context) error {
			stop := context.AfterFunc(ctx, func() { _ = server.Close() })
			defer stop()
			_ = server.Serve(listener)
			return nil
		})
		return listener.Addr().String(), nil
	}
}

func hostEngine(ctx context.Context, group *task.Group, s *CloudSettings) http.Handler {
	engine, orders := modelengine.New(s.Engine), modelengine.NewOrders(s.Orders)
	group.Go("hosted engine", func(context.Context) error { return engine.Run(ctx) })
	group.Go("hosted orders", func(context.Context) error { return orders.Run(ctx) })
	return orders.Handler(engine.Handler())
}

func hostPlain(ctx context.Context, group *task.Group) http.Handler {
	service := plainservice.New()
	group.Go("hosted plain service", func(context.Context) error { return service.Run(ctx) })
	return service.Handler()
}
