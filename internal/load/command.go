package load

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/settings"
)

// NewCommand returns the root command of cornelhold-load.
func NewCommand() *cobra.Command {
	var path, output string
	root := &cobra.Command{
		Use:   "cornelhold-load",
		Short: "Send a planned load to routers and report latencies",
		Long: "cornelhold-load carries out an experiment file: classes of requests with rates, a duration\n" +
			"and a seed. Arrivals are open loop. Use it against routers on loopback or your own test hosts.",
		Example:      "  cornelhold-load --config deploy/hizakura/load.yaml\n  cornelhold-load --config load.yaml --output json",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var e Experiment
			if err := settings.Load(path, &e); err != nil {
				return err
			}
			report := Run(cmd.Context(), &e)
			switch output {
			case "text":
				return report.WriteText(cmd.OutOrStdout())
			case "json":
				return report.WriteJSON(cmd.OutOrStdout())
			default:
				return Error.New("unknown output %q; use text or json", output)
			}
		},
	}
	root.PersistentFlags().StringVar(&path, "config", "", "experiment file (YAML)")
	root.Flags().StringVar(&output, "output", "text", "output format: text or json")
	root.AddCommand(checkCommand(&path), daemon.VersionCommand("cornelhold-load"))
	return root
}

func checkCommand(path *string) *cobra.Command {
	config := &cobra.Command{Use: "config", Short: "Work with the experiment file"}
	config.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check the experiment file and exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var e Experiment
			if err := settings.Load(*path, &e); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: ok, %d arrivals planned\n", *path, len(e.Plan()))
			return err
		},
	})
	return config
}
