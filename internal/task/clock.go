package task

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock converts wall time to the monotonic time that the core works with.
type Clock struct {
	start time.Time
}

// NewClock returns a clock that reads zero now.
func NewClock() Clock { return Clock{start: time.Now()} }

// Now returns the monotonic time since the clock was made.
func (c Clock) Now() time.Duration { return time.Since(c.start) }

// Timer is a timer that a task arms for its next deadline. It fires at most
// once each time it is armed.
type Timer struct {
	timer *time.Timer
}

// NewTimer returns an alarm that is not armed.
func NewTimer() *Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return &Timer{timer: t}
}

// Arm sets the alarm to fire after d and replaces an earlier setting.
func (t *Timer) Arm(d time.Duration) { t.timer.Reset(max(d, 0)) }

// Stop disarms the alarm.
func (t *Timer) Stop() { t.timer.Stop() }

// C returns the channel on which the alarm fires.
func (t *Timer) C() <-chan time.Time { return t.timer.C }

// BootTime returns the time since the machine started. Unlike the monotonic
// clock it goes on while the machine is suspended, so leases are measured by it.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has this clock since 2.6.39; a failure is a defect of the host.
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
