package gateway

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// poisonCrashes is the number of crashes after which a request is no
	// longer sent to endpoints.
	poisonCrashes = 3
	// confirmWithin is the time after a broken channel within which the
	// endpoint must be found down for the break to count as a crash.
	confirmWithin = 2 * time.Second
	// crashMemory is how long a crash is remembered.
	crashMemory = 120 * time.Second
	// shareFor is how long a crash is reported to peers.
	shareFor = 10 * time.Second
	// maxCrashes bounds the crashes that are remembered.
	maxCrashes = 2048
	// maxShared bounds the crashes in one report.
	maxShared = 32
)

type crashEvidence struct {
	Crash
	at time.Duration
}

// crashes finds requests that crash the endpoints that run them. A channel that
// breaks is only a crash if the endpoint is then found down or restarted, since
// single answers are lost for other reasons too.
type crashes struct {
	pending   []crashEvidence
	confirmed []crashEvidence
}

func newCrashes() *crashes { return &crashes{} }

// broken notes that a channel broke while a request ran.
func (c *crashes) broken(now time.Duration, crash Crash) {
	c.pending = slices.DeleteFunc(c.pending, func(e crashEvidence) bool { return now-e.at > confirmWithin })
	if len(c.pending) < maxCrashes {
		c.pending = append(c.pending, crashEvidence{Crash: crash, at: now})
	}
}

// confirm counts the recent breaks of an incarnation that was found down or has
// ended.
func (c *crashes) confirm(now time.Duration, id fleet.EndpointID, started int64) {
	c.pending = slices.DeleteFunc(c.pending, func(e crashEvidence) bool {
		if e.Endpoint != id || e.Started != started {
			return false
		}
		if now-e.at <= confirmWithin {
			c.learn(now, e.Crash)
		}
		return true
	})
}

// learn adds a crash unless it is known.
func (c *crashes) learn(now time.Duration, crash Crash) {
	c.confirmed = slices.DeleteFunc(c.confirmed, func(e crashEvidence) bool { return now-e.at > crashMemory })
	known := slices.ContainsFunc(c.confirmed, func(e crashEvidence) bool { return e.Crash == crash })
	if !known && len(c.confirmed) < maxCrashes {
		c.confirmed = append(c.confirmed, crashEvidence{Crash: crash, at: now})
	}
}

// poisonous reports whether the request crashed too many endpoints.
func (c *crashes) poisonous(now time.Duration, f fleet.Fingerprint) bool {
	count := 0
	for _, e := range c.confirmed {
		if e.Fingerprint == f && now-e.at <= crashMemory {
			count++
		}
	}
	return count >= poisonCrashes
}

// recent returns the crashes to share with peers.
func (c *crashes) recent(now time.Duration) []Crash {
	var list []Crash
	for i := len(c.confirmed) - 1; i >= 0 && len(list) < maxShared; i-- {
		if now-c.confirmed[i].at <= shareFor {
			list = append(list, c.confirmed[i].Crash)
		}
	}
	return list
}
