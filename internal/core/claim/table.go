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

// retryAfterOverload is the delay suggested to callers beyond MaxAttempts.
const retryAfterOverload = time.Second

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
	Result     Action
}

// SetTableTimer asks for a TickTable at the given monotonic time. It replaces
// earlier ones.
type SetTableTimer struct {
	At time.Duration
}

// AppendMarker asks to append a record without entries.
type AppendMarker struct{}

func (FromAttempt) isTableAction()   {}
func (AppendMarker) isTableAction()  {}
func (Reply) isTableAction()         {}
func (SetTableTimer) isTableAction() {}

// Table is the claim stream and the attempts of one router. Invariant: a
// router has at most one live attempt for each key; further submissions of the
// same request wait for its answer.
type Table struct {
	fold   *Fold
	live   map[Key]*liveAttempt
	timers timerHeap
	// markerAt is when the next marker is due; the first one is due at once.
	markerAt time.Duration
}

type liveAttempt struct {
	id      AttemptID
	attempt *Attempt
	first   SubmissionID
	waiting []SubmissionID
	// result is set once the attempt has answered.
	result Action
}

// NewTable returns a table that has read no record.
func NewTable() *Table {
	return &Table{fold: NewFold(), live: make(map[Key]*liveAttempt)}
}

// NextOffset returns the offset of the next record that the table needs.
func (t *Table) NextOffset() uint64 { return t.fold.NextOffset() }

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

// join lets a submission share the attempt that runs for its key.
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

// notifyAttempt tells the live attempt on a key what a folded entry means for it.
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
			return t.deliver(now, e.Key, r.id, ClaimDecided{Verdict: e.Verdict, State: state})
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

// timerHeap orders wakes by time.
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
