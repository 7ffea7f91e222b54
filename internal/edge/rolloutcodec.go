package edge

import (
	"math"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/rollout"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/platform"
)

// maxPeerPlans bounds the plans that are taken from one message.
const maxPeerPlans = 256

// encodePlans returns the plans to be sent at now, a time of the process clock.
func encodePlans(plans []rollout.Plan, now time.Duration) []*cornelholdv1.RolloutPlan {
	return lo.Map(plans, func(p rollout.Plan, _ int) *cornelholdv1.RolloutPlan {
		return &cornelholdv1.RolloutPlan{
			Service: string(p.Service), To: string(p.To), Withheld: encodeVersions(p.Withheld), OrderPosition: int64(p.Order), Fence: p.Fence,
			Step: uint32(p.Step), Revision: p.Revision, State: uint32(p.State), Share: p.Share, AgeMs: (now - p.ConfirmedAt).Milliseconds(),
		}
	})
}

// decodePlans returns the plausible plans of a message that was sent at sentAt, a time of the
// process clock.
func decodePlans(plans []*cornelholdv1.RolloutPlan, sentAt time.Duration) []rollout.Plan {
	return lo.FilterMap(plans[:min(len(plans), maxPeerPlans)], func(p *cornelholdv1.RolloutPlan, _ int) (rollout.Plan, bool) {
		isPlausible := p.GetService() != "" && p.GetTo() != "" && p.GetOrderPosition() >= 0 && p.GetFence() >= 0 &&
			p.GetStep() <= uint32(rollout.StepFull) && p.GetState() <= uint32(rollout.Reverted) && p.GetShare() >= 0 && p.GetShare() <= 1
		return rollout.Plan{
			Service: fleet.ServiceName(p.GetService()), To: fleet.SoftwareVersion(p.GetTo()), Withheld: decodeVersions(p.GetWithheld()),
			Order: storelog.Position(p.GetOrderPosition()), Fence: p.GetFence(), Step: rollout.Step(p.GetStep()), Revision: p.GetRevision(),
			State: rollout.State(p.GetState()), Share: p.GetShare(), ConfirmedAt: sentAt - age(p.GetAgeMs()),
		}, isPlausible
	})
}

func encodeVersions(versions []fleet.SoftwareVersion) []string {
	return lo.Map(versions, func(v fleet.SoftwareVersion, _ int) string { return string(v) })
}

func decodeVersions(versions []string) []fleet.SoftwareVersion {
	return lo.Map(versions, func(v string, _ int) fleet.SoftwareVersion { return fleet.SoftwareVersion(v) })
}

func encodeRolloutCounts(counts map[rollout.Key]rollout.Counts) []*cornelholdv1.RolloutCounts {
	return lo.MapToSlice(counts, func(k rollout.Key, c rollout.Counts) *cornelholdv1.RolloutCounts {
		return &cornelholdv1.RolloutCounts{
			Service: string(k.Service), OrderPosition: int64(k.Order), Old: encodeVersionCounts(c.Old), New: encodeVersionCounts(c.New), Moved: c.Moved,
		}
	})
}

func encodeVersionCounts(c rollout.VersionCounts) *cornelholdv1.VersionCounts {
	return &cornelholdv1.VersionCounts{
		Sent: c.Sent, Active: c.Active,
		Routes: lo.MapToSlice(c.Routes, func(route string, r rollout.Responses) *cornelholdv1.RouteResponses {
			return &cornelholdv1.RouteResponses{Route: route, Total: r.Total, Bad: r.Bad, Times: r.Times[:]}
		}),
	}
}

func decodeRolloutCounts(list []*cornelholdv1.RolloutCounts) map[rollout.Key]rollout.Counts {
	return lo.Associate(list, func(c *cornelholdv1.RolloutCounts) (rollout.Key, rollout.Counts) {
		return rollout.Key{Service: fleet.ServiceName(c.GetService()), Order: storelog.Position(c.GetOrderPosition())},
			rollout.Counts{Old: decodeVersionCounts(c.GetOld()), New: decodeVersionCounts(c.GetNew()), Moved: plausibleCount(c.GetMoved())}
	})
}

func decodeVersionCounts(c *cornelholdv1.VersionCounts) rollout.VersionCounts {
	return rollout.VersionCounts{
		Sent: plausibleCount(c.GetSent()), Active: plausibleCount(c.GetActive()),
		Routes: lo.Associate(c.GetRoutes(), func(r *cornelholdv1.RouteResponses) (string, rollout.Responses) {
			decoded := rollout.Responses{Total: plausibleCount(r.GetTotal()), Bad: plausibleCount(r.GetBad())}
			for i := range min(len(decoded.Times), len(r.GetTimes())) {
				decoded.Times[i] = plausibleCount(r.GetTimes()[i])
			}
			return r.GetRoute(), decoded
		}),
	}
}

// plausibleCount replaces a count that no instance states by 0.
func plausibleCount(n int64) int64 {
	if n < 0 || n > maxAmount {
		return 0
	}
	return n
}

// encodeRolloutRecord and decodeRolloutRecord translate the durable state of a rollout.
func encodeRolloutRecord(r rollout.Record, t recordTimes) ([]byte, error) {
	value, err := proto.Marshal(&cornelholdv1.RolloutRecord{
		Service: string(r.Order.Service), To: string(r.Order.To), OrderPosition: int64(r.Order.Position), CompleteByMs: r.Order.CompleteBy.Milliseconds(),
		StartedWallMs: t.wall.Add(r.StartedAt - t.now).UnixMilli(), Step: uint32(r.Step), State: uint32(r.State),
		Exposed: r.Exposed, Withheld: encodeVersions(r.Withheld), Epoch: int64(r.Epoch),
	})
	return value, Error.Wrap(err)
}

func decodeRolloutRecord(r platform.Record, t recordTimes) (rollout.Record, error) {
	var m cornelholdv1.RolloutRecord
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		return rollout.Record{}, Error.New("malformed rollout record %q at position %s: %w; the record is ignored", r.Key, r.Position, err)
	}
	if m.GetService() == "" || m.GetTo() == "" || m.GetStep() > uint32(rollout.StepFull) || m.GetState() > uint32(rollout.Reverted) ||
		m.GetExposed() < 0 || m.GetCompleteByMs() <= 0 || m.GetCompleteByMs() > math.MaxInt64/int64(time.Millisecond) {
		return rollout.Record{}, Error.New("implausible rollout record %q at position %s; the record is ignored", r.Key, r.Position)
	}
	// The start lies in the past whatever the clocks say.
	started := min(t.now-t.wall.Sub(time.UnixMilli(m.GetStartedWallMs())), t.now)
	return rollout.Record{
		Order: rollout.Order{
			Service: fleet.ServiceName(m.GetService()), To: fleet.SoftwareVersion(m.GetTo()),
			CompleteBy: milliseconds(m.GetCompleteByMs()), Position: storelog.Position(m.GetOrderPosition()),
		},
		StartedAt: started, Step: rollout.Step(m.GetStep()), State: rollout.State(m.GetState()), Exposed: m.GetExposed(),
		Withheld: decodeVersions(m.GetWithheld()), Epoch: storelog.Epoch(m.GetEpoch()),
	}, nil
}
