package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/quarantine"
	"github.com/cornelhold/cornelhold/internal/core/tally"
)

// TestRelaysReportCrashesOfOthers guards against crash evidence that does not reach the
// instances that report only to relays, against instances that repeat it although they are
// none, and against relays that keep it alive between them for ever.
func TestRelaysReportCrashesOfOthers(t *testing.T) {
	is := is.New(t)
	relay, other := newCrashTest(3), newCrashTest(3)
	relay.step(OthersReported{Reached: tally.Group{Instances: 8}, Relays: true, RelayNodes: []string{"n"}})
	other.step(OthersReported{Reached: tally.Group{Instances: 8}, RelayNodes: []string{"n"}})
	crash := Crash{Endpoint: "e1", Started: 1, At: relay.now, Suspects: []quarantine.Trait{quarantine.PartTrait(7)}}
	report := CrashesReported{Report: CrashReport{Crashes: []Crash{crash}}}
	relay.step(report)
	other.step(report)
	is.Equal(relay.machine.Report(relay.now).Crashes.Crashes, []Crash{crash})
	is.Equal(len(other.machine.Report(other.now).Crashes.Crashes), 0)

	second := newCrashTest(3)
	second.step(OthersReported{Reached: tally.Group{Instances: 8}, Relays: true, RelayNodes: []string{"n"}})
	const hop = 200 * time.Millisecond
	for range int(2 * reportTime / hop) {
		for _, pair := range [][2]*crashTest{{relay, second}, {second, relay}} {
			from, to := pair[0], pair[1]
			from.now += hop / 2
			to.now = from.now
			passed := from.machine.Report(from.now).Crashes
			for i := range passed.Crashes {
				passed.Crashes[i].At += 5 * time.Millisecond // the time of a datagram is not known
			}
			to.step(CrashesReported{Report: passed})
		}
	}
	is.True(relay.machine.Report(relay.now).Crashes.IsEmpty())
	is.True(second.machine.Report(second.now).Crashes.IsEmpty())
}

// TestRelaysReportClearancesOnce guards against clearances that relays pass to each other
// for ever.
func TestRelaysReportClearancesOnce(t *testing.T) {
	is := is.New(t)
	relay := newCrashTest(3)
	relay.step(OthersReported{Reached: tally.Group{Instances: 8}, Relays: true, RelayNodes: []string{"n"}})
	part := quarantine.PartTrait(7)
	relay.step(CrashesReported{Report: CrashReport{Crashes: []Crash{{Endpoint: "e1", Started: 1, At: relay.now, Suspects: []quarantine.Trait{part}}}}})
	cleared := CrashesReported{Report: CrashReport{Clears: []Clearance{{Trait: part, At: relay.now}}}}
	relay.step(cleared)
	is.Equal(len(relay.machine.Report(relay.now).Crashes.Clears), 1)
	for range 30 {
		relay.now += time.Second
		relay.step(cleared)
	}
	is.Equal(len(relay.machine.Report(relay.now).Crashes.Clears), 0)
}
