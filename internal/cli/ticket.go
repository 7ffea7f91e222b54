package cli

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/cornelhold/cornelhold/internal/operator"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

func ticketCommand(logURL *string) *cobra.Command {
	cmd := &cobra.Command{Use: "ticket", Short: "Check, file and read tickets"}
	cmd.AddCommand(ticketCheckCommand(), ticketFileCommand(logURL))
	return cmd
}

func ticketCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "check FILE",
		Short:   "Check a ticket file without filing it",
		Example: "  cornelctl ticket check deploy/hizakura/ticket.yaml",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readTicket(args[0])
			if err != nil {
				return err
			}
			objects, err := doc.Objects()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: ok, %d objects\n", args[0], len(objects))
			return err
		},
	}
}

func ticketFileCommand(logURL *string) *cobra.Command {
	var author string
	cmd := &cobra.Command{
		Use:     "file FILE",
		Short:   "File a ticket and report whether it was accepted",
		Example: "  cornelctl --log http://127.0.0.1:7000 ticket file ticket.yaml --author mika",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			doc, err := readTicket(args[0])
			if err != nil {
				return err
			}
			entry, err := operator.NewFiler(*logURL).File(cmd.Context(), doc, author)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "accepted: number %d, id %s\n", entry.Ticket.Number, entry.Ticket.ID)
			return err
		},
	}
	cmd.Flags().StringVar(&author, "author", os.Getenv("USER"), "name of the operator")
	return cmd
}

func readTicket(path string) (ticket.Document, error) {
	data, err := os.ReadFile(path) //nolint:gosec // the operator names the file
	if err != nil {
		return ticket.Document{}, ticket.Error.New("cannot read %s: %w; check the path", path, err)
	}
	return ticket.ParseFile(path, data)
}
