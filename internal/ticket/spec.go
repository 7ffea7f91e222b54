package ticket

import (
	"encoding/json"
	"time"

	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// BuildSpec decodes the objects of a snapshot. Objects of an unknown kind or
// with a value that this program cannot decode are skipped and their keys are
// returned, so that an object written by a newer program never blocks a ticket.
func BuildSpec(s *config.Snapshot) (spec *config.Spec, skipped []config.ObjectKey) {
	spec = &config.Spec{
		Number:      s.Number,
		Services:    make(map[fleet.ServiceName]*config.Service),
		Models:      make(map[string]*config.Model),
		Teams:       make(map[fleet.TeamName]*config.Team),
		DataCentres: make(map[fleet.DataCentre]*config.DataCentre),
	}
	for _, o := range s.Objects {
		if !addObject(spec, o) {
			skipped = append(skipped, o.Key)
		}
	}
	return spec, skipped
}

func addObject(spec *config.Spec, o config.Object) bool {
	switch o.Key.Kind {
	case KindService:
		return decodeInto(o, spec.Services, fleet.ServiceName(o.Key.Name), Service.toCore)
	case KindModel:
		return decodeInto(o, spec.Models, o.Key.Name, Model.toCore)
	case KindTeam:
		return decodeInto(o, spec.Teams, fleet.TeamName(o.Key.Name), Team.toCore)
	case KindDataCentre:
		return decodeInto(o, spec.DataCentres, fleet.DataCentre(o.Key.Name), DataCentre.toCore)
	default:
		return false
	}
}

func decodeInto[K comparable, F, C any](o config.Object, into map[K]*C, key K, convert func(F) *C) bool {
	var value F
	if json.Unmarshal(o.Value, &value) != nil {
		return false
	}
	into[key] = convert(value)
	return true
}

func (s Service) toCore() *config.Service {
	class, _ := fleet.ParseClass(s.Class)
	kind := config.ServiceModel
	if s.Kind == "plain" {
		kind = config.ServicePlain
	}
	return &config.Service{
		Name: fleet.ServiceName(s.Name), Kind: kind, Model: s.Model, Adapters: s.Adapters, Class: class,
		FirstToken: s.FirstToken, BetweenTokens: s.BetweenTokens, Deadline: s.Deadline,
		ChecksFencing: s.ChecksFencing,
		Replicas:      lo.Map(s.Replicas, func(r Replicas, _ int) config.Replicas { return r.toCore() }),
		Operations: lo.SliceToMap(s.Operations, func(o Operation) (string, *config.Operation) {
			return o.Name, o.toCore()
		}),
	}
}

func (r Replicas) toCore() config.Replicas {
	return config.Replicas{
		DataCentre: fleet.DataCentre(r.DataCentre), Class: fleet.InstanceClass(r.Class), Role: r.Role,
		Reclaimable: r.Reclaimable, OnDemand: r.OnDemand,
	}
}

func (o Operation) toCore() *config.Operation {
	class, _ := fleet.ParseClass(o.Class)
	return &config.Operation{Name: o.Name, Idempotent: o.Idempotent, Class: class, Latency: o.Latency}
}

func (m Model) toCore() *config.Model {
	return &config.Model{Name: m.Name, Version: m.Version, WeightBytes: m.WeightBytes, ContextTokens: m.ContextTokens}
}

func (t Team) toCore() *config.Team {
	return &config.Team{
		Name: fleet.TeamName(t.Name), KeyHashes: t.KeyHashes, Weight: t.Weight,
		RequestsPerSecond: t.RequestsPerSecond, MaxInFlight: t.MaxInFlight,
	}
}

func (c DataCentre) toCore() *config.DataCentre {
	return &config.DataCentre{
		Name: fleet.DataCentre(c.Name), Region: fleet.Region(c.Region),
		Distances: lo.MapKeys(c.Distances, func(_ time.Duration, name string) fleet.DataCentre {
			return fleet.DataCentre(name)
		}),
		Prices: lo.MapEntries(c.Prices, func(class string, p Price) (fleet.InstanceClass, config.Price) {
			return fleet.InstanceClass(class), config.Price{Reclaimable: p.Reclaimable, OnDemand: p.OnDemand}
		}),
	}
}
