package edge

import (
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/enginemodel"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/tally"
	"github.com/cornelhold/cornelhold/platform"
)

// maxEndpointSpeeds is the number of endpoints up to which a tally states their speeds. With more
// the sums would not fit into a datagram, and each instance uses the speeds that it observed.
const maxEndpointSpeeds = 600

// encodeEndpoints returns the loads and speeds of endpoints.
func encodeEndpoints(t tally.Tally) []*cornelholdv1.EndpointLoad {
	speeds := t.Engines.Endpoints
	if len(speeds) > maxEndpointSpeeds {
		speeds = nil
	}
	list := make([]*cornelholdv1.EndpointLoad, 0, len(t.Loads)+len(speeds))
	for id, load := range t.Loads {
		speed := speeds[id]
		list = append(list, &cornelholdv1.EndpointLoad{
			Endpoint: string(id), Active: int32(load.Active), Backlog: int64(load.Backlog), Turns: int32(load.Turns),
			Observed: float32(speed.Observed), Expected: float32(speed.Expected),
		})
	}
	for id, speed := range speeds {
		if _, ok := t.Loads[id]; !ok {
			list = append(list, &cornelholdv1.EndpointLoad{
				Endpoint: string(id), Observed: float32(speed.Observed), Expected: float32(speed.Expected),
			})
		}
	}
	return list
}

func decodeEndpoints(list []*cornelholdv1.EndpointLoad, into tally.Tally) {
	for _, l := range list {
		id := fleet.EndpointID(l.GetEndpoint())
		load := tally.Load{Active: max(int(l.GetActive()), 0), Backlog: max(int(l.GetBacklog()), 0), Turns: max(int(l.GetTurns()), 0)}
		if load != (tally.Load{}) {
			into.Loads[id] = load
		}
		if l.GetExpected() > 0 {
			into.Engines.Endpoints[id] = enginemodel.EndpointSums{Observed: float64(l.GetObserved()), Expected: float64(l.GetExpected())}
		}
	}
}

func encodeEngines(s enginemodel.Sums) ([]*cornelholdv1.EngineService, []*cornelholdv1.EngineRoute) {
	services := lo.MapToSlice(s.Services, encodeEngineService)
	return services, lo.MapToSlice(s.Routes, encodeEngineRoute)
}

func encodeEngineService(name fleet.ServiceName, p enginemodel.ServiceSums) *cornelholdv1.EngineService {
	return &cornelholdv1.EngineService{
		Service: string(name), First: encodeReading(p.First), Step: encodeLine(p.Step),
		Read: p.Read, Finished: p.Finished, Held: p.Held, SlotTime: p.SlotTime,
	}
}

func encodeEngineRoute(key enginemodel.RouteKey, p enginemodel.RouteSums) *cornelholdv1.EngineRoute {
	return &cornelholdv1.EngineRoute{
		Service: string(key.Service), Route: key.Route,
		Output: p.Output, MaxOutput: p.MaxOutput, Shared: p.Shared, Missed: p.Missed,
	}
}

// decodeEngines adds the sums of services and routes and removes implausible ones.
func decodeEngines(services []*cornelholdv1.EngineService, routes []*cornelholdv1.EngineRoute, into enginemodel.Sums) {
	for _, s := range services {
		into.Services[fleet.ServiceName(s.GetService())] = enginemodel.ServiceSums{
			First: decodeReading(s.GetFirst()), Step: decodeLine(s.GetStep()),
			Read: s.GetRead(), Finished: s.GetFinished(), Held: s.GetHeld(), SlotTime: s.GetSlotTime(),
		}
	}
	for _, r := range routes {
		key := enginemodel.RouteKey{Service: fleet.ServiceName(r.GetService()), Route: r.GetRoute()}
		into.Routes[key] = enginemodel.RouteSums{
			Output: r.GetOutput(), MaxOutput: r.GetMaxOutput(), Shared: r.GetShared(), Missed: r.GetMissed(),
		}
	}
	into.KeepPlausible()
}

// encodeEngineRecord returns the record of one service.
func encodeEngineRecord(name fleet.ServiceName, s enginemodel.Sums) ([]byte, error) {
	m := &cornelholdv1.EngineRecord{Service: encodeEngineService(name, s.Services[name])}
	for key, p := range s.Routes {
		if key.Service == name {
			m.Routes = append(m.Routes, encodeEngineRoute(key, p))
		}
	}
	value, err := proto.Marshal(m)
	return value, Error.Wrap(err)
}

// decodeEngineRecords returns the sums of all services, and the number of malformed records.
func decodeEngineRecords(records []platform.Record) (enginemodel.Sums, int) {
	sums, malformed := enginemodel.NewSums(), 0
	for _, r := range records {
		var m cornelholdv1.EngineRecord
		if err := proto.Unmarshal(r.Value, &m); err != nil || m.GetService().GetService() != r.Key {
			malformed++
			continue
		}
		decodeEngines([]*cornelholdv1.EngineService{m.GetService()}, m.GetRoutes(), sums)
	}
	return sums, malformed
}

func encodeLine(l enginemodel.Line) *cornelholdv1.LineSums {
	return &cornelholdv1.LineSums{N: l.N, X: l.X, Y: l.Y, Xx: l.XX, Xy: l.XY, Yy: l.YY}
}

func decodeLine(l *cornelholdv1.LineSums) enginemodel.Line {
	return enginemodel.Line{N: l.GetN(), X: l.GetX(), Y: l.GetY(), XX: l.GetXx(), XY: l.GetXy(), YY: l.GetYy()}
}

func encodeReading(r enginemodel.Reading) *cornelholdv1.ReadingSums {
	return &cornelholdv1.ReadingSums{Certain: encodeLine(r.Certain), D: r.D, Dd: r.DD, Xd: r.XD, Dy: r.DY}
}

func decodeReading(r *cornelholdv1.ReadingSums) enginemodel.Reading {
	return enginemodel.Reading{Certain: decodeLine(r.GetCertain()), D: r.GetD(), DD: r.GetDd(), XD: r.GetXd(), DY: r.GetDy()}
}
