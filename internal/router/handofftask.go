package router

import (
	"context"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/handoff"
	"github.com/cornelhold/cornelhold/internal/task"
)

const handoffTaskCapacity = 1024

// Messages to the handoff task.
type (
	offerRecord struct {
		request handoff.Request
		reply   chan bool
	}
	takeOverRecord struct {
		call  handoff.TakeoverCall
		reply chan handoff.TakeoverReply
	}
	// recordMoved reports that a running request was taken over, with a copy of
	// its record in case the new owner crashes.
	recordMoved struct {
		request  handoff.Request
		newOwner fleet.InstanceID
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

// handoffTask owns handoff.RecordStore, the records that other routers handed over,
// and the searches for requests on other routers.
type handoffTask struct {
	clock    task.Clock
	mailbox  task.Mailbox[any]
	tasks    *task.Group
	records  *handoff.RecordStore
	armed    bool
	searches map[searchKey][]chan searchResult
	timer    *task.Timer
}

func newHandoffTask(clock task.Clock, tasks *task.Group) *handoffTask {
	return &handoffTask{
		clock: clock, mailbox: task.NewMailbox[any](handoffTaskCapacity), tasks: tasks,
		records:  handoff.NewRecordStore(),
		searches: make(map[searchKey][]chan searchResult),
		timer:    task.NewTimer(),
	}
}

// Run owns the records until ctx ends.
func (t *handoffTask) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case msg := <-t.mailbox.Receive():
			t.handle(msg)
		case <-t.timer.C():
			t.expire()
		}
	}
}

func (t *handoffTask) handle(msg any) {
	switch msg := msg.(type) {
	case offerRecord:
		msg.reply <- t.store(msg.request, "")
	case recordMoved:
		t.store(msg.request, msg.newOwner)
	case takeOverRecord:
		msg.reply <- t.records.TakeOver(msg.call)
	case listRecords:
		msg.reply <- t.records.Unclaimed()
	case searchRequest:
		t.startSearch(msg)
	case searchDone:
		for _, reply := range t.searches[msg.key] {
			reply <- msg.result
		}
		delete(t.searches, msg.key)
	}
}

// store stores a record. The timer is armed only for the first one, because
// records expire in the order in which they are stored.
func (t *handoffTask) store(r handoff.Request, newOwner fleet.InstanceID) bool {
	stored := t.records.Put(t.clock.Now(), r, newOwner)
	if stored && !t.armed {
		t.armed = true
		t.timer.Arm(handoff.RecordTTL)
	}
	return stored
}

func (t *handoffTask) expire() {
	next := t.records.Expire(t.clock.Now())
	t.armed = next > 0
	if t.armed {
		t.timer.Arm(next - t.clock.Now())
	}
}

func (t *handoffTask) startSearch(msg searchRequest) {
	key := searchKey{id: msg.id, team: msg.team}
	waiting, running := t.searches[key]
	t.searches[key] = append(waiting, msg.reply)
	if running {
		return
	}
	t.tasks.Go("locate", func(ctx context.Context) error {
		return t.mailbox.Send(ctx, searchDone{key: key, result: msg.search(ctx)})
	})
}
