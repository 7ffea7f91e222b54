package claim

import (
	"container/heap"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// MaxAttempts bounds the attempts that one router runs at once.
const MaxAttempts = 4096

// A claim stream that stays empty for longer than the log's retention would
// leave new readers without history, and they refuse keys until ClockTolerance
// has passed since the first record that they see. Empty marker records prevent it.
const (
	// MarkerInterval is the longest time without a record.
	MarkerInterval = 30 * time.Minute
	// markerRetry separates markers that are not read back.
	markerRetry = time.Minute
)

// retryAfterFull is the delay suggested to callers beyond MaxAttempts.
const retryAfterFull = time.Second

// SubmissionID identifies one submission within a router process.
type SubmissionID uint64

// TableMessage is an input of a table.
type TableMessage interface{ isTableMessage() }

// TableAction is an output of a table.
type TableAction interface{ isTableAction() }

// Submit asks to run a call at most once. Attempt is a new id.
type Submit struct {
	Submission  SubmissionID
	Key         Key
	Attempt     AttemptID
	Fingerprint fleet.Fingerprint
}

// Record delivers the next record of the claim stream.
type Record struct {
	Offset  uint64
	At      LogTime
	Entries []Entry
}

// ToAttempt delivers a message to one attempt.
type ToAttempt struct {
	Key     Key
	Attempt AttemptID
	Message Message
}

// TickTable lets attempts act on deadlines that have passed.
type TickTable struct{}

func (Submit) isTableMessage()    {}
func (Record) isTableMessage()    {}
func (ToAttempt) isTableMessage() {}
func (TickTable) isTableMessage() {}

// FromAttempt is an action of one attempt. First is the submission that
// started the attempt and whose request is sent.
type FromAttempt struct {
	Key     Key
	Attempt AttemptID
	First   SubmissionID
	Action  Action
}

// Reply answers a submission with Answer or Refuse.
type Reply struct {
	Submission SubmissionID
	Answer     Action
}

// WakeTable asks for a TickTable at the given monotonic time. It replaces
// earlier ones.
type WakeTable struct {
	At time.Duration
}

// AppendMarker asks to append a record without entries.
type AppendMarker struct{}

func (FromAttempt) isTableAction()  {}
func (AppendMarker) isTableAction() {}
func (Reply) isTableAction()        {}
func (WakeTable) isTableAction()    {}

// Table is the claim stream and the attempts of one router. Invariant: a
// router has at most one live attempt for each key; further submissions of the
// same request wait for its answer.
type Table struct {
	fold  *Fold
	live  map[Key]*running
	wakes wakeHeap
	// markerAt is when the next marker is due; the first one is due at once.
	markerAt time.Duration
}

type running struct {
	id      AttemptID
	attempt *Attempt
	first   SubmissionID
	waiting []SubmissionID
	// answer is set once the attempt has answered.
	answer Action
}

// NewTable returns a table that has read no record.
func NewTable() *Table {
	return &Table{fold: NewFold(), live: make(map[Key]*running)}
}

// Next returns the offset of the next record that the table needs.
func (t *Table) Next() uint64 { return t.fold.Next() }

// Keys returns the number of keys held in memory.
func (t *Table) Keys() int { return t.fold.Len() }

// Live returns the number of attempts that have not finished.
func (t *Table) Live() int { return len(t.live) }

// Step applies one message at monotonic time now and returns what to do.
func (t *Table) Step(now time.Duration, msg TableMessage) []TableAction {
	var actions []TableAction
	switch msg := msg.(type) {
	case Submit:
		actions = t.submit(now, msg)
	case Record:
		actions = t.record(now, msg)
	case ToAttempt:
		actions = t.deliver(now, msg.Key, msg.Attempt, msg.Message)
	case TickTable:
		actions = t.tick(now)
	}
	at := t.markerAt
	if len(t.wakes) > 0 {
		at = min(at, t.wakes[0].at)
	}
	return append(actions, WakeTable{At: at})
}

func (t *Table) submit(now time.Duration, s Submit) []TableAction {
	if r, ok := t.live[s.Key]; ok {
		return t.join(r, s)
	}
	holding, held := t.fold.Lookup(s.Key)
	if len(t.live) >= MaxAttempts {
		if held {
			return refuse(s.Submission, inUse())
		}
		return refuse(s.Submission, fleet.Refuse(fleet.RefusedOverload, retryAfterFull,
			"the router has too many open calls; repeat the call with the same key after the stated delay"))
	}
	r := &running{
		id: s.Attempt, attempt: NewAttempt(s.Key, s.Attempt, s.Fingerprint),
		first: s.Submission, waiting: []SubmissionID{s.Submission},
	}
	t.live[s.Key] = r
	return t.deliver(now, s.Key, s.Attempt, Start{Held: held, Holding: holding, Expired: t.fold.Expired(s.Key)})
}

// join lets a submission share the attempt that runs for its key.
func (t *Table) join(r *running, s Submit) []TableAction {
	switch {
	case r.attempt.fingerprint != s.Fingerprint:
		return refuse(s.Submission, mismatch())
	case !r.attempt.Repeatable():
		return refuse(s.Submission, inUse())
	case r.answer != nil:
		return []TableAction{Reply{Submission: s.Submission, Answer: r.answer}}
	default:
		r.waiting = append(r.waiting, s.Submission)
		return nil
	}
}

func (t *Table) record(now time.Duration, msg Record) []TableAction {
	t.markerAt = now + MarkerInterval
	var actions []TableAction
	for _, event := range t.fold.Apply(now, msg.Offset, msg.At, msg.Entries) {
		actions = append(actions, t.event(now, event)...)
	}
	return actions
}

// event tells the live attempt on a key what a folded entry means for it.
func (t *Table) event(now time.Duration, e Event) []TableAction {
	r, ok := t.live[e.Key]
	if !ok {
		return nil
	}
	holding, _ := t.fold.Lookup(e.Key)
	own := r.id == e.Attempt
	switch e.Verdict {
	case VerdictRecorded:
		return t.deliver(now, e.Key, r.id, Recorded{Holding: holding})
	case VerdictReleased:
		if !own {
			return t.deliver(now, e.Key, r.id, HolderReleased{})
		}
	case VerdictAccepted, VerdictHeld, VerdictMismatch, VerdictExpired, VerdictFuture:
		if own {
			return t.deliver(now, e.Key, r.id, Judged{Verdict: e.Verdict, Holding: holding})
		}
		if e.Verdict == VerdictAccepted {
			return t.deliver(now, e.Key, r.id, Overtaken{})
		}
	}
	return nil
}

func (t *Table) deliver(now time.Duration, key Key, id AttemptID, msg Message) []TableAction {
	r, ok := t.live[key]
	if !ok || r.id != id {
		return nil
	}
	var actions []TableAction
	for _, action := range r.attempt.Step(now, msg) {
		switch a := action.(type) {
		case Answer, Refuse:
			actions = append(actions, t.reply(r, a)...)
		case Wake:
			heap.Push(&t.wakes, wake{at: a.At, key: key, attempt: id})
		case Finish:
			delete(t.live, key)
		default:
			actions = append(actions, FromAttempt{Key: key, Attempt: id, First: r.first, Action: action})
		}
	}
	return actions
}

func (t *Table) reply(r *running, answer Action) []TableAction {
	r.answer = answer
	var actions []TableAction
	for _, id := range r.waiting {
		actions = append(actions, Reply{Submission: id, Answer: answer})
	}
	r.waiting = nil
	return actions
}

func (t *Table) tick(now time.Duration) []TableAction {
	var actions []TableAction
	if now >= t.markerAt {
		t.markerAt = now + markerRetry
		actions = append(actions, AppendMarker{})
	}
	for len(t.wakes) > 0 && t.wakes[0].at <= now {
		due := heap.Pop(&t.wakes).(wake)
		actions = append(actions, t.deliver(now, due.key, due.attempt, Tick{})...)
	}
	return actions
}

func refuse(id SubmissionID, r *fleet.Refusal) []TableAction {
	return []TableAction{Reply{Submission: id, Answer: Refuse{Refusal: r}}}
}

type wake struct {
	at      time.Duration
	key     Key
	attempt AttemptID
}

// wakeHeap orders wakes by time.
type wakeHeap []wake

func (h wakeHeap) Len() int           { return len(h) }
func (h wakeHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h wakeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *wakeHeap) Push(x any) { *h = append(*h, x.(wake)) }

// Pop implements heap.Interface.
func (h *wakeHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	*h = (*h)[:last]
	return w
}
