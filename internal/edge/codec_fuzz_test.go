package edge

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/exchange"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/platform"
)

// FuzzDecodeReport looks for bytes of a peer that end the process, also when the gateway
// processes what was decoded.
func FuzzDecodeReport(f *testing.F) {
	seed, err := proto.Marshal(&cornelholdv1.InstanceReport{
		Node: "n", Boot: "b", Crashes: []*cornelholdv1.EndpointCrash{{Endpoint: "e", Suspects: []*cornelholdv1.RequestTrait{{Id: 1}, nil}}},
		Quarantined: []*cornelholdv1.QuarantinedCause{{}, {Traits: []*cornelholdv1.RequestTrait{{Kind: 1}}}},
		Report:      &cornelholdv1.OwnReport{Sequence: 1, Tally: &cornelholdv1.Tally{Use: []*cornelholdv1.TeamUse{{Team: "t", Used: []float64{1, 2}}, nil}}},
		Digest:      &cornelholdv1.CentreDigest{}, Feed: &cornelholdv1.DeploymentFeed{Included: 1, Reached: &cornelholdv1.GroupTally{Instances: -1}},
		Carriers: []*cornelholdv1.InstanceAddress{nil, {Address: "x"}}, DataCentre: "dc",
		Cleared: []*cornelholdv1.ClearedTrait{{}, {Trait: &cornelholdv1.RequestTrait{Kind: 9}}},
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
		machine := gateway.New(gateway.Options{Node: "own"})
		machine.Step(time.Second, gateway.CrashesReported{Report: decodeCrashes(&m, time.Second)})
		e := exchange.New(exchange.Options{Self: exchange.Instance{Address: "10.0.0.1", DataCentre: "dc"}})
		message := decodeExchange("10.0.0.2", &m)
		for _, a := range e.Step(time.Second, exchange.Received{Message: message}) {
			if o, ok := a.(exchange.Others); ok {
				machine.Step(time.Second, gateway.OthersReported{Reached: o.Reached, Lost: o.Lost})
			}
		}
		e.Step(time.Second, exchange.Tick{})
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
		parseInstances([]platform.Record{{Value: data}})
	})
}
