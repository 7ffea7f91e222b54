package duty

import (
	"maps"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// stabilizationDelay is the time after the end of a window at which the counts of all
	// instances are known.
	stabilizationDelay = 1500 * time.Millisecond
	// reportPeriod is how long after its end a window is still reported.
	reportPeriod = 30 * time.Second
	// retainedWindows is the number of windows whose counts are kept.
	retainedWindows = 12
	// sendInterval is the time between two attempts to send a report.
	sendInterval = 500 * time.Millisecond
)

// Counts is a number of requests by team.
type Counts map[fleet.TeamName]int64

// Usage counts the requests that began in each window, by origin. Counts of an
// origin only grow, so copies of them are merged by the larger number.
type Usage struct {
	windows map[int64]map[string]Counts
}

// NewUsage returns a table without counts.
func NewUsage() *Usage { return &Usage{windows: make(map[int64]map[string]Counts)} }

// Add counts one request.
func (u *Usage) Add(window int64, origin string, team fleet.TeamName) {
	u.originCounts(window, origin)[team]++
}

// Merge takes the counts of an origin from a peer.
func (u *Usage) Merge(window int64, origin string, counts Counts) {
	merged := u.originCounts(window, origin)
	for team, n := range counts {
		merged[team] = max(merged[team], n)
	}
}

func (u *Usage) originCounts(window int64, origin string) Counts {
	origins, ok := u.windows[window]
	if !ok {
		origins = make(map[string]Counts)
		u.windows[window] = origins
		u.trim()
	}
	counts, ok := origins[origin]
	if !ok {
		counts = make(Counts)
		origins[origin] = counts
	}
	return counts
}

func (u *Usage) trim() {
	numbers := slices.Sorted(maps.Keys(u.windows))
	for len(numbers) > retainedWindows {
		delete(u.windows, numbers[0])
		numbers = numbers[1:]
	}
}

// Total returns the counts of all origins in a window.
func (u *Usage) Total(window int64) Counts {
	total := make(Counts)
	for _, counts := range u.windows[window] {
		for team, n := range counts {
			total[team] += n
		}
	}
	return total
}

// Each calls visit for the counts of each origin from a window on.
func (u *Usage) Each(from int64, visit func(window int64, origin string, counts Counts)) {
	for window, origins := range u.windows {
		if window < from {
			continue
		}
		for origin, counts := range origins {
			visit(window, origin, counts)
		}
	}
}

// Decision is the content of a usage report. Once it is in the store it is
// repeated as it is and never computed again.
type Decision struct {
	Window int64
	Counts Counts
}

// ReporterAction is an output of Reporter. One is performed at a time and
// answered.
type ReporterAction interface{ reporterAction() }

// ReadDecisions orders a read of the newest decisions.
type ReadDecisions struct{}

// AppendDecision orders an append on the condition that the partition ends at At.
type AppendDecision struct {
	At       int64
	Decision Decision
}

// SendReport orders a report to the platform.
type SendReport struct{ Decision Decision }

func (ReadDecisions) reporterAction()  {}
func (AppendDecision) reporterAction() {}
func (SendReport) reporterAction()     {}

// Reporter decides the counts of each window once, through the store, and
// reports them until the platform has accepted them.
type Reporter struct {
	windowLength time.Duration
	decided      map[int64]Decision
	reported     map[int64]bool
	// first and newest are the first and the newest decided window known.
	first, newest int64
	endOffset     int64
	synced        bool
	inFlight      bool
	nextActionAt  time.Duration
}

// NewReporter returns a reporter of windows of the given width.
func NewReporter(windowLength time.Duration) *Reporter {
	return &Reporter{windowLength: windowLength, decided: make(map[int64]Decision), reported: make(map[int64]bool)}
}

// Window returns the number of the window that contains a moment, given as
// time since 1970.
func (r *Reporter) Window(at time.Duration) int64 { return int64(at / r.windowLength) }

// Invalidate forgets what only a holder knows for certain.
func (r *Reporter) Invalidate() { r.synced = false }

// NextActions returns what the holder does at now. trueTime is the time since 1970.
// The newest windows come first: older ones were most likely reported by the
// holder before, or are late already.
func (r *Reporter) NextActions(now, trueTime time.Duration, usage *Usage) []ReporterAction {
	if r.inFlight || now < r.nextActionAt {
		return nil
	}
	if !r.synced {
		return r.start(now, ReadDecisions{})
	}
	newest := r.Window(trueTime - stabilizationDelay)
	oldest := max(r.Window(trueTime-reportPeriod), newest-retainedWindows+2)
	for window := newest - 1; window >= oldest; window-- {
		d, ok := r.decided[window]
		switch {
		case r.reported[window]:
		case ok:
			return r.start(now, SendReport{Decision: d})
		case r.needsReport(window, usage):
			return r.start(now, AppendDecision{At: r.endOffset, Decision: Decision{Window: window, Counts: usage.Total(window)}})
		}
	}
	return nil
}

// needsReport reports whether a window has counts or follows one that had.
func (r *Reporter) needsReport(window int64, usage *Usage) bool {
	return (r.first > 0 && window > r.first) || len(usage.Total(window)) > 0
}

func (r *Reporter) start(now time.Duration, a ReporterAction) []ReporterAction {
	r.inFlight, r.nextActionAt = true, now+sendInterval
	return []ReporterAction{a}
}

// DecisionsRead takes the decisions in the store; end is the offset of the next one.
func (r *Reporter) DecisionsRead(decisions []Decision, endOffset int64) {
	r.inFlight, r.synced, r.endOffset, r.nextActionAt = false, true, endOffset, 0
	for _, d := range decisions {
		r.addDecision(d)
	}
}

// DecisionAppended tells that a decision is in the store at an offset.
func (r *Reporter) DecisionAppended(d Decision, offset int64) {
	r.inFlight, r.endOffset, r.nextActionAt = false, offset+1, 0
	r.addDecision(d)
}

func (r *Reporter) addDecision(d Decision) {
	if _, ok := r.decided[d.Window]; !ok {
		r.decided[d.Window] = d
	}
	r.newest = max(r.newest, d.Window)
	if r.first == 0 || d.Window < r.first {
		r.first = d.Window
	}
	for window := range r.decided {
		if window < r.newest-2*retainedWindows {
			delete(r.decided, window)
			delete(r.reported, window)
		}
	}
}

// ActionFailed tells that the last action failed. After a failed append the
// decisions are read again, since it may have taken effect.
func (r *Reporter) ActionFailed(a ReporterAction) {
	r.inFlight = false
	if _, ok := a.(AppendDecision); ok {
		r.synced = false
	}
}

// ReportAccepted tells that the platform accepted a report.
func (r *Reporter) ReportAccepted(window int64) {
	r.inFlight, r.nextActionAt = false, 0
	r.reported[window] = true
}
