package edge

import (
	"context"
	"time"

	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	// stallCheckInterval is the time between two checks whether the process runs.
	stallCheckInterval = 200 * time.Millisecond
	// minStall is the shortest delay of a check that is reported as a stall.
	minStall = 300 * time.Millisecond
)

// detectStalls logs and counts the times at which the process did not run, because
// it was paused, suspended or short of processor time. The boot time includes a
// suspension of the machine, which the monotonic time does not.
func (p *process) detectStalls(ctx context.Context) error {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	expected := task.BootTime() + stallCheckInterval
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := task.BootTime()
			if stalled := now - expected; stalled >= minStall {
				p.metrics.stalls.Inc()
				p.log.WithFields(log.Fields{
					"stalled_ms": stalled.Milliseconds(), "list_age_ms": p.list.age().Milliseconds(),
				}).Warn("process stalled")
			}
			expected = now + stallCheckInterval
		}
	}
}
