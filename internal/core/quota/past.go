package quota

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// startTolerance is the difference between two starts up to which they count as one: the delay of
// datagrams differs.
const startTolerance = 100 * time.Millisecond

// snapshot is what all instances but this one used in the window that ended at a time.
type snapshot struct {
	at        time.Duration
	used      map[fleet.TeamName]Usage
	requested map[fleet.TeamName]float64
	instances int
	// unstated is the time before, the use in which was not stated by those that were killed
	// then.
	unstated time.Duration
}

// past holds the sums from before instances were lost. Later sums contain only what the instances
// and carriers know that still run, so the use of killed instances may be missing, and the
// instances that have not found their carriers yet. Use that was known once is counted until it
// leaves the window.
type past struct {
	// snapshots are the last sums before each loss or start of instances, last are the newest.
	snapshots []snapshot
	last      snapshot
	// fullest is the newest of those sums of the last window that cover the most instances.
	fullest snapshot
	// until is when the newest instance has been running for a window. From then on new sums
	// are complete, and the past is not needed.
	until time.Duration
	// newestStart is when the newest instance started.
	newestStart time.Duration
	// departed is the use that the last sums lack. Before youngUntil, this instance has not known
	// the sums of a whole window, and relies on what others state of it.
	departed   map[fleet.TeamName]Usage
	youngUntil time.Duration
}

// restore sets the record of what all instances used before the start of this one.
func (p *past) restore(now, window time.Duration, r Record) {
	s := snapshot{at: now - r.Age, used: r.Used, requested: r.Requested, instances: max(r.Instances-1, 0)}
	p.snapshots, p.last, p.fullest = []snapshot{s}, s, s
	p.until, p.youngUntil = now+window, now+window
}

// observe keeps new sums.
func (p *past) observe(now, window time.Duration, o Others) {
	s := snapshot{
		at: now, used: sumUsed(o), requested: o.Requested, instances: o.Reached + o.Lost,
		unstated: min(o.Age, minReportDelay),
	}
	lost := s.instances < p.last.instances
	if o.Youngest > 0 && o.Youngest < window {
		started := now - o.Youngest
		lost = lost || started > p.newestStart+startTolerance
		p.newestStart = max(p.newestStart, started)
		p.until = max(p.until, started+window)
	}
	if lost {
		p.until = max(p.until, now+window)
		p.keepLast()
	}
	for len(p.snapshots) > 0 && now-p.snapshots[0].at > window {
		p.snapshots = p.snapshots[1:]
	}
	p.last = s
	if s.instances >= p.fullest.instances || now-p.fullest.at > window {
		p.fullest = s
	}
}

// keepLast keeps the last sums, unless ones of as many instances were kept just before.
func (p *past) keepLast() {
	if n := len(p.snapshots); n > 0 {
		kept := p.snapshots[n-1]
		if p.last.at-kept.at < minReportDelay && p.last.instances <= kept.instances {
			return
		}
	}
	p.snapshots = append(p.snapshots, p.last)
}

// complete returns what all other instances used, with the use that the sums lack.
func (p *past) complete(now, window time.Duration, o Others) map[fleet.TeamName]Usage {
	used := sumUsed(o)
	p.departed = nil
	if now >= p.until {
		return used
	}
	completed := make(map[fleet.TeamName]Usage, len(used))
	for team, use := range used {
		completed[team] = use
	}
	for _, s := range p.snapshots {
		for team, use := range s.used {
			joined := used[team].splice(use, now-s.at, window)
			joined.addAt(now-s.at, window, s.requested[team]*s.unstated.Seconds())
			if joined.Total() > completed[team].Total() {
				completed[team] = joined
			}
		}
	}
	p.departed = make(map[fleet.TeamName]Usage)
	for team, use := range completed {
		if use.Total() > used[team].Total() {
			p.departed[team] = use.Minus(used[team])
		}
	}
	if now < p.youngUntil {
		for team, use := range o.Departed {
			if used[team].Total()+use.Total() > completed[team].Total() {
				completed[team] = used[team].Plus(use)
			}
		}
	}
	return completed
}

// sumUsed returns the use of reached and lost instances together.
func sumUsed(o Others) map[fleet.TeamName]Usage {
	used := make(map[fleet.TeamName]Usage, len(o.Used))
	for _, part := range []map[fleet.TeamName]Usage{o.Used, o.LostUsed} {
		for team, use := range part {
			used[team] = used[team].Plus(use)
		}
	}
	return used
}

// splice returns the usage of u within the last age, and that of an earlier usage before. Usage is
// taken to be spread evenly over a slice, except for what exceeds the slice before: a burst, which
// counts until it has left the window for certain.
func (u Usage) splice(earlier Usage, age, window time.Duration) Usage {
	even, burst := earlier.splitBursts()
	joined := burst.Shift(age, window)
	slices := float64(age) * usageSlices / float64(window)
	whole := int(slices)
	part := slices - float64(whole)
	for i := range joined {
		switch {
		case i < whole:
			joined[i] += u.at(i)
		case i == whole:
			joined[i] += part*u.at(i) + (1-part)*even.at(0)
		default:
			joined[i] += part*even.at(i-whole-1) + (1-part)*even.at(i-whole)
		}
	}
	return joined
}

// splitBursts divides a usage into what each slice has in common with the one before it, or the last
// one with the one after it, and the rest.
func (u Usage) splitBursts() (even, burst Usage) {
	even, burst = make(Usage, usageSlices), make(Usage, usageSlices)
	for i := range even {
		neighbour := i + 1
		if neighbour == usageSlices {
			neighbour = i - 1
		}
		even[i] = min(u.at(i), u.at(neighbour))
		burst[i] = u.at(i) - even[i]
	}
	return even, burst
}

// addAt adds an amount that was used age ago.
func (u Usage) addAt(age, window time.Duration, amount float64) {
	if i := int(age * usageSlices / window); i < len(u) {
		u[i] += amount
	}
}

func (u Usage) at(i int) float64 {
	if i < 0 || i >= len(u) {
		return 0
	}
	return u[i]
}

// Record returns what all instances together used, with this one.
func (m *Meter) Record(now time.Duration) Record {
	r := Record{Used: m.OwnUsage(now), Requested: m.OwnDemand(now), Instances: m.instances()}
	for team, use := range m.othersUsed {
		r.Used[team] = r.Used[team].Plus(use.Shift(now-m.othersUsedAt, m.bounds.Window))
	}
	for team, requested := range m.others.Requested {
		r.Requested[team] += requested
	}
	return r
}
