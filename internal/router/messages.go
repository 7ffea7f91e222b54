// Package router contains the tasks of the router daemon and their wiring.
//
// The dispatcher task owns dispatch.Machine. Each accepted request has a task
// that owns request.Machine. The registry task maps request ids to request
// tasks. The follower task owns the cursor in the ticket stream, the watcher
// task the version of the instance list. Tasks talk by messages only.
package router

import (
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
}

// dispatcherMessage is a message to the dispatcher task. Sender is set on
// Submit, so that grants can be routed to the request task.
type dispatcherMessage struct {
	message dispatch.Message
	sender  *requestMailbox
}

// coreMessage wraps a message for the request machine.
type coreMessage struct {
	message request.Message
}

type registerRequest struct {
	id      fleet.RequestID
	team    fleet.TeamName
	mailbox requestMailbox
}

type forgetRequest struct {
	id fleet.RequestID
}

type findRequest struct {
	id    fleet.RequestID
	team  fleet.TeamName
	reply chan findReply
}

type findReply struct {
	mailbox requestMailbox
	found   bool
}
