// Package knownred reads KNOWN-RED.txt, the list of checks that are expected to fail
// because of a fault that is not fixed yet, and compares it with the results of a run.
package knownred

import (
	"bufio"
	"io"
	"path"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors in the list.
var Error = errs.Class("known red")

// prefix starts an entry about a figure of the policy benchmark.
const prefix = "figure: "

// Entry is one entry of the list: a set of figures that are expected to fail.
type Entry struct {
	// Pattern matches figure names as path.Match does.
	Pattern string
	// Text is the rest of the entry: command, what was seen, issue.
	Text string
}

// Read returns the figure entries of the list. Blank lines, comments and
// entries about tests are skipped.
func Read(r io.Reader) ([]Entry, error) {
	var entries []Entry
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		rest, ok := strings.CutPrefix(scanner.Text(), prefix)
		if !ok {
			continue
		}
		pattern, text, ok := strings.Cut(rest, " | ")
		if _, err := path.Match(pattern, ""); err != nil || !ok {
			return nil, Error.New("line %d: want %q followed by a pattern, \" | \" and what was seen", line, prefix)
		}
		entries = append(entries, Entry{Pattern: pattern, Text: text})
	}
	return entries, Error.Wrap(scanner.Err())
}

// Result is the comparison of a run with the list.
type Result struct {
	// Listed and Unlisted name the failed figures that are on the list and those that
	// are not.
	Listed, Unlisted []string
	// Stale names listed figures that pass, and patterns that match no failed figure.
	Stale []string
}

// Compare sorts the failed and passed figures of a run by the entries of the list.
func Compare(entries []Entry, failed, passed []string) Result {
	var result Result
	for _, name := range failed {
		if listed(entries, name) {
			result.Listed = append(result.Listed, name)
		} else {
			result.Unlisted = append(result.Unlisted, name)
		}
	}
	for _, name := range passed {
		if listed(entries, name) {
			result.Stale = append(result.Stale, name)
		}
	}
	for _, e := range entries {
		if !matchesAny(e, failed) {
			result.Stale = append(result.Stale, e.Pattern)
		}
	}
	return result
}

func listed(entries []Entry, name string) bool {
	for _, e := range entries {
		if ok, _ := path.Match(e.Pattern, name); ok {
			return true
		}
	}
	return false
}

func matchesAny(e Entry, names []string) bool {
	for _, name := range names {
		if ok, _ := path.Match(e.Pattern, name); ok {
			return true
		}
	}
	return false
}
