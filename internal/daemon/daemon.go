// Package daemon contains the common parts of all programs: the cobra root command
// with its config and version subcommands, signal handling, logging and the
// admin server with /metrics, /healthz and /readyz.
package daemon

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/spf13/cobra"

	"github.com/cornelhold/cornelhold/internal/settings"
)

// Program describes a daemon with settings of type S.
type Program[S any] struct {
	Name    string
	Short   string
	Long    string
	Example string
	// Defaults returns settings with default values.
	Defaults func() *S
	// Admin returns the address of the admin server, empty for none.
	Admin func(*S) string
	// Run serves until ctx is cancelled, then shuts down gracefully.
	Run func(ctx context.Context, env *Env, s *S) error
}

// Env holds the logger, metrics, readiness and admin handlers of a running program.
type Env struct {
	Log     log.Interface
	Metrics *prometheus.Registry
	Ready   *Readiness
	// Admin serves requests to the admin address; a program may add handlers to it.
	Admin *http.ServeMux
}

// Main runs the program with the arguments of the process.
func (p Program[S]) Main() {
	if err := p.Command().Execute(); err != nil {
		os.Exit(1)
	}
}

// Command returns the cobra command of the program.
func (p Program[S]) Command() *cobra.Command {
	var path string
	root := &cobra.Command{
		Use:           p.Name,
		Short:         p.Short,
		Long:          p.Long,
		Example:       p.Example,
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: false,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s := p.Defaults()
			if err := settings.Load(path, s); err != nil {
				return err
			}
			return p.serve(cmd.Context(), s)
		},
	}
	root.PersistentFlags().StringVar(&path, "config", "", "settings file (YAML)")
	example := "  " + p.Name + " config check --config " + p.Name + ".yaml"
	root.AddCommand(ConfigCommand(example, &path, func(path string) error {
		return settings.Load(path, p.Defaults())
	}), VersionCommand(p.Name))
	return root
}

// ConfigCommand returns the command that checks the settings file at path.
func ConfigCommand(example string, path *string, check func(path string) error) *cobra.Command {
	config := &cobra.Command{Use: "config", Short: "Work with the settings file"}
	config.AddCommand(&cobra.Command{
		Use:     "check",
		Short:   "Check the settings file and exit",
		Example: example,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := check(*path); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", *path)
			return err
		},
	})
	return config
}

// VersionCommand returns the command that prints the version recorded by the Go
// toolchain.
func VersionCommand(name string) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version and exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), name, version())
			return err
		},
	}
}

func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version + " " + info.GoVersion
}

func (p Program[S]) serve(ctx context.Context, s *S) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logger := &log.Logger{Handler: json.New(os.Stderr), Level: log.InfoLevel}
	env := &Env{
		Log:     logger.WithField("program", p.Name),
		Metrics: prometheus.NewRegistry(),
		Ready:   NewReadiness(),
		Admin:   http.NewServeMux(),
	}
	env.Metrics.MustRegister(
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	admin, err := startAdmin(p.Admin(s), env)
	if err != nil {
		return err
	}
	defer admin.close()
	return p.Run(ctx, env, s)
}
