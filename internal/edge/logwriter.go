package edge

import (
	"context"
	"io"

	"github.com/prometheus/client_golang/prometheus"
)

// maxQueuedLines bounds the queue of log lines.
const maxQueuedLines = 2048

// logWriter queues log lines for a writer, so that a blocked writer never blocks
// the callers. Lines are dropped and counted while the queue is full.
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

// run writes queued lines until ctx ends, then flushes the queue.
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
