package edge

import (
	"google.golang.org/protobuf/proto"

	"github.com/samber/lo"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/duty"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/quota"
	"github.com/cornelhold/cornelhold/platform"
)

// usageWindow holds the usage counts of one origin in one window.
type usageWindow struct {
	number int64
	origin string
	counts duty.Counts
}

func encodeReport(r gateway.PeerReport, message *cornelholdv1.InstanceReport) {
	message.Use = encodeUse(r.Used)
	for id, load := range r.Loads {
		message.Loads = append(message.Loads, &cornelholdv1.EndpointLoad{
			Endpoint: string(id), Active: int32(load.Active), Backlog: int64(load.Backlog),
		})
	}
	for service, work := range r.Demand {
		message.Demand = append(message.Demand, &cornelholdv1.ServiceDemand{Service: string(service), Endpoints: work})
	}
}

func decodeReport(p *cornelholdv1.InstanceReport) gateway.PeerReport {
	r := gateway.PeerReport{
		Node: p.GetNode(), Used: decodeUse(p.GetUse()),
		Loads:  make(map[fleet.EndpointID]gateway.Load, len(p.GetLoads())),
		Demand: make(map[fleet.ServiceName]float64, len(p.GetDemand())),
	}
	for _, l := range p.GetLoads() {
		r.Loads[fleet.EndpointID(l.GetEndpoint())] = gateway.Load{
			Active: max(int(l.GetActive()), 0), Backlog: max(int(l.GetBacklog()), 0),
		}
	}
	for _, d := range p.GetDemand() {
		r.Demand[fleet.ServiceName(d.GetService())] = max(d.GetEndpoints(), 0)
	}
	return r
}

func encodeWindow(w usageWindow, _ int) *cornelholdv1.UsageWindow {
	return &cornelholdv1.UsageWindow{Number: w.number, Origin: w.origin, Counts: encodeCounts(w.counts)}
}

func decodeWindow(w *cornelholdv1.UsageWindow, _ int) usageWindow {
	return usageWindow{number: w.GetNumber(), origin: w.GetOrigin(), counts: decodeCounts(w.GetCounts())}
}

func encodeCounts(counts duty.Counts) map[string]int64 {
	return lo.MapKeys(counts, func(_ int64, team fleet.TeamName) string { return string(team) })
}

func decodeCounts(counts map[string]int64) duty.Counts {
	return lo.MapKeys(counts, func(_ int64, team string) fleet.TeamName { return fleet.TeamName(team) })
}

func encodeRecord(r platform.Record, _ int) *cornelholdv1.StoreRecord {
	return &cornelholdv1.StoreRecord{Key: r.Key, Value: r.Value, Offset: r.Offset}
}

func decodeRecord(r *cornelholdv1.StoreRecord, _ int) platform.Record {
	return platform.Record{Key: r.GetKey(), Value: r.GetValue(), Offset: r.GetOffset()}
}

func encodeLease(r duty.LeaseRecord) ([]byte, error) {
	data, err := proto.Marshal(&cornelholdv1.LeaseRecord{
		Node: r.Holder.Node, Boot: r.Holder.Boot, Fence: r.Fence, Nonce: r.Nonce, Released: r.Released,
	})
	return data, Error.Wrap(err)
}

func decodeLease(r platform.Record) (duty.LeaseRecord, error) {
	var m cornelholdv1.LeaseRecord
	if err := proto.Unmarshal(r.Value, &m); err != nil {
		return duty.LeaseRecord{}, Error.New("malformed lease record at offset %d: %w; it is ignored and the lease is taken over after its timeout", r.Offset, err)
	}
	return duty.LeaseRecord{
		Offset: r.Offset, Holder: duty.Holder{Node: m.GetNode(), Boot: m.GetBoot()},
		Fence: m.GetFence(), Nonce: m.GetNonce(), Released: m.GetReleased(),
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
		return duty.Decision{}, Error.New("malformed usage decision at offset %d: %w; the decision is ignored", r.Offset, err)
	}
	return duty.Decision{Window: m.GetWindow(), Counts: decodeCounts(m.GetCounts())}, nil
}

func encodeUse(used map[fleet.TeamName]quota.Usage) []*cornelholdv1.TeamUse {
	return lo.MapToSlice(used, func(team fleet.TeamName, use quota.Usage) *cornelholdv1.TeamUse {
		return &cornelholdv1.TeamUse{Team: string(team), Used: use}
	})
}

func decodeUse(use []*cornelholdv1.TeamUse) map[fleet.TeamName]quota.Usage {
	return lo.Associate(use, func(u *cornelholdv1.TeamUse) (fleet.TeamName, quota.Usage) {
		return fleet.TeamName(u.GetTeam()), u.GetUsed()
	})
}
