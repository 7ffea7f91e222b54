package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLagEndsOnlyWithProgress guards against an instance that never pulls missing
// changes because reports of peers that lack them too reset its lag.
func TestLagEndsOnlyWithProgress(t *testing.T) {
	is := is.New(t)
	var l lag
	_, behind := l.observe(time.Second, 5, 5)
	is.True(!behind)
	since, behind := l.observe(2*time.Second, 5, 7)
	is.True(behind && since == 0)
	_, behind = l.observe(2100*time.Millisecond, 5, 5)
	is.True(!behind)
	since, behind = l.observe(2200*time.Millisecond, 5, 6)
	is.True(behind && since == 200*time.Millisecond)
	since, behind = l.observe(3*time.Second, 6, 7) // own progress restarts the lag
	is.True(behind && since == 0)
	_, behind = l.observe(4*time.Second, 7, 7)
	is.True(!behind)
}

// TestNewestListReadDeterminesAge guards against an outdated report that increases
// the age of the list, and against an age that hides an outage of the store.
func TestNewestListReadDeterminesAge(t *testing.T) {
	is := is.New(t)
	var l listFreshness
	l.recordFailure()
	is.Equal(l.healthyFor(), time.Duration(0))
	l.recordRead()
	age := l.age()
	l.recordPeerRead(time.Duration(l.readAt.Load())-time.Second, time.Hour)
	is.True(l.age() < age+time.Second)
	is.True(l.healthyFor() < time.Second)
	l.recordPeerRead(time.Duration(l.readAt.Load())+time.Nanosecond, 3*time.Second)
	is.True(l.healthyFor() >= 3*time.Second)
}
