package edge

import (
	"slices"
	"time"

	"github.com/samber/lo"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
)

// encodeCrashes adds a crash report to a message. Clocks differ between machines, so that
// times are sent as ages at the local time now.
func encodeCrashes(r gateway.CrashReport, now time.Duration, message *cornelholdv1.InstanceReport) {
	message.Crashes = lo.Map(r.Crashes, func(c gateway.Crash, _ int) *cornelholdv1.EndpointCrash { return encodeCrash(c, now) })
	message.Quarantined = lo.Map(r.Quarantined, func(e quarantine.Entry, _ int) *cornelholdv1.QuarantinedCause { return encodeCause(e, now) })
	message.Cleared = lo.Map(r.Clears, func(c gateway.Clearance, _ int) *cornelholdv1.ClearedTrait {
		return &cornelholdv1.ClearedTrait{Trait: encodeTrait(c.Trait, 0), AgeMs: (now - c.At).Milliseconds()}
	})
}

func encodeCrash(c gateway.Crash, now time.Duration) *cornelholdv1.EndpointCrash {
	return &cornelholdv1.EndpointCrash{
		Endpoint: string(c.Endpoint), StartedMs: c.Started, AgeMs: (now - c.At).Milliseconds(),
		Suspects: lo.Map(c.Suspects, encodeTrait),
	}
}

func encodeCause(e quarantine.Entry, now time.Duration) *cornelholdv1.QuarantinedCause {
	return &cornelholdv1.QuarantinedCause{
		Traits: lo.Map(e.Traits, encodeTrait), Crashes: uint32(e.Crashes), Trials: uint32(e.Trials),
		CrashedAgeMs: (now - e.CrashedAt).Milliseconds(), LeftMs: (e.Until - now).Milliseconds(),
	}
}

// decodeCrashes returns the crash report of a message that was sent at the local time
// sentAt. Traits of an unknown kind, from a newer version of the program, are left out.
func decodeCrashes(m *cornelholdv1.InstanceReport, sentAt time.Duration) gateway.CrashReport {
	var r gateway.CrashReport
	for _, c := range m.GetCrashes() {
		r.Crashes = append(r.Crashes, decodeCrash(c, sentAt))
	}
	for _, q := range m.GetQuarantined() {
		if e, ok := decodeCause(q, sentAt); ok {
			r.Quarantined = append(r.Quarantined, e)
		}
	}
	for _, c := range m.GetCleared() {
		if t, ok := decodeTrait(c.GetTrait()); ok {
			r.Clears = append(r.Clears, gateway.Clearance{Trait: t, At: sentAt - age(c.GetAgeMs())})
		}
	}
	return r
}

func decodeCrash(c *cornelholdv1.EndpointCrash, sentAt time.Duration) gateway.Crash {
	return gateway.Crash{
		Endpoint: fleet.EndpointID(c.GetEndpoint()), Started: c.GetStartedMs(), At: sentAt - age(c.GetAgeMs()),
		Suspects: decodeTraits(c.GetSuspects()),
	}
}

// decodeCause decodes a cause. It reports false if one of the traits is of an unknown kind:
// without it the cause would be another one.
func decodeCause(q *cornelholdv1.QuarantinedCause, sentAt time.Duration) (quarantine.Entry, bool) {
	traits := decodeTraits(q.GetTraits())
	if len(traits) == 0 || len(traits) != len(q.GetTraits()) {
		return quarantine.Entry{}, false
	}
	return quarantine.Entry{
		Traits: traits, Crashes: int(q.GetCrashes()), Trials: int(q.GetTrials()),
		CrashedAt: sentAt - age(q.GetCrashedAgeMs()), Until: sentAt + milliseconds(q.GetLeftMs()),
	}, true
}

// age decodes an age. What a peer reports has not happened in the future.
func age(ms int64) time.Duration { return milliseconds(max(ms, 0)) }

func encodeTrait(t quarantine.Trait, _ int) *cornelholdv1.RequestTrait {
	return &cornelholdv1.RequestTrait{Kind: uint32(t.Kind), Id: t.ID}
}

// decodeTraits returns the traits of known kinds, sorted.
func decodeTraits(list []*cornelholdv1.RequestTrait) []quarantine.Trait {
	traits := lo.FilterMap(list, func(t *cornelholdv1.RequestTrait, _ int) (quarantine.Trait, bool) { return decodeTrait(t) })
	slices.SortFunc(traits, quarantine.CompareTraits)
	return traits
}

func decodeTrait(t *cornelholdv1.RequestTrait) (quarantine.Trait, bool) {
	if t == nil || t.GetKind() > uint32(quarantine.LastTraitKind) {
		return quarantine.Trait{}, false
	}
	return quarantine.Trait{Kind: quarantine.TraitKind(t.GetKind()), ID: t.GetId()}, true
}
