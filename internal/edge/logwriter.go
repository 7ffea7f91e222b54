package edge

import (
	"context"
	"io"

	"github.com/prometheus/client_golang/prometheus"
)

// maxQueuedLines bounds the log lines that wait to be written.
const maxQueuedLines = 2048

// logWriter passes log lines to a writer without ever blocking its callers.
// Lines that do not fit are dropped and counted.
type logWriter struct {
	lines   chan []byte
	out     io.Writer
	dropped prometheus.Counter
}

func newLogWriter(out io.Writer) *logWriter {
	return &logWriter{lines: make(chan []byte, maxQueuedLines), out: out}
}

// Write implements io.Writer; it never fails.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		if w.dropped != nil {
			w.dropped.Inc()
		}
	}
	return len(line), nil
}

// run writes lines until ctx ends and then those that wait.
func (w *logWriter) run(ctx context.Context) {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		case <-ctx.Done():
			w.flush()
			return
		}
	}
}

func (w *logWriter) flush() {
	for {
		select {
		case line := <-w.lines:
			_, _ = w.out.Write(line)
		default:
			return
		}
	}
}
