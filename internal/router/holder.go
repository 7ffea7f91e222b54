package router

import (
	"context"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/handoff"
	"github.com/cornelhold/cornelhold/internal/task"
)

const holderCapacity = 1024

// Messages to the holder task.
type (
	offerRecord struct {
		request handoff.Request
		reply   chan bool
	}
	takeRecord struct {
		call  handoff.Call
		reply chan handoff.Taken
	}
	// recordMoved remembers that a running request was taken over, with a copy
	// of its record for the case that the taker dies.
	recordMoved struct {
		request handoff.Request
		taker   fleet.InstanceID
	}
	listHeld struct {
		reply chan []handoff.Request
	}
	// locateRequest asks for a request that may be anywhere. Concurrent calls
	// for one request are answered by one search.
	locateRequest struct {
		id     fleet.RequestID
		team   fleet.TeamName
		search func(ctx context.Context) located
		reply  chan located
	}
	locateDone struct {
		key    locateKey
		result located
	}
)

type locateKey struct {
	id   fleet.RequestID
	team fleet.TeamName
}

// located is a request that was found and runs here now, or a refusal.
type located struct {
	handle  *Handle
	refusal *fleet.Refusal
}

// holder is the task that owns handoff.Holder.
type holder struct {
	clock     task.Clock
	mailbox   task.Mailbox[any]
	tasks     *task.Group
	records   *handoff.Holder
	armed     bool
	searching map[locateKey][]chan located
	alarm     *task.Timer
}

func newHolder(clock task.Clock, tasks *task.Group) *holder {
	return &holder{
		clock: clock, mailbox: task.NewMailbox[any](holderCapacity), tasks: tasks,
		records:   handoff.NewHolder(),
		searching: make(map[locateKey][]chan located),
		alarm:     task.NewTimer(),
	}
}

// Run owns the records until ctx ends.
func (h *holder) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case msg := <-h.mailbox.Receive():
			h.handle(msg)
		case <-h.alarm.C():
			h.expire()
		}
	}
}

func (h *holder) handle(msg any) {
	switch msg := msg.(type) {
	case offerRecord:
		msg.reply <- h.store(msg.request, "")
	case recordMoved:
		h.store(msg.request, msg.taker)
	case takeRecord:
		msg.reply <- h.records.Take(msg.call)
	case listHeld:
		msg.reply <- h.records.Waiting()
	case locateRequest:
		h.locate(msg)
	case locateDone:
		for _, reply := range h.searching[msg.key] {
			reply <- msg.result
		}
		delete(h.searching, msg.key)
	}
}

// store arms the alarm for the first record, which expires first.
func (h *holder) store(r handoff.Request, taker fleet.InstanceID) bool {
	stored := h.records.Store(h.clock.Now(), r, taker)
	if stored && !h.armed {
		h.armed = true
		h.alarm.Arm(handoff.HeldFor)
	}
	return stored
}

func (h *holder) expire() {
	next := h.records.Expire(h.clock.Now())
	h.armed = next > 0
	if h.armed {
		h.alarm.Arm(next - h.clock.Now())
	}
}

func (h *holder) locate(msg locateRequest) {
	key := locateKey{id: msg.id, team: msg.team}
	waiting, running := h.searching[key]
	h.searching[key] = append(waiting, msg.reply)
	if running {
		return
	}
	h.tasks.Go("locate", func(ctx context.Context) error {
		return h.mailbox.Send(ctx, locateDone{key: key, result: msg.search(ctx)})
	})
}
