package router

import (
	"context"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/peer"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	holderCapacity = 1024
	// heldFor is how long a record waits for its caller to reconnect, and how
	// long a router remembers who took a request over.
	heldFor = 10 * time.Minute
	// maxHeldBytes bounds the memory of held records; beyond it offers are
	// declined and the leaving router tries another peer.
	maxHeldBytes = 64 << 20
	// recordOverhead is counted for each record beside its texts.
	recordOverhead = 512
)

// Messages to the holder task.
type (
	offerRecord struct {
		request peer.OpenRequest
		reply   chan bool
	}
	takeRecord struct {
		call  peer.TakeCall
		reply chan peer.Taken
	}
	// recordMoved remembers that a running request was taken over, with a copy
	// of its record for the case that the taker dies.
	recordMoved struct {
		request peer.OpenRequest
		taker   fleet.InstanceID
	}
	listHeld struct {
		reply chan []peer.OpenRequest
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

type heldRecord struct {
	request peer.OpenRequest
	size    int
	expires time.Duration
	// taker is empty until the record was taken over.
	taker fleet.InstanceID
}

// holder is the task that owns the records that other routers handed over.
type holder struct {
	clock     task.Clock
	mailbox   task.Mailbox[any]
	tasks     *task.Group
	held      map[fleet.RequestID]*heldRecord
	bytes     int
	searching map[locateKey][]chan located
	alarm     *task.Alarm
}

func newHolder(clock task.Clock, tasks *task.Group) *holder {
	return &holder{
		clock: clock, mailbox: task.NewMailbox[any](holderCapacity), tasks: tasks,
		held:      make(map[fleet.RequestID]*heldRecord),
		searching: make(map[locateKey][]chan located),
		alarm:     task.NewAlarm(),
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
		msg.reply <- h.take(msg.call)
	case listHeld:
		msg.reply <- h.list()
	case locateRequest:
		h.locate(msg)
	case locateDone:
		for _, reply := range h.searching[msg.key] {
			reply <- msg.result
		}
		delete(h.searching, msg.key)
	}
}

func (h *holder) store(r peer.OpenRequest, taker fleet.InstanceID) bool {
	size := recordOverhead + len(r.Prompt)
	for _, text := range r.Record.Frames {
		size += len(text) + recordOverhead/16
	}
	old, replaces := h.held[r.ID]
	if replaces {
		size -= old.size
	}
	if h.bytes+size > maxHeldBytes {
		return false
	}
	h.bytes += size
	if replaces {
		size += old.size
	}
	if len(h.held) == 0 {
		h.alarm.Arm(heldFor)
	}
	h.held[r.ID] = &heldRecord{request: r, size: size, expires: h.clock.Now() + heldFor, taker: taker}
	return true
}

// take gives a record to its first taker, again if that one repeats the call.
// Any other taker learns who has the request; it peeks at the copy only if the
// first taker is gone.
func (h *holder) take(call peer.TakeCall) peer.Taken {
	record, ok := h.held[call.ID]
	if !ok || record.request.Team != call.Team {
		return peer.Taken{}
	}
	if call.Peek {
		return peer.Taken{Request: &record.request, MovedTo: record.taker}
	}
	if record.taker != "" && record.taker != call.Taker {
		return peer.Taken{MovedTo: record.taker}
	}
	record.taker = call.Taker
	return peer.Taken{Request: &record.request}
}

// list returns the records that nobody has taken over.
func (h *holder) list() []peer.OpenRequest {
	var waiting []peer.OpenRequest
	for _, record := range h.held {
		if record.taker == "" {
			waiting = append(waiting, record.request)
		}
	}
	return waiting
}

func (h *holder) expire() {
	next := time.Duration(0)
	for id, record := range h.held {
		if record.expires <= h.clock.Now() {
			h.bytes -= record.size
			delete(h.held, id)
		} else if next == 0 || record.expires < next {
			next = record.expires
		}
	}
	if next > 0 {
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
