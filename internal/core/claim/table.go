package claim

import (
	"container/heap"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// MaxAttempts bounds the concurrent attempts of one router.
const MaxAttempts = 4096

// If no record is appended for longer than the log's retention, a new reader
// finds no history and refuses keys until ClockTolerance after the first record
// that it reads. Marker records without entries prevent this.
const (
	// MarkerInterval is the longest time without a record in the claim stream.
	MarkerInterval = 30 * time.Minute
	// markerRetry is the delay before a marker that was not read back is
	// appended again.
	markerRetry = time.Minute
)

// retryAfterOverload is the delay suggested to callers while MaxAttempts run.
const retryAfterOverload = time.Second

// SubmissionID identifies one submission within a router process.
type SubmissionID uint64

// TableMessage is an input of a table.
type TableMessage interface{ isTableMessage() }

// TableAction is an output of a table.
type TableAction interface{ isTableAction() }

// Submit requests that a call is run at most once. Attempt is a new id.
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

// ToAttempt is a message to one attempt.
type ToAttempt struct {
	Key     Key
	Attempt AttemptID
	Message Message
}

// TickTable reports that the table's timer has fired.
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

// Reply ends a submission. Result is Respond or Refuse.
type Reply struct {
	Submission SubmissionID
	Result     Action
}

// SetTableTimer requests a TickTable at the given monotonic time. It replaces
// the timer set before.
type SetTableTimer struct {
	At time.Duration
}

// AppendMarker requests that a record without entries is appended.
type AppendMarker struct{}

func (FromAttempt) isTableAction()   {}
func (AppendMarker) isTableAction()  {}
func (Reply) isTableAction()         {}
func (SetTableTimer) isTableAction() {}

// Table holds the folded claim stream and the attempts of one router.
// Invariant: a router has at most one live attempt for each key; further
// submissions of the same request wait for its reply.
type Table struct {
	fold   *Fold
	live   map[Key]*liveAttempt
	timers timerHeap
	// markerAt is when the next marker is due; the first one is due immediately.
	markerAt time.Duration
}

type liveAttempt struct {
	id      AttemptID
	attempt *Attempt
	first   SubmissionID
	waiting []SubmissionID
	// result is set once the attempt has replied.
	result Action
}

// NewTable returns a table that has read no record.
func NewTable() *Table {
	return &Table{fold: NewFold(), live: make(map[Key]*liveAttempt)}
}

// NextOffset returns the offset of the next record to fold.
func (t *Table) NextOffset() uint64 { return t.fold.NextOffset() }

// Keys returns the number of keys held in memory.
func (t *Table) Keys() int { return t.fold.Len() }

// Live returns the number of attempts that have not finished.
func (t *Table) Live() int { return len(t.live) }

// Step applies one message at monotonic time now and returns the resulting
// actions.
func (t *Table) Step(now time.Duration, msg TableMessage) []TableAction {
	var actions []TableAction
	switch msg := msg.(type) {
	case Submit:
		actions = t.submit(now, msg)
	case Record:
		actions = t.foldRecord(now, msg)
	case ToAttempt:
		actions = t.deliver(now, msg.Key, msg.Attempt, msg.Message)
	case TickTable:
		actions = t.tick(now)
	}
	at := t.markerAt
	if len(t.timers) > 0 {
		at = min(at, t.timers[0].at)
	}
	return append(actions, SetTableTimer{At: at})
}

func (t *Table) submit(now time.Duration, s Submit) []TableAction {
	if r, ok := t.live[s.Key]; ok {
		return t.join(r, s)
	}
	state, held := t.fold.Lookup(s.Key)
	if len(t.live) >= MaxAttempts {
		if held {
			return refuse(s.Submission, keyInUseRefusal())
		}
		return refuse(s.Submission, fleet.Refuse(fleet.RefusedOverload, retryAfterOverload,
			"the router has too many open calls; repeat the call with the same key after the stated delay"))
	}
	r := &liveAttempt{
		id: s.Attempt, attempt: NewAttempt(s.Key, s.Attempt, s.Fingerprint),
		first: s.Submission, waiting: []SubmissionID{s.Submission},
	}
	t.live[s.Key] = r
	return t.deliver(now, s.Key, s.Attempt, Start{Held: held, State: state, Expired: t.fold.Expired(s.Key)})
}

// join adds a submission to the live attempt for its key.
func (t *Table) join(r *liveAttempt, s Submit) []TableAction {
	switch {
	case r.attempt.fingerprint != s.Fingerprint:
		return refuse(s.Submission, keyMismatchRefusal())
	case !r.attempt.Shareable():
		return refuse(s.Submission, keyInUseRefusal())
	case r.result != nil:
		return []TableAction{Reply{Submission: s.Submission, Result: r.result}}
	default:
		r.waiting = append(r.waiting, s.Submission)
		return nil
	}
}

func (t *Table) foldRecord(now time.Duration, msg Record) []TableAction {
	t.markerAt = now + MarkerInterval
	var actions []TableAction
	for _, event := range t.fold.Apply(now, msg.Offset, msg.At, msg.Entries) {
		actions = append(actions, t.notifyAttempt(now, event)...)
	}
	return actions
}

// notifyAttempt delivers the effect of a folded entry to the live attempt for
// its key.
func (t *Table) notifyAttempt(now time.Duration, e Event) []TableAction {
	r, ok := t.live[e.Key]
	if !ok {
		return nil
	}
	state, _ := t.fold.Lookup(e.Key)
	own := r.id == e.Attempt
	switch e.Verdict {
	case VerdictRecorded:
		return t.deliver(now, e.Key, r.id, OutcomeRecorded{State: state})
	case VerdictReleased:
		if !own {
			return t.deliver(now, e.Key, r.id, HolderReleased{})
		}
	case VerdictAccepted, VerdictHeld, VerdictMismatch, VerdictExpired, VerdictFuture:
		if own {
			return t.deliver(now, e.Key, r.id, Decided{Verdict: e.Verdict, State: state})
		}
		if e.Verdict == VerdictAccepted {
			return t.deliver(now, e.Key, r.id, HeldByOther{})
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
		case Respond, Refuse:
			actions = append(actions, t.reply(r, a)...)
		case SetTimer:
			heap.Push(&t.timers, timer{at: a.At, key: key, attempt: id})
		case Finish:
			delete(t.live, key)
		default:
			actions = append(actions, FromAttempt{Key: key, Attempt: id, First: r.first, Action: action})
		}
	}
	return actions
}

func (t *Table) reply(r *liveAttempt, result Action) []TableAction {
	r.result = result
	var actions []TableAction
	for _, id := range r.waiting {
		actions = append(actions, Reply{Submission: id, Result: result})
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
	for len(t.timers) > 0 && t.timers[0].at <= now {
		due := heap.Pop(&t.timers).(timer)
		actions = append(actions, t.deliver(now, due.key, due.attempt, Tick{})...)
	}
	return actions
}

func refuse(id SubmissionID, r *fleet.Refusal) []TableAction {
	return []TableAction{Reply{Submission: id, Result: Refuse{Refusal: r}}}
}

type timer struct {
	at      time.Duration
	key     Key
	attempt AttemptID
}

// timerHeap is a min-heap of timers by time.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	*h = (*h)[:last]
	return w
}
