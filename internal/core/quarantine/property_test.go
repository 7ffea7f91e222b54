package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
	"github.com/cornelhold/cornelhold/internal/proptest"
)

// TestMain fixes the seed of the property tests, so that runs are repeatable.
func TestMain(m *testing.M) { proptest.Main(m, 20261204, 1000) }

const poison fleet.Fingerprint = 1

// TestOnlyPoisonRequestIsQuarantined guards against two failures: a poison
// request that crashes more than CrashThreshold endpoints, and a harmless request
// that is quarantined because it ran together with the poison request or in a data
// centre that was reclaimed. Crash suspects are retried on separate endpoints, and
// each router reports the same crash on its own.
func TestOnlyPoisonRequestIsQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fold := quarantine.NewFold()
		// Without isolation two suspects may share an endpoint again, like requests
		// of two routers.
		isolated := rapid.Bool().Draw(t, "isolated")
		suspects := map[fleet.Fingerprint]bool{}
		crashes, offset := 0, uint64(0)
		report := func(event quarantine.Event, running []fleet.Fingerprint) {
			for _, part := range [][]fleet.Fingerprint{running[:len(running)/2], running[len(running)/2:], running[:1]} {
				fold.Apply(offset, time.Duration(offset)*time.Second, quarantine.Evidence{Event: event, Fingerprints: part})
				offset++
			}
		}
		for run := 0; run < 20 && !fold.IsQuarantined(poison); run++ {
			if isolated && crashes >= quarantine.CrashThreshold {
				t.Fatalf("poison request crashed %d endpoints and is not quarantined", crashes)
			}
			event := quarantine.Event{Endpoint: "e", Incarnation: fmt.Sprint(run)}
			harmless := rapid.SliceOfNDistinct(rapid.Uint64Range(2, 12), 0, 6, rapid.ID[uint64]).Draw(t, "running")
			running := []fleet.Fingerprint{}
			for _, i := range harmless {
				// With isolation a suspect never shares an endpoint with another one.
				if f := fleet.Fingerprint(i); !isolated || !suspects[f] || !suspects[poison] {
					running = append(running, f)
				}
			}
			if rapid.IntRange(0, 3).Draw(t, "reclaim") == 0 {
				// The data centre is reclaimed while a harmless request runs there.
				tracker := quarantine.NewReclaimTracker()
				tracker.UpdateList(0, []quarantine.ListedEndpoint{{Endpoint: "w1", DataCentre: "a", Leaving: true}, {Endpoint: "w2", DataCentre: "a", Leaving: true}})
				running = slices.Concat(running, []fleet.Fingerprint{2})
				if tracker.IsEvidence(0, "other", "a") {
					report(quarantine.Event{Endpoint: "other", Incarnation: fmt.Sprint(run)}, running)
				}
				continue
			}
			crashes++
			running = append(running, poison)
			report(event, running)
			for _, f := range running {
				suspects[f] = true
			}
			for _, f := range fold.Quarantined() {
				if f != poison {
					t.Fatalf("harmless fingerprint %d is quarantined after %d crashes", f, crashes)
				}
			}
			// Harmless requests may complete on another endpoint before the next crash.
			for _, f := range running {
				if f != poison && rapid.Bool().Draw(t, "completes") {
					fold.Apply(offset, time.Duration(offset)*time.Second, quarantine.Evidence{Cleared: []fleet.Fingerprint{f}})
					offset++
					delete(suspects, f)
				}
			}
		}
	})
}

// TestFoldsAgree guards against routers that disagree: folding records a second
// time does not change which fingerprints are quarantined.
func TestFoldsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := quarantine.NewFold(), quarantine.NewFold()
		for offset := range uint64(rapid.IntRange(1, 30).Draw(t, "records")) {
			e := quarantine.Evidence{
				Event:        quarantine.Event{Endpoint: "e", Incarnation: fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "event"))},
				Fingerprints: []fleet.Fingerprint{fleet.Fingerprint(rapid.IntRange(1, 3).Draw(t, "f"))},
			}
			a.Apply(offset, time.Duration(offset)*time.Hour, e)
			b.Apply(offset, time.Duration(offset)*time.Hour, e)
			b.Apply(offset, time.Duration(offset+100)*time.Hour, e)
			if !slices.Equal(a.Quarantined(), b.Quarantined()) {
				t.Fatalf("fold quarantines %v, with repeated records %v", a.Quarantined(), b.Quarantined())
			}
		}
	})
}

// TestEvidenceExpires guards against a fingerprint that stays quarantined after
// its crash evidence has expired.
func TestEvidenceExpires(t *testing.T) {
	is := is.New(t)
	f := quarantine.NewFold()
	for i := range uint64(3) {
		f.Apply(i, 0, quarantine.Evidence{Event: quarantine.Event{Incarnation: fmt.Sprint(i)}, Fingerprints: []fleet.Fingerprint{poison}})
	}
	is.True(f.IsQuarantined(poison))
	f.Apply(3, quarantine.EvidenceTTL, quarantine.Evidence{Cleared: []fleet.Fingerprint{99}})
	is.True(!f.IsQuarantined(poison))
}
