package router_test

import (
	"testing"

	"github.com/google/uuid"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelhold/cornelhold/internal/core/claim"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/router"
	"github.com/cornelhold/cornelhold/internal/standin/logservice"
)

// benchAppendLimit is the log's limit in appends per second. The platform allows
// several hundred for the whole fleet.
const benchAppendLimit = 300

// BenchmarkClaims measures non-idempotent calls from submission to response
// against a log that accepts benchAppendLimit appends per second. The endpoints
// have slots for all callers, so that admission is no bottleneck.
func BenchmarkClaims(b *testing.B) {
	s := startEnvironment(b, logservice.Settings{AppendsPerSecond: benchAppendLimit})
	r, _, metrics := s.start(b.Context())
	b.SetParallelism(64)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := uuid.Must(uuid.NewV7())
			call := router.PlainCall{
				Team: "counter", Service: "bench-desk", Operation: "work-order", Class: fleet.ClassInteractive,
				ContentType: "application/json", Body: []byte(`{"call_id":"` + id.String() + `"}`),
			}
			if reply := r.CallOnce(b.Context(), call, claim.KeyID(id)); reply.Refusal != nil {
				b.Errorf("call refused: %v", reply.Refusal)
				return
			}
		}
	})
	seconds := b.Elapsed().Seconds()
	appends := counter(b, metrics, "cornelhold_claim_appends_total")
	b.ReportMetric(float64(b.N)/seconds, "calls/s")
	b.ReportMetric(appends/seconds, "appends/s")
	b.ReportMetric(counter(b, metrics, "cornelhold_claim_entries_total")/appends, "entries/append")
}

func counter(b *testing.B, registry *prometheus.Registry, name string) (sum float64) {
	families, err := registry.Gather()
	if err != nil {
		b.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, metric := range family.GetMetric() {
			sum += metric.GetCounter().GetValue()
		}
	}
	return sum
}
