package config

import "slices"

// Fold holds the configuration with the highest number seen so far. Invariant:
// the number of the current snapshot never decreases, whatever the order and
// the source of the records and snapshots that are applied.
type Fold struct {
	current *Snapshot
}

// NewFold returns a fold without any accepted ticket.
func NewFold() *Fold { return &Fold{current: &Snapshot{}} }

// Current returns the snapshot with the highest number. It is never nil.
func (f *Fold) Current() *Snapshot { return f.current }

// Apply folds the ticket record at the given offset of the ticket stream. A
// record that the current snapshot covers is ignored: a record that was
// rejected for a gap could be accepted if it were folded again after later
// tickets.
func (f *Fold) Apply(offset uint64, t Ticket) Verdict {
	if offset < f.current.Offset {
		return VerdictCovered
	}
	verdict := f.classify(t)
	next := max(f.current.Offset, offset+1)
	if verdict != VerdictAccepted {
		f.current = f.current.withOffset(next)
		return verdict
	}
	f.current = &Snapshot{
		Number:   t.Number,
		TicketID: t.ID,
		Offset:   next,
		Objects:  mergeObjects(f.current.Objects, t.Objects),
	}
	return VerdictAccepted
}

// Skip advances past a malformed record at the given offset.
func (f *Fold) Skip(offset uint64) Verdict {
	if offset < f.current.Offset {
		return VerdictCovered
	}
	f.current = f.current.withOffset(offset + 1)
	return VerdictMalformed
}

// Adopt replaces the current snapshot by one from a checkpoint or a peer if the
// number of that one is higher, or if it is the same state and covers more
// records. It reports whether the snapshot was replaced.
func (f *Fold) Adopt(s *Snapshot) bool {
	current := f.current
	newer := s.Number > current.Number
	further := s.Number == current.Number && s.TicketID == current.TicketID && s.Offset > current.Offset
	if !newer && !further {
		return false
	}
	f.current = s
	return true
}

func (f *Fold) classify(t Ticket) Verdict {
	switch {
	case t.Number == 0:
		return VerdictMalformed
	case t.Number == f.current.Number+1:
		return VerdictAccepted
	case t.Number > f.current.Number+1:
		return VerdictGap
	case t.Number == f.current.Number && t.ID == f.current.TicketID:
		return VerdictDuplicate
	default:
		return VerdictLost
	}
}

// With returns a copy with the changes applied, under the same number. Operators'
// tools use it to check a ticket before they file it.
func (s *Snapshot) With(changes []Object) *Snapshot {
	after := *s
	after.Objects = mergeObjects(s.Objects, changes)
	return &after
}

func (s *Snapshot) withOffset(offset uint64) *Snapshot {
	if offset == s.Offset {
		return s
	}
	moved := *s
	moved.Offset = offset
	return &moved
}

// mergeObjects returns a new sorted slice; old is not modified.
func mergeObjects(old, changes []Object) []Object {
	merged := slices.Clone(old)
	for _, change := range changes {
		merged = mergeObject(merged, change)
	}
	return merged
}

func mergeObject(objects []Object, change Object) []Object {
	i, found := slices.BinarySearchFunc(objects, change.Key, compareObjectKey)
	switch {
	case found && change.Deleted:
		return slices.Delete(objects, i, i+1)
	case found:
		objects[i] = change
		return objects
	case change.Deleted:
		return objects
	default:
		return slices.Insert(objects, i, change)
	}
}
