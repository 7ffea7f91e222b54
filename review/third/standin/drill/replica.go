//go:build review

package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two entries of a replica in the list.
	heartbeat = 1200 * time.Millisecond
	// workTime is the time that a replica works on a request.
	workTime  = 15 * time.Millisecond
	replyBody = 800
	// streamLength is the number of events of a stream.
	streamLength = 6
	chatPrefix   = "/chat/"
	orderPrefix  = "/orders/"
)

// replica is a stand-in of a server: it writes its entry into the list at every heartbeat and runs
// requests.
type replica struct {
	id, service, zone, address string
	// version is that of its software.
	version           string
	cancel            context.CancelFunc
	store             *store
	log               *journal
	born              time.Time
	mu                sync.Mutex
	seq               int
	draining, removed bool
	runs              []run
}

// run is a request that a replica ran.
type run struct {
	attempt, replica string
	at               time.Time
}

func startReplica(ctx context.Context, r *replica, listener net.Listener) {
	ctx, r.cancel = context.WithCancel(ctx)
	r.address, r.born = listener.Addr().String(), time.Now()
	server := &http.Server{Handler: http.HandlerFunc(r.handle), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			r.announce()
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	}()
}

// announce writes the replica's entry, unless it has been removed.
func (r *replica) announce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.removed {
		return
	}
	r.seq++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	r.store.put(serversTopic, r.id, fmt.Appendf(nil,
		`{"service":%q,"addr":%q,"zone":%q,"version":%q,"slots":6,"state":%q,"cold-left-ms":0,"seq":%d,"born":%d}`,
		r.service, r.address, r.zone, r.version, state, r.seq, r.born.UnixMilli()))
}

// remove removes the replica's entry. It goes on serving requests.
func (r *replica) remove() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removed = true
	r.store.put(serversTopic, r.id, nil)
	return time.Now()
}

func (r *replica) handle(w http.ResponseWriter, req *http.Request) {
	attempt := req.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Keep-Alive", "timeout=5")
	if expected := req.Header.Get("Expect-Replica"); expected != "" && expected != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	started := run{attempt: attempt, replica: r.id, at: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, started)
	r.mu.Unlock()
	r.log.write("run", "attempt=%s replica=%s", attempt, r.id)
	time.Sleep(workTime)
	w.Header().Set("Replica-Signature", r.id+"."+attempt)
	if strings.HasPrefix(req.URL.Path, chatPrefix) {
		streamEvents(w, attempt)
		return
	}
	_, _ = w.Write([]byte(strings.Repeat("a", replyBody)))
}

// drain reports that the replica is draining.
func (r *replica) drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.announce()
}

// end ends the replica.
func (r *replica) end() {
	r.remove()
	r.cancel()
}

func (r *replica) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// streamEvents answers a request with a stream of events.
func streamEvents(w http.ResponseWriter, attempt string) {
	w.Header().Set("Content-Type", "text/event-stream")
	for id := range streamLength {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", id+1, attempt, id+1) //nolint:gosec // no browser reads it
		if flusher, ok := w.(http.Flusher); ok {
			flusher.Flush()
		}
		time.Sleep(workTime)
	}
}
