//go:build review

package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// journal writes what happens, with the seconds since the start.
type journal struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func newJournal(out io.Writer) *journal { return &journal{out: out, start: time.Now()} }

func (j *journal) write(event, format string, values ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.out, "%8.3f %-8s %s\n", time.Since(j.start).Seconds(), event, fmt.Sprintf(format, values...))
}
