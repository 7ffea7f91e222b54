package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cornelhold/cornelhold/internal/callerapi"
	"github.com/cornelhold/cornelhold/internal/daemon"
	"github.com/cornelhold/cornelhold/internal/operator"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/procs"
	"github.com/cornelhold/cornelhold/internal/router"
	"github.com/cornelhold/cornelhold/internal/standin"
	"github.com/cornelhold/cornelhold/internal/standin/modelengine"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

// cluster runs stand-ins of the platform, engines e0, e1, ... and routers r0, r1, ...
// in the test process, connected over sockets.
type cluster struct {
	t         *testing.T
	ctx       context.Context
	listAddr  string
	engines   []string
	routers   []*testRouter
	instances []platform.Instance
}

type testRouter struct {
	address string
	env     *daemon.Env
	stop    context.CancelFunc
	// done receives the result of router.Run.
	done chan error
}

// newCluster starts a cluster and waits until it serves requests. deadPeers is the
// number of routers that are configured as peers but do not run.
func newCluster(t *testing.T, engine modelengine.Settings, engines, routers, deadPeers int) *cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	t.Cleanup(cancel)
	c := &cluster{t: t, ctx: ctx, listAddr: procs.FreeAddress()}
	logAddr := procs.FreeAddress()
	settings := &standin.Settings{
		Log: &standin.LogSettings{Listen: logAddr}, Instances: &standin.InstancesSettings{Listen: c.listAddr},
	}
	for i := range engines {
		address := procs.FreeAddress()
		c.engines = append(c.engines, address)
		settings.Engines = append(settings.Engines, standin.EngineSettings{Listen: address, Engine: engine})
		c.instances = append(c.instances, platform.Instance{
			ID: fmt.Sprint("e", i), Service: "dial-advisor", Address: address, DataCentre: "kyushu-" + string(rune('a'+i)), State: "live",
		})
	}
	env := testEnv()
	go func() { _ = standin.Run(ctx, env, settings) }()
	waitReady(t, env)
	for i := range engines {
		c.injectFaults(i, modelengine.Faults{}) // returns once the engine listens
	}
	c.publishInstances()
	doc, err := ticket.ParseFile("test", []byte(testTicket))
	if err != nil {
		t.Fatal(err)
	}
	c.eventually(func() bool {
		_, err = operator.NewFiler("http://"+logAddr).File(ctx, doc, "test")
		return err == nil
	})
	var peers []router.PeerSettings
	for i := range routers + deadPeers {
		peers = append(peers, router.PeerSettings{
			Instance: fmt.Sprint("r", i), DataCentre: "kyushu-" + string(rune('a'+i)), Region: "kyushu", Address: procs.FreeAddress(),
		})
	}
	for i := range routers {
		c.startRouter(peers, i, logAddr)
	}
	return c
}

func (c *cluster) startRouter(peers []router.PeerSettings, i int, logAddr string) {
	r := &testRouter{address: procs.FreeAddress(), env: testEnv(), done: make(chan error, 1)}
	r.env.Admin = http.NewServeMux()
	var ctx context.Context
	ctx, r.stop = context.WithCancel(c.ctx)
	s := &router.Settings{
		Instance: peers[i].Instance, DataCentre: peers[i].DataCentre, Region: "kyushu", Listen: r.address,
		PeerListen: peers[i].Address, Peers: peers, SilenceBound: 500 * time.Millisecond,
		Log: "http://" + logAddr, Instances: "http://" + c.listAddr,
	}
	go func() { r.done <- router.Run(ctx, r.env, s, callerapi.New) }()
	c.routers = append(c.routers, r)
	waitReady(c.t, r.env)
	c.eventually(func() bool { return c.requestCompletion(i, "warm up", 1, false).StatusCode == http.StatusOK })
}

// eventually repeats a check until it holds. It fails when the time of the test is over.
func (c *cluster) eventually(check func() bool) {
	c.t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for !check() {
		select {
		case <-c.ctx.Done():
			c.t.Fatal("timed out: the condition did not hold within the time limit of the test")
		case <-ticker.C:
		}
	}
}

func (c *cluster) put(url string, value any) {
	c.t.Helper()
	data, _ := json.Marshal(value)
	c.eventually(func() bool {
		req, _ := http.NewRequestWithContext(c.ctx, http.MethodPut, url, bytes.NewReader(data))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusNoContent
	})
}

func (c *cluster) injectFaults(engine int, f modelengine.Faults) {
	c.put("http://"+c.engines[engine]+"/faults", f)
}

// publishInstances replaces the platform's instance list by c.instances.
func (c *cluster) publishInstances() { c.put("http://"+c.listAddr+"/v1/instances", c.instances) }

// reclaim announces in the instance list that an instance is reclaimed after notice.
func (c *cluster) reclaim(id string, notice time.Duration) {
	for i := range c.instances {
		if c.instances[i].ID == id {
			c.instances[i].State, c.instances[i].ReclaimInMillis = platform.StateLeaving, notice.Milliseconds()
		}
	}
	c.publishInstances()
}

// requestCompletion requests a chat completion from router r and returns the response,
// whose body is closed at the end of the test.
func (c *cluster) requestCompletion(r int, prompt string, tokens int, stream bool) *http.Response {
	c.t.Helper()
	body, _ := json.Marshal(map[string]any{
		"model": "dial-advisor", "stream": stream, "max_tokens": tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return c.send(r, http.MethodPost, "/v1/chat/completions", string(body), "")
}

func (c *cluster) get(r int, path, lastEventID string) *http.Response {
	c.t.Helper()
	return c.send(r, http.MethodGet, path, "", lastEventID)
}

func (c *cluster) send(r int, method, path, body, lastEventID string) *http.Response {
	c.t.Helper()
	req, err := http.NewRequestWithContext(c.ctx, method, "http://"+c.routers[r].address+path, strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Content-Type", "application/json")
	if lastEventID != "" {
		req.Header.Set("Last-Event-ID", lastEventID)
	}
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	resp, err := client.Do(req)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func expectedText(prompt string, tokens int) string {
	return modelengine.Completion("user: "+prompt+"\n", tokens)
}

// metric returns the value of a counter or gauge, summed over the series that have a
// label with the given value. An empty label selects all series.
func (r *testRouter) metric(t *testing.T, name, label string) float64 {
	t.Helper()
	families, err := r.env.Metrics.Gather()
	if err != nil {
		t.Fatal(err)
	}
	sum := 0.0
	for _, family := range families {
		for _, m := range family.GetMetric() {
			matches := label == ""
			for _, pair := range m.GetLabel() {
				matches = matches || pair.GetValue() == label
			}
			if family.GetName() == name && matches {
				sum += m.GetCounter().GetValue() + m.GetGauge().GetValue()
			}
		}
	}
	return sum
}
