// Package cli contains the commands of cornelctl, the operators' client.
package cli

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/operator"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

// Error is the class of errors in the use of cornelctl.
var Error = errs.Class("cornelctl")

// Exit codes of cornelctl.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitLost: another ticket won the number.
	ExitLost = 3
	// ExitUnresolved: it is unknown whether the ticket was stored.
	ExitUnresolved = 4
	// ExitNotActive: the number did not become active on all live instances in time.
	ExitNotActive = 5
	// ExitInvalid: the ticket file is invalid; nothing was filed.
	ExitInvalid = 6
	// ExitUnavailable: the log service or the routers cannot be reached; nothing
	// was filed.
	ExitUnavailable = 7
)

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	switch {
	case err == nil:
		return ExitOK
	case operator.ErrNumberTaken.Has(err):
		return ExitLost
	case operator.ErrUnresolved.Has(err):
		return ExitUnresolved
	case operator.ErrNotActive.Has(err):
		return ExitNotActive
	case ticket.Error.Has(err), ticket.ErrInvalid.Has(err):
		return ExitInvalid
	case operator.ErrUnavailable.Has(err):
		return ExitUnavailable
	default:
		return ExitFailure
	}
}

const (
	outputTable = "table"
	outputJSON  = "json"
	// defaultTimeout bounds a command.
	defaultTimeout = 15 * time.Second
)

// options are the flags that all commands share.
type options struct {
	log     string
	routers []string
	output  string
	timeout time.Duration
}

const longHelp = `cornelctl files tickets on the log service and reads what is active on the routers.

Exit codes: 0 done; 1 other failure; 3 another ticket won the number; 4 it is
unknown whether the ticket was stored; 5 the number is not active everywhere;
6 the ticket file is invalid; 7 the log service or the routers cannot be reached.
After 3, 6 and 7 nothing was changed. After 4, run ticket show ID before filing again.`

// NewCommand returns the root command of cornelctl.
func NewCommand() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:          "cornelctl",
		Short:        "File tickets and read what is active",
		Long:         longHelp,
		SilenceUsage: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			if o.output != outputTable && o.output != outputJSON {
				return Error.New("unknown output %q; use --output table or --output json", o.output)
			}
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&o.log, "log", os.Getenv("CORNELCTL_LOG"), "base URL of the log service (default: $CORNELCTL_LOG)")
	flags.StringSliceVar(&o.routers, "router", defaultRouters(), "peer address of a router, IP and port; several are tried in turn (default: $CORNELCTL_ROUTER)")
	flags.StringVarP(&o.output, "output", "o", outputTable, "output format: table or json")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "time limit of the command")
	root.AddCommand(ticketCommand(o), stateCommand(o), explainCommand(), platformCommand(o), rolloutCommand(o), daemon.VersionCommand("cornelctl"))
	return root
}

func defaultRouters() []string {
	if value := os.Getenv("CORNELCTL_ROUTER"); value != "" {
		return strings.Split(value, ",")
	}
	return nil
}

func (o *options) context(cmd *cobra.Command) (context.Context, context.CancelFunc) {
	ctx := cmd.Context()
	if ctx == nil {
		ctx = context.Background()
	}
	return context.WithTimeout(ctx, o.timeout)
}

func (o *options) filer() (*operator.Filer, error) {
	if o.log == "" {
		return nil, Error.New("no log service given; pass --log URL or set CORNELCTL_LOG")
	}
	return operator.NewFiler(o.log), nil
}

// print writes value as JSON or rows as a table; the first row is the header.
func (o *options) print(w io.Writer, value any, rows [][]string) error {
	if o.output == outputJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, row := range rows {
		if _, err := io.WriteString(table, strings.Join(row, "\t")+"\n"); err != nil {
			return err
		}
	}
	return table.Flush()
}
