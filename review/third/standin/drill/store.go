//go:build review

package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	configTopic  = "keyed.op"
	configKey    = "config"
	serversTopic = "keyed.servers"
	// maxPollTime bounds the wait of a read.
	maxPollTime = 30 * time.Second
	maxCallSize = 2 << 20
)

// record is one record of a topic. A record without a value drops its key.
type record struct {
	key   string
	value []byte
	at    time.Time
}

// store is a stand-in of the platform's metadata store: keyed topics with one partition, reads,
// conditional appends, and the drill in which it comes back from an older copy.
type store struct {
	mu     sync.Mutex
	topics map[string][]record
	// changed is closed and replaced at each append, and when the store goes away.
	changed chan struct{}
	era     int
	down    bool
	// silent is set if requests get no answer while the store is away; otherwise their connections are
	// closed.
	silent bool
	downAt time.Time
	// lastRead is the end of the last read of the replica list that returned records.
	lastRead int
}

func newStore() *store {
	return &store{topics: make(map[string][]record), changed: make(chan struct{}), era: 1}
}

func (s *store) serve(listener net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down, era := s.down, s.era
		s.mu.Unlock()
		if down {
			s.reject(w, r)
			return
		}
		w.Header().Set("Store-Era", strconv.Itoa(era))
		mux.ServeHTTP(w, r)
	})}
	_ = server.Serve(listener)
}

// reject ends a request that finds the store away.
func (s *store) reject(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
	hangUp(w)
}

// hangUp closes the connection of a request without an answer.
func hangUp(w http.ResponseWriter) {
	if hijacker, ok := w.(http.Hijacker); ok {
		if conn, _, err := hijacker.Hijack(); err == nil {
			_ = conn.Close()
		}
	}
}

// put writes a record on behalf of the operator or a replica. Nothing is written while the store is
// away.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down {
		s.add(topic, record{key: key, value: value, at: time.Now()})
	}
}

func (s *store) add(topic string, r record) {
	s.topics[topic] = append(s.topics[topic], r)
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// leave makes the store unreachable. Reads that wait get no answer.
func (s *store) leave(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.silent, s.downAt = true, silent, time.Now()
	s.wake()
}

// comeBack makes the store reachable again, from a copy that was made age before it went away. It
// returns the numbers of lost records by topic.
func (s *store) comeBack(age time.Duration) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	lost := make(map[string]int)
	for topic, records := range s.topics {
		kept := 0
		for kept < len(records) && records[kept].at.Before(s.downAt.Add(-age)) {
			kept++
		}
		if kept < len(records) {
			lost[topic] = len(records) - kept
			s.topics[topic] = records[:kept:kept]
		}
	}
	s.down = false
	s.era++
	return lost
}

// end returns the offset after the last record of a topic.
func (s *store) end(topic string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topics[topic])
}

// newestValues returns the newest value of each key of a topic.
func (s *store) newestValues(topic string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := make(map[string][]byte)
	for _, r := range s.topics[topic] {
		values[r.key] = r.value
	}
	return values
}

// lastReadKey returns the key of the newest record of the replica list that a machine has read.
func (s *store) lastReadKey() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if records := s.topics[serversTopic]; s.lastRead > 0 && s.lastRead <= len(records) {
		return records[s.lastRead-1].key
	}
	return ""
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallSize))
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	if topic == configTopic || topic == serversTopic {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topics[topic])
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(offset) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int{"end": offset})
		return
	}
	for _, added := range decodeRecords(body) {
		s.add(topic, added)
	}
	writeJSON(w, http.StatusOK, map[string]int{"offset": offset, "end": len(s.topics[topic])})
}

// decodeRecords decodes the records of an append to a keyed topic.
func decodeRecords(body []byte) []record {
	var list []record
	for len(body) > 4 {
		size := int(binary.BigEndian.Uint32(body))
		keyLength := int(body[4])
		if size < 1+keyLength || len(body) < 4+size {
			return list
		}
		r := record{key: string(body[5 : 5+keyLength]), at: time.Now()}
		if size > 1+keyLength {
			r.value = append([]byte(nil), body[5+keyLength:4+size]...)
		}
		list, body = append(list, r), body[4+size:]
	}
	return list
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	topic := query.Get("topic")
	from, _ := strconv.Atoi(query.Get("from"))
	waitMS, _ := strconv.Atoi(query.Get("wait-ms"))
	timer := time.NewTimer(min(time.Duration(waitMS)*time.Millisecond, maxPollTime))
	defer timer.Stop()
	for waiting := waitMS > 0; ; {
		s.mu.Lock()
		records, changed, down := s.topics[topic], s.changed, s.down
		answered := down || from != len(records) || !waiting
		if answered && !down && from < len(records) && topic == serversTopic {
			s.lastRead = len(records)
		}
		s.mu.Unlock()
		if answered {
			if down {
				s.reject(w, r)
				return
			}
			answerRead(w, records, from)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// answerRead answers a read. The store has no record from beyond its end.
func answerRead(w http.ResponseWriter, records []record, from int) {
	if from > len(records) {
		writeJSON(w, http.StatusGone, map[string]int{"first": 0})
		return
	}
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for _, r := range records[from:] {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	_, _ = w.Write(out)
}

func (s *store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	topic := r.URL.Query().Get("topic")
	s.mu.Lock()
	records := s.topics[topic]
	if topic == serversTopic && len(records) > 0 {
		s.lastRead = len(records)
	}
	s.mu.Unlock()
	found := make(map[string]item)
	for offset, r := range records {
		delete(found, r.key)
		if r.value != nil {
			found[r.key] = item{Key: r.key, Value: base64.StdEncoding.EncodeToString(r.value), Offset: offset}
		}
	}
	items := make([]item, 0, len(found))
	for _, i := range found {
		items = append(items, i)
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "truncated": false, "end": len(records)})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
