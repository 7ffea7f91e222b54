package quarantine

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func partCause(id uint64, at time.Duration) Cause {
	return Cause{Traits: []Trait{PartTrait(id)}, Crashes: 3, LastAt: at}
}

// TestTrialsAreRare guards against trials that crash endpoints again and again.
func TestTrialsAreRare(t *testing.T) {
	is := is.New(t)
	r := NewRegister()
	r.Quarantine(partCause(1, 0))
	traits := []Trait{PartTrait(1)}
	trials := 0
	for now := time.Duration(0); now < 24*time.Hour; now += time.Second {
		if e := r.Match(traits); e != nil && r.StartTrial(now, e) {
			trials++
			r.Crashed(now+time.Millisecond, traits)
		}
		r.Entries(now)
	}
	is.True(trials > 0 && trials <= 7)
}

// TestTrialWithoutOutcomeIsRepeated guards against a cause that is refused for ever because
// its trial was not sent.
func TestTrialWithoutOutcomeIsRepeated(t *testing.T) {
	is := is.New(t)
	r := NewRegister()
	r.Quarantine(partCause(1, 0))
	e := r.Match([]Trait{PartTrait(1)})
	is.True(!r.StartTrial(firstQuarantine-1, e))
	is.True(r.StartTrial(firstQuarantine, e))
	is.True(!r.StartTrial(firstQuarantine+time.Second, e))
	is.True(r.StartTrial(firstQuarantine+trialTimeout, e))
	r.Lift(firstQuarantine+trialTimeout+time.Second, PartTrait(1))
	is.True(r.Match([]Trait{PartTrait(1)}) == nil)
}

// TestLiftedCauseStaysLifted guards against a cause that a peer brings back because it has
// missed that a request with it was executed.
func TestLiftedCauseStaysLifted(t *testing.T) {
	is := is.New(t)
	r := NewRegister()
	r.Quarantine(partCause(1, time.Second))
	entry := r.Entries(time.Second)[0]
	is.Equal(len(r.Lift(2*time.Second, PartTrait(1))), 1)
	is.True(!r.Adopt(entry))
	entry.CrashedAt = 3 * time.Second
	is.True(r.Adopt(entry)) // it crashed again since
}

// TestRegisterIsBounded guards against causes that fill the memory.
func TestRegisterIsBounded(t *testing.T) {
	is := is.New(t)
	r := NewRegister()
	for id := range uint64(10 * maxEntries) {
		r.Quarantine(partCause(id, 0))
	}
	is.Equal(len(r.Entries(0)), maxEntries)
	for id := range uint64(10 * maxEntries) {
		r.Lift(1, PartTrait(id))
	}
	is.Equal(len(r.Entries(0)), 0)
	is.True(len(r.lifted) <= maxLifted)
}
