package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/core/quarantine"
)

// persisted returns the changes of records among actions.
func persisted(actions []Action) []Action {
	var changes []Action
	for _, a := range actions {
		switch a.(type) {
		case PersistCrashes, PersistCause, RemoveCause:
			changes = append(changes, a)
		}
	}
	return changes
}

var (
	crashingTrait = requestTraits(crashingRequest(), &testCatalog().Teams[0])[0]
	knownCause    = quarantine.Entry{Traits: []quarantine.Trait{crashingTrait}, Crashes: 4, CrashedAt: time.Second, Until: 10 * time.Minute}
)

// crashTwice lets the request of two attempts crash an endpoint each and returns the changes
// of records.
func crashTwice(m *Machine, now time.Duration) []Action {
	list := testEndpoints(10, func(int) bool { return false })
	m.Step(now, SetEndpoints{Endpoints: list})
	var changes []Action
	for id := RequestID(1); id <= 2; id++ {
		r := crashingRequest()
		r.Path = "/unsafe/x"
		for _, a := range m.Step(now, RequestArrived{ID: id, Request: r}) {
			s, ok := a.(Send)
			if !ok {
				continue
			}
			changes = append(changes, persisted(m.Step(now, AttemptFailed{ID: id, Failure: FailureConnectionLost}))...)
			checked := EndpointChecked{Endpoint: s.Endpoint.ID, Started: s.Endpoint.Started, Refused: true}
			changes = append(changes, persisted(m.Step(now, checked))...)
		}
	}
	return changes
}

// TestSecondCrashIsPersisted guards against evidence that a kill of the instance takes along,
// and against a record for each endpoint that crashes for another reason.
func TestSecondCrashIsPersisted(t *testing.T) {
	is := is.New(t)
	changes := crashTwice(readyMachine(10), time.Second)
	is.Equal(len(changes), 1)
	crashes := changes[0].(PersistCrashes).Crashes
	is.Equal(len(crashes), 2)
	is.Equal(crashes[0].Suspects, []quarantine.Trait{crashingTrait})
}

// TestNothingIsPersistedBeforeRestore guards against an instance that replaces its own record,
// which it has not read because the store was down at its start.
func TestNothingIsPersistedBeforeRestore(t *testing.T) {
	is := is.New(t)
	m := New(options)
	m.Step(0, SetCatalog{Catalog: testCatalog()})
	m.Step(0, SetEndpoints{Endpoints: testEndpoints(10, func(int) bool { return false })})
	m.Step(0, UsageRestored{})
	is.True(!m.Ready())
	m.Step(0, CrashesUnavailable{})
	is.True(m.Ready())
	is.Equal(len(crashTwice(m, time.Second)), 0)
	earlier := Crash{Endpoint: "gone", Started: 1, At: -time.Minute, Suspects: []quarantine.Trait{crashingTrait}}
	changes := persisted(m.Step(2*time.Second, CrashesRestored{Own: []Crash{earlier}}))
	is.Equal(len(changes), 1)
	is.Equal(len(changes[0].(PersistCrashes).Crashes), 3)
}

// TestRestoredCauseIsRefused guards against a request that crashes endpoints again after all
// instances have ended, and against records that are written again after each start.
func TestRestoredCauseIsRefused(t *testing.T) {
	is := is.New(t)
	m := readyMachine(10)
	is.Equal(len(persisted(m.Step(2*time.Second, CrashesRestored{Causes: []quarantine.Entry{knownCause}}))), 0)
	actions := m.Step(3*time.Second, RequestArrived{ID: 1, Request: crashingRequest()})
	_, refused := actions[0].(Refuse)
	is.True(refused)
	// Reports of peers move the times a little.
	again := knownCause
	again.Until += time.Second
	is.Equal(len(persisted(m.Step(4*time.Second, CrashesReported{Report: CrashReport{Quarantined: []quarantine.Entry{again}}}))), 0)
	changed := OthersReported{Relays: true, RelayNodes: []string{options.Node}} // records are compared again
	is.Equal(len(persisted(m.Step(5*time.Second, changed))), 0)
}

// TestRecordOfLiftedCauseIsRemoved guards against the refusal of a sound request after a
// restart, because its record outlives the cause.
func TestRecordOfLiftedCauseIsRemoved(t *testing.T) {
	is := is.New(t)
	m := readyMachine(10)
	m.Step(2*time.Second, CrashesRestored{Causes: []quarantine.Entry{knownCause}})
	cleared := CrashReport{Clears: []Clearance{{Trait: crashingTrait, At: 3 * time.Second}}}
	is.Equal(persisted(m.Step(3*time.Second, CrashesReported{Report: cleared})), []Action{RemoveCause{Traits: knownCause.Traits}})
}

// TestRecordOfForgottenCauseIsRemoved guards against records of causes that no request has had
// for a long time, which fill the store.
func TestRecordOfForgottenCauseIsRemoved(t *testing.T) {
	is := is.New(t)
	m := readyMachine(10)
	old := knownCause
	old.CrashedAt, old.Until = -48*time.Hour, -47*time.Hour
	is.Equal(persisted(m.Step(time.Second, CrashesRestored{Causes: []quarantine.Entry{old}})), []Action{RemoveCause{Traits: old.Traits}})
}

// TestRestoredCrashesAreDoubtful guards against the refusal of a sound request that was running
// when endpoints crashed for another reason: records do not name the other crashes.
func TestRestoredCrashesAreDoubtful(t *testing.T) {
	is := is.New(t)
	m := readyMachine(10)
	var crashes []Crash
	for i := range 3 {
		at := time.Duration(i) * time.Second
		crashes = append(crashes, Crash{Endpoint: testEndpoints(3, func(int) bool { return false })[i].ID, Started: 0, At: at, Suspects: []quarantine.Trait{crashingTrait}})
	}
	m.Step(3*time.Second, CrashesRestored{Others: crashes})
	actions := m.Step(10*time.Second, RequestArrived{ID: 1, Request: crashingRequest()})
	_, sent := actions[0].(Send)
	is.True(sent)
	actions = m.Step(10*time.Second, RequestArrived{ID: 2, Request: crashingRequest()})
	_, refused := actions[0].(Refuse)
	is.True(refused)
}
