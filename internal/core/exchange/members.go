package exchange

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quota"
	"github.com/cornelhold/cornelhold/internal/core/tally"
)

// feedWantedTTL is how long an instance is fed after it last asked for it.
const feedWantedTTL = 4 * Interval

// member is the newest report of an instance of the same data centre.
type member struct {
	instance     Instance
	boot         string
	leaving      bool
	holder       bool
	reportedAt   time.Duration
	uptime       time.Duration
	report       Report
	feedWantedAt time.Duration
	wantedFeed   bool
}

func (m *member) isAlive(now time.Duration) bool { return now-m.reportedAt <= aliveTTL }

// includedSequence returns the sequence of the report that the sums include.
func (m *member) includedSequence(now time.Duration) uint64 {
	if !m.isAlive(now) {
		return 0
	}
	return m.report.Sequence
}

// departure is the quota use of an earlier boot of an instance.
type departure struct {
	used map[fleet.TeamName]quota.Usage
	at   time.Duration
}

// members holds the reports of the instances of the same data centre.
type members struct {
	byAddress   map[Address]*member
	departures  []departure
	quotaWindow time.Duration
}

func newMembers(quotaWindow time.Duration) members {
	return members{byAddress: make(map[Address]*member), quotaWindow: quotaWindow}
}

// report records a report. One that was overtaken is ignored.
func (s *members) report(now time.Duration, msg Message) {
	m, ok := s.byAddress[msg.Sender.Address]
	switch {
	case !ok:
		if len(s.byAddress) >= maxInstances {
			return
		}
		m = &member{}
		s.byAddress[msg.Sender.Address] = m
	case m.boot != msg.Boot:
		s.departures = append(s.departures, departure{used: m.report.Tally.Used, at: m.reportedAt})
		*m = member{}
	case msg.Report.Sequence <= m.report.Sequence:
		return
	}
	m.instance, m.boot, m.leaving, m.holder = msg.Sender, msg.Boot, msg.Leaving, msg.Holder
	m.reportedAt, m.uptime, m.report = now, msg.Uptime, *msg.Report
	m.wantedFeed = msg.Report.WantsFeed
	if m.wantedFeed {
		m.feedWantedAt = now
	}
}

// expire drops instances that have been lost for lostTTL and quota use that has left the
// window.
func (s *members) expire(now time.Duration) {
	for a, m := range s.byAddress {
		if now-m.reportedAt > lostTTL {
			delete(s.byAddress, a)
		}
	}
	kept := s.departures[:0]
	for _, d := range s.departures {
		if now-d.at <= s.quotaWindow {
			kept = append(kept, d)
		}
	}
	s.departures = kept
}

func (s *members) isAlive(now time.Duration, a Address) bool {
	m, ok := s.byAddress[a]
	return ok && m.isAlive(now)
}

// alive returns the instances that report.
func (s *members) alive(now time.Duration) []*member {
	var list []*member
	for _, m := range s.byAddress {
		if m.isAlive(now) {
			list = append(list, m)
		}
	}
	return list
}

// fed returns the instances that want feeds.
func (s *members) fed(now time.Duration) []*member {
	var list []*member
	for _, m := range s.byAddress {
		if m.wantedFeed && now-m.feedWantedAt <= feedWantedTTL {
			list = append(list, m)
		}
	}
	return list
}

// reached returns the sum of the instances that report, and the use of their earlier boots.
func (s *members) reached(now time.Duration) tally.Group {
	g := tally.NewGroup()
	for _, m := range s.alive(now) {
		age := now - m.reportedAt
		g.Join(tally.Group{Tally: m.report.Tally, Instances: 1, Age: age, Oldest: m.uptime + age, Youngest: m.uptime + age})
	}
	for _, d := range s.departures {
		g.Tally.AddUsed(shift(d.used, now-d.at, s.quotaWindow))
	}
	return g
}

// lost returns the sum of the instances whose reports have stopped: only what is left of
// their quota use.
func (s *members) lost(now time.Duration) tally.Group {
	g := tally.NewGroup()
	for _, m := range s.byAddress {
		if !m.isAlive(now) {
			g.Tally.AddUsed(shift(m.report.Tally.Used, now-m.reportedAt, s.quotaWindow))
			g.Instances++
		}
	}
	return g
}

// shift returns the usage that is still in the window after age.
func shift(used map[fleet.TeamName]quota.Usage, age, window time.Duration) map[fleet.TeamName]quota.Usage {
	shifted := make(map[fleet.TeamName]quota.Usage, len(used))
	for team, use := range used {
		shifted[team] = use.Shift(age, window)
	}
	return shifted
}
