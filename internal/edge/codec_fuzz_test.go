package edge

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/platform"
)

// FuzzDecodeReport looks for bytes of a peer that end the process, also when the gateway
// processes what was decoded.
func FuzzDecodeReport(f *testing.F) {
	seed, err := proto.Marshal(&cornelholdv1.InstanceReport{
		Node: "n", Boot: "b", Crashes: []*cornelholdv1.EndpointCrash{{Endpoint: "e", Suspects: []*cornelholdv1.RequestTrait{{Id: 1}, nil}}},
		Quarantined: []*cornelholdv1.QuarantinedCause{{}, {Traits: []*cornelholdv1.RequestTrait{{Kind: 1}}}},
		Cleared:     []*cornelholdv1.ClearedTrait{{}, {Trait: &cornelholdv1.RequestTrait{Kind: 9}}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Fuzz(func(_ *testing.T, data []byte) {
		var m cornelholdv1.InstanceReport
		if proto.Unmarshal(data, &m) != nil {
			return
		}
		report := decodeReport(&m)
		report.Crashes = decodeCrashes(&m, time.Second)
		machine := gateway.New(gateway.Options{Node: "own"})
		machine.Step(time.Second, report)
		machine.Report(2 * time.Second)
		for _, w := range m.GetWindows() {
			decodeWindow(w, 0)
		}
	})
}

// FuzzDecodeRecords looks for records of the store that end the process.
func FuzzDecodeRecords(f *testing.F) {
	f.Add([]byte("x"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeLease(platform.Record{Value: data})
		_, _ = decodeDecision(platform.Record{Value: data})
		parseAddresses([]platform.Record{{Value: data}})
	})
}
