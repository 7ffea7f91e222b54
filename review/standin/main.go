//go:build review

// Command standin runs the cases of the review that are scripts: it starts the project's
// own programs before stand-ins of the users' platform, replicas and clients, and checks
// one rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// maxLength bounds the time of a case.
const maxLength = 115 * time.Second

// cases are the cases by name, which their files add. trouble is false for a run without
// the disruption.
var cases = make(map[string]func(ctx context.Context, r *record, trouble bool) (broken bool, err error))

func main() { os.Exit(start()) }

func start() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return notRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer r.close()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxLength)
	defer cancel()
	broken, err := cases[os.Args[1]](ctx, r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.conclude("the case could not run: %v", err)
		return notRun
	case broken:
		r.conclude("the rule was broken")
		return ruleBroken
	}
	r.conclude("the rule held")
	return ruleHeld
}
