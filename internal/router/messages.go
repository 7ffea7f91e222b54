// Package router contains the tasks of the router daemon and their wiring.
//
// The dispatcher task owns dispatch.Machine. Each accepted request has a task
// that owns request.Machine. The registry task maps request ids to request
// tasks. The holder task owns the records that other routers handed over, the
// drainer task the time until this router is reclaimed, the quarantine task
// the crash evidence. The follower task owns the cursor in the ticket stream, the watcher
// task the version of the instance list. Tasks talk by messages only.
package router

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/request"
	"github.com/cornelhold/cornelhold/internal/task"
)

// Submission is a decoded request of a caller.
type Submission struct {
	Team      fleet.TeamName
	Service   fleet.ServiceName
	Class     fleet.Class
	Adapter   string
	Prompt    string
	MaxTokens int
	// Streamed tells whether the caller asked for a stream.
	Streamed bool
	// Model is the model name that the caller sent.
	Model string
}

// requestMailbox receives the messages of one request task.
type requestMailbox = task.Mailbox[any]

// readFrames asks a request task for frames from an index on. The task
// answers when there is at least one frame or the request has ended.
type readFrames struct {
	from  int
	reply chan Frames
}

// Frames is a part of the record of a request.
type Frames struct {
	Texts   []string
	Ended   bool
	Finish  string
	Refusal *fleet.Refusal
	// Moved tells that another router holds the request: the connection must
	// end, and the caller continues through the load balancer.
	Moved bool
}

// freezeRequest asks a request task for its record. A request that ends within
// the budget, or whose answer was delivered, stays and has no record.
type freezeRequest struct {
	budget time.Duration
	// takeover: another router takes the request over, whatever its state. While a
	// handoff is under way the answer waits for its result.
	takeover bool
	reply    chan *request.Record
}

// peekRequest asks a request task for a copy of its record.
type peekRequest struct {
	reply chan request.Record
}

// dispatcherMessage is a message to the dispatcher task. Sender is set on
// Submit, so that grants can be routed to the request task.
type dispatcherMessage struct {
	message dispatch.Message
	sender  *requestMailbox
}

// machineMessage wraps a message for the request machine.
type machineMessage struct {
	message request.Message
}

type registryEntry struct {
	id         fleet.RequestID
	submission Submission
	mailbox    requestMailbox
	// done is closed when the request task has ended.
	done chan struct{}
}

type unregisterRequest struct {
	id fleet.RequestID
}

type findRequest struct {
	id    fleet.RequestID
	team  fleet.TeamName
	reply chan findReply
}

type findReply struct {
	entry registryEntry
	found bool
}

// listRequests asks the registry for all requests.
type listRequests struct {
	reply chan []registryEntry
}
