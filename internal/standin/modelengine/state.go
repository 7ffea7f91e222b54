package modelengine

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	mailboxCapacity = 1024
	bytesPerToken   = 4
	defaultSlots    = 64
)

// Faults are the faults to inject, set with PUT /faults. The zero value injects
// none.
type Faults struct {
	// Streams is the number of streams, from the next one on, that get the stream
	// faults; 0 means all.
	Streams int `json:"streams"`
	// DelayMillis is added before every token.
	DelayMillis int64 `json:"delay_ms"`
	// CutAfter closes the connection after that many tokens; 0 means never.
	CutAfter int `json:"cut_after"`
	// FreezeAfter stops writing anything after that many tokens and keeps the
	// connection open; 0 means never.
	FreezeAfter int `json:"freeze_after"`
	// Late swaps pairs of successive tokens.
	Late bool `json:"late"`
	// Duplicate sends every token twice.
	Duplicate bool `json:"duplicate"`
	// Crossed adds frames of other streams and of an earlier attempt.
	Crossed bool `json:"crossed"`
	// CrashMarker crashes the engine when a stream whose prompt contains it has
	// sent CrashAfter tokens. All connections and the listener are closed.
	CrashMarker string `json:"crash_marker"`
	CrashAfter  int    `json:"crash_after"`
	// RestartMillis is the time until the engine restarts with a new incarnation
	// after a crash; 0 means that it does not restart.
	RestartMillis int64 `json:"restart_ms"`
}

// streamKey identifies a stream, waiting or running.
type streamKey struct {
	request string
	attempt uint32
}

type stream struct {
	key      streamKey
	body     engine.CompletionRequest
	priority int
	arrival  uint64
	running  bool
	faults   Faults
	// tokens is the number of tokens that the stream has sent.
	tokens int
	// stop is closed to end the stream early.
	stop  chan struct{}
	start chan startReply
}

type startReply struct {
	cached int
	faults Faults
}

// Messages to the state task.
type (
	startMessage struct {
		stream *stream
	}
	prefillMessage struct {
		tokens int
	}
	tokenMessage struct {
		stream *stream
		// reply receives the key of another running stream, if any.
		reply chan streamKey
	}
	endMessage struct {
		stream *stream
	}
	cancelMessage struct {
		key streamKey
	}
	exportMessage struct {
		key   streamKey
		reply chan exportReply
	}
	importMessage struct {
		id    string
		reply chan kvEntry
	}
	faultsMessage struct {
		faults Faults
		reply  chan struct{}
	}
	statusMessage struct {
		reply chan engine.Status
	}
	restartMessage struct{}
)

type exportReply struct {
	id string
	// tokens is the size of the exported KV cache; 0 means that the stream is
	// unknown or that exports are disabled.
	tokens int
	// wait is the time until this export, which follows earlier ones, is done.
	wait time.Duration
}

type kvEntry struct {
	Tokens int `json:"tokens"`
}

// state is the engine's state, owned by the state task.
type state struct {
	settings        Settings
	clock           task.Clock
	mailbox         task.Mailbox[any]
	crashed         chan Faults
	incarnation     int
	arrivals        uint64
	streams         map[streamKey]*stream
	cache           *prefixCache
	exports         map[string]kvEntry
	exportBusyUntil time.Duration
	faults          Faults
	// faultyStreamsLeft is the number of streams that still get the faults; -1 means
	// all streams.
	faultyStreamsLeft int
	prefilledTokens   int
	log               eventLog
}

func newState(s Settings) *state {
	st := &state{
		settings: s, clock: task.NewClock(), mailbox: task.NewMailbox[any](mailboxCapacity),
		crashed: make(chan Faults, 1), faultyStreamsLeft: -1,
	}
	st.reset()
	return st
}

func (s *state) reset() {
	s.incarnation++
	s.streams = make(map[streamKey]*stream)
	s.exports = make(map[string]kvEntry)
	s.cache = newPrefixCache(s.settings.CacheTokens)
	s.exportBusyUntil = 0
	s.log.sequence, s.log.events = 0, nil
}

