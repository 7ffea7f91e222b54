package e2e

import (
	"bytes"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/standin/edgefleet"
)

// slowCloud is a proxy before the platform's API that holds back the calls of one holder.
type slowCloud struct {
	// slowHolder is the name of the holder whose calls are held back for delay.
	slowHolder atomic.Value
	delay      time.Duration
	// begun is set once a call is held back.
	begun atomic.Bool

	mutex   sync.Mutex
	fences  []int
	holders []string
}

// start serves the proxy on an address that it returns.
func (c *slowCloud) start(t *testing.T, address string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	proxy.ErrorLog = log.New(io.Discard, "", 0) // processes that end abandon their calls
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		holder := r.Header.Get("Lease-Holder")
		body, _ := io.ReadAll(r.Body) // the end of the connection is noticed only after the body
		r.Body = io.NopCloser(bytes.NewReader(body))
		if c.slowHolder.Load() == holder {
			c.begun.Store(true)
			select {
			case <-time.After(c.delay):
			case <-r.Context().Done():
				return // the holder has abandoned the call, which does not arrive
			}
		}
		c.record(holder, r.Header.Get("Fencing-Token"))
		proxy.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String(), nil
}

func (c *slowCloud) record(holder, token string) {
	fence, _ := strconv.Atoi(token)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fences, c.holders = append(c.fences, fence), append(c.holders, holder)
}

// arrivals returns the fencing tokens of the calls in the order of their arrival, and the
// last holder.
func (c *slowCloud) arrivals() (fences []int, holder string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if len(c.holders) > 0 {
		holder = c.holders[len(c.holders)-1]
	}
	return c.fences, holder
}

// TestEdgeReleasesDutiesAfterItsCalls guards against a call of a holder that stops as planned,
// and that arrives after calls of its successor (rule ONE: a lower fencing token after a higher
// one).
func TestEdgeReleasesDutiesAfterItsCalls(t *testing.T) {
	is := is.New(t)
	// The delay is just below the time limit of a call.
	cloud := &slowCloud{delay: 900 * time.Millisecond}
	cloud.slowHolder.Store("")
	asked := 0
	f := newEdgeFleetWith(t, 3, edgefleet.Options{Replicas: 1, ProxyFor: func(address string) (string, error) {
		if asked++; asked > 1 { // the first address is that of the platform's API
			return address, nil
		}
		return cloud.start(t, address)
	}})
	holder := f.awaitHolder()
	i := slices.IndexFunc(f.Edges, func(e *edgeProcess) bool { return e.Name == holder })
	other := f.Edges[(i+1)%len(f.Edges)]
	// await sends requests, whose usage is reported, until the condition holds.
	await := func(what string, condition func() bool) {
		f.eventually(10*time.Second, what, func() bool {
			f.do(other, call{method: http.MethodGet, target: "/check/x"})
			return condition()
		})
	}
	lastHolder := func() string { _, last := cloud.arrivals(); return last }
	await("a call of the holder", func() bool { return lastHolder() == holder })
	cloud.slowHolder.Store(holder)
	await("a slow call of the holder", cloud.begun.Load)
	is.NoErr(f.Edges[i].Signal(syscall.SIGTERM))
	await("a call of another holder", func() bool { return lastHolder() != holder })
	time.Sleep(cloud.delay)
	fences, _ := cloud.arrivals()
	for i := 1; i < len(fences); i++ {
		if fences[i] < fences[i-1] {
			t.Fatalf("a call with fencing token %d arrived after one with %d", fences[i], fences[i-1])
		}
	}
}
