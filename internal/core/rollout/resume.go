package rollout

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
)

// renewalIntervals is the number of check-in intervals of endpoints after which one that has not
// written its entry again has ended: then the platform removes it, too.
const renewalIntervals = 3

// ListSettled reports whether the list of endpoints, which write their entries at an interval, was
// followed for so long that those which have not renewed theirs have ended.
func ListSettled(followed, interval time.Duration) bool {
	return followed > renewalIntervals*interval
}

// Stored is what a holder finds at the begin of its term.
type Stored struct {
	// Epoch is the epoch of the store in which the records were read.
	Epoch   storelog.Epoch
	Records []Record
	// Plans are those that this instance follows. Of records from an earlier epoch they may show a
	// later state, which the store has lost.
	Plans []Plan
}

// resumeAll returns the rollouts at the begin of a term. known are those that this instance knows
// from an earlier term.
func resumeAll(now time.Duration, known map[fleet.ServiceName]*run, stored Stored) map[fleet.ServiceName]*run {
	runs := make(map[fleet.ServiceName]*run)
	for _, r := range stored.Records {
		runs[r.Order.Service] = resume(now, known[r.Order.Service], r, stored.Epoch)
	}
	for service, k := range known {
		if _, ok := runs[service]; !ok && k.isSaved && k.record.Epoch < stored.Epoch {
			runs[service] = k.writtenAgain()
		}
	}
	for _, p := range stored.Plans {
		if r, ok := runs[p.Service]; ok && p.Fence != 0 && r.record.Epoch < stored.Epoch {
			r.catchUp(p)
		}
	}
	return runs
}

// resume returns the rollout of a record that was read. known is what this instance knew of the
// service's rollout, nil for nothing; its last write may have had an unknown outcome.
func resume(now time.Duration, known *run, read Record, epoch storelog.Epoch) *run {
	switch {
	case known == nil:
		return newUncertainRun(now, read, epoch)
	case known.isSaved && known.record.Epoch < epoch && known.record.isAfter(read):
		return known.writtenAgain()
	case !known.record.Order.isSame(read.Order):
		return newUncertainRun(now, read, epoch)
	case known.next != nil && known.next.Step == read.Step && known.next.State == read.State:
		known.saved(now)
		return known
	case known.record.Step != read.Step || known.record.State != read.State:
		return newUncertainRun(now, read, epoch)
	}
	known.isSaved, known.isPublished = true, false
	return known
}

// newUncertainRun returns the rollout of a record of which this instance knows nothing else. A
// record that was written in an earlier epoch may have been followed by one that the store has lost.
func newUncertainRun(now time.Duration, read Record, epoch storelog.Epoch) *run {
	r := newRun(now, read)
	r.isUncertain = read.Epoch < epoch && !read.State.IsFinal()
	return r
}

// writtenAgain makes the record pending once more, and its state to be published again, since the
// store may have lost both.
func (r *run) writtenAgain() *run {
	next := r.record
	r.next, r.isPublished = &next, false
	return r
}

// catchUp takes over a later state that a plan of the same order shows.
func (r *run) catchUp(p Plan) {
	ordered := Order{Service: p.Service, To: p.To, Position: p.Order}
	if !r.record.Order.isSame(ordered) {
		return
	}
	r.isUncertain = false
	later := Record{Order: ordered, Step: p.Step, State: p.State}
	if !later.isAfter(r.record) {
		return
	}
	r.record.Step, r.record.State = p.Step, p.State
	r.writtenAgain()
}

// identify takes over the place of the order in the current epoch.
func (r *run) identify(o Order) {
	r.record.Order = o
	if r.next != nil {
		r.next.Order = o
	}
}

// isAfter reports whether a record is of a later order, or of a later state of the same one.
func (r Record) isAfter(other Record) bool {
	switch {
	case !r.Order.isSame(other.Order):
		return r.Order.Position > other.Order.Position
	case r.State != other.State:
		return r.State.IsFinal() && !other.State.IsFinal()
	default:
		return r.Step > other.Step
	}
}

// isSame reports whether two orders are one, at most as known in different epochs.
func (o Order) isSame(other Order) bool {
	return o.Position == other.Position || o.isShownAgain(other) || other.isShownAgain(o)
}

// decideUncertain returns the next record of a rollout whose later state may be lost, nil if there
// is no change. The operator ends the old endpoints once a rollout is done: if none of them goes on,
// it was, and there is nothing to go back to.
func (r *run) decideUncertain() *Record {
	next := r.record
	next.Exposed = int64(r.seen.exposed)
	switch {
	case r.judge.isBad():
		next.State = Reverted
	case !r.view.isSettled:
		return nil
	case r.view.oldRenewed == 0 && r.view.newRenewed > 0:
		next.State = Done
	default:
		// It goes on. What it could not reach meanwhile is not the version's fault.
		r.isUncertain, r.isLate = false, true
		return nil
	}
	return &next
}
