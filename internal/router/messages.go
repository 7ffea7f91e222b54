// Package router contains the tasks of the router daemon and their wiring.
//
// The dispatcher task owns dispatch.Machine. Each accepted request has a task
// that owns request.Machine. The registry task maps request ids to request
// tasks. The handoff task owns the records that other routers handed over, the
// drainer task the time until this router is reclaimed, the quarantine task the
// crash evidence. The follower task owns the offset in the ticket stream, the
// watcher task the version of the instance list. Tasks communicate by messages
// only.
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
	// Streamed reports whether the caller requested a streamed response.
	Streamed bool
	// Model is the model name that the caller sent.
	Model string
}

// requestMailbox receives the messages of one request task.
type requestMailbox = task.Mailbox[any]

// readFrames requests the frames from an index on. The request task replies when
// there is at least one frame or the request has ended.
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
	// Moved reports that another router has the request: the connection must be
	// closed, and the caller reconnects through the load balancer.
	Moved bool
}

// freezeRequest stops a request and requests its record for a handoff. The reply
// is nil if the request stays here because it is expected to end within the
// budget or its response was delivered.
type freezeRequest struct {
	budget time.Duration
	// takeover reports that another router takes the request over in any state.
	// If a handoff is in progress, the reply waits for its result.
	takeover bool
	reply    chan *request.Record
}

// peekRequest requests a copy of the record of a request.
type peekRequest struct {
	reply chan request.Record
}

// dispatcherMessage is a message to the dispatcher task. Sender is set for
// dispatch.Submit and receives the dispatcher's replies.
type dispatcherMessage struct {
	message dispatch.Message
	sender  *requestMailbox
}

// machineMessage carries a request.Message to a request task or the task of a
// plain call.
type machineMessage struct {
	message request.Message
}

// registryEntry is a request task. Sent to the registry, it is registered there.
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

// listRequests requests all entries of the registry.
type listRequests struct {
	reply chan []registryEntry
}
