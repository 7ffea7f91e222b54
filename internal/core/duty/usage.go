package duty

import (
	"maps"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
)

const (
	// stabilizationDelay is the time after the end of a window by which the counts
	// of all instances have arrived.
	stabilizationDelay = 1500 * time.Millisecond
	// reportPeriod is how long after its end a window is still reported.
	reportPeriod = 30 * time.Second
	// retainedWindows is the number of windows whose counts are retained.
	retainedWindows = 12
	// sendInterval is the minimum time between an action and its retry.
	sendInterval = 500 * time.Millisecond
)

// Counts holds the number of requests of each team.
type Counts map[fleet.TeamName]int64

// Origin is what counted requests: one boot of an instance of a data centre.
type Origin struct {
	DataCentre fleet.DataCentre
	Boot       string
}

// Usage counts the requests that began in each window, by origin. It is a grow-only counter:
// counts of an origin never decrease, so merging two copies takes the maximum. Of the origins
// of other data centres only the totals are known, which never decrease either.
type Usage struct {
	windows map[int64]map[fleet.DataCentre]*centreCounts
}

// centreCounts are the counts of one data centre in one window.
type centreCounts struct {
	byBoot map[string]Counts
	// reported is the highest total of each team that was reported for all origins
	// together.
	reported Counts
}

// total returns the counts of all origins. Both what they counted and the reported totals
// are at most the true numbers.
func (c *centreCounts) total() Counts {
	total := make(Counts)
	for _, counts := range c.byBoot {
		for team, n := range counts {
			total[team] += n
		}
	}
	total.raise(c.reported)
	return total
}

// raise replaces each count by a higher one.
func (c Counts) raise(other Counts) {
	for team, n := range other {
		c[team] = max(c[team], n)
	}
}

// NewUsage returns a Usage without counts.
func NewUsage() *Usage {
	return &Usage{windows: make(map[int64]map[fleet.DataCentre]*centreCounts)}
}

// Add counts one request.
func (u *Usage) Add(window int64, origin Origin, team fleet.TeamName) {
	u.originCounts(window, origin)[team]++
}

// Merge adds the counts of an origin as reported by it.
func (u *Usage) Merge(window int64, origin Origin, counts Counts) {
	u.originCounts(window, origin).raise(counts)
}

// MergeTotal adds the counts of all origins of a data centre as reported by an instance to
// which they report.
func (u *Usage) MergeTotal(window int64, dc fleet.DataCentre, counts Counts) {
	u.centre(window, dc).reported.raise(counts)
}

func (u *Usage) originCounts(window int64, origin Origin) Counts {
	centre := u.centre(window, origin.DataCentre)
	counts, ok := centre.byBoot[origin.Boot]
	if !ok {
		counts = make(Counts)
		centre.byBoot[origin.Boot] = counts
	}
	return counts
}

func (u *Usage) centre(window int64, dc fleet.DataCentre) *centreCounts {
	centres, ok := u.windows[window]
	if !ok {
		centres = make(map[fleet.DataCentre]*centreCounts)
		u.windows[window] = centres
		u.trim()
	}
	centre, ok := centres[dc]
	if !ok {
		centre = &centreCounts{byBoot: make(map[string]Counts), reported: make(Counts)}
		centres[dc] = centre
	}
	return centre
}

func (u *Usage) trim() {
	numbers := slices.Sorted(maps.Keys(u.windows))
	for len(numbers) > retainedWindows {
		delete(u.windows, numbers[0])
		numbers = numbers[1:]
	}
}

// Total returns the counts of all data centres in a window.
func (u *Usage) Total(window int64) Counts {
	total := make(Counts)
	for _, centre := range u.windows[window] {
		for team, n := range centre.total() {
			total[team] += n
		}
	}
	return total
}

// EachTotal calls visit for the counts of each data centre in the windows from and later.
func (u *Usage) EachTotal(from int64, visit func(window int64, dc fleet.DataCentre, counts Counts)) {
	for window, centres := range u.windows {
		for dc, centre := range centres {
			if window >= from {
				visit(window, dc, centre.total())
			}
		}
	}
}

// EachOf calls visit for copies of the counts of one origin in the windows from and later.
func (u *Usage) EachOf(origin Origin, from int64, visit func(window int64, counts Counts)) {
	for window, centres := range u.windows {
		centre, ok := centres[origin.DataCentre]
		if !ok || window < from {
			continue
		}
		if counts, ok := centre.byBoot[origin.Boot]; ok {
			visit(window, maps.Clone(counts))
		}
	}
}

// Decision is the content of a usage report. Once stored, it is resent unchanged
// and never recomputed.
type Decision struct {
	Window int64
	Counts Counts
}

// ReporterAction is an output of Reporter. The caller performs one at a time and
// reports its result.
type ReporterAction interface{ reporterAction() }

// ReadDecisions requests a read of the newest decisions.
type ReadDecisions struct{}

// AppendDecision requests an append on the condition that the partition ends at
// position At.
type AppendDecision struct {
	At       storelog.Position
	Decision Decision
}

