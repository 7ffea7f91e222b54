package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
)

// TestCrashReportFitsIntoDatagram guards against a report that is not sent because crashes of
// many endpoints with many long prompts, or many causes, make it too large.
func TestCrashReportFitsIntoDatagram(t *testing.T) {
	is := is.New(t)
	m := gateway.New(gateway.Options{Node: "n1"})
	var peer gateway.CrashReport
	for i := range 300 {
		var traits []quarantine.Trait
		for k := range 16 {
			traits = append(traits, quarantine.PartTrait(uint64(1000*i+k)))
		}
		peer.Quarantined = append(peer.Quarantined, quarantine.Entry{Traits: traits, Crashes: 5, CrashedAt: time.Second, Until: time.Hour})
	}
	m.Step(time.Second, gateway.CrashesReported{Report: peer})
	crashEndpoints(m, 100, 1000)
	report := m.Report(3 * time.Second)
	is.True(len(report.Crashes.Crashes) > 0)
	is.True(len(report.Crashes.Quarantined) > 0)
	var message cornelholdv1.InstanceReport
	encodeCrashes(report.Crashes, 3*time.Second, &message)
	is.True(proto.Size(&message) < maxDatagram/3)
	t.Logf("%d bytes", proto.Size(&message))
}

// crashEndpoints lets n endpoints crash with ten long prompts each, of the given number of
// different requests. It returns the actions that follow.
func crashEndpoints(m *gateway.Machine, n, requests int) []gateway.Action {
	var list []catalog.Endpoint
	for i := range n {
		list = append(list, catalog.Endpoint{
			ID: fleet.EndpointID(fmt.Sprint("i-00000000", i)), Service: "s", Slots: 8, Address: fmt.Sprint("127.0.0.1:", 1000+i), Started: 1,
		})
	}
	m.Step(time.Second, gateway.SetCatalog{Catalog: catalog.Build(catalog.Catalog{
		Version: 1, Services: map[fleet.ServiceName]catalog.Service{"s": {Name: "s"}},
		Routes: []catalog.Route{{Host: "h", Prefix: "/", Targets: []catalog.Target{{Service: "s", Weight: 1}}, MaxAttempts: 1, Public: true}},
	})})
	m.Step(time.Second, gateway.SetEndpoints{Endpoints: list})
	m.Step(time.Second, gateway.UsageRestored{})
	m.Step(time.Second, gateway.CrashesRestored{})
	for id := range 10 * n {
		r := gateway.Request{Host: "h", Path: "/", Fingerprint: fleet.Fingerprint(id % requests), Random: float64(id%97) / 97}
		for k := range 80 {
			r.Parts = append(r.Parts, fleet.PromptPart{ID: uint64(1_000_000 + 80*id + k), Tokens: 1})
		}
		m.Step(time.Second, gateway.RequestArrived{ID: gateway.RequestID(id), Request: r})
	}
	for i := range list {
		list[i].Started = 2
	}
	return m.Step(2*time.Second, gateway.SetEndpoints{Endpoints: list})
}
