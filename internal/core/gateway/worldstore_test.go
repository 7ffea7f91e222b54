package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/quarantine"
)

// worldWriteDelay is the time from a change until the store has it.
const worldWriteDelay = 30 * time.Millisecond

// worldStore holds what the instances of a crashWorld persist. A change that is under way when
// its instance ends is lost.
type worldStore struct {
	crashes map[int][]Crash
	causes  map[string]quarantine.Entry
	writes  []worldWrite
}

type worldWrite struct {
	at       time.Duration
	instance int
	action   Action
}

func newWorldStore() worldStore {
	return worldStore{crashes: make(map[int][]Crash), causes: make(map[string]quarantine.Entry)}
}

func (s *worldStore) write(now time.Duration, instance int, a Action) {
	s.writes = append(s.writes, worldWrite{at: now + worldWriteDelay, instance: instance, action: a})
}

// lose drops the writes of an instance that has ended.
func (s *worldStore) lose(instance int) {
	s.writes = slices.DeleteFunc(s.writes, func(w worldWrite) bool { return w.instance == instance })
}

func (s *worldStore) advance(now time.Duration) {
	for len(s.writes) > 0 && s.writes[0].at <= now {
		switch a := s.writes[0].action.(type) {
		case PersistCrashes:
			s.crashes[s.writes[0].instance] = a.Crashes
		case PersistCause:
			s.causes[quarantine.JoinTraits(a.Entry.Traits)] = a.Entry
		case RemoveCause:
			delete(s.causes, quarantine.JoinTraits(a.Traits))
		}
		s.writes = s.writes[1:]
	}
}

// restore returns what an instance reads at its start.
func (s *worldStore) restore(instance int) CrashesRestored {
	msg := CrashesRestored{Own: s.crashes[instance]}
	for other, crashes := range s.crashes {
		if other != instance {
			msg.Others = append(msg.Others, crashes...)
		}
	}
	for _, e := range s.causes {
		msg.Causes = append(msg.Causes, e)
	}
	slices.SortFunc(msg.Others, func(a, b Crash) int { return cmp.Or(cmp.Compare(a.At, b.At), cmp.Compare(a.Endpoint, b.Endpoint)) })
	slices.SortFunc(msg.Causes, func(a, b quarantine.Entry) int {
		return slices.CompareFunc(a.Traits, b.Traits, quarantine.CompareTraits)
	})
	return msg
}
