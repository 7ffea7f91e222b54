// Package quota enforces the quotas of teams over all instances of the
// deployment together. Each instance counts what it admits and receives reports
// of what the others admitted; an instance without a recent report is assumed to
// use its share of the quota.
package quota

import (
	"fmt"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/window"
)

const (
	// reportTTL is the age up to which a peer's report counts. A peer with an
	// older report is assumed to use its share of the quota.
	reportTTL = 1200 * time.Millisecond
	// overrunFraction is the part of the permitted overrun that instances use.
	// The rest covers what peers admitted since their last report.
	overrunFraction = 0.5
	// sliceBursts is the number of bursts that a slice of the window may contain,
	// so that teams with uneven arrivals are not refused.
	sliceBursts = 2.0
	// minReportDelay is the minimum delay until an admission of a peer is counted
	// here. Peers are assumed to have the same demand as this instance had in
	// demandWindow, also since their last report.
	minReportDelay = 250 * time.Millisecond
	demandWindow   = time.Second
	// unrecordedTime is the time before the end of the previous run whose usage
	// is missing in its last record. A team may have used its bursts and its rate
	// in it.
	unrecordedTime = 450 * time.Millisecond
	// peerDiscoveryTime is the time after the start in which an instance receives
	// the first reports of its peers.
	peerDiscoveryTime = time.Second
	// nearLimitFraction is the share of a quota from which its usage is recorded
	// more often.
	nearLimitFraction = 0.6
	// assumedInstances is the number of instances assumed while no peer is known,
	// so that an isolated instance does not use the whole quota.
	assumedInstances = 10
)

// Bounds are the parameters of the rule QUOTA.
type Bounds struct {
	Window time.Duration
	// Overrun and Slack permit usage beyond the quota: a share of the quota plus
	// an absolute amount.
	Overrun, Slack float64
}

// usageSlices is the number of slices of the window in a Usage.
const usageSlices = 4

// Usage is what a team used in the last window, divided into slices of equal
// length, the newest first. The slices show when usage leaves the window.
type Usage []float64

// Total returns the usage in the whole window.
func (u Usage) Total() float64 {
	var total float64
	for _, part := range u {
		total += part
	}
	return total
}

// Plus returns the sum of two usages.
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

// addEvenly adds an amount in equal parts to all slices.
func (u Usage) addEvenly(amount float64) {
	for i := range u {
		u[i] += amount / float64(len(u))
	}
}

// shift returns the usage that is still in the window after age has passed.
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

// Peer is the last report of another instance: what it admitted in the window
// that ended at At.
type Peer struct {
	At   time.Duration
	Used map[fleet.TeamName]Usage
}

// Meter tracks the usage of all teams and decides what is admitted.
type Meter struct {
	bounds Bounds
	own    map[fleet.TeamName]*window.Sum
	// demand is what the team requested of this instance within demandWindow,
	// admitted or not.
	demand map[fleet.TeamName]*window.Sum
	peers  map[string]Peer
	// restored is what this instance admitted before its restart, as of
	// restoredAt.
	restored   map[fleet.TeamName]Usage
	restoredAt time.Duration
	// othersRestored is what the other instances had admitted at restoredAt. It
	// is used until they report, at the latest until discoveryEnd.
	othersRestored map[fleet.TeamName]Usage
	discoveryEnd   time.Duration
}

// New returns a meter without usage.
func New(bounds Bounds) *Meter {
	return &Meter{bounds: bounds, own: make(map[fleet.TeamName]*window.Sum), demand: make(map[fleet.TeamName]*window.Sum), peers: make(map[string]Peer)}
}

// SetPeer replaces the last report of a peer.
func (m *Meter) SetPeer(name string, p Peer) { m.peers[name] = p }

// DropPeer drops a peer that has left.
func (m *Meter) DropPeer(name string) { delete(m.peers, name) }

// NearLimit reports whether a usage is close to the quota of a team.
func NearLimit(total, rate, burst float64, window time.Duration) bool {
	return rate > 0 && total > nearLimitFraction*(rate*window.Seconds()+burst)
}

// Restore sets what this instance and the others had admitted before its
// restart, as recorded age ago.
func (m *Meter) Restore(now, age time.Duration, used, others map[fleet.TeamName]Usage) {
	m.restored, m.othersRestored, m.restoredAt = used, others, now-age
	m.discoveryEnd = now + peerDiscoveryTime
}

func (m *Meter) restoredUsage(now time.Duration, team fleet.TeamName) Usage {
	return m.restored[team].shift(now-m.restoredAt, m.bounds.Window)
}

// OwnUsage returns what this instance admitted in the last window, by team,
// including before its restart.
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

// Admit counts an amount and reports true if the team may use it now. rate is
// the quota per second, burst the amount beyond it; a rate of 0 means no limit.
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

// Refund subtracts an amount that was admitted and not used.
func (m *Meter) Refund(now time.Duration, team fleet.TeamName, amount float64) {
	if sum, ok := m.own[team]; ok {
		sum.Add(now, -amount)
	}
}

// withinQuota reports whether the team may use the amount: usage stays within
// rate and burst over the whole window, and within rate and sliceBursts bursts
// over its newest slices, for each number of them.
func (m *Meter) withinQuota(now time.Duration, team fleet.TeamName, rate, burst, amount float64) bool {
	quota := rate*m.bounds.Window.Seconds() + burst
	slack := m.slack(now, quota)
	used := m.totalUsage(now, team, quota)
	if len(m.restored) > 0 {
		// Usage after the last record was admitted within the quota, which bounds
		// it.
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

// slack returns what may be used beyond the quota. In a network partition each
// group of instances uses only its share, so that the groups together stay
// within the permitted overrun.
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

// RetryDelay estimates the time until the amount fits the team's quota from the
// usage in the oldest slice, which leaves the window next.
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

// Describe formats a team's usage over all instances for the log.
func (m *Meter) Describe(now time.Duration, team fleet.TeamName, rate, burst float64) string {
	quota := rate*m.bounds.Window.Seconds() + burst
	used := m.totalUsage(now, team, quota)
	return fmt.Sprintf("used %.0f of %.0f, by age %.0f, peers %d", used.Total(), quota, []float64(used), len(m.peers))
}

// totalUsage returns what a team used over all instances together, with
// estimates for what peers have not reported.
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
