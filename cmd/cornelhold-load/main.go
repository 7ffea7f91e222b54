// Command cornelhold-load sends a planned load to routers.
package main

import (
	"os"

	"github.com/cornelhold/cornelhold/internal/load"
)

func main() {
	if load.NewCommand().Execute() != nil {
		os.Exit(1)
	}
}
