package edge

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
	"github.com/cornelhold/cornelhold/platform"
)

// recordTimes relates the clock of the process to the time of day, which records have in
// common.
type recordTimes struct {
	now  time.Duration
	wall time.Time
}

// encodeWitnessed returns the record of the crashes that an instance witnessed; nil, which
// removes it, if there are none.
func encodeWitnessed(crashes []gateway.Crash, t recordTimes) ([]byte, error) {
	if len(crashes) == 0 {
		return nil, nil
	}
	value, err := proto.Marshal(&cornelholdv1.CrashRecord{
		WallMs:  t.wall.UnixMilli(),
		Crashes: lo.Map(crashes, func(c gateway.Crash, _ int) *cornelholdv1.EndpointCrash { return encodeCrash(c, t.now) }),
	})
	return value, Error.Wrap(err)
}

// encodeCauseRecord returns the record of a cause.
func encodeCauseRecord(e quarantine.Entry, t recordTimes) ([]byte, error) {
	value, err := proto.Marshal(&cornelholdv1.CrashRecord{WallMs: t.wall.UnixMilli(), Cause: encodeCause(e, t.now)})
	return value, Error.Wrap(err)
}

// causeKey returns the key of the record of a cause, which differs between causes.
func causeKey(traits []quarantine.Trait) string {
	return platform.CauseKey(xxhash.Sum64String(quarantine.JoinTraits(traits)))
}

// crashRecords is the decoded content of the topic.
type crashRecords struct {
	restored gateway.CrashesRestored
	// expired are the keys of records without evidence that still counts.
	expired []string
	// malformed is the number of records that could not be decoded.
	malformed int
}

// decodeCrashRecords decodes the records that the instance node reads at its start. Malformed
// ones are left out.
func decodeCrashRecords(records []platform.Record, node string, t recordTimes) crashRecords {
	var r crashRecords
	for _, record := range records {
		var m cornelholdv1.CrashRecord
		if err := proto.Unmarshal(record.Value, &m); err != nil {
			r.malformed++
			continue
		}
		// Clocks may have been stepped: a record is not from the future.
		writtenAt := t.now - max(t.wall.Sub(time.UnixMilli(m.GetWallMs())), 0)
		if m.GetCause() != nil {
			r.addCause(&m, writtenAt)
			continue
		}
		r.addWitnessed(&m, record.Key, node, writtenAt, t.now)
	}
	return r
}

func (r *crashRecords) addCause(m *cornelholdv1.CrashRecord, writtenAt time.Duration) {
	if e, ok := decodeCause(m.GetCause(), writtenAt); ok {
		r.restored.Causes = append(r.restored.Causes, e)
	}
}

func (r *crashRecords) addWitnessed(m *cornelholdv1.CrashRecord, key, node string, writtenAt, now time.Duration) {
	crashes := lo.FilterMap(m.GetCrashes(), func(c *cornelholdv1.EndpointCrash, _ int) (gateway.Crash, bool) {
		crash := decodeCrash(c, writtenAt)
		return crash, now-crash.At < gateway.CrashEvidenceTTL
	})
	switch {
	case key == platform.WitnessKey(node):
		r.restored.Own = crashes
	case len(crashes) == 0:
		r.expired = append(r.expired, key)
	default:
		r.restored.Others = append(r.restored.Others, crashes...)
	}
}
