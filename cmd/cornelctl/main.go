// Command cornelctl is the operators' client: it files tickets and reads the active
// configuration.
package main

import (
	"os"

	"github.com/cornelhold/cornelhold/internal/cli"
)

func main() {
	os.Exit(cli.ExitCode(cli.NewCommand().Execute()))
}
