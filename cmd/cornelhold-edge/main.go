// Command cornelhold-edge serves callers on an entry instance of the users'
// platform.
package main

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/edge"
	"github.com/cornelhold/cornelhold/platform"
)

const exampleCheck = "  cornelhold-edge config check --settings local.yaml"

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
		Example:      "  cornelhold-edge --settings local.yaml\n" + exampleCheck,
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
	root.AddCommand(daemon.ConfigCommand(exampleCheck, &path, check), daemon.VersionCommand("cornelhold-edge"))
	return root
}

func check(path string) error {
	_, err := platform.LoadSettings(path)
	return err
}
