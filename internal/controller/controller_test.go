package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelhold/cornelhold/internal/core/capacity"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/lease"
	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/operator"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/procs"
	"github.com/cornelhold/cornelhold/internal/standin"
	"github.com/cornelhold/cornelhold/internal/standin/modelengine"
	"github.com/cornelhold/cornelhold/internal/standin/platformapi"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

const testTicket = `
comment: first ticket
services:
  - name: dial-advisor
    kind: model
    model: cord
    adapters: [bench]
    class: interactive
    deadline: 5s
    checks_fencing: true
    replicas:
      - {data_centre: kyushu-a, class: gpu, reclaimable: 2}
      - {data_centre: kyushu-b, class: gpu, reclaimable: 1}
models:
  - {name: cord, version: "7", weight_bytes: 1000, context_tokens: 4096}
data_centres:
  - {name: kyushu-a, region: kyushu, prices: {gpu: {reclaimable: 1, on_demand: 3}}}
  - {name: kyushu-b, region: kyushu, prices: {gpu: {reclaimable: 1, on_demand: 3}}}
`

// testTimeout ends a test that makes no progress; no assertion depends on its
// length.
const testTimeout = time.Minute

// fixture is a stand-in platform whose log holds testTicket.
type fixture struct {
	t                   *testing.T
	ctx                 context.Context
	log, cloud, weights string
	client              *platform.CloudClient
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	b := &fixture{t: t, ctx: ctx, log: procs.FreeAddress(), cloud: procs.FreeAddress(), weights: procs.FreeAddress()}
	go func() {
		_ = standin.Run(ctx, testEnv(), &standin.Settings{
			Log:     &standin.LogSettings{Listen: b.log},
			Cloud:   &standin.CloudSettings{Listen: b.cloud, Orders: modelengine.OrderSettings{LoadTime: 50 * time.Millisecond}},
			Weights: &standin.WeightsSettings{Listen: b.weights, Store: platformapi.WeightSettings{Slots: 2, TTL: time.Minute}},
		})
	}()
	b.client = platform.NewCloudClient("http://" + b.cloud)
	b.waitFor("the stand-ins answer", func() bool {
		for _, address := range []string{b.log, b.cloud, b.weights} {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return false
			}
			_ = conn.Close()
		}
		return true
	})
	doc, err := ticket.ParseFile("test", []byte(testTicket))
	if err == nil {
		_, err = operator.NewFiler("http://"+b.log).File(ctx, doc, "test")
	}
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func testEnv() *daemon.Env {
	return &daemon.Env{
		Log:     &log.Logger{Handler: discard.New(), Level: log.ErrorLevel},
		Metrics: prometheus.NewRegistry(),
		Ready:   daemon.NewReadiness(),
	}
}

// waitFor repeats check until it returns true, and fails the test after
// testTimeout.
func (b *fixture) waitFor(what string, check func() bool) {
	b.t.Helper()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !check() {
		select {
		case <-ticker.C:
		case <-b.ctx.Done():
			b.t.Fatal("timed out waiting until " + what)
		}
	}
}

// startController starts a controller; stop ends it and waits until it has returned.
func (b *fixture) startController(name string) (env *daemon.Env, stop func()) {
	ctx, cancel := context.WithCancel(b.ctx)
	env = testEnv()
	s := DefaultSettings()
	s.Instance, s.DataCentre, s.Region = name, "kyushu-a", "kyushu"
	s.Log, s.Cloud, s.Weights = "http://"+b.log, "http://"+b.cloud, "http://"+b.weights
	done := make(chan error, 1)
	go func() { done <- Run(ctx, env, s) }()
	return env, func() {
		cancel()
		if err := <-done; err != nil {
			b.t.Error(err)
		}
	}
}

