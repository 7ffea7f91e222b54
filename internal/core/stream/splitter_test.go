package stream

import (
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
				got.Write(s.Push([]byte(data[:size])))
				data = data[size:]
			}
		}
		push(firstRun)
		s.Discard()
		last, _ := s.LastID()
		// The second attempt may repeat events that were delivered already.
		repeated := rapid.IntRange(0, int(last)).Draw(t, "repeated")
		push(encodeEvents(int(last)-repeated+1, n))
		got.Write(s.Remainder())
		if got.String() != encodeEvents(1, n) {
			t.Fatalf("got %q, want %q", got.String(), encodeEvents(1, n))
		}
	})
}

// TestRemainderReturnsIncompleteEvent guards against the loss of a stream's last
// bytes when they are not a complete event.
func TestRemainderReturnsIncompleteEvent(t *testing.T) {
	is := is.New(t)
	var s Splitter
	is.Equal(len(s.Push([]byte("id: 1\ndata: x"))), 0)
	is.Equal(string(s.Remainder()), "id: 1\ndata: x")
}
