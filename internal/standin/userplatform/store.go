// Package userplatform is a stand-in of the users' platform for tests and
// development: its store, its API for usage reports and scaling, and replicas. It
// implements the users' published protocol, so that tests exercise the real
// adapter.
package userplatform

import (
	"context"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cornelhold/cornelhold/internal/standin/httpjson"
)

// Names of topics and keys in the users' protocol.
const (
	ConfigTopic  = "keyed.op"
	ConfigKey    = "config"
	ServersTopic = "keyed.servers"
	StatusTopic  = "keyed.status"
	// RolloutKeyPrefix precedes the service in the keys of rollout orders and their states.
	RolloutKeyPrefix = "rollout/"
)

const commandBufferSize = 64

// StoredRecord is one record of a topic. A nil Value deletes the key.
type StoredRecord struct {
	Key   string
	Value []byte
	// at is when the store accepted the record.
	at time.Time
}

type topic struct {
	records []StoredRecord
	waiters []chan struct{}
}

// Store is a log with keyed topics. One task owns the records and runs the
// functions that handlers send to it.
type Store struct {
	commands chan func(*storeState)
	handler  http.Handler
}

type storeState struct {
	topics map[string]*topic
	// refused holds the store's own addresses that reject every request.
	refused  map[string]bool
	calls    int
	rollback rollback
}

// StartStore runs a store until ctx ends. It listens on no address before Serve
// is called.
func StartStore(ctx context.Context) *Store {
	s := &Store{commands: make(chan func(*storeState), commandBufferSize)}
	go s.run(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.handleAppend)
	mux.HandleFunc("GET /log-read", s.handleRead)
	mux.HandleFunc("GET /log-newest", s.handleNewest)
	s.handler = mux
	return s
}

// Serve serves the store on one more listener until ctx ends. With a listener
// for each machine, a test can make the store unavailable to single machines.
func (s *Store) Serve(ctx context.Context, listener net.Listener) {
	server := &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
}

func (s *Store) run(ctx context.Context) {
	state := &storeState{topics: make(map[string]*topic), refused: make(map[string]bool), rollback: newRollback()}
	for {
		select {
		case command := <-s.commands:
			command(state)
		case <-ctx.Done():
			return
		}
	}
}

// do runs a function in the store's task and waits until it has returned.
func (s *Store) do(command func(*storeState)) {
	done := make(chan struct{})
	s.commands <- func(state *storeState) { command(state); close(done) }
	<-done
}

// Put appends a record to a keyed topic on behalf of the operator or a replica. While the store is
// away, and if it loses the record, the writer writes it again after the return.
func (s *Store) Put(name, key string, value []byte) {
	s.do(func(state *storeState) {
		r := StoredRecord{Key: key, Value: value}
		state.rollback.remember(name, r)
		if !state.rollback.away {
			state.topic(name).appendRecord(r)
		}
	})
}

// Records returns the records of a topic.
func (s *Store) Records(name string) []StoredRecord {
	var records []StoredRecord
	s.do(func(state *storeState) { records = append(records, state.topic(name).records...) })
	return records
}

// SetRefusing makes the store reject or serve the requests that arrive at one of
// its addresses.
func (s *Store) SetRefusing(address string, refuse bool) {
	s.do(func(state *storeState) { state.refused[address] = refuse })
}

func (state *storeState) topic(name string) *topic {
	t, ok := state.topics[name]
	if !ok {
		t = &topic{}
		state.topics[name] = t
	}
	return t
}

func (t *topic) appendRecord(r StoredRecord) {
	r.at = time.Now()
	t.records = append(t.records, r)
	t.wake()
}

// wake ends the wait of all reads.
func (t *topic) wake() {
	for _, waiter := range t.waiters {
		close(waiter)
	}
	t.waiters = nil
}

// storeAnswer is the answer to a request: a JSON value, or raw bytes if there is none.
type storeAnswer struct {
	status int
	value  any
	raw    []byte
}

// admit reports whether the address of a request is served. If not, it responds
// with status 503.
func (s *Store) admit(w http.ResponseWriter, r *http.Request) bool {
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	refused := false
	s.do(func(state *storeState) {
		state.calls++
		refused = local != nil && state.refused[local.String()]
	})
	if refused {
		s.answer(w, r, func(*storeState) storeAnswer { return storeAnswer{status: http.StatusServiceUnavailable} })
	}
	return !refused
}

