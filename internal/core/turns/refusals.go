package turns

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// maxRefusals bounds the refused calls that are remembered.
const maxRefusals = maxWaiting

// refusals remembers the calls that were refused, so that they keep their rank when they return.
type refusals struct {
	byCall map[refusedCall]refusal
	// oldest are the calls in the order of their refusals; some may have returned since.
	oldest []refusedCall
}

type refusedCall struct {
	team        fleet.TeamName
	fingerprint fleet.Fingerprint
}

type refusal struct{ rank, until time.Duration }

func (r *refusals) add(now time.Duration, w *waiting) {
	if w.ask.Fingerprint == 0 {
		return
	}
	if r.byCall == nil {
		r.byCall = make(map[refusedCall]refusal)
	}
	call := refusedCall{team: w.ask.Team, fingerprint: w.ask.Fingerprint}
	if _, ok := r.byCall[call]; !ok {
		r.oldest = append(r.oldest, call)
	}
	r.byCall[call] = refusal{rank: w.rank, until: now + w.ask.DeadlineLeft}
	for len(r.oldest) > maxRefusals {
		delete(r.byCall, r.oldest[0])
		r.oldest = r.oldest[1:]
	}
}

// take returns the rank that a call had when it was refused, once.
func (r *refusals) take(now time.Duration, ask Ask) (rank time.Duration, ok bool) {
	call := refusedCall{team: ask.Team, fingerprint: ask.Fingerprint}
	before, ok := r.byCall[call]
	if !ok || now >= before.until {
		return 0, false
	}
	delete(r.byCall, call)
	return before.rank, true
}
