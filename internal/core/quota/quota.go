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
	// othersTTL is the time without new sums after which this instance counts as cut
	// off. The others are then assumed to use their share of the quota.
	othersTTL = 1200 * time.Millisecond
	// overrunFraction is the part of the permitted overrun that instances use.
	// The rest covers what peers admitted since their last report.
	overrunFraction = 0.5
	// sliceBursts is the number of bursts that a slice of the window may contain,
	// so that teams with uneven arrivals are not refused.
	sliceBursts = 2.0
	// minReportDelay is the minimum delay until an admission of another instance is
	// counted here. The others are assumed to admit what they requested of late, as
	// measured over demandWindow, also since they stated it.
	minReportDelay = 250 * time.Millisecond
	// overdueAfter is the time without new sums after which the others are assumed to
	// have at least the demand of this instance each.
	overdueAfter = 500 * time.Millisecond
	// demandWindow is about the time between two reports, so that a report states the
	// demand since the one before it. A longer one hides the begin of a flood.
	demandWindow = 250 * time.Millisecond
	// unrecordedTime is the time before the end of the previous run whose usage
	// is missing in its last record. A team may have used its bursts and its rate
	// in it.
	unrecordedTime = 450 * time.Millisecond
	// discoveryTime is the time after the start in which an instance receives the
	// first sums of the others.
	discoveryTime = time.Second
	// nearLimitFraction is the share of a quota from which its usage is recorded
	// more often.
	nearLimitFraction = 0.6
	// assumedInstances is the number of instances assumed while no other is known,
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

// Plus returns the sum of two usages. It may change and return u.
func (u Usage) Plus(other Usage) Usage {
	if len(u) < usageSlices {
		u = append(make(Usage, 0, usageSlices), u...)[:usageSlices]
	}
	u.add(other)
	return u
}

func (u Usage) add(other Usage) {
	for i := range min(len(u), len(other)) {
		u[i] += other[i]
	}
}

// Minus returns the usage without another one that it includes.
func (u Usage) Minus(other Usage) Usage {
	rest := make(Usage, usageSlices)
	rest.add(u)
	for i := range min(len(rest), len(other)) {
		rest[i] = max(rest[i]-other[i], 0)
	}
	return rest
}

// addEvenly adds an amount in equal parts to all slices.
func (u Usage) addEvenly(amount float64) {
	for i := range u {
		u[i] += amount / float64(len(u))
	}
}

// Shift returns the usage that is still in the window after age has passed.
func (u Usage) Shift(age, window time.Duration) Usage {
	slices := int(age * usageSlices / window)
	shifted := make(Usage, usageSlices)
	for i, part := range u {
		if i+slices < usageSlices {
			shifted[i+slices] += part
		}
	}
	return shifted
}

// Others is what the other instances used.
type Others struct {
	// Reached is the number of instances whose reports arrive, Lost the number of those
	// whose reports have stopped recently.
	Reached, Lost int
	// Used is what the reached ones used in the window that ended Age ago, LostUsed what
	// is known of the lost ones.
	Used, LostUsed map[fleet.TeamName]Usage
	Age            time.Duration
	// Requested is what was requested of the reached ones per second.
	Requested map[fleet.TeamName]float64
	// Departed is what instances that run no more used and Used lacks, as the reached ones
	// know.
	Departed map[fleet.TeamName]Usage
	// Oldest and Youngest are the longest and the shortest time that one of the reached
	// ones has been running. Youngest is 0 if it is not known.
	Oldest, Youngest time.Duration
}

// Meter tracks the usage of all teams and decides what is admitted.
type Meter struct {
	bounds Bounds
	own    map[fleet.TeamName]*window.Sum
	// demand is what the team requested of this instance within demandWindow,
	// admitted or not.
	demand map[fleet.TeamName]*window.Sum
	// others are the newest sums over the other instances, received at othersAt. They
	// are valid if othersKnown is set.
	others      Others
	othersAt    time.Duration
	othersKnown bool
	// othersUsed is what the others, and instances that run no more, used as of othersUsedAt.
	othersUsed   map[fleet.TeamName]Usage
	othersUsedAt time.Duration
	// past has earlier sums, of which those of killed instances may be missing in others.
	past past
	// recorded is the record from before the start of this instance, at recordedAt. What was
	// used after it is assumed unless another instance turns out to have been running then,
	// whose sums include it.
	recorded      Record
	recordedAt    time.Duration
	hasUnrecorded bool
	discoveryEnd  time.Duration
}

// New returns a meter without usage.
func New(bounds Bounds) *Meter {
	return &Meter{bounds: bounds, own: make(map[fleet.TeamName]*window.Sum), demand: make(map[fleet.TeamName]*window.Sum)}
}

// SetOthers replaces the sums over the other instances.
func (m *Meter) SetOthers(now time.Duration, others Others) {
	m.past.observe(now, m.bounds.Window, others)
	m.others, m.othersAt, m.othersKnown = others, now, true
	m.othersUsed, m.othersUsedAt = m.past.complete(now, m.bounds.Window, others), now
	if now-others.Oldest < m.recordedAt {
		m.hasUnrecorded = false
	}
}

// NearLimit reports whether a usage is close to the quota of a team.
func NearLimit(total, rate, burst float64, window time.Duration) bool {
	return rate > 0 && total > nearLimitFraction*(rate*window.Seconds()+burst)
}

