// Command cornelctl is the operators' client: it files tickets and reads what
// is active.
package main

import (
	"os"

	"github.com/cornelhold/cornelhold/internal/cli"
	"github.com/cornelhold/cornelhold/internal/operator"
)

func main() {
	err := cli.NewCommand().Execute()
	switch {
	case err == nil:
	case operator.ErrLost.Has(err):
		os.Exit(cli.ExitLost)
	case operator.ErrUnresolved.Has(err):
		os.Exit(cli.ExitUnresolved)
	default:
		os.Exit(cli.ExitFailure)
	}
}
