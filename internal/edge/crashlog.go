package edge

import (
	"github.com/apex/log"

	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
)

// maxLoggedSuspects bounds the suspects in one log line.
const maxLoggedSuspects = 24

// noticeSources names where a notice comes from in the metrics, by whether it is assumed.
var noticeSources = map[bool]string{false: "stated", true: "assumed"}

// observe logs and counts what the gateway concluded about endpoints and crashes, and the plans
// of rollouts.
func (t *gatewayTask) observe(action gateway.Action) {
	switch a := action.(type) {
	case gateway.EndpointEnded:
		t.metrics.endpointEnds.WithLabelValues(a.Evidence.String()).Inc()
		t.log.WithFields(log.Fields{
			"endpoint": string(a.Endpoint), "started": a.Started, "evidence": a.Evidence.String(),
			"suspects": len(a.Suspects), "traits": quarantine.JoinTraits(a.Suspects[:min(len(a.Suspects), maxLoggedSuspects)]),
		}).Warn("endpoint ended")
	case gateway.LeavingNoticed:
		t.log.WithFields(log.Fields{"endpoint": string(a.Endpoint), "started": a.Started}).Info("endpoint is about to leave")
	case gateway.ReclaimNoticed:
		t.metrics.reclaimNotices.WithLabelValues(noticeSources[a.Assumed]).Inc()
		t.log.WithFields(log.Fields{
			"endpoint": string(a.Endpoint), "started": a.Started, "left_ms": a.Notice.Milliseconds(), "assumed": a.Assumed, "streams": a.Streams,
		}).Info("reclaimable endpoint leaves")
	case gateway.PauseNoticed:
		t.log.WithFields(log.Fields{
			"endpoint": string(a.Endpoint), "started": a.Started, "asked_ms": a.Asked.Milliseconds(), "pause_ms": a.Length.Milliseconds(),
		}).Info("endpoint asked for a pause")
	case gateway.CauseQuarantined:
		t.log.WithFields(log.Fields{
			"cause": quarantine.JoinTraits(a.Traits), "crashes": a.Crashes, "source": a.Source.String(),
		}).Warn("requests quarantined")
	case gateway.TrialStarted:
		t.log.WithFields(log.Fields{
			"cause": quarantine.JoinTraits(a.Traits), "crashes": a.Crashes, "trials": a.Trials,
		}).Info("quarantined request on trial")
	case gateway.TraitLifted:
		t.log.WithFields(log.Fields{"trait": a.Trait.String(), "cause": quarantine.JoinTraits(a.Traits)}).Info("quarantine lifted")
	case gateway.RolloutPlanned:
		t.observeRolloutPlan(a.Plan)
	}
}
