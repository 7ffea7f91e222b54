package turns

import "time"

const (
	// onUtilization of the slots turns the granting of turns on. Loads are some tenths of a second
	// old, so that endpoints are full at times from there on.
	onUtilization = 0.7
	// rejectionTime is how long a rejection as full counts as a lack of capacity.
	rejectionTime = 2 * time.Second
	// offUtilization turns it off after offTime, which is longer than the changes of speed of
	// endpoints and the bursts of callers last.
	offUtilization = 0.5
	offTime        = 3 * time.Second
)

// activation decides with hysteresis whether calls of a service need turns.
type activation struct {
	on, calm  bool
	calmSince time.Duration
}

func (a *activation) update(now time.Duration, load ServiceLoad, instances int) {
	if load.Slots <= 0 || load.Slots >= instances {
		*a = activation{}
		return
	}
	utilization := float64(load.Active) / float64(load.Slots)
	rejected := load.Rejected && now-load.RejectedAt <= rejectionTime
	switch {
	case utilization >= onUtilization || rejected:
		a.on, a.calm = true, false
	case utilization >= offUtilization:
		a.calm = false
	case !a.calm:
		a.calm, a.calmSince = true, now
	case now-a.calmSince >= offTime:
		a.on = false
	}
}
