package edge

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
	"github.com/cornelhold/cornelhold/platform"
)

// maxStoreRecord is the size of a record that the users' store accepts on all sites.
const maxStoreRecord = 262144

var testWall = time.UnixMilli(1_796_000_000_000)

// TestCrashRecordsAreDecodedAsEncoded guards against evidence that changes on its way through the
// store to another process, whose clock reads another time.
func TestCrashRecordsAreDecodedAsEncoded(t *testing.T) {
	is := is.New(t)
	crashes := []gateway.Crash{{Endpoint: "i-1", Started: 7, At: 50 * time.Second, Suspects: []quarantine.Trait{quarantine.RequestTrait(9)}}}
	entry := quarantine.Entry{Traits: []quarantine.Trait{quarantine.RequestTrait(9)}, Crashes: 4, CrashedAt: 55 * time.Second, Until: 10 * time.Minute, Trials: 1}
	written := recordTimes{now: time.Minute, wall: testWall}
	witnessed, err := encodeWitnessed(crashes, written)
	is.NoErr(err)
	cause, err := encodeCauseRecord(entry, written)
	is.NoErr(err)
	records := []platform.Record{
		{Key: platform.WitnessKey("n1"), Value: witnessed},
		{Key: platform.WitnessKey("n2"), Value: witnessed},
		{Key: causeKey(entry.Traits), Value: cause},
		{Key: "malformed", Value: []byte{0xff}},
	}
	// 20 s later, in a process that has just started.
	read := decodeCrashRecords(records, "n1", recordTimes{now: time.Second, wall: testWall.Add(20 * time.Second)})
	const shift = 79 * time.Second
	crashes[0].At -= shift
	entry.CrashedAt -= shift
	entry.Until -= shift
	is.Equal(read.restored, gateway.CrashesRestored{Own: crashes, Others: crashes, Causes: []quarantine.Entry{entry}})
	is.Equal(read.malformed, 1)
	is.Equal(len(read.expired), 0)
}

// TestExpiredCrashRecordsAreRemoved guards against records of instances that never return, which
// fill the store.
func TestExpiredCrashRecordsAreRemoved(t *testing.T) {
	is := is.New(t)
	crashes := []gateway.Crash{{Endpoint: "i-1", Started: 7, At: time.Second, Suspects: []quarantine.Trait{quarantine.RequestTrait(9)}}}
	value, err := encodeWitnessed(crashes, recordTimes{now: time.Second, wall: testWall})
	is.NoErr(err)
	records := []platform.Record{{Key: platform.WitnessKey("gone"), Value: value}}
	later := recordTimes{now: time.Second, wall: testWall.Add(gateway.CrashEvidenceTTL)}
	read := decodeCrashRecords(records, "n1", later)
	is.Equal(read.expired, []string{platform.WitnessKey("gone")})
	is.Equal(len(read.restored.Others), 0)
}

// TestCrashRecordsFromAnotherVersion guards against a record with suspects that this version
// does not know, and against a clock that was stepped back since the record was written.
func TestCrashRecordsFromAnotherVersion(t *testing.T) {
	is := is.New(t)
	unknown := &cornelholdv1.RequestTrait{Kind: 99, Id: 1}
	cause, err := proto.Marshal(&cornelholdv1.CrashRecord{
		WallMs: testWall.Add(time.Hour).UnixMilli(), Cause: &cornelholdv1.QuarantinedCause{Traits: []*cornelholdv1.RequestTrait{unknown}},
	})
	is.NoErr(err)
	witnessed, err := proto.Marshal(&cornelholdv1.CrashRecord{
		WallMs:  testWall.Add(time.Hour).UnixMilli(),
		Crashes: []*cornelholdv1.EndpointCrash{{Endpoint: "i-1", Suspects: []*cornelholdv1.RequestTrait{unknown, {Id: 5}}}},
	})
	is.NoErr(err)
	records := []platform.Record{{Key: platform.CauseKey(1), Value: cause}, {Key: platform.WitnessKey("n2"), Value: witnessed}}
	read := decodeCrashRecords(records, "n1", recordTimes{now: time.Second, wall: testWall})
	is.Equal(len(read.restored.Causes), 0)
	is.Equal(read.restored.Others[0].Suspects, []quarantine.Trait{quarantine.RequestTrait(5)})
	is.Equal(read.restored.Others[0].At, time.Second)
}

// TestCrashRecordFitsIntoStore guards against a record that the store refuses because many
// requests crash many endpoints.
func TestCrashRecordFitsIntoStore(t *testing.T) {
	is := is.New(t)
	m := gateway.New(gateway.Options{Node: "n1"})
	var persisted []gateway.Crash
	for _, a := range crashEndpoints(m, 100, 50) {
		if p, ok := a.(gateway.PersistCrashes); ok {
			persisted = p.Crashes
		}
	}
	// The pages state this bound; it does not grow with the endpoints that crash.
	const maxCrashesInRecord = 32
	is.Equal(len(persisted), maxCrashesInRecord)
	value, err := encodeWitnessed(persisted, recordTimes{now: 2 * time.Second, wall: testWall})
	is.NoErr(err)
	is.True(len(value) < maxStoreRecord/10)
	t.Logf("%d crashes, %d bytes", len(persisted), len(value))
}
