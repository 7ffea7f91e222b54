package edge

import (
	"math"

	"google.golang.org/protobuf/proto"

	"github.com/samber/lo"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/duty"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/internal/core/tally"
	"github.com/cornelhold/cornelhold/platform"
)

// usageWindow holds the usage counts of one origin in one window, or of all origins of its
// data centre.
type usageWindow struct {
	number int64
	// origin is empty for the counts of all origins.
	origin duty.Origin
	counts duty.Counts
}

func (w usageWindow) isTotal() bool { return w.origin.Boot == "" }

func encodeTally(t tally.Tally) *cornelholdv1.Tally {
	m := &cornelholdv1.Tally{Use: encodeUse(t), Loads: encodeEndpoints(t)}
	m.EngineServices, m.EngineRoutes = encodeEngines(t.Engines)
	for service, endpoints := range t.Demand {
		latency := t.Latencies[service]
		m.Demand = append(m.Demand, &cornelholdv1.ServiceDemand{
			Service: string(service), Endpoints: endpoints, Requests: latency.Requests, Slow: latency.Slow,
		})
	}
	m.Rollouts = encodeRolloutCounts(t.Rollouts)
	return m
}

func decodeTally(m *cornelholdv1.Tally) tally.Tally {
	t := tally.New()
	for _, u := range m.GetUse() {
		team := fleet.TeamName(u.GetTeam())
		if len(u.GetUsed()) > 0 {
			t.Used[team] = lo.Map(u.GetUsed(), plausible)
		}
		if len(u.GetDeparted()) > 0 {
			t.Departed[team] = lo.Map(u.GetDeparted(), plausible)
		}
		if requested := plausible(u.GetRequested(), 0); requested > 0 {
			t.Requested[team] = requested
		}
	}
	decodeEndpoints(m.GetLoads(), t)
	decodeEngines(m.GetEngineServices(), m.GetEngineRoutes(), t.Engines)
	for _, d := range m.GetDemand() {
		service := fleet.ServiceName(d.GetService())
		t.Demand[service] = max(plausible(d.GetEndpoints(), 0), 0)
		if requests := max(plausible(d.GetRequests(), 0), 0); requests > 0 {
			t.Latencies[service] = tally.Latency{Requests: requests, Slow: min(max(plausible(d.GetSlow(), 0), 0), requests)}
		}
	}
	t.Rollouts = decodeRolloutCounts(m.GetRollouts())
	return t
}

// maxAmount bounds the amounts that a peer can state, so that sums stay finite.
const maxAmount = 1e15

// plausible replaces an amount that no instance states by 0.
func plausible(amount float64, _ int) float64 {
	if math.Abs(amount) <= maxAmount {
		return amount
	}
	return 0
}

func encodeGroup(g tally.Group) *cornelholdv1.GroupTally {
	return &cornelholdv1.GroupTally{
		Tally: encodeTally(g.Tally), Instances: int32(g.Instances), AgeMs: g.Age.Milliseconds(), OldestMs: g.Oldest.Milliseconds(),
		YoungestMs: g.Youngest.Milliseconds(),
	}
}

func decodeGroup(m *cornelholdv1.GroupTally) tally.Group {
	return tally.Group{
		Tally: decodeTally(m.GetTally()), Instances: max(int(m.GetInstances()), 0),
		Age: age(m.GetAgeMs()), Oldest: age(m.GetOldestMs()), Youngest: age(m.GetYoungestMs()),
	}
}

func encodeWindow(w usageWindow, _ int) *cornelholdv1.UsageWindow {
	return &cornelholdv1.UsageWindow{
		Number: w.number, Origin: w.origin.Boot, DataCentre: string(w.origin.DataCentre), Counts: encodeCounts(w.counts),
	}
}

func decodeWindow(w *cornelholdv1.UsageWindow, _ int) usageWindow {
	return usageWindow{
		number: w.GetNumber(), origin: duty.Origin{DataCentre: fleet.DataCentre(w.GetDataCentre()), Boot: w.GetOrigin()},
		counts: decodeCounts(w.GetCounts()),
	}
}

func encodeCounts(counts duty.Counts) map[string]int64 {
	return lo.MapKeys(counts, func(_ int64, team fleet.TeamName) string { return string(team) })
}

func decodeCounts(counts map[string]int64) duty.Counts {
	return lo.MapKeys(counts, func(_ int64, team string) fleet.TeamName { return fleet.TeamName(team) })
}

func encodeRecord(r platform.Record, _ int) *cornelholdv1.StoreRecord {
	return &cornelholdv1.StoreRecord{Key: r.Key, Value: r.Value, Position: int64(r.Position)}
}

func decodeRecord(r *cornelholdv1.StoreRecord, _ int) platform.Record {
	return platform.Record{Key: r.GetKey(), Value: r.GetValue(), Position: storelog.Position(r.GetPosition())}
}

func encodeLease(r duty.LeaseRecord) ([]byte, error) {
	data, err := proto.Marshal(&cornelholdv1.LeaseRecord{
		Node: r.Holder.Node, Boot: r.Holder.Boot, Fence: r.Fence, Nonce: r.Nonce, Released: r.Released,
		Epoch: int64(r.Epoch), EpochSinceMs: r.EpochSince.Milliseconds(),
	})
	return data, Error.Wrap(err)
}

func decodeLease(r platform.Record) (duty.LeaseRecord, error) {
	var m cornelholdv1.LeaseRecord
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		return duty.LeaseRecord{}, Error.New("malformed lease record at position %s: %w; it is ignored and the lease is taken over after its timeout", r.Position, err)
	}
	return duty.LeaseRecord{
		Position: r.Position, Holder: duty.Holder{Node: m.GetNode(), Boot: m.GetBoot()},
		Fence: m.GetFence(), Nonce: m.GetNonce(), Released: m.GetReleased(),
		Epoch: storelog.Epoch(m.GetEpoch()), EpochSince: milliseconds(m.GetEpochSinceMs()),
	}, nil
}

func encodeDecision(d duty.Decision, node string) ([]byte, error) {
	data, err := proto.Marshal(&cornelholdv1.UsageDecision{
		Window: d.Window, Counts: encodeCounts(d.Counts), Node: node,
	})
	return data, Error.Wrap(err)
}

func decodeDecision(r platform.Record) (duty.Decision, error) {
	var m cornelholdv1.UsageDecision
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		return duty.Decision{}, Error.New("malformed usage decision at position %s: %w; the decision is ignored", r.Position, err)
	}
	return duty.Decision{Window: m.GetWindow(), Counts: decodeCounts(m.GetCounts())}, nil
}

// encodeUse returns what a tally states of each team.
func encodeUse(t tally.Tally) []*cornelholdv1.TeamUse {
	listed := make(map[fleet.TeamName]*cornelholdv1.TeamUse, len(t.Used))
	use := func(team fleet.TeamName) *cornelholdv1.TeamUse {
		if _, ok := listed[team]; !ok {
			listed[team] = &cornelholdv1.TeamUse{Team: string(team)}
		}
		return listed[team]
	}
	for team, used := range t.Used {
		use(team).Used = used
	}
	for team, requested := range t.Requested {
		use(team).Requested = requested
	}
	for team, departed := range t.Departed {
		use(team).Departed = departed
	}
	return lo.Values(listed)
}
