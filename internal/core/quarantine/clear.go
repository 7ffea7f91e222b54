package quarantine

import "time"

// clearMemory remembers when traits were last cleared. It holds two generations and
// drops the older one when the newer one is full or lasted long enough, so that its size
// is bounded at a constant cost.
type clearMemory struct {
	lifetime         time.Duration
	current, earlier map[Trait]time.Duration
	startedAt        time.Duration
}

// maxClears bounds the traits of one generation.
const maxClears = 8192

func newClearMemory(lifetime time.Duration) clearMemory {
	return clearMemory{lifetime: lifetime, current: make(map[Trait]time.Duration)}
}

func (m *clearMemory) add(now, at time.Duration, trait Trait) {
	if now-m.startedAt >= m.lifetime || len(m.current) >= maxClears {
		m.earlier, m.current, m.startedAt = m.current, make(map[Trait]time.Duration), now
	}
	m.current[trait] = max(at, m.current[trait])
}

// since reports whether the trait was cleared at the time at or later.
func (m *clearMemory) since(trait Trait, at time.Duration) bool {
	if cleared, ok := m.current[trait]; ok && cleared >= at {
		return true
	}
	cleared, ok := m.earlier[trait]
	return ok && cleared >= at
}
