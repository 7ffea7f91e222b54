// Package stream splits the bytes of a server-sent event stream into complete
// events, so that an interrupted stream can resume at another endpoint without
// duplicate or partial events.
package stream

import (
	"bytes"
	"errors"
	"strconv"
)

// maxEventBytes bounds the size of an event.
const maxEventBytes = 256 << 10

// ErrEventTooLarge is returned for bytes in which no event ends.
var ErrEventTooLarge = errors.New("no event ends within 256 KiB; the sender does not send an event stream")

// Splitter buffers the bytes of an incomplete event until its end arrives.
type Splitter struct {
	pending    []byte
	lastID     int64
	hasID      bool
	eventCount int
}

// LastID returns the id of the last event that Push returned, or the one set by
// SetLastID. It reports false if there is none.
func (s *Splitter) LastID() (int64, bool) { return s.lastID, s.hasID }

// SetLastID sets the id after which a resumed stream continues; events up to it
// are dropped.
func (s *Splitter) SetLastID(id int64) { s.lastID, s.hasID = id, true }

// EventCount returns the number of events that Push has returned.
func (s *Splitter) EventCount() int { return s.eventCount }

// Push adds bytes of the stream and returns the events that are now complete.
// Events whose id is not above the last id are dropped as duplicates. If no event ends
// within maxEventBytes, it returns ErrEventTooLarge besides the events before.
func (s *Splitter) Push(data []byte) ([]byte, error) {
	s.pending = append(s.pending, data...)
	var out []byte
	for {
		end := eventEnd(s.pending)
		if end < 0 {
			break
		}
		event := s.pending[:end]
		if id, ok := parseEventID(event); ok {
			if s.hasID && id <= s.lastID {
				s.pending = s.pending[end:]
				continue
			}
			s.lastID, s.hasID = id, true
		}
		s.eventCount++
		out = append(out, event...)
		s.pending = s.pending[end:]
	}
	if len(s.pending) > maxEventBytes {
		s.pending = nil
		return out, ErrEventTooLarge
	}
	return out, nil
}

// End is called at the end of a stream. It returns the line breaks after the last event,
// and reports false if the stream ended inside an event.
func (s *Splitter) End() (lineBreaks []byte, complete bool) {
	rest := s.pending
	s.pending = nil
	if len(bytes.Trim(rest, "\r\n")) > 0 {
		return nil, false
	}
	return rest, true
}

// eventEnd returns the length of the first event, which ends with an empty line, or -1.
func eventEnd(data []byte) int {
	end := -1
	for _, emptyLine := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.Index(data, []byte(emptyLine)); i >= 0 && (end < 0 || i+len(emptyLine) < end) {
			end = i + len(emptyLine)
		}
	}
	return end
}

// Discard drops the bytes of an incomplete event after an interruption.
func (s *Splitter) Discard() { s.pending = nil }

func parseEventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
