package cli

import (
	"context"

	"github.com/spf13/cobra"
)

// storeView is what a command read from the users' store, for JSON and as a table.
type storeView struct {
	data any
	rows [][]string
}

// storeCommand completes a command that reads the users' store, whose address is a flag.
func storeCommand(o *options, command *cobra.Command, read func(ctx context.Context, address string) (storeView, error)) *cobra.Command {
	var store string
	command.Args = cobra.NoArgs
	command.Flags().StringVar(&store, "store", "", "address of the users' store, IP and port")
	command.RunE = func(cmd *cobra.Command, _ []string) error {
		if store == "" {
			return Error.New("no store given; pass --store IP:PORT (platform.addr of the settings file)")
		}
		ctx, cancel := o.context(cmd)
		defer cancel()
		view, err := read(ctx, store)
		if err != nil {
			return err
		}
		return o.print(cmd.OutOrStdout(), view.data, view.rows)
	}
	return command
}
