package edge

import (
	"context"
	"time"

	"github.com/cornelhold/cornelhold/internal/task"
)

// callFinished carries the result of a call back to the task, which runs apply.
type callFinished struct{ apply func(now time.Duration) }

// startCall runs a call in its own goroutine. The function that the call returns applies its
// result and runs in the task that owns the mailbox.
func startCall(ctx context.Context, mailbox task.Mailbox[any], call func() func(now time.Duration)) {
	go func() {
		apply := call()
		_ = mailbox.Send(ctx, callFinished{apply: apply})
	}()
}