func (b *fixture) sendJSON(method, url string, body any) {
	b.t.Helper()
	data, _ := json.Marshal(body)
	req, _ := http.NewRequestWithContext(b.ctx, method, url, bytes.NewReader(data))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// allServing reports whether exactly count live instances run, each in a slot of
// its own, and all of them are ready with the ticket's model version.
func (b *fixture) allServing(count int) bool {
	list, err := b.client.Watch(b.ctx, 0, time.Second)
	if err != nil {
		return false
	}
	slots := make(map[capacity.Slot]bool)
	for _, i := range list.Instances {
		if i.State != platform.StateLive {
			continue
		}
		token, err := decodeToken(i.Token)
		if err != nil || slots[token.Slot] {
			b.t.Fatalf("instance %s has the token %q of another live instance: %v", i.ID, i.Token, err)
		}
		slots[token.Slot] = true
		status, err := engine.NewOrderClient().Observe(b.ctx, i.Address)
		if err != nil || !status.Ready || status.Loaded.Version != "7" {
			return false
		}
	}
	return len(slots) == count
}

func leasesHeld(t *testing.T, envs ...*daemon.Env) int {
	t.Helper()
	held := 0.0
	for _, env := range envs {
		families, err := env.Metrics.Gather()
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range families {
			if f.GetName() == "cornelhold_controller_leases_held" {
				held += f.GetMetric()[0].GetGauge().GetValue()
			}
		}
	}
	return int(held)
}

// TestInstanceStartsAndGetsItsModel guards the path from a ticket to a serving
// endpoint, and against a second instance for a slot when the response to a start
// is lost.
func TestInstanceStartsAndGetsItsModel(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newFixture(t)
	b.sendJSON(http.MethodPut, "http://"+b.cloud+"/v1/cloud/faults", platformapi.CloudFaults{LoseStartResponses: 2})
	env, stop := b.startController("c1")
	b.waitFor("all replicas serve", func() bool { return b.allServing(3) })
	list, err := b.client.Watch(b.ctx, 0, time.Second)
	is.NoErr(err)
	is.Equal(len(list.Instances), 3) // no instance beyond the slots was ever started
	is.Equal(env.Ready.Reason(), "")
	stop()
}

// TestControllerIsReplaced guards against two controllers that both act for a
// shard, and against shards without a controller after one has stopped.
func TestControllerIsReplaced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	b := newFixture(t)
	env1, stop1 := b.startController("c1")
	env2, stop2 := b.startController("c2")
	b.waitFor("all replicas serve", func() bool { return b.allServing(3) })
	b.waitFor("each shard has one holder", func() bool { return leasesHeld(t, env1, env2) == 2 })
	stop1()
	b.sendJSON(http.MethodPost, "http://"+b.cloud+"/v1/cloud/reclaim", platformapi.Reclaim{DataCentre: "kyushu-a", NoticeMillis: 100})
	b.waitFor("the other controller holds all shards", func() bool { return leasesHeld(t, env2) == 2 })
	b.waitFor("the reclaimed replicas are replaced", func() bool { return b.allServing(3) })
	list, err := b.client.Watch(b.ctx, 0, time.Second)
	is.NoErr(err)
	is.Equal(len(list.Instances), 5) // three, and one replacement for each of the two reclaimed
	stop2()
}

// TestWireRoundTrip guards against tokens and lease records that change when they
// are encoded and decoded, and against accepting the tokens of other tools.
func TestWireRoundTrip(t *testing.T) {
	is := is.New(t)
	token := capacity.Token{
		Slot:       capacity.Slot{Shard: lease.Shard{Service: "a/b %", DataCentre: "dc"}, Class: "gpu", Market: capacity.OnDemand, Index: 3},
		Generation: 9,
	}
	got, err := decodeToken(encodeToken(token))
	is.NoErr(err)
	is.Equal(got, token)
	for _, text := range []string{"", "a/b/c/d/e/1", "a/b/c/d/e/x/1", "%zz/b/c/d/e/1/1"} {
		_, err := decodeToken(text)
		is.True(err != nil) // a token of another tool
	}
	record := lease.Record{
		ID: "x-1", Holder: lease.Holder{Instance: "c1", Incarnation: "x"}, Kind: lease.KindHold,
		Shards: []lease.Shard{token.Slot.Shard}, Renewed: []lease.Shard{{Service: "s", DataCentre: "b"}}, RenewedFrom: 5 * time.Second,
	}
	data, err := json.Marshal(encodeLease(record))
	is.NoErr(err)
	is.Equal(decodeLease(platform.Record{Offset: 4, TimeMillis: 7000, Data: data}),
		lease.Entry{Offset: 4, Time: 7 * time.Second, Record: record})
}

// TestExpiredTicketsComeFromCheckpoint guards against a controller that stays
// without a configuration because the first tickets have expired: it must start
// from the newest checkpoint.
func TestExpiredTicketsComeFromCheckpoint(t *testing.T) {
	is := is.New(t)
	data, err := ticket.EncodeSnapshot(&config.Snapshot{Number: 7, TicketID: "t", Offset: 9})
	is.NoErr(err)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path == "/v1/streams/checkpoints/records":
			_ = json.NewEncoder(w).Encode(platform.Batch{Records: []platform.Record{{Data: data}}, Next: 1})
		case r.URL.Query().Get("from") != "9":
			w.WriteHeader(http.StatusGone)
		default:
			<-r.Context().Done()
		}
	}))
	defer server.Close()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	source := &logConfiguration{client: platform.NewLogClient(server.URL), fold: config.NewFold()}
	var active []config.Number
	err = source.Follow(ctx, func(_ context.Context, s *config.Snapshot) {
		active = append(active, s.Number)
		cancel()
	})
	is.NoErr(err)
	is.Equal(active, []config.Number{7})
}
