package request_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/reclaim"
	"github.com/cornelhold/cornelhold/internal/core/request"
)

const ownID fleet.RequestID = "own"

// world drives one request through routers and endpoints. Each attempt answers
// with its own texts, as a sampling engine does, so that two attempts that both
// contribute to one part of the answer are noticed.
type world struct {
	t        *rapid.T
	now      time.Duration
	m        *request.Machine
	length   int
	attempts map[fleet.AttemptNumber]*stream
	grants   fleet.AttemptNumber
	// pending are asked-for grants, verdicts and exports.
	grant, judge bool
	export       []fleet.AttemptNumber
	frames       []request.Frame
	seen         []string
	ended        bool
}

type stream struct {
	open bool
	// unreachable: no connection to the endpoint was made, so nothing ran.
	unreachable bool
	base        []string
	next        int
}

func (w *world) text(n fleet.AttemptNumber, index int) string {
	return fmt.Sprintf("%d/%d ", n, index)
}

func (w *world) step(msg request.Message) {
	w.perform(w.m.Step(w.now, msg))
	w.check()
}

func (w *world) perform(actions []request.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case request.OpenAttempt:
			if w.attempts[a.Attempt] != nil {
				w.t.Fatalf("attempt number %d used twice", a.Attempt)
			}
			base := slices.Clone(w.m.Frames(0))
			if a.Resume != strings.Join(base, "") || a.NextIndex != len(base) {
				w.t.Fatalf("attempt %d resumes from %q at %d, record is %q", a.Attempt, a.Resume, a.NextIndex, base)
			}
			w.attempts[a.Attempt] = &stream{open: true, base: base, next: a.NextIndex}
		case request.CancelAttempt:
			w.attempts[a.Attempt].open = false
		case request.AskRetry:
			if w.m.Frozen() {
				w.t.Fatal("a frozen request asked for an endpoint")
			}
			if w.grant {
				w.t.Fatal("a second retry was asked for before the first was granted")
			}
			w.grant = true
		case request.JudgeCrash:
			if w.m.Frozen() {
				w.t.Fatal("a frozen request asked for a verdict")
			}
			w.judge = true
		case request.ExportAttempt:
			w.export = append(w.export, a.Attempt)
		case request.Withdraw:
			w.grant = false
		}
	}
}

// check asserts the invariants that hold after every step.
func (w *world) check() {
	record := w.m.Frames(0)
	if len(record) < len(w.seen) || !slices.Equal(record[:len(w.seen)], w.seen) {
		w.t.Fatalf("emitted record %q changed to %q", w.seen, record)
	}
	if w.ended && len(record) != len(w.seen) {
		w.t.Fatal("the record grew after the request had ended")
	}
	for i := len(w.seen); i < len(record); i++ {
		w.checkFrame(record, i)
	}
	w.seen = slices.Clone(record)
	ended, finish, refusal := w.m.Ended()
	if ended && refusal == nil && (len(record) != w.length || finish == "") {
		w.t.Fatalf("ended as whole with %d of %d frames, finish %q", len(record), w.length, finish)
	}
	if ended && refusal != nil && refusal.Run == fleet.RunNotRun && w.mayHaveRun() {
		w.t.Fatalf("refused as not_run after an attempt was opened: %v", refusal)
	}
	w.ended = ended
}

func (w *world) mayHaveRun() bool {
	for _, s := range w.attempts {
		if !s.unreachable {
			return true
		}
	}
	return false
}

// checkFrame asserts that a new frame came from one attempt that continued
// exactly the record before it.
func (w *world) checkFrame(record []string, i int) {
	var number fleet.AttemptNumber
	var index int
	if _, err := fmt.Sscanf(record[i], "%d/%d ", &number, &index); err != nil || index != i {
		w.t.Fatalf("position %d holds the foreign frame %q", i, record[i])
	}
	s := w.attempts[number]
	if s == nil || !slices.Equal(record[:len(s.base)], s.base) {
		w.t.Fatalf("frame %q does not continue the record its attempt started from", record[i])
	}
	for j := len(s.base); j < i; j++ {
		if record[j] != w.text(number, j) {
			w.t.Fatalf("frames %q and %q of two attempts are mixed", record[j], record[i])
		}
	}
}

func (w *world) open() []fleet.AttemptNumber {
	var open []fleet.AttemptNumber
	for n := range w.attempts {
		if w.attempts[n].open {
			open = append(open, n)
		}
	}
	slices.Sort(open)
	return open
}

func (w *world) anyAttempt() fleet.AttemptNumber {
	return fleet.AttemptNumber(rapid.IntRange(1, len(w.attempts)+1).Draw(w.t, "attempt"))
}

func (w *world) frameOf(n fleet.AttemptNumber, index int) request.Frame {
	f := request.Frame{Stream: n, Request: ownID, Attempt: n, Index: index, Text: w.text(n, index)}
	if index == w.length-1 {
		f.Finish = "stop"
	}
	return f
}

func (w *world) emit() {
	open := w.open()
	if len(open) == 0 {
		return
	}
	n := rapid.SampledFrom(open).Draw(w.t, "open")
	s := w.attempts[n]
	if s.next < w.length {
		w.frames = append(w.frames, w.frameOf(n, s.next))
		s.next++
	}
}

