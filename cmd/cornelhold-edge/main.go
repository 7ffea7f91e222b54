// Command cornelhold-edge serves callers on an entry instance of the users'
// platform.
package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/edge"
	"github.com/cornelhold/cornelhold/platform"
)

func main() {
	if err := command().Execute(); err != nil {
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var path string
	root := &cobra.Command{
		Use:          "cornelhold-edge",
		Short:        "Serve callers on an entry instance of the users' platform",
		Example:      "  cornelhold-edge --settings local.yaml\n  cornelhold-edge config check --settings local.yaml",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			return edge.Run(cmd.Context(), d)
		},
	}
	root.PersistentFlags().StringVar(&path, "settings", platform.SettingsPath(), "the platform's settings file (YAML)")
	root.AddCommand(configCommand(&path), daemon.VersionCommand("cornelhold-edge"))
	return root
}

func configCommand(path *string) *cobra.Command {
	config := &cobra.Command{Use: "config", Short: "Work with the settings file"}
	config.AddCommand(&cobra.Command{
		Use:   "check",
		Short: "Check the settings file and exit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := platform.LoadSettings(*path); err != nil {
				return err
			}
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s: ok\n", *path)
			return err
		},
	})
	return config
}
