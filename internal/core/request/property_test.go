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

const requestID fleet.RequestID = "own"

// simulation drives one request through routers and endpoints. Each attempt sends
// different texts, as a sampling engine does, so that the checks detect a response
// that mixes frames of two attempts.
type simulation struct {
	t        *rapid.T
	now      time.Duration
	machine  *request.Machine
	length   int
	attempts map[fleet.AttemptNumber]*attempt
	grants   fleet.AttemptNumber
	// Grants, verdicts and exports that the machine requested and that have not
	// been delivered.
	grantPending, verdictPending bool
	pendingExports               []fleet.AttemptNumber
	inFlight                     []request.Frame
	emitted                      []string
	ended                        bool
}

type attempt struct {
	open bool
	// unreachable is set if no connection to the endpoint was established, so that
	// nothing ran.
	unreachable bool
	base        []string
	next        int
}

func (s *simulation) text(n fleet.AttemptNumber, index int) string {
	return fmt.Sprintf("%d/%d ", n, index)
}

func (s *simulation) step(msg request.Message) {
	s.perform(s.machine.Step(s.now, msg))
	s.check()
}

func (s *simulation) perform(actions []request.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case request.OpenAttempt:
			if s.attempts[a.Attempt] != nil {
				s.t.Fatalf("attempt number %d used twice", a.Attempt)
			}
			base := slices.Clone(s.machine.Frames(0))
			if a.Resume != strings.Join(base, "") || a.NextIndex != len(base) {
				s.t.Fatalf("attempt %d resumes from %q at %d, record is %q", a.Attempt, a.Resume, a.NextIndex, base)
			}
			s.attempts[a.Attempt] = &attempt{open: true, base: base, next: a.NextIndex}
		case request.CancelAttempt:
			s.attempts[a.Attempt].open = false
		case request.Retry:
			if s.machine.Frozen() {
				s.t.Fatal("frozen request requested a retry")
			}
			if s.grantPending {
				s.t.Fatal("request requested a retry while a grant is pending")
			}
			s.grantPending = true
		case request.ReportCrash:
			if s.machine.Frozen() {
				s.t.Fatal("frozen request requested a crash verdict")
			}
			s.verdictPending = true
		case request.ExportAttempt:
			s.pendingExports = append(s.pendingExports, a.Attempt)
		case request.Withdraw:
			s.grantPending = false
		}
	}
}

// check asserts the invariants that hold after every step.
func (s *simulation) check() {
	record := s.machine.Frames(0)
	if len(record) < len(s.emitted) || !slices.Equal(record[:len(s.emitted)], s.emitted) {
		s.t.Fatalf("record changed from %q to %q, want an extension", s.emitted, record)
	}
	if s.ended && len(record) != len(s.emitted) {
		s.t.Fatal("the record grew after the request had ended")
	}
	for i := len(s.emitted); i < len(record); i++ {
		s.checkFrame(record, i)
	}
	s.emitted = slices.Clone(record)
	ended, finish, refusal := s.machine.Ended()
	if ended && refusal == nil && (len(record) != s.length || finish == "") {
		s.t.Fatalf("request ended as complete with %d of %d frames, finish reason %q", len(record), s.length, finish)
	}
	if ended && refusal != nil && refusal.Run == fleet.RunNotRun && s.mayHaveRun() {
		s.t.Fatalf("request refused as not_run after an attempt was opened: %v", refusal)
	}
	s.ended = ended
}

func (s *simulation) mayHaveRun() bool {
	for _, a := range s.attempts {
		if !a.unreachable {
			return true
		}
	}
	return false
}

// checkFrame asserts that a new frame came from an attempt that extended exactly
// the record before it.
func (s *simulation) checkFrame(record []string, i int) {
	var number fleet.AttemptNumber
	var index int
	if _, err := fmt.Sscanf(record[i], "%d/%d ", &number, &index); err != nil || index != i {
		s.t.Fatalf("record has frame %q at position %d, which no attempt of this request sent there", record[i], i)
	}
	a := s.attempts[number]
	if a == nil || !slices.Equal(record[:len(a.base)], a.base) {
		s.t.Fatalf("frame %q does not extend the record from which its attempt started", record[i])
	}
	for j := len(a.base); j < i; j++ {
		if record[j] != s.text(number, j) {
			s.t.Fatalf("record mixes frames %q and %q of two attempts", record[j], record[i])
		}
	}
}

func (s *simulation) openAttempts() []fleet.AttemptNumber {
	var open []fleet.AttemptNumber
	for n := range s.attempts {
		if s.attempts[n].open {
			open = append(open, n)
		}
	}
	slices.Sort(open)
	return open
}

func (s *simulation) drawAttempt() fleet.AttemptNumber {
	return fleet.AttemptNumber(rapid.IntRange(1, len(s.attempts)+1).Draw(s.t, "attempt"))
}

func (s *simulation) newFrame(n fleet.AttemptNumber, index int) request.Frame {
	f := request.Frame{Stream: n, Request: requestID, Attempt: n, Index: index, Text: s.text(n, index)}
	if index == s.length-1 {
		f.Finish = "stop"
	}
	return f
}

func (s *simulation) emit() {
	open := s.openAttempts()
	if len(open) == 0 {
		return
	}
	n := rapid.SampledFrom(open).Draw(s.t, "open")
	a := s.attempts[n]
	if a.next < s.length {
		s.inFlight = append(s.inFlight, s.newFrame(n, a.next))
		a.next++
	}
}

