// Package platformapi is a stand-in of the platform's instance list, cloud API
// and weight store.
package platformapi

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/standin/httpjson"
	"github.com/cornelhold/cornelhold/internal/task"
)

const mailboxCapacity = 256

// Instances is the task that owns the instance list. PUT /v1/instances replaces
// the fixed instances; GET is a long poll for a newer version.
type Instances struct {
	mailbox task.Mailbox[any]
	list    platform.InstanceList
	// fixed instances come from the settings or PUT, hosted ones from the cloud API.
	fixed          []platform.Instance
	hosted         []platform.Instance
	blockedWatches []watchMessage
}

type watchMessage struct {
	after uint64
	// block makes the watch wait if there is no newer version.
	block bool
	reply chan platform.InstanceList
}

type replaceMessage struct {
	instances []platform.Instance
}

type hostedMessage struct {
	instances []platform.Instance
}

// NewInstances returns a list with the given instances at version 1.
func NewInstances(initial []platform.Instance) *Instances {
	return &Instances{
		mailbox: task.NewMailbox[any](mailboxCapacity),
		fixed:   initial,
		list:    platform.InstanceList{Version: 1, Instances: initial},
	}
}

// Run owns the list until ctx ends.
func (s *Instances) Run(ctx context.Context) error {
	return task.Serve(ctx, s.mailbox, s.step)
}

func (s *Instances) step(msg any) {
	switch msg := msg.(type) {
	case replaceMessage:
		s.fixed = msg.instances
		s.publishChange()
	case hostedMessage:
		s.hosted = msg.instances
		s.publishChange()
	case watchMessage:
		if s.list.Version > msg.after {
			msg.reply <- s.list
			return
		}
		if !msg.block {
			msg.reply <- platform.InstanceList{Version: msg.after}
			return
		}
		s.blockedWatches = append(s.blockedWatches, msg)
	}
}

// publishChange creates a new version of the list and replies to the blocked
// watches.
func (s *Instances) publishChange() {
	s.list = platform.InstanceList{Version: s.list.Version + 1, Instances: slices.Concat(s.fixed, s.hosted)}
	watches := s.blockedWatches
	s.blockedWatches = nil
	for _, w := range watches {
		s.step(w)
	}
}

// Handler returns the HTTP interface of the instance list.
func (s *Instances) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/instances", s.handleWatch)
	mux.HandleFunc("PUT /v1/instances", s.handleReplace)
	return mux
}

func (s *Instances) handleWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	reply := make(chan platform.InstanceList, 1)
	if s.mailbox.Send(r.Context(), watchMessage{after: after, block: waitMillis > 0, reply: reply}) != nil {
		return
	}
	wait := time.Duration(waitMillis) * time.Millisecond
	httpjson.LongPoll(w, r, reply, wait, platform.InstanceList{Version: after})
}

func (s *Instances) handleReplace(w http.ResponseWriter, r *http.Request) {
	instances, ok := httpjson.Decode[[]platform.Instance](w, r)
	if !ok {
		return
	}
	_ = s.mailbox.Send(r.Context(), replaceMessage{instances: instances})
	w.WriteHeader(http.StatusNoContent)
}
