// Package quota bounds what a team uses over all own instances together. Each
// instance counts what it admitted and learns what the others did; an instance
// that has not been heard of lately is assumed to use its share.
package quota

import (
	"fmt"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/window"
)

const (
	// reportTTL is how long a peer's figures are taken as they are.
	reportTTL = 1200 * time.Millisecond
	// overrunFraction is the part of the permitted overrun that is used on purpose.
	// The rest covers what peers admitted since their last report.
	overrunFraction = 0.5
	// sliceBursts is the number of bursts that a part of the window may hold. A
	// team whose requests come in clumps is not refused for it.
	sliceBursts = 2.0
	// minReportDelay is how long what a peer admits takes at least to be known here.
	// Peers are assumed to be asked as much as this instance was in askedWindow,
	// also since their last report.
	minReportDelay = 250 * time.Millisecond
	demandWindow   = time.Second
	// unrecordedTime is the time before the end of an earlier run whose use is not in
	// its last record. A team may have used its bursts and its rate in it.
	unrecordedTime = 450 * time.Millisecond
	// peerDiscoveryTime is how long after its start an instance hears of its peers.
	peerDiscoveryTime = time.Second
	// nearLimitFraction is the share of an allowance from which its use is recorded
	// more often.
	nearLimitFraction = 0.6
	// assumedInstances is the number of instances assumed before any peer is
	// known, so that an isolated instance does not spend everything.
	assumedInstances = 10
)

// Bounds are the figures of the rule on allowances.
type Bounds struct {
	Window time.Duration
	// Overrun and Slack are what may be used beyond the allowance: a share of
	// it, and an amount.
	Overrun, Slack float64
}

// usageSlices is the number of parts of the window in a Use.
const usageSlices = 4

// Usage is what a team used in the last window, divided into parts of equal
// length, the newest first. The parts tell when the use leaves the window.
type Usage []float64

// Total returns the use in the whole window.
func (u Usage) Total() float64 {
	var total float64
	for _, part := range u {
		total += part
	}
	return total
}

// Plus returns the sum of two uses.
func (u Usage) Plus(other Usage) Usage {
	sum := make(Usage, usageSlices)
	sum.add(u)
	sum.add(other)
	return sum
}

func (u Usage) add(other Usage) {
	for i := range min(len(u), len(other)) {
		u[i] += other[i]
	}
}

// addEvenly adds an amount that was used at a steady rate.
func (u Usage) addEvenly(amount float64) {
	for i := range u {
		u[i] += amount / float64(len(u))
	}
}

// shift returns what is left of the use in the window once age has passed.
func (u Usage) shift(age, window time.Duration) Usage {
	slices := int(age * usageSlices / window)
	shifted := make(Usage, usageSlices)
	for i, part := range u {
		if i+slices < usageSlices {
			shifted[i+slices] += part
		}
	}
	return shifted
}

// Peer is what another instance admitted in the last window.
type Peer struct {
	At   time.Duration
	Used map[fleet.TeamName]Usage
}

// Meter counts the use of all teams.
type Meter struct {
	bounds Bounds
	own    map[fleet.TeamName]*window.Sum
	// demand is what the team demand this instance for within askedWindow.
	demand map[fleet.TeamName]*window.Sum
	peers  map[string]Peer
	// restored is what this instance admitted before it was started again.
	restored   map[fleet.TeamName]Usage
	restoredAt time.Duration
	// othersRestored is what the other instances had admitted then. It stands
	// for them until they are heard of, at the latest until isolatedAt.
	othersRestored map[fleet.TeamName]Usage
	discoveryEnd   time.Duration
}

// New returns a meter without use.
func New(bounds Bounds) *Meter {
	return &Meter{bounds: bounds, own: make(map[fleet.TeamName]*window.Sum), demand: make(map[fleet.TeamName]*window.Sum), peers: make(map[string]Peer)}
}

// SetPeer records what a peer reported.
func (m *Meter) SetPeer(name string, p Peer) { m.peers[name] = p }

// DropPeer forgets a peer that has left.
func (m *Meter) DropPeer(name string) { delete(m.peers, name) }

// NearLimit reports whether a use comes near the allowance of a team.
func NearLimit(total, rate, burst float64, window time.Duration) bool {
	return rate > 0 && total > nearLimitFraction*(rate*window.Seconds()+burst)
}

// Restore takes what this instance had admitted before it was started again, as
// it was known age ago, and what the others had.
func (m *Meter) Restore(now, age time.Duration, used, others map[fleet.TeamName]Usage) {
	m.restored, m.othersRestored, m.restoredAt = used, others, now-age
	m.discoveryEnd = now + peerDiscoveryTime
}

func (m *Meter) restoredUsage(now time.Duration, team fleet.TeamName) Usage {
	return m.restored[team].shift(now-m.restoredAt, m.bounds.Window)
}

