package task

import (
	"context"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"
)

// Error is the class of errors that end a task.
var Error = errs.Class("task")

// Group runs tasks until one fails or the parent context ends.
type Group struct {
	group *errgroup.Group
	ctx   context.Context
}

// NewGroup returns a group whose tasks stop when ctx ends or a task fails.
func NewGroup(ctx context.Context) *Group {
	g, groupCtx := errgroup.WithContext(ctx)
	return &Group{group: g, ctx: groupCtx}
}

// Go starts a task. The name appears in the error that the task returns.
func (g *Group) Go(name string, run func(ctx context.Context) error) {
	g.group.Go(func() error {
		err := run(g.ctx)
		if err == nil || g.ctx.Err() != nil {
			return nil
		}
		return Error.New("task %s stopped: %w", name, err)
	})
}

// Wait returns when all tasks have ended, with the first failure if any.
func (g *Group) Wait() error { return g.group.Wait() }
