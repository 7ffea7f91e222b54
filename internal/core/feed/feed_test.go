package feed

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/proptest"
)

// TestOneReaderInEachDataCentre guards against instances that all read the
// store, and against a data centre in which nobody does, whatever instances
// fail, leave or are turned away by the store.
func TestOneReaderInEachDataCentre(t *testing.T) {
	proptest.Check(t, proptest.Bounds{Seed: 20261204, Checks: 300}, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		var rosters []*Roster
		var instances []Instance
		for i := range n {
			instance := Instance{
				Node: fmt.Sprint("n", i), DataCentre: fleet.DataCentre(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "data centre")),
				Leaving: rapid.Bool().Draw(t, "leaving"), StoreLost: rapid.Bool().Draw(t, "lost"),
			}
			r := NewRoster(instance.Node, instance.DataCentre)
			if instance.StoreLost {
				r.StoreLost(0)
			}
			rosters, instances = append(rosters, r), append(instances, instance)
		}
		const now = time.Second
		for _, r := range rosters {
			for _, i := range instances {
				r.Hear(now, i)
			}
		}
		readers, served := make(map[fleet.DataCentre]int), make(map[fleet.DataCentre]bool)
		for i, r := range rosters {
			dc := instances[i].DataCentre
			if instances[i].Leaving {
				continue
			}
			served[dc] = true
			if r.Reads(now) {
				readers[dc]++
			}
		}
		for dc := range served {
			if readers[dc] != 1 {
				t.Fatalf("%d readers in data centre %s", readers[dc], dc)
			}
		}
	})
}

// TestSilentReaderIsReplaced guards against a reader that was killed or cut off
// and is waited for, and against one that is passed over for good because the
// store turned it away once.
func TestSilentReaderIsReplaced(t *testing.T) {
	is := is.New(t)
	first, second := NewRoster("n0", "a"), NewRoster("n1", "a")
	if !first.self.before(second.self) {
		first, second = second, first
	}
	second.Hear(0, first.self.Instance)
	is.True(!second.Reads(time.Second))
	is.True(second.Reads(heardFor + time.Millisecond))
	first.Hear(0, second.self.Instance)
	first.StoreLost(0)
	is.True(!first.Reads(time.Second))
	first.Hear(lostFor, second.self.Instance)
	is.True(first.Reads(lostFor))
	first.StoreLost(lostFor)
	first.StoreRead()
	is.True(first.Reads(lostFor))
}
