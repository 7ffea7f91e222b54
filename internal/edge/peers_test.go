package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/task"
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
	l.recordRead(task.BootTime())
	age := l.age()
	l.recordPeerRead(time.Duration(l.readAt.Load())-time.Second, time.Hour)
	is.True(l.age() < age+time.Second)
	is.True(l.healthyFor() < time.Second)
	l.recordPeerRead(time.Duration(l.readAt.Load())+time.Nanosecond, 3*time.Second)
	is.True(l.healthyFor() >= 3*time.Second)
}

// TestListIsAsOldAsTheReadThatReturnedIt guards against an instance that did not run
// between the response of the store and its processing, and takes an old list for a
// new one (rule DRAIN).
func TestListIsAsOldAsTheReadThatReturnedIt(t *testing.T) {
	is := is.New(t)
	var l listFreshness
	l.recordRead(task.BootTime() - 2*time.Second)
	is.True(l.age() >= 2*time.Second)
}

// TestWaitingReportDoesNotRefreshList guards against an instance that did not run for a
// while and takes the list for as new as the reports that waited meanwhile (rule DRAIN).
func TestWaitingReportDoesNotRefreshList(t *testing.T) {
	is := is.New(t)
	var from peer
	report := &cornelholdv1.InstanceReport{SentMs: 5000, ListAgeMs: 300}
	const receivedAt = time.Hour
	is.True(!newReportedState(receivedAt, &from, report).listAgeKnown)
	report.SentMs += 200
	reported := newReportedState(receivedAt+200*time.Millisecond, &from, report)
	is.True(reported.listAgeKnown)
	is.Equal(reported.listCompleteAt.Round(10*time.Millisecond), receivedAt-100*time.Millisecond)
	report.SentMs += 200
	reported = newReportedState(receivedAt+2*time.Second, &from, report) // it waited for 1.6 s
	is.Equal(reported.listCompleteAt.Round(10*time.Millisecond), receivedAt+100*time.Millisecond)
	report.SentMs = 0 // an older program does not send it
	is.True(!newReportedState(receivedAt+3*time.Second, &from, report).listAgeKnown)
}
