package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cornelhold/cornelhold/internal/standin/edgefleet"
	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
)

// streamEvents is the number of events of a complete stream.
const streamEvents = 6

// findViolations compares the responses that callers received with the requests
// that replicas executed and the reports that the platform received.
func findViolations(calls []*call, runs []userplatform.Run, usage []userplatform.UsageReport, scale []userplatform.ScaleRequest) []string {
	var found []string
	report := func(format string, args ...any) { found = append(found, fmt.Sprintf(format, args...)) }
	sent := make(map[string]*call, len(calls))
	for _, c := range calls {
		sent[c.attempt] = c
	}
	ran := make(map[string]int)
	for _, r := range runs {
		attempt := r.Attempt()
		ran[attempt]++
		if c, ok := sent[attempt]; !ok {
			report("a replica ran request %q, which no caller sent", attempt)
		} else {
			checkRun(c, r, report)
		}
	}
	for _, c := range calls {
		if c.runsAtMostOnce() && ran[c.attempt] > 1 {
			report("request %s ran %d times and may run once", c.attempt, ran[c.attempt])
		}
		checkResponse(c, ran[c.attempt], report)
	}
	checkDuties(usage, scale, report)
	return found
}

func checkRun(c *call, r userplatform.Run, report func(string, ...any)) {
	switch {
	case r.Method != c.method || r.Target != c.target || r.Body != c.body:
		report("request %s reached a replica changed: %s %s with %d bytes", c.attempt, r.Method, r.Target, len(r.Body))
	case r.Team() != edgefleet.Team:
		report("request %s reached a replica for team %q", c.attempt, r.Team())
	case r.HasAPIKey():
		report("the key of request %s reached a replica", c.attempt)
	}
}

// checkResponse checks that a response is complete and belongs to its request, and
// that a request that runs at most once was not executed if its status says so.
func checkResponse(c *call, ran int, report func(string, ...any)) {
	switch {
	case c.err != nil:
		return
	case c.status == http.StatusOK:
		expected := "answer of " + c.attempt
		if c.isStream() {
			var events strings.Builder
			for id := 1; id <= streamEvents; id++ {
				events.WriteString(userplatform.Event(id))
			}
			expected = events.String()
		}
		if c.responseBody != expected {
			report("request %s got %q", c.attempt, c.responseBody)
		}
		if !userplatform.IsSignedResponse(c.header, c.attempt) {
			report("request %s got an answer with headers %v", c.attempt, c.header)
		}
	case c.status == http.StatusTooManyRequests, c.status == http.StatusServiceUnavailable,
		c.status == http.StatusRequestTimeout, c.status == http.StatusMisdirectedRequest:
		if ran > 0 && c.runsAtMostOnce() {
			report("request %s got status %d and ran", c.attempt, c.status)
		}
	}
}

// staleCallTime is how long a call with a lower fencing token may still arrive after the first one
// with a higher token: it may wait in a link that was blocked.
const staleCallTime = 4 * time.Second

// checkFences checks that fencing tokens do not fall.
func checkFences(usage []userplatform.UsageReport, report func(string, ...any)) {
	var highest userplatform.UsageReport
	for _, u := range usage {
		switch {
		case u.Fence > highest.Fence:
			highest = u
		case u.Fence < highest.Fence && u.At.Sub(highest.At) > staleCallTime:
			report("%s acted with fence %d, %s after %s with %d", u.Holder, u.Fence, u.At.Sub(highest.At), highest.Holder, highest.Fence)
		}
	}
}

// checkDuties checks that all reports of a usage window have the same counts, and
// that each fencing token was used by one holder only.
func checkDuties(usage []userplatform.UsageReport, scale []userplatform.ScaleRequest, report func(string, ...any)) {
	checkFences(usage, report)
	countsByWindow := make(map[int64]string)
	holderByFence := make(map[int64]string)
	recordHolder := func(fence int64, holder string) {
		if known, ok := holderByFence[fence]; ok && known != holder {
			report("%s and %s acted with fence %d", known, holder, fence)
		}
		holderByFence[fence] = holder
	}
	for _, u := range usage {
		counts := fmt.Sprint(u.Counts)
		if known, ok := countsByWindow[u.Window]; ok && known != counts {
			report("window %d was reported with %s and %s", u.Window, known, counts)
		}
		countsByWindow[u.Window] = counts
		recordHolder(u.Fence, u.Holder)
	}
	for _, s := range scale {
		recordHolder(s.Fence, s.Holder)
	}
}
