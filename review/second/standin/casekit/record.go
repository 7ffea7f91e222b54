//go:build review

// Package casekit is what the scripts of the second review share.
package casekit

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Recorder writes lines with the time since its start to a file and to the standard output.
type Recorder struct {
	mutex     sync.Mutex
	file      *os.File
	startedAt time.Time
}

// New returns a recorder that replaces the file.
func New(path string) (*Recorder, error) {
	file, err := os.Create(path) //nolint:gosec // the caller names the file
	return &Recorder{file: file, startedAt: time.Now()}, err
}

// Printf records a line.
func (r *Recorder) Printf(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.startedAt).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
	_, _ = os.Stdout.WriteString(line)
}

// Close closes the file.
func (r *Recorder) Close() { _ = r.file.Close() }
