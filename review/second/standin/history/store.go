//go:build review

package main

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/standin/edgefleet"
	"github.com/cornelhold/cornelhold/platform"
	"github.com/cornelhold/cornelhold/review/second/standin/casekit"
)

const (
	// pageItems and pageBytes bound a page of the newest records.
	pageItems = 500
	pageBytes = 1 << 20
)

// history is the topic of the usage decisions in a store that has kept those of many days. It has the
// offsets of a store in which the processes have written all of them: one that has been running all the
// while, like the first holder, sees only the offset at which its own begin.
type history struct {
	count int
	first int64
	pages atomic.Int64

	mutex    sync.Mutex
	shown    bool
	appended []item
}

type item struct {
	Key    string `json:"key"`
	Value  string `json:"value"`
	Offset int    `json:"offset"`
}

func newHistory(count int) *history {
	return &history{count: count, first: time.Now().Unix()/int64(casekit.UsageWindow.Seconds()) - int64(count)}
}

// show makes the decisions of the past visible.
func (h *history) show() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.shown = true
}

// serveBefore serves the store at an address with this topic, and returns the new address.
func (h *history) serveBefore(ctx context.Context, address string) (string, error) {
	l, err := edgefleet.Listen()
	if err != nil {
		return "", err
	}
	rest := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	rest.ErrorLog = log.New(io.Discard, "", 0) // processes that end abandon their calls
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Query().Get("topic") != platform.TopicUsage:
			rest.ServeHTTP(w, r)
		case r.URL.Path == "/log-newest":
			h.newest(w, r.URL.Query().Get("after"))
		case r.URL.Path == "/log-append":
			h.append(w, r)
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// newest responds with a page of the newest records of each key, in the order of the keys.
func (h *history) newest(w http.ResponseWriter, after string) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.pages.Add(1)
	items, size := []item{}, 0
	truncated := false
	h.each(after, func(i item) bool {
		size += len(i.Value)
		if len(items) == pageItems || size > pageBytes {
			truncated = true
			return false
		}
		items = append(items, i)
		return true
	})
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "end": h.end()})
}

// each calls visit for the records behind a key until it returns false.
func (h *history) each(after string, visit func(item) bool) {
	from := 0
	if window, err := strconv.ParseInt(after, 10, 64); err == nil {
		from = max(int(window-h.first)+1, 0)
	}
	for i := from; i < h.count && h.shown; i++ {
		if !visit(h.past(i)) {
			return
		}
	}
	for _, i := range h.appended {
		if i.Key > after && !visit(i) {
			return
		}
	}
}

// past returns the record of one of the past windows, as the processes write it.
func (h *history) past(i int) item {
	window := h.first + int64(i)
	value, _ := proto.Marshal(&cornelholdv1.UsageDecision{
		Window: window, Node: "edge-kyushu-a-1",
		Counts: map[string]int64{"hule930": 412, "fida11": 207, "goka77": 96, "cufi25": 61, "wuny96": 33},
	})
	return item{Key: platform.WindowKey(window), Value: base64.StdEncoding.EncodeToString(value), Offset: i}
}

func (h *history) end() int { return h.count + len(h.appended) }

// append appends one record if the topic ends at the stated offset.
func (h *history) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) < 5 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if at := r.URL.Query().Get("at"); at != strconv.Itoa(h.end()) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"end": h.end()})
		return
	}
	size, key := int(binary.BigEndian.Uint32(body)), int(body[4])
	offset := h.end()
	h.appended = append(h.appended, item{
		Key: string(body[5 : 5+key]), Value: base64.StdEncoding.EncodeToString(body[5+key : 4+size]), Offset: offset,
	})
	writeJSON(w, http.StatusOK, map[string]int{"offset": offset, "end": h.end()})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, _ := json.Marshal(value)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
