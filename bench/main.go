// Command bench measures the router process over loopback: the latency that it
// adds compared with a direct connection to the engine stand-in, the processor time
// of a request, the memory of an open stream, and the overhead of the control plane
// on idle routers.
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
const timeLimit = 5 * time.Minute

func main() {
	bin := ".bin"
	if len(os.Args) > 1 {
		bin = os.Args[1]
	}
	if err := run(bin); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "bench failed:", err)
		os.Exit(1)
	}
}

func run(bin string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	if err := measureControl(ctx, bin); err != nil {
		return err
	}
	b, err := newBench(bin)
	if err != nil {
		return err
	}
	defer func() { b.fleet.Stop(false) }()
	if err := b.start(ctx); err != nil {
		return err
	}
	if err := b.measureLatency(ctx); err != nil {
		return err
	}
	return b.measureStreams(ctx)
}

// printFigure prints one result: name, value and unit.
func printFigure(name string, value float64, unit string) {
	_, _ = fmt.Fprintf(os.Stdout, "%-48s %12.3f %s\n", name, value, unit)
}
