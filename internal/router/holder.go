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
		call  handoff.TakeoverCall
		reply chan handoff.TakeoverReply
	}
	// recordMoved reports that a running request was taken over, with a copy of
	// its record in case the taker crashes.
	recordMoved struct {
		request handoff.Request
		taker   fleet.InstanceID
	}
	listRecords struct {
		reply chan []handoff.Request
	}
	// searchRequest requests a search for a request on all routers. Concurrent
	// messages for one request share one search.
	searchRequest struct {
		id     fleet.RequestID
		team   fleet.TeamName
		search func(ctx context.Context) searchResult
		reply  chan searchResult
	}
	searchDone struct {
		key    searchKey
		result searchResult
	}
)

type searchKey struct {
	id   fleet.RequestID
	team fleet.TeamName
}

// searchResult is a request that was found and now runs here, or a refusal.
type searchResult struct {
	handle  *Handle
	refusal *fleet.Refusal
}

// holder owns handoff.RecordStore, the records that other routers handed over.
type holder struct {
	clock    task.Clock
	mailbox  task.Mailbox[any]
	tasks    *task.Group
	records  *handoff.RecordStore
	armed    bool
	searches map[searchKey][]chan searchResult
	timer    *task.Timer
}

func newHolder(clock task.Clock, tasks *task.Group) *holder {
	return &holder{
		clock: clock, mailbox: task.NewMailbox[any](holderCapacity), tasks: tasks,
		records:  handoff.NewRecordStore(),
		searches: make(map[searchKey][]chan searchResult),
		timer:    task.NewTimer(),
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
		case <-h.timer.C():
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
		msg.reply <- h.records.TakeOver(msg.call)
	case listRecords:
		msg.reply <- h.records.Unclaimed()
	case searchRequest:
		h.startSearch(msg)
	case searchDone:
		for _, reply := range h.searches[msg.key] {
			reply <- msg.result
		}
		delete(h.searches, msg.key)
	}
}

// store stores a record. The timer is armed only for the first one, because
// records expire in the order in which they are stored.
func (h *holder) store(r handoff.Request, taker fleet.InstanceID) bool {
	stored := h.records.Put(h.clock.Now(), r, taker)
	if stored && !h.armed {
		h.armed = true
		h.timer.Arm(handoff.RecordTTL)
	}
	return stored
}

func (h *holder) expire() {
	next := h.records.Expire(h.clock.Now())
	h.armed = next > 0
	if h.armed {
		h.timer.Arm(next - h.clock.Now())
	}
}

func (h *holder) startSearch(msg searchRequest) {
	key := searchKey{id: msg.id, team: msg.team}
	waiting, running := h.searches[key]
	h.searches[key] = append(waiting, msg.reply)
	if running {
		return
	}
	h.tasks.Go("locate", func(ctx context.Context) error {
		return h.mailbox.Send(ctx, searchDone{key: key, result: msg.search(ctx)})
	})
}
