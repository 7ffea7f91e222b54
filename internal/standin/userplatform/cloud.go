package userplatform

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cornelhold/cornelhold/internal/standin/httpjson"
)

// UsageReport is a usage report as the platform received it.
type UsageReport struct {
	At     time.Time `json:"-"`
	Holder string
	Fence  int64
	Window int64          `json:"window-id"`
	Counts map[string]int `json:"counts"`
}

// ScaleRequest is an order for replicas as the platform received it.
type ScaleRequest struct {
	At          time.Time `json:"-"`
	Holder      string
	Fence       int64
	Service     string `json:"service"`
	Zone        string `json:"zone"`
	Desired     int    `json:"desired"`
	Preemptible bool   `json:"preemptible"`
}

type cloudState struct {
	usageReports  []UsageReport
	scaleRequests []ScaleRequest
}

// Cloud is the stand-in of the platform API for usage reports and scaling, which
// only the holder of the lease calls. One task owns the recorded requests.
type Cloud struct{ commands chan func(*cloudState) }

// StartCloud serves the platform API on a listener until ctx ends.
func StartCloud(ctx context.Context, listener net.Listener) *Cloud {
	c := &Cloud{commands: make(chan func(*cloudState), commandBufferSize)}
	go c.run(ctx)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /usage", func(w http.ResponseWriter, r *http.Request) {
		if call, ok := httpjson.Decode[UsageReport](w, r); ok {
			call.At = time.Now()
			call.Holder, call.Fence = leaseFromHeaders(r)
			c.do(func(s *cloudState) { s.usageReports = append(s.usageReports, call) })
		}
	})
	mux.HandleFunc("POST /scale", func(w http.ResponseWriter, r *http.Request) {
		if call, ok := httpjson.Decode[ScaleRequest](w, r); ok {
			call.At = time.Now()
			call.Holder, call.Fence = leaseFromHeaders(r)
			c.do(func(s *cloudState) { s.scaleRequests = append(s.scaleRequests, call) })
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return c
}

// leaseFromHeaders returns the lease holder and the fencing token of a request.
func leaseFromHeaders(r *http.Request) (string, int64) {
	fence, _ := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	return r.Header.Get("Lease-Holder"), fence
}

func (c *Cloud) run(ctx context.Context) {
	state := &cloudState{}
	for {
		select {
		case command := <-c.commands:
			command(state)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Cloud) do(command func(*cloudState)) {
	done := make(chan struct{})
	c.commands <- func(s *cloudState) { command(s); close(done) }
	<-done
}

// UsageReports returns the usage reports received so far.
func (c *Cloud) UsageReports() []UsageReport {
	var calls []UsageReport
	c.do(func(s *cloudState) { calls = append(calls, s.usageReports...) })
	return calls
}

// ScaleRequests returns the orders received so far.
func (c *Cloud) ScaleRequests() []ScaleRequest {
	var calls []ScaleRequest
	c.do(func(s *cloudState) { calls = append(calls, s.scaleRequests...) })
	return calls
}
