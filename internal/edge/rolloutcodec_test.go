package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/rollout"
	"github.com/cornelhold/cornelhold/internal/core/tally"
	"github.com/cornelhold/cornelhold/platform"
)

// newRolloutCounts returns counts in which all fields and all buckets are used.
func newRolloutCounts(routes int) rollout.Counts {
	side := rollout.VersionCounts{Sent: 123456, Active: 345, Routes: make(map[string]rollout.Responses)}
	for i := range routes {
		r := rollout.Responses{Total: 12345, Bad: 67}
		for b := range r.Times {
			r.Times[b] = int64(1000 + b)
		}
		side.Routes[string(rune('a'+i))] = r
	}
	return rollout.Counts{Old: side, New: side, Moved: 74}
}

// TestRolloutsAreDecodedAsEncoded guards against plans, counts and records that change on the
// way to another instance or through the store, and against a start in the future after the
// clock was stepped.
func TestRolloutsAreDecodedAsEncoded(t *testing.T) {
	is := is.New(t)
	plans := []rollout.Plan{{
		Service: "s", To: "v2", Withheld: []fleet.SoftwareVersion{"v3"}, Order: 5, Fence: 7, Step: rollout.StepHalf, Revision: 9,
		State: rollout.Reverted, Share: 0.25, ConfirmedAt: 3 * time.Second,
	}}
	encoded := encodePlans(plans, 4*time.Second)
	is.Equal(decodePlans(encoded, 4*time.Second), plans)
	is.Equal(decodePlans(encoded, 9*time.Second)[0].ConfirmedAt, 8*time.Second)
	t1 := tally.New()
	t1.Rollouts[rollout.Key{Service: "s", Order: 5}] = newRolloutCounts(2)
	is.Equal(decodeTally(encodeTally(t1)).Rollouts, t1.Rollouts)
	wall := time.UnixMilli(1_900_000_000_000)
	record := rollout.Record{
		Order:     rollout.Order{Service: "s", To: "v2", CompleteBy: 12 * time.Second, Position: 5},
		StartedAt: 3 * time.Second, Step: rollout.StepCanary, State: rollout.Running, Exposed: 55, Withheld: []fleet.SoftwareVersion{"v3"},
	}
	value, err := encodeRolloutRecord(record, recordTimes{now: 5 * time.Second, wall: wall})
	is.NoErr(err)
	decoded, err := decodeRolloutRecord(platform.Record{Value: value}, recordTimes{now: 9 * time.Second, wall: wall.Add(time.Second)})
	is.NoErr(err)
	is.Equal(decoded.StartedAt, 6*time.Second)
	decoded.StartedAt = record.StartedAt
	is.Equal(decoded, record)
	decoded, err = decodeRolloutRecord(platform.Record{Value: value}, recordTimes{now: 9 * time.Second, wall: wall.Add(-time.Hour)})
	is.NoErr(err)
	is.Equal(decoded.StartedAt, 9*time.Second)
}

// TestImplausibleRolloutsAreDropped guards against a malformed message that moves traffic or
// makes counts negative.
func TestImplausibleRolloutsAreDropped(t *testing.T) {
	is := is.New(t)
	nan := 0.0
	nan /= nan
	is.Equal(len(decodePlans([]*cornelholdv1.RolloutPlan{
		{},
		{Service: "s"},
		{Service: "s", To: "v", Share: nan},
		{Service: "s", To: "v", Share: 2},
		{Service: "s", To: "v", State: 9},
		{Service: "s", To: "v", Step: 99},
		{Service: "s", To: "v", Fence: -1},
	}, 0)), 0)
	counts := decodeRolloutCounts([]*cornelholdv1.RolloutCounts{{Service: "s", Moved: -1, Old: &cornelholdv1.VersionCounts{
		Sent: -5, Routes: []*cornelholdv1.RouteResponses{{Route: "r", Times: make([]int64, 1000)}},
	}}})
	is.Equal(counts[rollout.Key{Service: "s"}].Old.Sent, int64(0))
	_, err := decodeRolloutRecord(platform.Record{Value: []byte{0xff}}, recordTimes{})
	is.True(err != nil)
	empty, err := proto.Marshal(&cornelholdv1.RolloutRecord{Service: "s", To: "v"})
	is.NoErr(err)
	_, err = decodeRolloutRecord(platform.Record{Value: empty}, recordTimes{})
	is.True(err != nil)
}