func (s *simulation) deliver() {
	if len(s.inFlight) == 0 {
		return
	}
	// Frames may be reordered, duplicated, lost, or carry wrong identifiers.
	i := rapid.IntRange(0, len(s.inFlight)-1).Draw(s.t, "frame")
	f := s.inFlight[i]
	switch rapid.SampledFrom([]string{"once", "once", "once", "again", "lost", "foreign", "crossed"}).Draw(s.t, "fate") {
	case "once":
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
	case "lost":
		s.inFlight = slices.Delete(s.inFlight, i, i+1)
		return
	case "foreign":
		f.Request, f.Text = "other", "foreign"
	case "crossed":
		// The endpoint sent a frame of one attempt with the number of another.
		f.Attempt, f.Text = s.drawAttempt(), "crossed"
		if f.Attempt == f.Stream {
			return
		}
	}
	s.step(f)
}

func (s *simulation) deliverGrant() {
	if !s.grantPending {
		return
	}
	s.grantPending = false
	if rapid.IntRange(0, 30).Draw(s.t, "refuse") == 0 {
		s.step(request.Refused{Refusal: fleet.Refuse(fleet.RefusedNoEndpoint, 0, "none")})
		return
	}
	s.grants++
	s.step(request.Granted{Attempt: s.grants, Endpoint: dispatch.Endpoint{ID: "e"}})
}

func (s *simulation) hedge() {
	s.grants++
	s.step(request.Granted{Attempt: s.grants, Endpoint: dispatch.Endpoint{ID: "h"}, Hedge: true})
}

func (s *simulation) failAttempt() {
	n := s.drawAttempt()
	failure := request.AttemptFailure(rapid.IntRange(1, 6).Draw(s.t, "failure"))
	if a := s.attempts[n]; a != nil {
		if a.next > len(a.base) && failure == request.FailureUnreachable {
			failure = request.FailureBroken
		}
		a.unreachable = a.unreachable || a.open && failure == request.FailureUnreachable
		a.open = false
	}
	s.step(request.AttemptFailed{Attempt: n, Failure: failure})
}

func (s *simulation) move() {
	s.step(request.Move{Attempt: s.drawAttempt(), Method: reclaim.Method(rapid.IntRange(1, 3).Draw(s.t, "method"))})
}

func (s *simulation) deliverExport() {
	if len(s.pendingExports) == 0 {
		return
	}
	n := s.pendingExports[0]
	s.pendingExports = s.pendingExports[1:]
	s.attempts[n].open = false
	s.step(request.Exported{Attempt: n, Source: rapid.SampledFrom([]string{"", "kv"}).Draw(s.t, "source")})
}

func (s *simulation) deliverVerdict() {
	if s.verdictPending {
		s.verdictPending = false
		s.step(request.CrashVerdict{})
	}
}

// handOff freezes the request and moves it to another router, unless no peer
// accepts it.
func (s *simulation) handOff() {
	s.step(request.Freeze{})
	if rapid.Bool().Draw(s.t, "between") {
		s.deliver()
		s.deliverGrant()
		s.deliverVerdict()
	}
	if rapid.IntRange(0, 2).Draw(s.t, "peers") == 0 {
		s.step(request.HandoffRefused{})
		return
	}
	record := s.machine.Record()
	s.step(request.HandedOver{})
	s.machine, _ = request.Restore(s.now, requestID, record)
	s.step(request.CallerAttached{})
	s.grants, s.verdictPending, s.pendingExports = 0, false, nil
	ended, _, _ := s.machine.Ended()
	s.grantPending = !ended
}

func (s *simulation) callerReturns() {
	s.step(request.CallerDetached{})
	s.now += time.Second
	s.step(request.Tick{})
	s.step(request.CallerAttached{})
}

// runToEnd runs the simulation without further faults until the request ends.
func (s *simulation) runToEnd() {
	s.inFlight = nil
	for range 4 * (s.length + request.MaxAttempts) {
		if ended, _, _ := s.machine.Ended(); ended {
			return
		}
		s.deliverExport()
		s.deliverVerdict()
		if s.grantPending {
			s.grantPending = false
			s.grants++
			s.step(request.Granted{Attempt: s.grants, Endpoint: dispatch.Endpoint{ID: "e"}})
		}
		for _, n := range s.openAttempts() {
			for a := s.attempts[n]; a.open && a.next < s.length; a.next++ {
				s.step(s.newFrame(n, a.next))
			}
			s.step(request.StreamEnded{Attempt: n})
		}
	}
	s.t.Fatal("request neither completed nor was refused")
}

// TestEveryResponseIsComplete guards against a response that is incomplete or mixes
// attempts, and against a request that never ends. Late, duplicated, lost and
// mislabelled frames, hedges, failures, moves and handoffs are interleaved at
// random: the record must always be a prefix of one valid response.
func TestEveryResponseIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t: t, length: rapid.IntRange(1, 12).Draw(t, "length"), grantPending: true,
			attempts: make(map[fleet.AttemptNumber]*attempt),
			machine:  request.New(0, requestID, true),
		}
		actions := []func(){
			s.emit, s.emit, s.deliver, s.deliver, s.deliver, s.deliverGrant, s.deliverGrant, s.hedge,
			s.failAttempt, s.move, s.deliverExport, s.deliverVerdict, s.handOff, s.callerReturns,
		}
		for _, i := range rapid.SliceOfN(rapid.IntRange(0, len(actions)-1), 20, 120).Draw(t, "actions") {
			s.now += 10 * time.Millisecond
			actions[i]()
		}
		s.runToEnd()
	})
}
