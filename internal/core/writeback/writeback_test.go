package writeback

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/proptest"
)

// TestNewestValuesAreStored guards, for random changes and failed appends, against a value that
// is never stored, an older one that replaces a newer one, and appends without a pause.
func TestNewestValuesAreStored(t *testing.T) {
	proptest.Check(t, proptest.Bounds{Seed: 20261206, Checks: 200}, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		const interval = 225 * time.Millisecond
		b := New()
		b.SetRate(400, 9)
		newest, stored := make(map[string]string), make(map[string]string)
		var inFlight []Record
		lastAppend := -time.Hour
		now := time.Duration(0)
		finish := func(ok bool) {
			for _, r := range inFlight {
				if ok {
					stored[r.Key] = string(r.Value)
				}
			}
			b.Finished(now, ok)
			inFlight = nil
		}
		for i := range 400 {
			now += time.Duration(random.IntN(100)) * time.Millisecond
			if i < 300 && random.IntN(3) == 0 {
				key := fmt.Sprint("k", random.IntN(5))
				newest[key] = fmt.Sprint(i)
				b.Put(key, []byte(newest[key]))
			}
			if inFlight != nil && random.IntN(2) == 0 {
				finish(i > 300 || random.IntN(2) == 0)
			}
			if next := b.Next(now); next != nil {
				if inFlight != nil {
					t.Fatal("two appends at a time")
				}
				if now-lastAppend < interval {
					t.Fatalf("appends %v apart", now-lastAppend)
				}
				inFlight, lastAppend = next, now
			}
		}
		for range 3 {
			now += maxRetry
			if next := b.Next(now); next != nil {
				inFlight = next
			}
			if inFlight != nil {
				finish(true)
			}
		}
		for key, value := range newest {
			if stored[key] != value {
				t.Fatalf("%s is %q in the store, want %q", key, stored[key], value)
			}
		}
		if _, ok := b.Wait(now); ok {
			t.Fatal("an append is due although all is stored")
		}
	})
}

// TestOutageSlowsAppendsDown guards against a stream of calls to a store that is down.
func TestOutageSlowsAppendsDown(t *testing.T) {
	is := is.New(t)
	b := New()
	b.Put("k", []byte("v"))
	appends := 0
	for now := time.Duration(0); now < time.Minute; now += 50 * time.Millisecond {
		if b.Next(now) != nil {
			appends++
			b.Finished(now, false)
		}
	}
	is.True(appends <= 12)
}

// TestAppendsOfManyInstancesFitIntoStore guards against instances that together take the
// store's writes from leases and lists while many endpoints crash.
func TestAppendsOfManyInstancesFitIntoStore(t *testing.T) {
	is := is.New(t)
	const instances, writesPerSecond = 810, 400.0
	b := New()
	b.SetRate(writesPerSecond, instances)
	appends := 0
	for now := time.Duration(0); now < time.Minute; now += 10 * time.Millisecond {
		b.Put("k", []byte("v"))
		if b.Next(now) != nil {
			appends++
			b.Finished(now, true)
		}
	}
	is.True(float64(instances*appends)/60 <= 0.2*writesPerSecond)
}

// TestStoredRecordsAreWrittenAgain guards against evidence that the store has forgotten, since it
// came back from an older copy: stored values, removals, and the append under way.
func TestStoredRecordsAreWrittenAgain(t *testing.T) {
	is := is.New(t)
	b := New()
	b.SetRate(400, 1)
	store := func(now time.Duration, ok bool) []Record {
		records := b.Next(now)
		b.Finished(now, ok)
		return records
	}
	b.Put("a", []byte("1"))
	b.Put("b", []byte("1"))
	store(time.Second, true)
	b.Put("b", nil)
	store(2*time.Second, true)
	b.Put("a", []byte("2"))
	is.Equal(b.Next(3*time.Second), []Record{{Key: "a", Value: []byte("2")}})
	b.Rewrite()
	b.Finished(3*time.Second, true) // by an answer of the earlier epoch
	is.Equal(store(5*time.Second, true), []Record{{Key: "a", Value: []byte("2")}, {Key: "b"}})
	b.Put("c", nil)
	store(2*removedTTL, true)
	b.Rewrite()
	is.Equal(store(3*removedTTL, true), []Record{{Key: "a", Value: []byte("2")}, {Key: "c"}}) // b was removed long before
}
