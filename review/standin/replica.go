//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
)

// run is a request that a replica began to run.
type run struct {
	attempt, target, replica string
	// lastEvent is the event after which a stream goes on.
	lastEvent string
	at        time.Time
	brokenOff bool
}

// replica is a back end: a model replica that answers with a stream of events, or a plain
// service. It follows the users' protocol.
type replica struct {
	id, service, zone string
	address           string
	slots             int
	born              int64
	// work is the time of a plain answer and the time to the first event; events come in
	// intervals after that.
	work     time.Duration
	events   int
	interval time.Duration

	// brokenOff is the share of streams that it sends without a length and breaks off.
	brokenOff float64
	// crashes ends it as it begins to run a request that crashes replicas; nil if none does.
	crashes func(*replica)

	listener net.Listener
	mutex    sync.Mutex
	runs     []run
	crashed  bool
	conns    map[net.Conn]bool
}

// addReplica starts a replica and announces it.
func (f *fleet) addReplica(ctx context.Context, r *replica) error {
	listener, err := net.Listen("tcp", f.address(100+len(f.replicas), 8308))
	if err != nil {
		return err
	}
	f.replicas = append(f.replicas, r)
	f.startReplica(ctx, r, listener)
	return nil
}

// startReplica starts a boot of a replica, which has a new id.
func (f *fleet) startReplica(ctx context.Context, r *replica, listener net.Listener) {
	r.id = fmt.Sprintf("i-%s-%d", r.service, boots.Add(1))
	r.address, r.born, r.listener, r.conns = listener.Addr().String(), time.Now().UnixMilli(), listener, make(map[net.Conn]bool)
	go r.accept(listener)
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	f.announce(r, "ready")
}

var boots atomic.Int64

// crash ends a replica: all its channels break, and nothing listens at its address. Its
// entry is removed after three check-in intervals of silence.
func (f *fleet) crash(r *replica) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.crashed = true
	_ = r.listener.Close()
	for conn := range r.conns {
		_ = conn.Close()
	}
	time.AfterFunc(3*heartbeat, func() { f.store.Put(userplatform.ServersTopic, r.id, nil) })
}

// restart replaces a replica that crashed by its next boot.
func (f *fleet) restart(ctx context.Context, i int) error {
	old := f.replicas[i]
	listener, err := net.Listen("tcp", old.address)
	if err != nil {
		return err
	}
	next := &replica{service: old.service, zone: old.zone, slots: old.slots, work: old.work, events: old.events, interval: old.interval, crashes: old.crashes}
	f.startReplica(ctx, next, listener)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.replicas[i], f.gone = next, append(f.gone, old)
	return nil
}

func (r *replica) track(conn net.Conn, open bool) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if open && !r.crashed {
		r.conns[conn] = true
		return true
	}
	delete(r.conns, conn)
	return false
}

func (r *replica) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serve(conn)
	}
}

func (r *replica) serve(conn net.Conn) {
	defer conn.Close()
	if !r.track(conn, true) {
		return
	}
	defer r.track(conn, false)
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, request.Body)
		if err != nil || r.respond(conn, request) != nil {
			return
		}
	}
}

// respond answers one request. An error ends the channel.
func (r *replica) respond(conn net.Conn, request *http.Request) error {
	attempt := request.Header.Get("Attempt-Id")
	head := "Attempt-Id: " + attempt + "\r\nKeep-Alive: timeout=10\r\n"
	if expected := request.Header.Get("Expect-Replica"); expected != "" && expected != r.id {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sReplica-Id: %s\r\nContent-Length: 0\r\n\r\n", head, r.id)
		return err
	}
	breaksOff := r.events > 0 && rand.Float64() < r.brokenOffShare()
	r.mutex.Lock()
	r.runs = append(r.runs, run{
		attempt: attempt, target: request.RequestURI, replica: r.id, lastEvent: request.Header.Get("Last-Event-Id"), at: time.Now(), brokenOff: breaksOff,
	})
	r.mutex.Unlock()
	if r.crashes != nil && strings.HasPrefix(request.RequestURI, crashingTarget) {
		time.Sleep(crashTime)
		r.crashes(r)
		return errCrashed
	}
	head += "Replica-Signature: " + r.id + "." + attempt + "\r\n"
	time.Sleep(r.work)
	if r.events == 0 {
		body := "answer to " + attempt
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
		return err
	}
	first := 1
	if last, err := strconv.Atoi(request.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	if breaksOff {
		return r.breakOff(conn, head, attempt, first)
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", head); err != nil {
		return err
	}
	for id := first; id <= r.events; id++ {
		event := streamEvent(id, attempt)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return err
		}
		time.Sleep(r.interval)
	}
	_, err := io.WriteString(conn, "0\r\n\r\n")
	return err
}

func streamEvent(id int, attempt string) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", id, id, attempt)
}

// breakOff sends a stream without a length, and closes the channel directly behind the
// head or inside one of the events, with the same probability.
func (r *replica) breakOff(conn net.Conn, head, attempt string, first int) error {
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n\r\n", head); err != nil {
		return err
	}
	if first <= r.events && rand.IntN(2) == 0 {
		last := first + rand.IntN(r.events-first+1)
		for id := first; id < last; id++ {
			if _, err := io.WriteString(conn, streamEvent(id, attempt)); err != nil {
				return err
			}
			time.Sleep(r.interval)
		}
		event := streamEvent(last, attempt)
		if _, err := io.WriteString(conn, event[:len(event)/2]); err != nil {
			return err
		}
	}
	return errBrokenOff
}

// crashingTarget is the target of the request that crashes replicas, crashTime the time that
// a replica runs it.
const (
	crashingTarget = "/chat/crashing"
	crashTime      = 30 * time.Millisecond
)

var errCrashed = errors.New("the replica has crashed")

var errBrokenOff = errors.New("the answer is broken off")

func (r *replica) brokenOffShare() float64 {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.brokenOff
}

func (r *replica) setBrokenOff(share float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.brokenOff = share
}

// ran returns the requests that were run, by attempt.
func (f *fleet) ran() map[string][]run {
	byAttempt := make(map[string][]run)
	f.mutex.Lock()
	all := slices.Concat(f.replicas, f.gone)
	f.mutex.Unlock()
	for _, r := range all {
		r.mutex.Lock()
		for _, x := range r.runs {
			byAttempt[x.attempt] = append(byAttempt[x.attempt], x)
		}
		r.mutex.Unlock()
	}
	return byAttempt
}

func (r *replica) isCrashed() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.crashed
}
