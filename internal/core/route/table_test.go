package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

func endpoints(n int) []Endpoint {
	list := make([]Endpoint, 0, n)
	for i := range n {
		list = append(list, Endpoint{ID: fleet.EndpointID(fmt.Sprintf("e%05d", i)), Slots: 8, Price: 1})
	}
	return list
}

func prompt(key uint64, blocks int) *Request {
	r := &Request{Tokens: blocks * 64, BlockTokens: 64}
	for i := range blocks {
		r.Blocks = append(r.Blocks, mix(key+uint64(i)))
	}
	return r
}

// TestEjectionShare guards against ejecting most of a service when its endpoints
// become slow one after the other.
func TestEjectionShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewTable(1), time.Duration(0)
		count := rapid.IntRange(1, 12).Draw(t, "endpoints")
		list := endpoints(count)
		table.Replace(list)
		for range rapid.IntRange(1, 200).Draw(t, "samples") {
			e := rapid.SampledFrom(list).Draw(t, "endpoint")
			table.Observe(now, e.ID, time.Duration(rapid.IntRange(1, 2000).Draw(t, "took"))*time.Millisecond)
			now += time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond
			ejected := 0
			for _, s := range table.byID {
				if s.outlier.ejectedUntil > now {
					ejected++
				}
			}
			if ejected*ejectionShareDivisor > count {
				t.Fatalf("%d of %d endpoints are ejected, want at most a third", ejected, count)
			}
			if _, ok := table.Choose(now, prompt(1, 2)); !ok {
				t.Fatalf("no endpoint chosen although all %d are idle", count)
			}
		}
	})
}

// TestSlowEndpointIsEjected guards against an ejection rule that never ejects.
func TestSlowEndpointIsEjected(t *testing.T) {
	is := is.New(t)
	table := NewTable(1)
	table.Replace(endpoints(9))
	for i := range 90 {
		took := 40 * time.Millisecond
		if i%9 == 4 {
			took *= 4
		}
		table.Observe(time.Second, fleet.EndpointID(fmt.Sprintf("e%05d", i%9)), took)
	}
	is.Equal(table.Ejected(time.Second), 1)
	is.True(table.byID["e00004"].outlier.ejectedUntil > time.Second)
}

// TestRoutersAgreeOnShares guards against routers that together use more or
// fewer slots than are free or overcommitted: their shares add up to the total.
func TestRoutersAgreeOnShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free := rapid.IntRange(-40, 40).Draw(t, "free")
		routers := rapid.IntRange(1, 30).Draw(t, "routers")
		rotation := rapid.Uint64Range(0, 1<<60).Draw(t, "rotation")
		sum := 0
		for i := range routers {
			sum += evenShare(free, routers, rotation+uint64(i))
		}
		if sum != free {
			t.Fatalf("shares of %d routers add up to %d, want %d", routers, sum, free)
		}
	})
}

// TestHomeAgreesAndMovesLittle guards prefix affinity: two routers choose the
// same endpoint for a prefix without cache hints, and removing an endpoint moves
// only the prompts of that endpoint.
func TestHomeAgreesAndMovesLittle(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{9, 1200} {
		first, second, smaller := NewTable(1), NewTable(2), NewTable(1)
		first.Replace(endpoints(n))
		second.Replace(endpoints(n))
		smaller.Replace(endpoints(n)[1:])
		for key := range uint64(300) {
			a, _ := first.Choose(0, prompt(key<<20, 12))
			b, _ := second.Choose(0, prompt(key<<20, 12))
			c, _ := smaller.Choose(0, prompt(key<<20, 12))
			is.Equal(a.ID, b.ID)
			is.True(a.ID == c.ID || a.ID == "e00000")
		}
	}
}

// TestCacheHintsOnlyRefine guards against cache hints that apply to an endpoint
// after it left, or to a new endpoint that reuses its slot.
func TestCacheHintsOnlyRefine(t *testing.T) {
	is := is.New(t)
	table := NewTable(1)
	table.Replace(endpoints(9))
	r := prompt(5<<20, 20)
	table.UpdateHints("e00003", r.Blocks, nil)
	c, ok := table.Choose(0, r)
	is.True(ok)
	is.Equal(c.ID, fleet.EndpointID("e00003"))
	is.Equal(c.PrefillTokens, 0)
	table.MarkLeaving("e00003")
	c, ok = table.Choose(0, r)
	is.True(ok && c.ID != "e00003")
	list := endpoints(10)
	table.Replace(append(list[:3:3], list[4:]...)) // e00009 reuses the slot of e00003
	c, ok = table.Choose(0, r)
	is.True(ok)
	is.Equal(c.PrefillTokens, r.Tokens) // the new endpoint has nothing cached
}

// TestChooseDoesNotAllocate guards the hot path against heap allocations.
func TestChooseDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	table := NewTable(1)
	table.Replace(endpoints(1200))
	r := prompt(5<<20, 20)
	table.UpdateHints("e00003", r.Blocks, nil)
	is.Equal(testing.AllocsPerRun(100, func() { table.Choose(0, r) }), 0.0)
}
