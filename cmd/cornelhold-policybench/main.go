// Command cornelhold-policybench runs the policy benchmark. It prints the figures,
// one a line, and with -json writes them to a file. With -known it exits with status 1
// unless exactly the listed figures miss their bounds.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/cornelhold/cornelhold/internal/knownred"
	"github.com/cornelhold/cornelhold/internal/policybench"
)

const fileMode = 0o600

func main() {
	path := flag.String("json", "", "file to which the figures are written as JSON")
	known := flag.String("known", "", "list of figures that are known to miss their bounds; only failures are printed")
	flag.Parse()
	if err := run(*path, *known); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(path, knownPath string) error {
	figures := policybench.Run()
	if err := writeJSON(path, figures); err != nil {
		return err
	}
	if knownPath != "" {
		return compare(knownPath, figures)
	}
	for _, f := range figures {
		_, _ = fmt.Fprintln(os.Stdout, f)
	}
	return nil
}

func writeJSON(path string, figures []policybench.Figure) error {
	if path == "" {
		return nil
	}
	data, err := json.MarshalIndent(figures, "", "  ")
	if err != nil {
		return fmt.Errorf("encode figures: %w", err)
	}
	if err := os.WriteFile(path, data, fileMode); err != nil {
		return fmt.Errorf("write figures: %w; choose a writable path", err)
	}
	return nil
}

// compare prints the figures that miss their bounds and returns an error unless they
// are exactly those listed in the file at knownPath.
func compare(knownPath string, figures []policybench.Figure) error {
	file, err := os.Open(knownPath) //nolint:gosec // named on the command line
	if err != nil {
		return fmt.Errorf("open the list of known failures: %w; check the path", err)
	}
	defer func() { _ = file.Close() }()
	entries, err := knownred.Read(file)
	if err != nil {
		return err
	}
	var failed, passed []string
	for _, f := range figures {
		switch f.Verdict {
		case policybench.Fail:
			failed = append(failed, f.Name)
			_, _ = fmt.Fprintln(os.Stdout, f)
		case policybench.Pass:
			passed = append(passed, f.Name)
		}
	}
	result := knownred.Compare(entries, failed, passed)
	_, _ = fmt.Fprintf(os.Stdout, "policy figures: %d pass, %d known failures, %d new failures, %d stale entries\n",
		len(passed), len(result.Listed), len(result.Unlisted), len(result.Stale))
	if len(result.Unlisted) > 0 || len(result.Stale) > 0 {
		return fmt.Errorf("new failures %q, listed but not failing %q; fix the cause or correct %s",
			result.Unlisted, result.Stale, knownPath)
	}
	return nil
}