// Run owns the state until ctx ends.
func (s *state) Run(ctx context.Context) error {
	return task.Serve(ctx, s.mailbox, s.handle)
}

func (s *state) handle(msg any) {
	switch msg := msg.(type) {
	case startMessage:
		s.arrivals++
		msg.stream.arrival = s.arrivals
		s.streams[msg.stream.key] = msg.stream
		s.admit()
		s.publish()
	case prefillMessage:
		s.prefilledTokens += msg.tokens
	case tokenMessage:
		msg.reply <- s.otherStream(msg.stream.key)
		s.recordToken(msg.stream)
	case endMessage:
		s.endStream(msg.stream)
	case cancelMessage:
		if st, ok := s.streams[msg.key]; ok {
			close(st.stop)
			s.endStream(st)
		}
	case exportMessage:
		msg.reply <- s.export(msg.key)
	case importMessage:
		msg.reply <- s.exports[msg.id]
		delete(s.exports, msg.id)
	case faultsMessage:
		s.faults = msg.faults
		s.faultyStreamsLeft = msg.faults.Streams
		if s.faultyStreamsLeft == 0 {
			s.faultyStreamsLeft = -1
		}
		close(msg.reply)
	case statusMessage:
		msg.reply <- s.status()
	case restartMessage:
		s.reset()
	case readEvents, cancelRead:
		s.handleEvents(msg)
	}
}

func (s *state) status() engine.Status {
	running := 0
	for _, st := range s.streams {
		if st.running {
			running++
		}
	}
	return engine.Status{
		Incarnation: fmt.Sprint(s.incarnation), Running: running, Waiting: len(s.streams) - running,
		PrefilledTokens: s.prefilledTokens,
	}
}

// admit starts waiting streams in free slots, in the order of priority and arrival.
func (s *state) admit() {
	slots := s.settings.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	var waiting []*stream
	for _, st := range s.streams {
		if st.running {
			slots--
		} else {
			waiting = append(waiting, st)
		}
	}
	slices.SortFunc(waiting, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.arrival, b.arrival))
	})
	for _, st := range waiting[:min(max(slots, 0), len(waiting))] {
		st.running = true
		if s.faultyStreamsLeft != 0 {
			st.faults = s.faults
			s.faultyStreamsLeft--
		}
		cached := s.cache.cachedTokens(st.body.Prompt + st.body.Resume)
		st.start <- startReply{cached: cached, faults: st.faults}
	}
}

func (s *state) recordToken(st *stream) {
	st.tokens++
	f := s.faults
	if f.CrashMarker == "" || !strings.Contains(st.body.Prompt, f.CrashMarker) || st.tokens < f.CrashAfter {
		return
	}
	select {
	case s.crashed <- f:
	default:
	}
}

func (s *state) endStream(st *stream) {
	if s.streams[st.key] != st {
		return
	}
	delete(s.streams, st.key)
	s.cache.store(st.cachedText())
	s.admit()
	s.publish()
}

func (s *state) export(key streamKey) exportReply {
	st, ok := s.streams[key]
	if !ok || s.settings.ExportPerToken <= 0 {
		return exportReply{}
	}
	tokens := len(st.cachedText()) / bytesPerToken
	now := s.clock.Now()
	s.exportBusyUntil = max(s.exportBusyUntil, now) + time.Duration(tokens)*s.settings.ExportPerToken
	id := fmt.Sprintf("%s-%d", key.request, key.attempt)
	s.exports[id] = kvEntry{Tokens: tokens}
	close(st.stop)
	s.endStream(st)
	return exportReply{id: id, tokens: tokens, wait: s.exportBusyUntil - now}
}

func (s *state) otherStream(key streamKey) streamKey {
	for k := range s.streams {
		if k != key {
			return k
		}
	}
	return streamKey{}
}

// cachedText returns the text that the stream's KV cache covers: prompt, resumed
// part and the tokens sent.
func (st *stream) cachedText() string {
	var b strings.Builder
	b.WriteString(st.body.Prompt)
	b.WriteString(st.body.Resume)
	for i := range st.tokens {
		b.WriteString(Token(st.body.Prompt, st.body.NextIndex+i))
	}
	return b.String()
}
