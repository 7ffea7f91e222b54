// Command demo starts all programs on loopback as separate processes, injects
// failures, checks the responses and stops the processes. It is a development tool;
// the programs themselves start no processes.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit bounds the whole run.
const timeLimit = time.Minute

func main() {
	bin := ".bin"
	if len(os.Args) > 1 {
		bin = os.Args[1]
	}
	if err := runWithin(timeLimit, bin); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	printLine("demo passed")
}

// runWithin runs the demo and cancels it on SIGTERM, SIGINT or after limit.
func runWithin(limit time.Duration, bin string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return run(ctx, bin)
}

// run executes the steps in order and returns the error of the first that fails.
func run(ctx context.Context, bin string) error {
	d, err := newDemo(bin)
	if err != nil {
		return err
	}
	defer func() { d.fleet.Stop(d.keepLogs) }()
	for _, s := range d.steps() {
		printLine("== " + s.title)
		if err := s.run(ctx); err != nil {
			d.keepLogs = true
			return fmt.Errorf("%s: %w (process logs are in %s)", s.title, err, d.fleet.Dir())
		}
	}
	return nil
}

// printLine writes one line of the transcript.
func printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(os.Stdout, format+"\n", args...)
}