// OwnUsage returns what this instance admitted in the last window, by team.
func (m *Meter) OwnUsage(now time.Duration) map[fleet.TeamName]Usage {
	used := make(map[fleet.TeamName]Usage, len(m.own))
	for team := range m.restored {
		used[team] = m.restoredUsage(now, team)
	}
	for team, sum := range m.own {
		parts := Usage(sum.Slices(now, usageSlices))
		for i, part := range used[team] {
			parts[i] += part
		}
		used[team] = parts
	}
	return used
}

// Admit counts an amount if the team may use it now. limit is the rate a
// second, burst the amount beyond it.
func (m *Meter) Admit(now time.Duration, team fleet.TeamName, rate, burst, amount float64) bool {
	sum, ok := m.own[team]
	if !ok {
		sum = window.New(m.bounds.Window)
		m.own[team], m.demand[team] = sum, window.New(demandWindow)
	}
	m.demand[team].Add(now, amount)
	if rate > 0 && !m.withinQuota(now, team, rate, burst, amount) {
		return false
	}
	sum.Add(now, amount)
	return true
}

// Refund takes back an amount that was admitted and not used.
func (m *Meter) Refund(now time.Duration, team fleet.TeamName, amount float64) {
	if sum, ok := m.own[team]; ok {
		sum.Add(now, -amount)
	}
}

// withinQuota reports whether the team may use the amount: over the whole window what
// is used stays within rate and burst, over each part of it within rate and
// partBurst bursts.
func (m *Meter) withinQuota(now time.Duration, team fleet.TeamName, rate, burst, amount float64) bool {
	quota := rate*m.bounds.Window.Seconds() + burst
	slack := m.slack(now, quota)
	used := m.totalUsage(now, team, quota)
	if len(m.restored) > 0 {
		// What was admitted after the record still fitted the allowance.
		recorded := m.restored[team].Total() + m.othersRestored[team].Total()
		available := max(quota+slack-recorded, 0)
		unrecorded := Usage{min(sliceBursts*burst+rate*unrecordedTime.Seconds(), available)}
		used.add(unrecorded.shift(now-m.restoredAt, m.bounds.Window))
	}
	part := (m.bounds.Window / usageSlices).Seconds()
	total := amount
	for i := range used {
		total += used[i]
		if total > min(rate*part*float64(i+1)+sliceBursts*burst, quota)+slack {
			return false
		}
	}
	return true
}

// slack returns what may be used beyond the allowance. Instances that do not
// hear each other use only their shares of it, since each group adds its own.
func (m *Meter) slack(now time.Duration, quota float64) float64 {
	fresh := 0
	for _, p := range m.peers {
		if now-p.At <= reportTTL {
			fresh++
		}
	}
	share := float64(fresh+1) / float64(len(m.peers)+1)
	return overrunFraction * share * (quota*m.bounds.Overrun + m.bounds.Slack)
}

// RetryDelay returns the time until the amount fits the team's allowance, as far as
// the use in the oldest part of the window tells.
func (m *Meter) RetryDelay(now time.Duration, team fleet.TeamName, rate, burst, amount float64) time.Duration {
	quota := rate*m.bounds.Window.Seconds() + burst
	used := m.totalUsage(now, team, quota)
	excess := used.Total() + amount - quota - m.slack(now, quota)
	expiring := used[usageSlices-1]
	part := m.bounds.Window / usageSlices
	if expiring <= 0 {
		return part
	}
	return time.Duration(max(excess, 0) / expiring * float64(part))
}

// Describe tells what is known about a team's use.
func (m *Meter) Describe(now time.Duration, team fleet.TeamName, rate, burst float64) string {
	quota := rate*m.bounds.Window.Seconds() + burst
	used := m.totalUsage(now, team, quota)
	return fmt.Sprintf("used %.0f of %.0f, by age %.0f, peers %d", used.Total(), quota, []float64(used), len(m.peers))
}

// totalUsage returns what all instances together used of a team's allowance.
func (m *Meter) totalUsage(now time.Duration, team fleet.TeamName, quota float64) Usage {
	used := m.restoredUsage(now, team)
	if sum, ok := m.own[team]; ok {
		used.add(sum.Slices(now, usageSlices))
	}
	demandRate := 0.0
	if sum, ok := m.demand[team]; ok {
		demandRate = sum.Total(now) / float64(demandWindow)
	}
	share := quota / float64(len(m.peers)+1)
	if len(m.peers) == 0 {
		if now < m.discoveryEnd && len(m.othersRestored) > 0 {
			used.add(m.othersRestored[team].shift(now-m.restoredAt, m.bounds.Window))
		} else {
			used.addEvenly(quota * (1 - 1.0/assumedInstances))
		}
	}
	for _, p := range m.peers {
		reported := p.Used[team]
		if now-p.At <= reportTTL {
			used.add(reported)
			used[0] += demandRate * float64(max(now-p.At, minReportDelay))
			continue
		}
		used.add(reported)
		used.addEvenly(max(share-reported.Total(), 0))
	}
	return used
}
