// Command cornelhold-policybench prints the policy figures, one a line, and
// writes the same as JSON. It exits with status 1 when a figure misses its
// bound and -strict is set.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/cornelhold/cornelhold/internal/policybench"
)

const fileMode = 0o600

func main() {
	path := flag.String("json", "", "file to which the figures are written as JSON")
	strict := flag.Bool("strict", false, "exit with status 1 when a figure misses its bound")
	flag.Parse()
	if err := run(*path, *strict); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path string, strict bool) error {
	figures := policybench.Run()
	missed := 0
	for _, f := range figures {
		_, _ = fmt.Fprintln(os.Stdout, f)
		if f.Verdict == policybench.Fail {
			missed++
		}
	}
	if path != "" {
		data, err := json.MarshalIndent(figures, "", "  ")
		if err != nil {
			return fmt.Errorf("encode figures: %w", err)
		}
		if err := os.WriteFile(path, data, fileMode); err != nil {
			return fmt.Errorf("write figures: %w; choose a writable path", err)
		}
	}
	if strict && missed > 0 {
		return fmt.Errorf("%d figures miss their bounds; see the lines marked fail", missed)
	}
	return nil
}
