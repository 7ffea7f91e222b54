package logservice

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/standin/httpjson"
)

// maxReadRecords bounds the number of records in the response to one read.
const maxReadRecords = 1000

// Handler returns the HTTP interface of the service.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", s.handleAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", s.handleRead)
	mux.HandleFunc("PUT /faults", s.handleFaults)
	return mux
}

func (s *Service) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, ok := httpjson.Decode[struct {
		Data json.RawMessage `json:"data"`
	}](w, r)
	if !ok {
		return
	}
	if len(body.Data) == 0 {
		http.Error(w, "body must be a JSON object with the key data", http.StatusBadRequest)
		return
	}
	reply := make(chan appendReply, 1)
	msg := appendMessage{stream: r.PathValue("stream"), data: body.Data, reply: reply}
	if s.mailbox.Send(r.Context(), msg) != nil {
		return
	}
	response := <-reply
	httpjson.Delay(r, response.delay)
	if response.loseResponse {
		panic(http.ErrAbortHandler)
	}
	if response.refused != "" {
		writeUnavailable(w, response.refused)
		return
	}
	httpjson.Write(w, response.record)
}

func (s *Service) handleRead(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter from must be an offset", http.StatusBadRequest)
		return
	}
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	wait := time.Duration(max(waitMillis, 0)) * time.Millisecond
	cancel := make(chan struct{})
	defer close(cancel)
	reply := make(chan readReply, 1)
	msg := readMessage{
		stream: r.PathValue("stream"), from: from, limit: min(max(limit, 1), maxReadRecords),
		block: wait > 0, reply: reply, cancel: cancel,
	}
	if s.mailbox.Send(r.Context(), msg) != nil {
		return
	}
	timeout, release := httpjson.Timeout(wait)
	defer release()
	select {
	case response := <-reply:
		writeRead(w, r, response)
	case <-timeout:
		httpjson.Write(w, platform.Batch{Next: from})
	case <-r.Context().Done():
	}
}

func writeRead(w http.ResponseWriter, r *http.Request, response readReply) {
	httpjson.Delay(r, response.delay)
	switch {
	case response.refused != "":
		writeUnavailable(w, response.refused)
	case response.expired:
		w.WriteHeader(http.StatusGone)
		_ = json.NewEncoder(w).Encode(response.batch)
	default:
		httpjson.Write(w, response.batch)
	}
}

func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	faults, ok := httpjson.Decode[Faults](w, r)
	if !ok {
		return
	}
	done := make(chan struct{})
	if s.mailbox.Send(r.Context(), faultsMessage{faults: faults, reply: done}) == nil {
		<-done
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeUnavailable(w http.ResponseWriter, message string) {
	w.Header().Set("Retry-After", "0.2")
	http.Error(w, message, http.StatusServiceUnavailable)
}
