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
)

// replica is a stand-in of a server: it writes its entry into the list at every heartbeat and runs
// requests.
type replica struct {
	id, service, zone, address string
	store                      *store
	log                        *journal
	born                       time.Time
	mu                         sync.Mutex
	seq                        int
	removed                    bool
	runs                       []run
}

// run is a request that a replica ran.
type run struct {
	attempt, replica string
	at               time.Time
}

func startReplica(ctx context.Context, r *replica, listener net.Listener) {
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
	r.store.put(serversTopic, r.id, fmt.Appendf(nil,
		`{"service":%q,"addr":%q,"zone":%q,"version":"v1","slots":6,"state":"ready","cold-left-ms":0,"seq":%d,"born":%d}`,
		r.service, r.address, r.zone, r.seq, r.born.UnixMilli()))
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
	_, _ = w.Write([]byte(strings.Repeat("a", replyBody)))
}

func (r *replica) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}
