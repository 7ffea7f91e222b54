// Package standin runs stand-ins of the systems outside this one, for development
// and tests: the platform's services, model engines and plain services. One
// process serves all parts that its settings configure.
package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/standin/logservice"
	"github.com/cornelhold/cornelhold/internal/standin/modelengine"
	"github.com/cornelhold/cornelhold/internal/standin/plainservice"
	"github.com/cornelhold/cornelhold/internal/standin/platformapi"
	"github.com/cornelhold/cornelhold/internal/task"
)

// Settings configures the parts that a stand-in process serves. Parts without
// settings are not served.
type Settings struct {
	Admin     string             `yaml:"admin" validate:"omitempty,hostname_port"`
	Log       *LogSettings       `yaml:"log"`
	Instances *InstancesSettings `yaml:"instances"`
	Engines   []EngineSettings   `yaml:"engines" validate:"dive"`
	Plain     []PlainSettings    `yaml:"plain_services" validate:"dive"`
	Cloud     *CloudSettings     `yaml:"cloud"`
	Weights   *WeightsSettings   `yaml:"weights"`
}

// LogSettings configures the log service stand-in.
type LogSettings struct {
	Listen  string              `yaml:"listen" validate:"required,hostname_port"`
	Service logservice.Settings `yaml:"service"`
}

// InstancesSettings configures the instance list stand-in.
type InstancesSettings struct {
	Listen string           `yaml:"listen" validate:"required,hostname_port"`
	List   []InstanceRecord `yaml:"list" validate:"dive"`
}

// InstanceRecord is one instance of the initial list.
type InstanceRecord struct {
	ID         string `yaml:"id" validate:"required"`
	Service    string `yaml:"service" validate:"required"`
	Address    string `yaml:"address" validate:"required,hostname_port"`
	DataCentre string `yaml:"data_centre" validate:"required"`
	Class      string `yaml:"class"`
	Slots      int    `yaml:"slots" validate:"min=0"`
}

// EngineSettings configures one model engine stand-in.
type EngineSettings struct {
	Listen string               `yaml:"listen" validate:"required,hostname_port"`
	Engine modelengine.Settings `yaml:"engine"`
}

// PlainSettings configures one plain service stand-in.
type PlainSettings struct {
	Listen string `yaml:"listen" validate:"required,hostname_port"`
}

const headerTimeout = 5 * time.Second

// Run serves the configured parts until ctx ends.
func Run(ctx context.Context, env *daemon.Env, s *Settings) error {
	group := task.NewGroup(ctx)
	if s.Log != nil {
		service := logservice.New(s.Log.Service)
		group.Go("log", service.Run)
		group.Go("log server", serve(s.Log.Listen, service.Handler()))
	}
	var list *platformapi.Instances
	if s.Instances != nil {
		list = platformapi.NewInstances(s.Instances.initialInstances())
		group.Go("instances", list.Run)
		group.Go("instances server", serve(s.Instances.Listen, list.Handler()))
	}
	for _, e := range s.Engines {
		group.Go("engine", func(ctx context.Context) error {
			return modelengine.New(e.Engine).Serve(ctx, e.Listen)
		})
	}
	for _, p := range s.Plain {
		service := plainservice.New()
		group.Go("plain service", service.Run)
		group.Go("plain service server", serve(p.Listen, service.Handler()))
	}
	if s.Cloud != nil {
		runCloud(group, s.Cloud, list)
	}
	if s.Weights != nil {
		runWeights(group, s.Weights)
	}
	env.Ready.Set("")
	return group.Wait()
}

func (s *InstancesSettings) initialInstances() []platform.Instance {
	instances := make([]platform.Instance, 0, len(s.List))
	for _, i := range s.List {
		instances = append(instances, platform.Instance{
			ID: i.ID, Service: i.Service, Address: i.Address, DataCentre: i.DataCentre,
			Class: i.Class, Slots: i.Slots, State: "live",
		})
	}
	return instances
}

// serve returns a task that serves HTTP on address. It starts to listen before it
// returns, so that the process accepts connections when it reports ready.
func serve(address string, handler http.Handler) func(context.Context) error {
	listener, err := net.Listen("tcp", address)
	return func(ctx context.Context) error {
		if err != nil {
			return daemon.Error.New("cannot listen on %s: %w; free the port or change the setting", address, err)
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		return server.Serve(listener)
	}
}
