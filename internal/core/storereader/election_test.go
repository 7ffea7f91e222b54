package storereader

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/proptest"
)

// TestOneReaderInEachDataCentre guards against a data centre with several
// readers or none, for any set of instances that leave or cannot read the store.
func TestOneReaderInEachDataCentre(t *testing.T) {
	proptest.Check(t, proptest.Bounds{Seed: 20261204, Checks: 300}, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		var elections []*Election
		var instances []Instance
		for i := range n {
			instance := Instance{
				Node: fmt.Sprint("n", i), DataCentre: fleet.DataCentre(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "data centre")),
				Leaving: rapid.Bool().Draw(t, "leaving"), StoreLost: rapid.Bool().Draw(t, "lost"),
			}
			e := NewElection(instance.Node, instance.DataCentre)
			if instance.StoreLost {
				e.StoreLost(0)
			}
			elections, instances = append(elections, e), append(instances, instance)
		}
		const now = time.Second
		for _, e := range elections {
			for _, i := range instances {
				e.Observe(now, i)
			}
		}
		readers, populated := make(map[fleet.DataCentre]int), make(map[fleet.DataCentre]bool)
		for i, e := range elections {
			dc := instances[i].DataCentre
			if instances[i].Leaving {
				continue
			}
			populated[dc] = true
			if e.IsReader(now) {
				readers[dc]++
			}
		}
		for dc := range populated {
			if readers[dc] != 1 {
				t.Fatalf("%d readers in data centre %s, want 1", readers[dc], dc)
			}
		}
	})
}

// TestUnavailableReaderIsReplaced guards against a data centre that keeps a
// reader which was killed or partitioned, and against a reader that stays
// excluded after a single failed read of the store.
func TestUnavailableReaderIsReplaced(t *testing.T) {
	is := is.New(t)
	first, second := NewElection("n0", "a"), NewElection("n1", "a")
	if !first.self.precedes(second.self) {
		first, second = second, first
	}
	second.Observe(0, first.self.Instance)
	is.True(!second.IsReader(time.Second))
	is.True(second.IsReader(reportTTL + time.Millisecond))
	first.Observe(0, second.self.Instance)
	first.StoreLost(0)
	is.True(!first.IsReader(time.Second))
	first.Observe(storeLostBackoff, second.self.Instance)
	is.True(first.IsReader(storeLostBackoff))
	first.StoreLost(storeLostBackoff)
	first.StoreRead()
	is.True(first.IsReader(storeLostBackoff))
}