// Record is what all instances together used, as the holder of the duties recorded it.
type Record struct {
	// Age is the time since then.
	Age  time.Duration
	Used map[fleet.TeamName]Usage
	// Requested is what was requested of all instances per second, Instances their
	// number, 0 if it is not known.
	Requested map[fleet.TeamName]float64
	Instances int
}

// Restore sets what all instances had admitted before the start of this one.
func (m *Meter) Restore(now time.Duration, r Record) {
	m.past.restore(now, m.bounds.Window, r)
	m.othersUsed, m.othersUsedAt = m.past.complete(now, m.bounds.Window, m.others), now
	m.recorded, m.recordedAt = r, now-r.Age
	m.hasUnrecorded, m.discoveryEnd = len(r.Used) > 0, now+discoveryTime
}

// Departed returns what instances that run no more used and the sums lack, if this instance has
// known the sums of a whole window itself.
func (m *Meter) Departed(now time.Duration) map[fleet.TeamName]Usage {
	if now < m.past.youngUntil || m.missing() > 0 || !m.othersAreFresh(now) {
		return nil
	}
	return m.past.departed
}

// OwnUsage returns what this instance admitted in the last window, by team.
func (m *Meter) OwnUsage(now time.Duration) map[fleet.TeamName]Usage {
	used := make(map[fleet.TeamName]Usage, len(m.own))
	for team, sum := range m.own {
		used[team] = sum.Slices(now, usageSlices)
	}
	return used
}

// OwnDemand returns what was requested of this instance per second, by team.
func (m *Meter) OwnDemand(now time.Duration) map[fleet.TeamName]float64 {
	demand := make(map[fleet.TeamName]float64, len(m.demand))
	for team, sum := range m.demand {
		if total := sum.Total(now); total > 0 {
			demand[team] = total / demandWindow.Seconds()
		}
	}
	return demand
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
	if m.hasUnrecorded {
		// Usage after the last record was admitted within the quota, which bounds
		// it.
		available := max(quota+slack-m.othersUsed[team].Total(), 0)
		// The record is old if its writer was lost before the others.
		followed := min(rate, m.recorded.Requested[team]) * max(m.recorded.Age-unrecordedTime, 0).Seconds()
		unrecorded := Usage{min(sliceBursts*burst+rate*unrecordedTime.Seconds()+followed, available)}
		used.add(unrecorded.Shift(now-m.recordedAt, m.bounds.Window))
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
	reached := 1
	if m.othersAreFresh(now) {
		reached += m.others.Reached
	}
	share := float64(reached) / float64(m.instances())
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
	return fmt.Sprintf("used %.0f of %.0f, by age %.0f, instances %d, reached %d", used.Total(), quota, []float64(used), m.instances(), m.others.Reached)
}

// instances returns the number of known instances with this one.
func (m *Meter) instances() int { return m.others.Reached + m.others.Lost + m.missing() + 1 }

// missing returns the number of instances that were known before and are in neither sum.
func (m *Meter) missing() int {
	return max(m.past.fullest.instances-m.others.Reached-m.others.Lost, 0)
}

// othersAreFresh reports whether the sums over the other instances are up to date.
func (m *Meter) othersAreFresh(now time.Duration) bool {
	return m.othersKnown && now-m.othersAt <= othersTTL
}

// totalUsage returns what a team used over all instances together, with
// estimates for what others have not stated.
func (m *Meter) totalUsage(now time.Duration, team fleet.TeamName, quota float64) Usage {
	used := make(Usage, usageSlices)
	if sum, ok := m.own[team]; ok {
		used.add(sum.Slices(now, usageSlices))
	}
	used.add(m.othersUsed[team].Shift(now-m.othersUsedAt, m.bounds.Window))
	if m.instances() == 1 {
		if now >= m.discoveryEnd || len(m.othersUsed) == 0 {
			used.addEvenly(quota * (1 - 1.0/assumedInstances))
		}
		return used
	}
	share := quota / float64(m.instances())
	if m.othersAreFresh(now) {
		used[0] += m.othersDemand(now, team) * max(now-m.othersAt+m.others.Age, minReportDelay).Seconds()
	} else {
		reached := m.others.Used[team].Shift(now-m.othersAt, m.bounds.Window)
		used.addEvenly(max(share*float64(m.others.Reached)-reached.Total(), 0))
	}
	if m.others.Lost > 0 {
		lost := m.others.LostUsed[team].Shift(now-m.othersAt, m.bounds.Window)
		used.addEvenly(max(share*float64(m.others.Lost)-lost.Total(), 0))
	}
	used[0] += m.missingUsage(now, team, quota-used.Total())
	return used
}

// missingUsage estimates what the missing instances used since they were last known: what
// was requested of them, and at most their share of the rest of the quota.
func (m *Meter) missingUsage(now time.Duration, team fleet.TeamName, rest float64) float64 {
	missing := m.missing()
	if missing == 0 {
		return 0
	}
	part := float64(missing) / float64(m.instances())
	requested := m.past.fullest.requested[team] * (now - m.past.fullest.at).Seconds()
	return part * min(requested, max(rest, 0))
}

// othersDemand estimates what is requested of the others per second.
func (m *Meter) othersDemand(now time.Duration, team fleet.TeamName) float64 {
	demand := m.others.Requested[team]
	if sum, ok := m.demand[team]; ok && now-m.othersAt > overdueAfter {
		demand = max(demand, sum.Total(now)/demandWindow.Seconds()*float64(m.others.Reached))
	}
	return demand
}
