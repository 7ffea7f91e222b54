package task

import "time"

// Clock converts wall time to the monotonic time that the core works with.
type Clock struct {
	start time.Time
}

// NewClock returns a clock that reads zero now.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the monotonic time since the clock was made.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// Alarm is a timer that a task arms for its next deadline. It fires at most
// once each time it is armed.
type Alarm struct {
	timer *time.Timer
}

// NewAlarm returns an alarm that is not armed.
func NewAlarm() *Alarm {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return &Alarm{timer: t}
}

// Arm sets the alarm to fire after d and replaces an earlier setting.
func (a *Alarm) Arm(d time.Duration) { a.timer.Reset(max(d, 0)) }

// Stop disarms the alarm.
func (a *Alarm) Stop() { a.timer.Stop() }

// C returns the channel on which the alarm fires.
func (a *Alarm) C() <-chan time.Time { return a.timer.C }
