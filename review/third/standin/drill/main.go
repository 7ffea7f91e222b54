//go:build review

// Command drill shows cases of the third review with cornelhold-edge processes on loopback: a
// stand-in of the platform's store that comes back from an older copy, replicas, and clients. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld = iota
	exitBroken
	exitNotRun
	// maxRunTime bounds a run.
	maxRunTime = 110 * time.Second
)

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/cornelhold-edge", "path of cornelhold-edge")
	recordPath := flag.String("record", "record.txt", "file for what was sent, answered and run")
	trouble := flag.String("trouble", "1", "0 runs the case without the disruption")
	keep := flag.Bool("keep", false, "keep the logs of the machines")
	flag.Parse()
	broken, err := play(*name, *program, *recordPath, *trouble != "0", *keep)
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	case broken:
		_, _ = fmt.Fprintln(os.Stdout, "broken")
		os.Exit(exitBroken)
	}
	_, _ = fmt.Fprintln(os.Stdout, "held")
	os.Exit(exitHeld)
}

func play(name, program, recordPath string, trouble, keep bool) (broken bool, err error) {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRunTime)
	defer cancel()
	out, err := os.Create(recordPath) //nolint:gosec // the file that the caller names
	if err != nil {
		return false, drillError.Wrap(err)
	}
	defer out.Close() //nolint:errcheck // the record is complete
	dir, err := os.MkdirTemp("", "drill-")
	if err != nil {
		return false, drillError.Wrap(err)
	}
	if keep {
		_, _ = fmt.Fprintln(os.Stdout, dir)
	} else {
		defer os.RemoveAll(dir) //nolint:errcheck // a temporary folder
	}
	log := newJournal(out)
	f, err := startFleet(ctx, program, dir, boundsOf(name), log)
	if err != nil {
		return false, err
	}
	defer f.stop()
	d := &drill{fleet: f, log: log, trouble: trouble, clients: &clients{fleet: f, log: log, sent: make(map[string]time.Time)}}
	if name == rolloutCase {
		d.clients.chats = chatsPerOrder
	}
	return d.runCase(ctx, name)
}
