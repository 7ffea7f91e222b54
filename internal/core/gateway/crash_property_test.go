package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/proptest"
)

const (
	worldHistories = 40
	worldLength    = 25 * time.Second
	// maxLateSends is what the users allow after the time in which the quarantine has to
	// take effect everywhere.
	maxLateSends = 3
)

// playRequests plays random troubles beside sound requests and others that come from next
// at random times, and checks the reference.
func playRequests(t *rapid.T, w *crashWorld, sound func() Request, next func() Request) {
	for w.now < worldLength {
		w.advance()
		if w.random.Float64() < 0.5 {
			w.sound++
			w.arrive(sound())
		}
		if next != nil && w.random.Float64() < 0.03 {
			w.arrive(next())
		}
		if w.random.Float64() < 0.008 {
			w.disturb()
		}
	}
	if w.lateSends > maxLateSends {
		t.Fatalf("%d sends after crash %d and the contact time, of %d crashes by requests", w.lateSends, w.allowed, len(w.crashTimes))
	}
	if w.wrongRefusal > 0 {
		t.Fatalf("%d of %d sound requests were quarantined", w.wrongRefusal, w.sound)
	}
}

// TestOnlyCrashingRequestIsRefused guards against a request that crashes endpoints again
// and again, and against the refusal of sound ones, in random histories of crashes,
// planned departures, resets and restarts of instances.
func TestOnlyCrashingRequestIsRefused(t *testing.T) {
	proptest.Check(t, proptest.Bounds{Seed: 20261205, Checks: worldHistories}, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		w := newCrashWorld(random, 2+random.IntN(8), 8+random.IntN(8), 3)
		w.dark = []float64{0, 0.3}[random.IntN(2)]
		w.crashes = func(r Request) bool { return r.Fingerprint == crashingFingerprint }
		id := fleet.Fingerprint(1000)
		sound := func() Request {
			if random.IntN(4) > 0 { // a caller repeats some
				id++
			}
			return Request{Path: []string{"/idempotent/x", "/unsafe/x"}[random.IntN(2)], Fingerprint: id}
		}
		next := func() Request { return Request{Path: "/idempotent/x", Fingerprint: crashingFingerprint} }
		playRequests(t, w, sound, next)
	})
}