// answer executes a request and responds with its result and the epoch in which it was executed.
// While the store is away, there is no response.
func (s *Store) answer(w http.ResponseWriter, r *http.Request, execute func(*storeState) storeAnswer) {
	var a storeAnswer
	var epoch int
	var away, silent bool
	s.do(func(state *storeState) {
		epoch, away, silent = state.rollback.epoch, state.rollback.away, state.rollback.silent
		if !away {
			a = execute(state)
		}
	})
	if away {
		hangUp(w, r, silent)
		return
	}
	w.Header().Set(epochHeader, strconv.Itoa(epoch))
	if a.value != nil {
		w.Header().Set("Content-Type", "application/json")
	}
	w.WriteHeader(a.status)
	if a.value != nil {
		_ = json.NewEncoder(w).Encode(a.value)
		return
	}
	_, _ = w.Write(a.raw)
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, httpjson.MaxBodyBytes))
	if err != nil || !s.admit(w, r) {
		return
	}
	query := r.URL.Query()
	conditional := query.Has("at")
	at, _ := strconv.Atoi(query.Get("at"))
	s.answer(w, r, func(state *storeState) storeAnswer {
		t := state.topic(query.Get("topic"))
		offset := len(t.records)
		if conditional && at != offset {
			return storeAnswer{status: http.StatusPreconditionFailed, value: map[string]int{"end": offset}}
		}
		for len(body) >= 5 {
			size := int(binary.BigEndian.Uint32(body))
			key := int(body[4])
			record := StoredRecord{Key: string(body[5 : 5+key])}
			if size > 1+key {
				record.Value = body[5+key : 4+size]
			}
			t.appendRecord(record)
			body = body[4+size:]
		}
		return storeAnswer{status: http.StatusOK, value: map[string]int{"offset": offset, "end": len(t.records)}}
	})
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	query := r.URL.Query()
	from, _ := strconv.Atoi(query.Get("from"))
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	s.awaitRecords(r, query.Get("topic"), from, time.Duration(wait)*time.Millisecond)
	s.answer(w, r, func(state *storeState) storeAnswer { return state.topic(query.Get("topic")).read(from) })
}

// awaitRecords waits until a read has something to respond with, or its wait is over.
func (s *Store) awaitRecords(r *http.Request, name string, from int, wait time.Duration) {
	if wait <= 0 {
		return
	}
	timeout, release := httpjson.Timeout(wait)
	defer release()
	changed := make(chan struct{})
	s.do(func(state *storeState) {
		t := state.topic(name)
		if state.rollback.away || from != len(t.records) {
			close(changed)
			return
		}
		t.waiters = append(t.waiters, changed)
	})
	select {
	case <-changed:
	case <-timeout:
	case <-r.Context().Done():
	}
}

// read returns the records from an offset on. There is none beyond the end.
func (t *topic) read(from int) storeAnswer {
	end := len(t.records)
	if from > end {
		return storeAnswer{status: http.StatusGone, value: map[string]int{"first": 0}}
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, record := range t.records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(record.Key)+len(record.Value)))
		out = append(out, byte(len(record.Key)))
		out = append(out, record.Key...)
		out = append(out, record.Value...)
	}
	return storeAnswer{status: http.StatusOK, raw: out}
}

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	s.answer(w, r, func(state *storeState) storeAnswer { return state.topic(r.URL.Query().Get("topic")).newest() })
}

// newest returns the newest record of each key.
func (t *topic) newest() storeAnswer {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	newest := make(map[string]item)
	for offset, record := range t.records {
		delete(newest, record.Key)
		if record.Value != nil {
			newest[record.Key] = item{record.Key, base64.StdEncoding.EncodeToString(record.Value), offset}
		}
	}
	items := make([]item, 0, len(newest))
	for _, i := range newest {
		items = append(items, i)
	}
	return storeAnswer{status: http.StatusOK, value: map[string]any{"items": items, "truncated": false, "end": len(t.records)}}
}
