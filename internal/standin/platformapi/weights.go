package platformapi

import (
	"context"
	"net/http"
	"time"

	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/standin/httpjson"
	"github.com/cornelhold/cornelhold/internal/task"
)

// WeightSettings configures the weight store stand-in.
type WeightSettings struct {
	// Slots is the number of concurrent downloads.
	Slots int `yaml:"slots" validate:"min=1"`
	// TTL is the time after which a slot is freed unless it is renewed.
	TTL time.Duration `yaml:"ttl" validate:"min=1s"`
}

// WeightFaults are the faults to inject, set with PUT /v1/weights/faults.
type WeightFaults struct {
	// Down refuses every request, also to release a slot.
	Down bool `json:"down"`
	// LoseResponses is the number of requests that take effect but whose connection
	// is closed without a response.
	LoseResponses int `json:"lose_responses"`
}

// Weights is the task that owns the download slots. The map slots has the expiry
// time of each held slot by endpoint.
type Weights struct {
	settings WeightSettings
	mailbox  task.Mailbox[any]
	slots    map[string]time.Time
	faults   WeightFaults
}

type slotMessage struct {
	endpoint string
	release  bool
	reply    chan slotReply
}

type slotReply struct {
	refused      bool
	loseResponse bool
}

type weightFaults struct {
	faults WeightFaults
}

// NewWeights returns a weight store with all slots free.
func NewWeights(settings WeightSettings) *Weights {
	return &Weights{settings: settings, mailbox: task.NewMailbox[any](mailboxCapacity), slots: make(map[string]time.Time)}
}

// Run owns the slots until ctx ends.
func (s *Weights) Run(ctx context.Context) error {
	return task.Serve(ctx, s.mailbox, s.step)
}

func (s *Weights) step(msg any) {
	switch msg := msg.(type) {
	case slotMessage:
		msg.reply <- s.handleSlot(msg)
	case weightFaults:
		s.faults = msg.faults
	}
}

func (s *Weights) handleSlot(msg slotMessage) slotReply {
	if s.faults.Down {
		return slotReply{refused: true}
	}
	for endpoint, expiresAt := range s.slots {
		if time.Now().After(expiresAt) {
			delete(s.slots, endpoint)
		}
	}
	_, held := s.slots[msg.endpoint]
	switch {
	case msg.release:
		delete(s.slots, msg.endpoint)
	case !held && len(s.slots) >= s.settings.Slots:
		return slotReply{refused: true}
	default:
		s.slots[msg.endpoint] = time.Now().Add(s.settings.TTL)
	}
	lose := s.faults.LoseResponses > 0
	if lose {
		s.faults.LoseResponses--
	}
	return slotReply{loseResponse: lose}
}

// Handler returns the HTTP interface of the weight store.
func (s *Weights) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/slots/{endpoint}", func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, false) })
	mux.HandleFunc("DELETE /v1/slots/{endpoint}", func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, true) })
	mux.HandleFunc("PUT /v1/weights/faults", func(w http.ResponseWriter, r *http.Request) {
		if faults, ok := httpjson.Decode[WeightFaults](w, r); ok {
			_ = s.mailbox.Send(r.Context(), weightFaults{faults: faults})
			w.WriteHeader(http.StatusNoContent)
		}
	})
	return mux
}

func (s *Weights) handle(w http.ResponseWriter, r *http.Request, release bool) {
	reply := make(chan slotReply, 1)
	msg := slotMessage{endpoint: r.PathValue("endpoint"), release: release, reply: reply}
	if s.mailbox.Send(r.Context(), msg) != nil {
		return
	}
	select {
	case response := <-reply:
		if response.loseResponse {
			panic(http.ErrAbortHandler)
		}
		if response.refused {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "all download slots are in use", http.StatusTooManyRequests)
			return
		}
		httpjson.Write(w, platform.DownloadSlot{TTLMillis: s.settings.TTL.Milliseconds()})
	case <-r.Context().Done():
	}
}
