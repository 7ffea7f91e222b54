package task

import (
	"context"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Error is the class of errors of tasks that failed.
var Error = errs.Class("task")

// Group runs tasks until one fails or the parent context is cancelled.
type Group struct {
	group *errgroup.Group
	ctx   context.Context
}

// NewGroup returns a group whose context is cancelled when ctx is or when a
// task fails.
func NewGroup(ctx context.Context) *Group {
	g, groupCtx := errgroup.WithContext(ctx)
	return &Group{group: g, ctx: groupCtx}
}

// Go starts a task. The error of a failed task includes its name; errors after
// the cancellation of the group's context are ignored.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.group.Go(func() error {
		err := run(g.ctx)
		if err == nil || g.ctx.Err() != nil {
			return nil
		}
		return Error.New("task %s stopped: %w", name, err)
	})
}

// Wait waits for all tasks to return and returns the first error, if any.
func (g *Group) Wait() error { return g.group.Wait() }
