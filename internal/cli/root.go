// Package cli contains the commands of cornelctl, the operators' client.
package cli

import (
	"os"

	"github.com/spf13/cobra"

	"github.com/cornelhold/cornelhold/internal/daemon"
)

// Exit codes of cornelctl.
const (
	ExitFailure = 1
	// ExitLost: another ticket won the number.
	ExitLost = 3
	// ExitUnresolved: it is unknown whether the ticket was stored.
	ExitUnresolved = 4
)

// NewCommand returns the root command of cornelctl.
func NewCommand() *cobra.Command {
	var logURL string
	root := &cobra.Command{
		Use:          "cornelctl",
		Short:        "File tickets and read what is active",
		SilenceUsage: true,
	}
	root.PersistentFlags().StringVar(&logURL, "log", os.Getenv("CORNELCTL_LOG"),
		"base URL of the log service (default: $CORNELCTL_LOG)")
	root.AddCommand(ticketCommand(&logURL), daemon.VersionCommand("cornelctl"))
	return root
}
