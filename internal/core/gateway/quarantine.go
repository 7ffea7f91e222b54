package gateway

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
)

// requestTraits returns what may be the cause if an endpoint crashes with a request: the
// request as a whole, which is the same whichever of its team's keys it has, and the parts
// of its prompt that others may share.
func requestTraits(r Request, team *catalog.Team) []quarantine.Trait {
	fingerprint := r.Fingerprint
	if team != nil {
		fingerprint ^= fleet.Fingerprint(xxhash.Sum64String(string(team.Name)))
	}
	traits := []quarantine.Trait{quarantine.RequestTrait(fingerprint)}
	for _, p := range sharedParts(r.Parts) {
		if t := quarantine.PartTrait(p.ID); !slices.Contains(traits, t) {
			traits = append(traits, t)
		}
	}
	return traits
}

// quarantined returns the refusal of a request that crashes endpoints and the evidence
// for the log, or nil. It must be called before each time that a request is sent.
func (m *Machine) quarantined(now time.Duration, o *openRequest) (*fleet.Refusal, string) {
	m.quarantineCauses(now)
	e := m.crashes.register.Match(o.traits)
	if e == nil {
		return nil, ""
	}
	if o.trial && o.sends == 0 {
		// It is the trial, and has waited for the list or a turn.
		return nil, ""
	}
	if m.ownsTrial(e.Traits[0]) && m.crashes.register.StartTrial(now, e) {
		o.trial = true
		m.notes = append(m.notes, TrialStarted{Traits: e.Traits, Crashes: e.Crashes, Trials: e.Trials})
		return nil, ""
	}
	refusal := fleet.Refuse(fleet.RefusedQuarantined, max(e.Until-now, retryAfter), "endpoints crashed repeatedly while they ran this request or others with parts of its prompt; change it")
	detail := fmt.Sprintf("cause %s, crashes %d, the last %d ms ago, trials %d", quarantine.JoinTraits(e.Traits), e.Crashes, (now - e.CrashedAt).Milliseconds(), e.Trials)
	return refusal, detail
}

// ownsTrial reports whether this instance is the one that tries requests with a cause of
// the first trait t again: one of those that relay reports, all of which know each other.
func (m *Machine) ownsTrial(t quarantine.Trait) bool {
	if m.others.instances > 0 && !m.others.relays {
		return false
	}
	own := trialRank(m.options.Node, t)
	for _, node := range m.others.relayNodes {
		if trialRank(node, t) > own {
			return false
		}
	}
	return true
}

func trialRank(node string, t quarantine.Trait) uint64 {
	return mixHash(xxhash.Sum64String(node) ^ t.ID)
}
