package task

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the time that the core works with. It is derived from the boot time,
// so it never goes backwards and includes the time that the machine was suspended.
type Clock struct {
	start time.Duration
}

// NewClock returns a clock that reads zero now.
func NewClock() Clock { return Clock{start: BootTime()} }

// Now returns the time since the clock was created.
func (c Clock) Now() time.Duration { return c.At(BootTime()) }

// At converts a boot time to the time that the clock read then. It is negative for
// times before the clock was created.
func (c Clock) At(boot time.Duration) time.Duration { return boot - c.start }

// Timer is a one-shot timer that a task arms for its next deadline. It fires at
// most once each time it is armed.
type Timer struct {
	timer *time.Timer
}

// NewTimer returns a timer that is not armed.
func NewTimer() *Timer {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return &Timer{timer: t}
}

// Arm sets the timer to fire after d and replaces an earlier setting.
func (t *Timer) Arm(d time.Duration) { t.timer.Reset(max(d, 0)) }

// Stop disarms the timer.
func (t *Timer) Stop() { t.timer.Stop() }

// C returns the channel that receives a value when the timer fires.
func (t *Timer) C() <-chan time.Time { return t.timer.C }

// BootTime returns the time since the machine booted. Unlike the monotonic
// clock it includes the time that the machine was suspended, so leases are
// measured by it.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has provided this clock since 2.6.39, so an error means a
		// misconfigured host.
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
