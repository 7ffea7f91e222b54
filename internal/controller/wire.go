package controller

import (
	"encoding/json"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/core/capacity"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/lease"
	"github.com/cornelhold/cornelhold/internal/core/order"
	"github.com/cornelhold/cornelhold/internal/platform"
)

// Error is the class of errors of the controller.
var Error = errs.Class("controller")

// leaseRecord is the JSON form of lease.Record in the log.
type leaseRecord struct {
	ID          string        `json:"id"`
	Instance    string        `json:"instance"`
	Incarnation string        `json:"incarnation"`
	Release     bool          `json:"release,omitempty"`
	Shards      []shardRecord `json:"shards,omitempty"`
	Renewed     []shardRecord `json:"renewed,omitempty"`
	RenewedFrom int64         `json:"renewed_from_ms,omitempty"`
}

type shardRecord struct {
	Service    string `json:"s"`
	DataCentre string `json:"dc"`
}

func encodeLease(r lease.Record) leaseRecord {
	return leaseRecord{
		ID: r.ID, Instance: string(r.Holder.Instance), Incarnation: r.Holder.Incarnation,
		Release: r.Kind == lease.KindRelease, Shards: encodeShards(r.Shards), Renewed: encodeShards(r.Renewed),
		RenewedFrom: r.RenewedFrom.Milliseconds(),
	}
}

func encodeShards(shards []lease.Shard) []shardRecord {
	return lo.Map(shards, func(s lease.Shard, _ int) shardRecord {
		return shardRecord{Service: string(s.Service), DataCentre: string(s.DataCentre)}
	})
}

// decodeLease returns an entry without shards for a malformed record, which
// has no effect on the fold.
func decodeLease(record platform.Record) lease.Entry {
	entry := lease.Entry{Offset: record.Offset, Time: time.Duration(record.TimeMillis) * time.Millisecond}
	var r leaseRecord
	if json.Unmarshal(record.Data, &r) != nil {
		return entry
	}
	entry.Record = lease.Record{
		ID:     r.ID,
		Holder: lease.Holder{Instance: fleet.InstanceID(r.Instance), Incarnation: r.Incarnation},
		Kind:   lo.Ternary(r.Release, lease.KindRelease, lease.KindHold),
		Shards: decodeShards(r.Shards), Renewed: decodeShards(r.Renewed),
		RenewedFrom: time.Duration(r.RenewedFrom) * time.Millisecond,
	}
	return entry
}

func decodeShards(records []shardRecord) []lease.Shard {
	return lo.Map(records, func(r shardRecord, _ int) lease.Shard {
		return lease.Shard{Service: fleet.ServiceName(r.Service), DataCentre: fleet.DataCentre(r.DataCentre)}
	})
}

// tokenParts is the number of slash-separated parts of an encoded token.
const tokenParts = 7

// encodeToken returns the token as
// service/data centre/class/role/market/index/generation, each part URL-escaped.
func encodeToken(t capacity.Token) string {
	parts := []string{
		string(t.Slot.Shard.Service), string(t.Slot.Shard.DataCentre), string(t.Slot.Class), t.Slot.Role,
		t.Slot.Market.String(), strconv.Itoa(t.Slot.Index), strconv.FormatUint(t.Generation, 10),
	}
	return strings.Join(lo.Map(parts, func(p string, _ int) string { return url.PathEscape(p) }), "/")
}

func decodeToken(text string) (capacity.Token, error) {
	parts := strings.Split(text, "/")
	if len(parts) != tokenParts {
		return capacity.Token{}, Error.New("token %q has %d parts, not %d; another tool started the instance", text, len(parts), tokenParts)
	}
	for i, part := range parts {
		plain, err := url.PathUnescape(part)
		if err != nil {
			return capacity.Token{}, Error.New("token %q is malformed: %w; another tool started the instance", text, err)
		}
		parts[i] = plain
	}
	index, indexErr := strconv.Atoi(parts[5])
	generation, generationErr := strconv.ParseUint(parts[6], 10, 64)
	if indexErr != nil || generationErr != nil {
		return capacity.Token{}, Error.New("token %q has a malformed number; another tool started the instance", text)
	}
	return capacity.Token{
		Slot: capacity.Slot{
			Shard:  lease.Shard{Service: fleet.ServiceName(parts[0]), DataCentre: fleet.DataCentre(parts[1])},
			Class:  fleet.InstanceClass(parts[2]),
			Role:   parts[3],
			Market: toMarket(parts[4] == capacity.Reclaimable.String()),
			Index:  index,
		},
		Generation: generation,
	}, nil
}

func toMarket(reclaimable bool) capacity.Market {
	return lo.Ternary(reclaimable, capacity.Reclaimable, capacity.OnDemand)
}

// decodeInstance reports false for an instance whose token is not in the
// controller's format, since another tool started it.
func decodeInstance(i platform.CloudInstance) (capacity.Instance, bool) {
	token, err := decodeToken(i.Token)
	return capacity.Instance{
		ID: fleet.InstanceID(i.ID), Token: token, Placement: toPlacement(i), State: toState(i.State),
	}, err == nil
}

func toPlacement(i platform.CloudInstance) capacity.Placement {
	return capacity.Placement{
		DataCentre: fleet.DataCentre(i.DataCentre), Class: fleet.InstanceClass(i.Class), Market: toMarket(i.Reclaimable),
	}
}

func toState(state string) capacity.State {
	switch state {
	case platform.StateLeaving:
		return capacity.StateLeaving
	case platform.StateStopped:
		return capacity.StateStopped
	default:
		return capacity.StateLive
	}
}

func encodeStart(s capacity.Start) platform.StartRequest {
	return platform.StartRequest{
		Token: encodeToken(s.Token), Service: string(s.Token.Slot.Shard.Service), Role: s.Token.Slot.Role,
		DataCentre: string(s.Placement.DataCentre), Class: string(s.Placement.Class),
		Reclaimable: s.Placement.Market == capacity.Reclaimable,
	}
}

// newEndpoint returns the endpoint that runs on an instance.
func newEndpoint(i platform.CloudInstance, c capacity.Instance) order.Endpoint {
	return order.Endpoint{
		ID: fleet.EndpointID(i.ID), Address: i.Address, Shard: c.Token.Slot.Shard, Role: c.Token.Slot.Role,
		Leaving: c.State != capacity.StateLive,
	}
}
