package quarantine

import (
	"math"
	"time"
)

// Never is the time of what did not happen. It lies before all other times.
const Never = time.Duration(math.MinInt64)

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
	if known, ok := m.current[trait]; !ok || at > known {
		m.current[trait] = at
	}
}

// last returns when the trait was last cleared, or Never.
func (m *clearMemory) last(trait Trait) time.Duration {
	last := Never
	if at, ok := m.earlier[trait]; ok {
		last = at
	}
	if at, ok := m.current[trait]; ok {
		last = max(last, at)
	}
	return last
}
