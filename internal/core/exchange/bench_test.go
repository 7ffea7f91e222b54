package exchange

import (
	"fmt"
	"testing"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quota"
	"github.com/cornelhold/cornelhold/internal/core/tally"
)

// benchmarkTally returns what an instance of a large deployment states: some of 40 teams and
// some of 128 endpoints.
func benchmarkTally(i int) tally.Tally {
	t := tally.New()
	for k := range 10 {
		team := fleet.TeamName(fmt.Sprint("team-", (i+4*k)%40))
		t.Used[team] = quota.Usage{1, 2, 3, 4}
		t.Requested[team] = 5
		t.Loads[fleet.EndpointID(fmt.Sprint("endpoint-", (i+13*k)%128))] = tally.Load{Active: 1, Backlog: 100}
	}
	t.Demand["service"] = 0.5
	return t
}

// BenchmarkInstance measures what an instance spends on the exchange in one interval, by its
// role and the number of instances: its tick, and the messages that it receives.
func BenchmarkInstance(b *testing.B) {
	for _, size := range fleetSizes {
		s := newSimulation(1, size.instances, size.dataCentres)
		index := make(map[*node]int)
		for i, n := range s.nodes {
			index[n] = i
		}
		s.own = func(n *node) tally.Tally { return benchmarkTally(index[n]) }
		s.runUntil(startTime)
		received := make(map[int][]Message)
		s.observeSend = func(to int, m Message) { received[to] = append(received[to], m) }
		s.runUntil(s.now + Interval)
		for _, carrier := range []bool{true, false} {
			for i, n := range s.nodes {
				if n.exchange.IsCarrier() == carrier {
					b.Run(fmt.Sprintf("instances=%d/carrier=%t", size.instances, carrier), func(b *testing.B) {
						benchmarkInterval(b, s, n, benchmarkTally(i), received[i])
					})
					break
				}
			}
		}
	}
}

func benchmarkInterval(b *testing.B, s *simulation, n *node, own tally.Tally, received []Message) {
	now := s.now
	sequence := uint64(1 << 20)
	b.ReportAllocs()
	for b.Loop() {
		now += Interval
		sequence++
		for _, m := range received {
			if m.Report != nil {
				r := *m.Report
				r.Sequence = sequence
				m.Report = &r
			}
			n.exchange.Step(now, Received{Message: m})
		}
		n.exchange.Step(now, Tick{Own: own})
	}
	b.ReportMetric(float64(b.Elapsed())/float64(b.N)/float64(Interval)*100, "%core")
	b.ReportMetric(float64(len(received))/Interval.Seconds(), "received/s")
}