// SendReport requests a report to the platform.
type SendReport struct{ Decision Decision }

// LeaveOut states that a window is not reported: the store has lost what was decided on it, if
// anything was, and another count than the reported one would be wrong. It has no result.
type LeaveOut struct{ Window int64 }

func (ReadDecisions) reporterAction()  {}
func (AppendDecision) reporterAction() {}
func (SendReport) reporterAction()     {}
func (LeaveOut) reporterAction()       {}

// Reporter decides the counts of each window once, by a conditional append to the
// store, and resends the report until the platform has accepted it. If the store comes back from
// an older copy, only this instance knows what it decided before, and a later holder leaves out
// the windows on which an earlier one may have decided.
type Reporter struct {
	windowLength time.Duration
	decided      map[int64]Decision
	reported     map[int64]bool
	leftOut      map[int64]bool
	// proposed is the decision whose append was last requested, nil once it was confirmed. It may
	// have taken effect.
	proposed *Decision
	// forgottenBefore is a Unix time before which decisions may have been made that are in neither
	// the store nor this instance's memory.
	forgottenBefore time.Duration
	// first and newest are the lowest and the highest decided window seen.
	first, newest int64
	end           storelog.Position
	// synced is cleared when the decisions must be read before the next action.
	synced bool
	// inFlight is set while an action awaits its result.
	inFlight     bool
	nextActionAt time.Duration
}

// NewReporter returns a reporter for windows of the given length.
func NewReporter(windowLength time.Duration) *Reporter {
	return &Reporter{
		windowLength: windowLength, decided: make(map[int64]Decision), reported: make(map[int64]bool), leftOut: make(map[int64]bool),
	}
}

// Window returns the number of the window that contains at, a Unix time.
func (r *Reporter) Window(at time.Duration) int64 { return int64(at / r.windowLength) }

// Begin begins a term as the holder of the duties and makes the reporter read the decisions:
// other instances may have decided meanwhile. epochSince is a Unix time at which the current epoch of the
// store had begun; decisions from before may be lost.
func (r *Reporter) Begin(epochSince time.Duration) {
	r.synced, r.proposed, r.forgottenBefore = false, nil, epochSince
}

// Continue begins a term that follows one of this instance in an earlier epoch of the store. Nobody
// else has decided meanwhile.
func (r *Reporter) Continue() {
	r.synced = false
	if r.proposed != nil {
		// Its append may still take effect, so no other counts may be sent.
		r.addDecision(*r.proposed)
		r.proposed = nil
	}
}

// NextActions returns the actions due at now. trueTime is the Unix time. Newer
// windows come first: older ones were most likely reported by the previous
// holder, or are late already.
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
		case r.reported[window], r.leftOut[window]:
		case ok:
			return r.start(now, SendReport{Decision: d})
		case !r.needsReport(window, usage):
		case r.mayBeForgotten(window):
			r.leftOut[window] = true
			return []ReporterAction{LeaveOut{Window: window}}
		default:
			r.proposed = &Decision{Window: window, Counts: usage.Total(window)}
			return r.start(now, AppendDecision{At: r.end, Decision: *r.proposed})
		}
	}
	return nil
}

// needsReport reports whether a window has counts or follows a decided window.
func (r *Reporter) needsReport(window int64, usage *Usage) bool {
	return (r.first > 0 && window > r.first) || len(usage.Total(window)) > 0
}

// mayBeForgotten reports whether a window may have been decided on before the store came back from
// a copy that lacks the decision. Decisions are made stabilizationDelay after the window by the
// clock of the holder.
func (r *Reporter) mayBeForgotten(window int64) bool {
	end := time.Duration(window+1) * r.windowLength
	return end+stabilizationDelay-maxClockDifference <= r.forgottenBefore
}

func (r *Reporter) start(now time.Duration, a ReporterAction) []ReporterAction {
	r.inFlight, r.nextActionAt = true, now+sendInterval
	return []ReporterAction{a}
}

// DecisionsRead records the decisions in the store; end is the position of the
// next one.
func (r *Reporter) DecisionsRead(decisions []Decision, end storelog.Position) {
	r.inFlight, r.synced, r.end, r.nextActionAt = false, true, end, 0
	for _, d := range decisions {
		r.addDecision(d)
	}
}

// DecisionAppended records that a decision was stored at a position.
func (r *Reporter) DecisionAppended(d Decision, position storelog.Position) {
	r.inFlight, r.end, r.nextActionAt, r.proposed = false, position+1, 0, nil
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
			delete(r.leftOut, window)
		}
	}
}

// ActionFailed records that the last action failed. A failed append may have taken
// effect, so the decisions are read again.
func (r *Reporter) ActionFailed(a ReporterAction) {
	r.inFlight = false
	if _, ok := a.(AppendDecision); ok {
		r.synced = false
	}
}

// ReportAccepted records that the platform accepted the report of a window.
func (r *Reporter) ReportAccepted(window int64) {
	r.inFlight, r.nextActionAt = false, 0
	r.reported[window] = true
}
