package router

import (
	"context"
	"maps"
	"slices"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/task"
)

const registryCapacity = 1024

// registry owns the map from request ids to request tasks.
type registry struct {
	mailbox task.Mailbox[any]
	entries map[fleet.RequestID]registryEntry
}

func newRegistry() *registry {
	return &registry{
		mailbox: task.NewMailbox[any](registryCapacity),
		entries: make(map[fleet.RequestID]registryEntry),
	}
}

// Run owns the map until ctx ends.
func (r *registry) Run(ctx context.Context) error {
	return task.Serve(ctx, r.mailbox, r.handle)
}

func (r *registry) handle(msg any) {
	switch msg := msg.(type) {
	case registryEntry:
		r.entries[msg.id] = msg
	case unregisterRequest:
		delete(r.entries, msg.id)
	case findRequest:
		// Another team's request is reported as not found, so that ids can't be probed.
		entry, ok := r.entries[msg.id]
		msg.reply <- findReply{entry: entry, found: ok && entry.submission.Team == msg.team}
	case listRequests:
		msg.reply <- slices.Collect(maps.Values(r.entries))
	}
}
