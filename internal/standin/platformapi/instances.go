// Package platformapi is a stand-in of the platform's instance list, cloud API
// and weight store.
package platformapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	mailboxCapacity = 256
	maxBodyBytes    = 8 << 20
	maxWait         = 30 * time.Second
)

// Instances is the task that owns the instance list. PUT /v1/instances
// replaces the list; GET waits for a newer version.
type Instances struct {
	mailbox task.Mailbox[any]
	list    platform.InstanceList
	waiting []watchMessage
}

type watchMessage struct {
	after uint64
	reply chan platform.InstanceList
}

type replaceMessage struct {
	instances []platform.Instance
}

// NewInstances returns a list with the given instances at version 1.
func NewInstances(initial []platform.Instance) *Instances {
	return &Instances{
		mailbox: task.NewMailbox[any](mailboxCapacity),
		list:    platform.InstanceList{Version: 1, Instances: initial},
	}
}

// Run owns the list until ctx ends.
func (s *Instances) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case msg := <-s.mailbox.Receive():
			s.step(msg)
		}
	}
}

func (s *Instances) step(msg any) {
	switch msg := msg.(type) {
	case replaceMessage:
		s.list = platform.InstanceList{Version: s.list.Version + 1, Instances: msg.instances}
		waiting := s.waiting
		s.waiting = nil
		for _, w := range waiting {
			s.step(w)
		}
	case watchMessage:
		if s.list.Version > msg.after {
			msg.reply <- s.list
			return
		}
		s.waiting = append(s.waiting, msg)
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
	if s.mailbox.Send(r.Context(), watchMessage{after: after, reply: reply}) != nil {
		return
	}
	timer := time.NewTimer(min(time.Duration(max(waitMillis, 0))*time.Millisecond, maxWait))
	defer timer.Stop()
	w.Header().Set("Content-Type", "application/json")
	select {
	case list := <-reply:
		_ = json.NewEncoder(w).Encode(list)
	case <-timer.C:
		_ = json.NewEncoder(w).Encode(platform.InstanceList{Version: after})
	case <-r.Context().Done():
	}
}

func (s *Instances) handleReplace(w http.ResponseWriter, r *http.Request) {
	var instances []platform.Instance
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	_ = s.mailbox.Send(r.Context(), replaceMessage{instances: instances})
	w.WriteHeader(http.StatusNoContent)
}