func (w *world) deliver() {
	if len(w.frames) == 0 {
		return
	}
	// Any frame may arrive next, and a delivered one may arrive again.
	i := rapid.IntRange(0, len(w.frames)-1).Draw(w.t, "frame")
	f := w.frames[i]
	switch rapid.SampledFrom([]string{"once", "once", "once", "again", "lost", "foreign", "crossed"}).Draw(w.t, "fate") {
	case "once":
		w.frames = slices.Delete(w.frames, i, i+1)
	case "lost":
		w.frames = slices.Delete(w.frames, i, i+1)
		return
	case "foreign":
		f.Request, f.Text = "other", "foreign"
	case "crossed":
		// The endpoint wrote a frame of one stream with the number of another.
		f.Attempt, f.Text = w.anyAttempt(), "crossed"
		if f.Attempt == f.Stream {
			return
		}
	}
	w.step(f)
}

func (w *world) answerGrant() {
	if !w.grant {
		return
	}
	w.grant = false
	if rapid.IntRange(0, 30).Draw(w.t, "refuse") == 0 {
		w.step(request.Refused{Refusal: fleet.Refuse(fleet.RefusedNoEndpoint, 0, "none")})
		return
	}
	w.grants++
	w.step(request.Granted{Attempt: w.grants, Endpoint: dispatch.Endpoint{ID: "e"}})
}

func (w *world) hedge() {
	w.grants++
	w.step(request.Granted{Attempt: w.grants, Endpoint: dispatch.Endpoint{ID: "h"}, Hedge: true})
}

func (w *world) failAttempt() {
	n := w.anyAttempt()
	failure := request.AttemptFailure(rapid.IntRange(1, 6).Draw(w.t, "failure"))
	if s := w.attempts[n]; s != nil {
		if s.next > len(s.base) && failure == request.FailureUnreachable {
			failure = request.FailureBroken
		}
		s.unreachable = s.unreachable || s.open && failure == request.FailureUnreachable
		s.open = false
	}
	w.step(request.AttemptFailed{Attempt: n, Failure: failure})
}

func (w *world) move() {
	w.step(request.Move{Attempt: w.anyAttempt(), Method: reclaim.Method(rapid.IntRange(1, 3).Draw(w.t, "method"))})
}

func (w *world) answerExport() {
	if len(w.export) == 0 {
		return
	}
	n := w.export[0]
	w.export = w.export[1:]
	w.attempts[n].open = false
	w.step(request.Exported{Attempt: n, Source: rapid.SampledFrom([]string{"", "kv"}).Draw(w.t, "source")})
}

func (w *world) answerJudge() {
	if w.judge {
		w.judge = false
		w.step(request.CrashJudged{})
	}
}

// handOff freezes the request and moves it to another router, unless every
// peer dies in the handoff.
func (w *world) handOff() {
	w.step(request.Freeze{})
	if rapid.Bool().Draw(w.t, "between") {
		w.deliver()
		w.answerGrant()
		w.answerJudge()
	}
	if rapid.IntRange(0, 2).Draw(w.t, "peers") == 0 {
		w.step(request.HandoffRefused{})
		return
	}
	record := w.m.Record()
	w.step(request.HandedOver{})
	w.m, _ = request.Restore(w.now, ownID, record)
	w.step(request.CallerAttached{})
	w.grants, w.judge, w.export = 0, false, nil
	ended, _, _ := w.m.Ended()
	w.grant = !ended
}

func (w *world) callerReturns() {
	w.step(request.CallerGone{})
	w.now += time.Second
	w.step(request.Tick{})
	w.step(request.CallerAttached{})
}

// finishRun lets the system run without further faults until the request ends.
func (w *world) finishRun() {
	w.frames = nil
	for range 4 * (w.length + request.MaxAttempts) {
		if ended, _, _ := w.m.Ended(); ended {
			return
		}
		w.answerExport()
		w.answerJudge()
		if w.grant {
			w.grant = false
			w.grants++
			w.step(request.Granted{Attempt: w.grants, Endpoint: dispatch.Endpoint{ID: "e"}})
		}
		for _, n := range w.open() {
			for s := w.attempts[n]; s.open && s.next < w.length; s.next++ {
				w.step(w.frameOf(n, s.next))
			}
			w.step(request.StreamEnded{Attempt: n})
		}
	}
	w.t.Fatal("the request neither ended nor was refused")
}

// TestEveryAnswerIsWhole guards G2 against any interleaving of late, crossed,
// duplicated and lost frames, hedges, failures, moves and handoffs: the record
// is always a prefix of one true answer, and the request always ends.
func TestEveryAnswerIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, length: rapid.IntRange(1, 12).Draw(t, "length"), grant: true,
			attempts: make(map[fleet.AttemptNumber]*stream),
			m:        request.New(0, ownID, true),
		}
		actions := []func(){
			w.emit, w.emit, w.deliver, w.deliver, w.deliver, w.answerGrant, w.answerGrant, w.hedge,
			w.failAttempt, w.move, w.answerExport, w.answerJudge, w.handOff, w.callerReturns,
		}
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(actions)-1), 20, 120).Draw(t, "actions") {
			w.now += 10 * time.Millisecond
			actions[i]()
		}
		w.finishRun()
	})
}
