package catalog

import (
	"testing"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/matryer/is"
)

func heartbeat(position storelog.Position, started, sequence int64, draining bool) Entry {
	return Entry{ID: "e-x", Position: position, Endpoint: &Endpoint{
		ID: "e-x", Service: "s", Address: "127.0.0.1:1", Started: started, Sequence: sequence, Draining: draining,
	}}
}

func countUsable(d *Directory) int {
	n := 0
	for _, e := range d.Endpoints() {
		if !e.Draining {
			n++
		}
	}
	return n
}

// TestLateHeartbeatDoesNotReviveEndpoint guards against requests to a draining
// or removed endpoint after a heartbeat whose write was delayed by the store.
func TestLateHeartbeatDoesNotReviveEndpoint(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Apply(0, heartbeat(1, 100, 5, false))
	is.Equal(countUsable(d), 1)
	d.Apply(time.Second, heartbeat(2, 100, 6, true))
	is.Equal(countUsable(d), 0)
	d.Apply(time.Second, heartbeat(3, 100, 5, false)) // delayed write of an older heartbeat
	is.Equal(countUsable(d), 0)
	d.Apply(time.Second, heartbeat(4, 100, 7, false)) // the same incarnation stays draining
	is.Equal(countUsable(d), 0)
	d.Apply(2*time.Second, Entry{ID: "e-x", Position: 5, Removed: true})
	d.Apply(2*time.Second, heartbeat(6, 100, 6, false)) // delayed heartbeat after the removal
	is.Equal(len(d.Endpoints()), 0)
	d.Apply(3*time.Second, heartbeat(7, 200, 1, false)) // a new incarnation restarts the sequence
	is.Equal(countUsable(d), 1)
}

// TestLapsedEntryStaysForRecoveryGrace guards against dropping all endpoints
// when their entries lapsed only because the store was unavailable.
func TestLapsedEntryStaysForRecoveryGrace(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Apply(0, heartbeat(1, 100, 5, false))
	d.StoreRecovered(10 * time.Second)
	d.Apply(10*time.Second, Entry{ID: "e-x", Position: 2, Removed: true})
	d.CaughtUp()
	is.Equal(countUsable(d), 1)
	is.True(d.Endpoints()[0].Lapsed) // used only if there is no other
	is.True(!d.Expire(11 * time.Second))
	is.True(d.Expire(12 * time.Second))
	is.Equal(countUsable(d), 0)
}

// TestRemovalAfterOutageTakesEffectAtOnce guards against requests to a removed
// endpoint (rule DRAIN, found on rdsign scale-2): an entry that was removed after
// the store's recovery was kept for RecoveryGrace.
func TestRemovalAfterOutageTakesEffectAtOnce(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	d.Apply(0, heartbeat(1, 100, 5, false))
	d.StoreRecovered(10 * time.Second)
	d.CaughtUp()
	d.Apply(10*time.Second+time.Millisecond, Entry{ID: "e-x", Position: 2, Removed: true})
	is.Equal(countUsable(d), 0)
}

// TestMatchUsesLongestPrefix guards against requests routed to the wrong service
// when several prefixes match.
func TestMatchUsesLongestPrefix(t *testing.T) {
	is := is.New(t)
	c := Build(Catalog{Version: 1, Routes: []Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/"},
	}})
	for path, want := range map[string]string{"/x/y/z": "long", "/x/yz": "short", "/x/": "short"} {
		r, ok := c.Match("A.example:80", path)
		is.True(ok)
		is.Equal(r.Name, want)
	}
	_, ok := c.Match("a.example", "/x")
	is.True(!ok)
}
