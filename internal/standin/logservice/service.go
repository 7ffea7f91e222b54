// Package logservice is a stand-in of the platform's log service: append-only
// streams with offsets, retention, a rate limit and injected outages. One task
// owns the streams; HTTP handlers send messages to it.
package logservice

import (
	"context"
	"encoding/json"
	"time"

	"golang.org/x/time/rate"

	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

// Settings configures the stand-in.
type Settings struct {
	// Retention is how long a record is kept; 0 keeps records forever.
	Retention time.Duration `yaml:"retention" validate:"min=0"`
	// AppendsPerSecond limits appends over all streams; 0 means no limit.
	AppendsPerSecond float64 `yaml:"appends_per_second" validate:"min=0"`
}

// Faults are the faults to inject, which tests set with PUT /faults.
type Faults struct {
	// Down rejects every append and read with status 503.
	Down bool `json:"down"`
	// LoseAppendResponses is the number of appends that are stored but whose
	// connection is closed without a response.
	LoseAppendResponses int `json:"lose_append_responses"`
	// DelayMillis delays every response.
	DelayMillis int `json:"delay_ms"`
}

const mailboxCapacity = 1024

// Service owns the streams.
type Service struct {
	settings Settings
	mailbox  task.Mailbox[any]
	streams  map[string]*stream
	limiter  *rate.Limiter
	faults   Faults
}

type stream struct {
	firstOffset  uint64
	records      []platform.Record
	blockedReads []readMessage
}

type appendMessage struct {
	stream string
	data   json.RawMessage
	reply  chan appendReply
}

type appendReply struct {
	record       platform.Record
	refused      string
	loseResponse bool
	delay        time.Duration
}

type readMessage struct {
	stream string
	from   uint64
	limit  int
	// block makes a read at the end of the stream wait for the next record.
	block  bool
	reply  chan readReply
	cancel <-chan struct{}
}

type readReply struct {
	batch   platform.Batch
	expired bool
	refused string
	delay   time.Duration
}

type faultsMessage struct {
	faults Faults
	reply  chan struct{}
}

// New returns a log service with no records.
func New(settings Settings) *Service {
	limit := rate.Inf
	if settings.AppendsPerSecond > 0 {
		limit = rate.Limit(settings.AppendsPerSecond)
	}
	return &Service{
		settings: settings,
		mailbox:  task.NewMailbox[any](mailboxCapacity),
		streams:  make(map[string]*stream),
		limiter:  rate.NewLimiter(limit, max(1, int(settings.AppendsPerSecond))),
	}
}

// Run owns the streams until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	return task.Serve(ctx, s.mailbox, s.step)
}

func (s *Service) step(msg any) {
	switch msg := msg.(type) {
	case appendMessage:
		msg.reply <- s.append(msg)
	case readMessage:
		s.read(msg)
	case faultsMessage:
		s.faults = msg.faults
		close(msg.reply)
		s.retryAllBlockedReads()
	}
}

func (s *Service) append(msg appendMessage) appendReply {
	delay := time.Duration(s.faults.DelayMillis) * time.Millisecond
	if s.faults.Down {
		return appendReply{refused: "log service is down", delay: delay}
	}
	if !s.limiter.Allow() {
		return appendReply{refused: "append rate limit reached", delay: delay}
	}
	st := s.stream(msg.stream)
	record := platform.Record{
		Offset:     st.nextOffset(),
		TimeMillis: time.Now().UnixMilli(),
		Data:       msg.data,
	}
	st.records = append(st.records, record)
	s.dropExpired(st)
	s.retryBlockedReads(st)
	lose := s.faults.LoseAppendResponses > 0
	if lose {
		s.faults.LoseAppendResponses--
	}
	return appendReply{record: record, loseResponse: lose, delay: delay}
}

func (s *Service) read(msg readMessage) {
	delay := time.Duration(s.faults.DelayMillis) * time.Millisecond
	if s.faults.Down {
		msg.reply <- readReply{refused: "log service is down", delay: delay}
		return
	}
	st := s.stream(msg.stream)
	s.dropExpired(st)
	if msg.from < st.firstOffset {
		msg.reply <- readReply{expired: true, batch: platform.Batch{First: st.firstOffset, Next: st.nextOffset()}}
		return
	}
	if msg.from < st.nextOffset() || !msg.block {
		msg.reply <- readReply{batch: st.batch(msg.from, msg.limit), delay: delay}
		return
	}
	st.blockedReads = append(st.blockedReads, msg)
}

// retryBlockedReads repeats the reads that wait for a record, unless their
// requests have ended.
func (s *Service) retryBlockedReads(st *stream) {
	reads := st.blockedReads
	st.blockedReads = nil
	for _, read := range reads {
		select {
		case <-read.cancel:
		default:
			s.read(read)
		}
	}
}

func (s *Service) retryAllBlockedReads() {
	for _, st := range s.streams {
		s.retryBlockedReads(st)
	}
}

func (s *Service) dropExpired(st *stream) {
	if s.settings.Retention == 0 {
		return
	}
	cutoff := time.Now().Add(-s.settings.Retention).UnixMilli()
	for len(st.records) > 0 && st.records[0].TimeMillis < cutoff {
		st.records = st.records[1:]
		st.firstOffset++
	}
}

func (s *Service) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{}
		s.streams[name] = st
	}
	return st
}

func (st *stream) nextOffset() uint64 { return st.firstOffset + uint64(len(st.records)) }

func (st *stream) batch(from uint64, limit int) platform.Batch {
	start := min(int(from-st.firstOffset), len(st.records))
	end := min(start+limit, len(st.records))
	return platform.Batch{
		Records: append([]platform.Record(nil), st.records[start:end]...),
		First:   st.firstOffset,
		Next:    st.nextOffset(),
	}
}
