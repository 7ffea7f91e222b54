package stream

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/proptest"
)

func encodeEvents(from, to int) string {
	var b strings.Builder
	for id := from; id <= to; id++ {
		if id%4 == 0 {
			b.WriteString("weight-versions: 2\n")
		}
		fmt.Fprintf(&b, "id: %d\ndata: piece-%d\n\n", id, id)
	}
	return b.String()
}

// TestResumedStreamIsComplete guards against a resumed stream with a missing or
// duplicate event or one joined from two attempts (rule ORDER), for any division
// into reads and any point of interruption.
func TestResumedStreamIsComplete(t *testing.T) {
	proptest.Check(t, proptest.Bounds{Seed: 20261204, Checks: 300}, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "events")
		firstRun := encodeEvents(1, n)
		firstRun = firstRun[:rapid.IntRange(0, len(firstRun)).Draw(t, "broken at")]
		var s Splitter
		var got strings.Builder
		push := func(data string) {
			for len(data) > 0 {
				size := rapid.IntRange(1, len(data)).Draw(t, "bytes")
				events, err := s.Push([]byte(data[:size]))
				if err != nil {
					t.Fatal(err)
				}
				got.Write(events)
				data = data[size:]
			}
		}
		push(firstRun)
		s.Discard()
		last, _ := s.LastID()
		// The second attempt may repeat events that were delivered already.
		repeated := rapid.IntRange(0, int(last)).Draw(t, "repeated")
		push(encodeEvents(int(last)-repeated+1, n))
		rest, complete := s.End()
		if !complete {
			t.Fatal("the stream is not complete")
		}
		got.Write(rest)
		if got.String() != encodeEvents(1, n) {
			t.Fatalf("got %q, want %q", got.String(), encodeEvents(1, n))
		}
	})
}

// TestEndInsideEventIsNoEnd guards against a stream that was broken off inside an event and
// is taken for complete, and against the loss of a stream's last bytes.
func TestEndInsideEventIsNoEnd(t *testing.T) {
	for data, complete := range map[string]bool{
		"":                            true,
		"id: 1\ndata: x\n\n":          true,
		"id: 1\r\ndata: x\r\n\r\n":    true,
		"id: 1\ndata: x\n\n\n":        true,
		"id: 1\ndata: x":              false,
		"id: 1\ndata: x\n":            false,
		"id: 1\ndata: x\n\nid: 2\nda": false,
	} {
		is := is.New(t)
		var s Splitter
		events, err := s.Push([]byte(data))
		is.NoErr(err)
		rest, ok := s.End()
		is.Equal(ok, complete)
		if complete {
			is.Equal(string(events)+string(rest), data)
		}
	}
}

// TestBytesWithoutEventsFail guards against an endpoint that sends bytes without end in
// place of events, which fill the memory or are passed on as a response.
func TestBytesWithoutEventsFail(t *testing.T) {
	is := is.New(t)
	var s Splitter
	events, err := s.Push([]byte("id: 1\n\n"))
	is.NoErr(err)
	is.Equal(string(events), "id: 1\n\n")
	for pushed := 0; err == nil && pushed <= 2*maxEventBytes; pushed += 1000 {
		events, err = s.Push(bytes.Repeat([]byte("a"), 1000))
		is.Equal(len(events), 0)
	}
	is.Equal(err, ErrEventTooLarge)
	rest, _ := s.End()
	is.Equal(len(rest), 0)
}
