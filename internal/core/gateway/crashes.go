package gateway

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// quarantineCrashes is the number of crashes after which a request is no
	// longer sent to endpoints.
	quarantineCrashes = 3
	// confirmTimeout is the time after a lost connection within which the
	// endpoint must be found down for the loss to count as a crash.
	confirmTimeout = 2 * time.Second
	// crashTTL is how long a confirmed crash counts.
	crashTTL = 120 * time.Second
	// crashReportTime is how long a crash is reported to peers.
	crashReportTime = 10 * time.Second
	// maxCrashes bounds the suspected and the confirmed crashes each.
	maxCrashes = 2048
	// maxReportedCrashes bounds the crashes in one report.
	maxReportedCrashes = 32
)

type crashEvidence struct {
	Crash
	at time.Duration
}

// crashLog identifies requests that crash the endpoints that run them. A lost
// connection counts as a crash only if the endpoint is then found down or
// restarted, since single responses are lost for other reasons too.
type crashLog struct {
	pending   []crashEvidence
	confirmed []crashEvidence
}

func newCrashLog() *crashLog { return &crashLog{} }

// addSuspected records a lost connection to an endpoint that was running a
// request.
func (c *crashLog) addSuspected(now time.Duration, crash Crash) {
	c.pending = slices.DeleteFunc(c.pending, func(e crashEvidence) bool { return now-e.at > confirmTimeout })
	if len(c.pending) < maxCrashes {
		c.pending = append(c.pending, crashEvidence{Crash: crash, at: now})
	}
}

// confirm turns the recent suspected crashes of an incarnation that was found
// down or replaced into confirmed ones. It returns their requests.
func (c *crashLog) confirm(now time.Duration, id fleet.EndpointID, started int64) []fleet.Fingerprint {
	var suspects []fleet.Fingerprint
	c.pending = slices.DeleteFunc(c.pending, func(e crashEvidence) bool {
		if e.Endpoint != id || e.Started != started {
			return false
		}
		if now-e.at <= confirmTimeout {
			c.addConfirmed(now, e.Crash)
			suspects = append(suspects, e.Fingerprint)
		}
		return true
	})
	return suspects
}

// addConfirmed adds a confirmed crash unless it is recorded already.
func (c *crashLog) addConfirmed(now time.Duration, crash Crash) {
	c.confirmed = slices.DeleteFunc(c.confirmed, func(e crashEvidence) bool { return now-e.at > crashTTL })
	exists := slices.ContainsFunc(c.confirmed, func(e crashEvidence) bool { return e.Crash == crash })
	if !exists && len(c.confirmed) < maxCrashes {
		c.confirmed = append(c.confirmed, crashEvidence{Crash: crash, at: now})
	}
}

// quarantined reports whether the request crashed quarantineCrashes endpoints.
func (c *crashLog) quarantined(now time.Duration, f fleet.Fingerprint) bool {
	count := 0
	for _, e := range c.confirmed {
		if e.Fingerprint == f && now-e.at <= crashTTL {
			count++
		}
	}
	return count >= quarantineCrashes
}

// recent returns the confirmed crashes to report to peers, the newest first.
func (c *crashLog) recent(now time.Duration) []Crash {
	var list []Crash
	for i := len(c.confirmed) - 1; i >= 0 && len(list) < maxReportedCrashes; i-- {
		if now-c.confirmed[i].at <= crashReportTime {
			list = append(list, c.confirmed[i].Crash)
		}
	}
	return list
}
