package quarantine

import (
	"testing"
	"time"
)

// BenchmarkCauses measures the search for causes in a full table, in which one part causes all
// crashes and each crash has as many suspects as an instance with many peers hears of.
func BenchmarkCauses(b *testing.B) {
	const events, suspects = 256, 64
	table := NewTable(Limits{Threshold: 3, TTL: time.Hour, MaxEvents: events, MaxSuspects: 256, BusyThreshold: 5, Background: time.Minute})
	for i := range events {
		traits := []Trait{PartTrait(1)}
		for k := range suspects {
			traits = append(traits, PartTrait(uint64(2+(i*31+k*7)%(events*suspects/8))))
		}
		at := time.Duration(i) * 100 * time.Millisecond
		table.Add(at, at, event(i), traits)
	}
	for b.Loop() {
		table.Causes(forever)
	}
}
