package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// BenchmarkSteps measures the four messages of one request in a service of n
// endpoints: submission, load report, first token and end.
func BenchmarkSteps(b *testing.B) {
	for _, n := range []int{9, 120, 1200, 12000} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			m := New()
			m.Step(0, Configure{Spec: propertySpec()})
			list := make([]Endpoint, 0, n)
			for i := range n {
				list = append(list, Endpoint{ID: fleet.EndpointID(fmt.Sprintf("e%05d", i)), Service: "m", Slots: 16})
			}
			m.Step(0, Endpoints{Version: 1, List: list})
			blocks := make([]uint64, 24)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := time.Duration(i) * time.Millisecond
				id := fleet.RequestID(fmt.Sprint(i))
				for j := range blocks {
					blocks[j] = uint64(i%512)<<20 + uint64(j)
				}
				m.Step(now, Submit{Request: id, Team: "a", Service: "m", Idempotent: true, Prompt: Prompt{Blocks: blocks, Tokens: 24 * blockTokens}})
				m.Step(now, LoadReport{Endpoint: list[i%n].ID, Running: 3, Sequence: uint64(i)})
				m.Step(now+time.Millisecond, FirstToken{Request: id, Attempt: 1})
				m.Step(now+2*time.Millisecond, AttemptEnded{Request: id, Attempt: 1, Outcome: AttemptCompleted, Generated: 2, Final: true})
			}
			b.ReportMetric(4*float64(b.N)/b.Elapsed().Seconds(), "steps/s")
		})
	}
}
