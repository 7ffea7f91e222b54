//go:build review

// Command lease runs three edge processes before stand-ins of the users' platform, restarts the holder of
// the duties and its successor in turn, and checks in which order the holders call the platform.
package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cornelhold/cornelhold/internal/procs"
	"github.com/cornelhold/cornelhold/internal/standin/edgefleet"
	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
	"github.com/cornelhold/cornelhold/review/second/standin/casekit"
)

const (
	edges = 3
	// leaseTime is lease-ms of the small deployments.
	leaseTime = 3 * time.Second
	// firstName is the process that the case needs as the first holder: the one that takes a released lease
	// over soonest.
	firstName = "edge-2"
	// killAfter is the time from the SIGTERM of the first holder to its SIGKILL, restartDelay that until the
	// platform starts an ended process again, gap the time between two processes that are restarted.
	killAfter    = 500 * time.Millisecond
	restartDelay = 500 * time.Millisecond
	gap          = 1800 * time.Millisecond
	watchTime    = 6 * time.Second
	calmTime     = 6 * time.Second
	startTimeout = 15 * time.Second
	callTimeout  = 10 * time.Second
	maxTakeovers = 4
	pollInterval = 5 * time.Millisecond
	callInterval = 30 * time.Millisecond
	deadline     = time.Second
	apiKey       = "key-1"
)

func main() {
	program := flag.String("program", "", "path of cornelhold-edge")
	record := flag.String("record", "", "file for what was sent, answered and run")
	trouble := flag.Bool("trouble", true, "kill the first holder while it drains")
	flag.Parse()
	broken, err := run(*program, *record, *trouble)
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(os.Stdout, "the case could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// dutyCall is a call of the duties as it arrived at the platform.
type dutyCall struct {
	at                  time.Time
	holder, fence, path string
}

// scene is one run of the case.
type scene struct {
	fleet *edgefleet.Fleet
	log   *casekit.Recorder

	mutex sync.Mutex
	calls []dutyCall
}

func run(program, recordPath string, trouble bool) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dir, err := os.MkdirTemp("", "lease-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s := &scene{}
	if s.log, err = casekit.New(recordPath); err != nil {
		return false, err
	}
	defer s.log.Close()
	if err := s.start(ctx, program, dir); err != nil {
		return false, err
	}
	defer s.fleet.Stop()
	for _, e := range s.fleet.Edges {
		go s.sendRequests(ctx, e)
	}
	first, err := s.bringFirst()
	if err != nil {
		return false, err
	}
	startedAt, err := s.restartInTurn(first, trouble)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Until(startedAt.Add(watchTime)))
	return s.judge(startedAt), nil
}

// start starts the stand-ins and the processes, and waits until all are ready.
func (s *scene) start(ctx context.Context, program, dir string) error {
	asked := 0
	fleet, err := edgefleet.New(ctx, edgefleet.Options{
		Program: program, Dir: dir, Replicas: 2,
		ProxyFor: func(address string) (string, error) {
			if asked++; asked > 1 { // the first address is that of the platform's API
				return address, nil
			}
			return s.serveBefore(ctx, address)
		},
	})
	if err != nil {
		return err
	}
	s.fleet = fleet
	fleet.Configure(fleet.Config(edgefleet.PlainService, apiKey))
	fleet.AnnounceAll("ready")
	for i := range edges {
		e, err := fleet.AddEdge(ctx)
		if err != nil {
			return err
		}
		if err := casekit.SetUsageWindow(e, filepath.Join(dir, fmt.Sprintf("edge-%d.yaml", i))); err != nil {
			return err
		}
	}
	for _, e := range fleet.Edges {
		if err := waitReady(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

func waitReady(ctx context.Context, e *edgefleet.Edge) error {
	return procs.WaitFor(ctx, startTimeout, e.Name+" to be ready", func() bool {
		return procs.Status("http://"+e.ReadyAddress+"/readyz") == http.StatusOK
	})
}

// serveBefore serves the platform's API at an address, notes each call when it arrives, and returns the new
// address.
func (s *scene) serveBefore(ctx context.Context, address string) (string, error) {
	l, err := edgefleet.Listen()
	if err != nil {
		return "", err
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: address})
	proxy.ErrorLog = log.New(io.Discard, "", 0) // processes that end abandon their calls
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		call := dutyCall{at: time.Now(), holder: r.Header.Get("Lease-Holder"), fence: r.Header.Get("Fencing-Token"), path: r.URL.Path}
		s.mutex.Lock()
		s.calls = append(s.calls, call)
		s.mutex.Unlock()
		s.log.Printf("%s calls %s under number %s", call.holder, call.path, call.fence)
		proxy.ServeHTTP(w, r)
	})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	return l.Addr().String(), nil
}

// nextCall waits for a call that arrives after a time and returns its holder.
func (s *scene) nextCall(after time.Time, other string) (*edgefleet.Edge, error) {
	for end := time.Now().Add(callTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		s.mutex.Lock()
		calls := s.calls
		s.mutex.Unlock()
		for _, c := range calls {
			if c.at.After(after) && c.holder != other {
				return s.edge(c.holder)
			}
		}
	}
	return nil, errors.New("no call of the duties has arrived")
}

func (s *scene) edge(name string) (*edgefleet.Edge, error) {
	for _, e := range s.fleet.Edges {
		if e.Name == name {
			return e, nil
		}
	}
	return nil, errors.New("unknown holder " + name)
}

// bringFirst restarts holders in calm until the process that the case needs holds the duties.
func (s *scene) bringFirst() (*edgefleet.Edge, error) {
	for range maxTakeovers {
		time.Sleep(calmTime)
		holder, err := s.nextCall(time.Now(), "")
		if err != nil || holder.Name == firstName {
			return holder, err
		}
		s.log.Printf("beforehand: %s is restarted", holder.Name)
		_ = holder.Signal(syscall.SIGTERM)
		<-holder.Done()
		if err := holder.Start(); err != nil {
			return nil, err
		}
	}
	return nil, errors.New(firstName + " doesn't become the holder")
}

// restartInTurn restarts the holder right after a call of it, and its successor a gap later. It returns the
// time of the first SIGTERM.
func (s *scene) restartInTurn(first *edgefleet.Edge, trouble bool) (time.Time, error) {
	if _, err := s.nextCall(time.Now(), ""); err != nil {
		return time.Time{}, err
	}
	startedAt := time.Now()
	s.stop(first)
	go func() {
		if trouble {
			time.Sleep(killAfter)
			s.log.Printf("SIGKILL of %s", first.Name)
			_ = first.Signal(syscall.SIGKILL)
		}
		s.startAgain(first)
	}()
	second, err := s.nextCall(startedAt, first.Name)
	if err != nil {
		s.log.Printf("no other process has acted")
		return startedAt, nil
	}
	time.Sleep(time.Until(startedAt.Add(gap)))
	s.stop(second)
	go s.startAgain(second)
	return startedAt, nil
}

func (s *scene) stop(e *edgefleet.Edge) {
	s.log.Printf("SIGTERM of %s", e.Name)
	_ = e.Signal(syscall.SIGTERM)
}

// startAgain starts a process once it has ended, as the platform does.
func (s *scene) startAgain(e *edgefleet.Edge) {
	<-e.Done()
	time.Sleep(restartDelay)
	s.log.Printf("start of %s", e.Name)
	_ = e.Start()
}

// judge reports whether holders acted in the order A, B, A within the lease time.
func (s *scene) judge(startedAt time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var runs []dutyCall // the last call of each run of calls of one holder, and the first one
	var firsts []dutyCall
	for _, c := range s.calls {
		if n := len(runs); n > 0 && runs[n-1].holder == c.holder {
			runs[n-1] = c
			continue
		}
		runs, firsts = append(runs, c), append(firsts, c)
	}
	broken := false
	for i := 0; i+2 < len(runs); i++ {
		span := firsts[i+2].at.Sub(runs[i].at)
		if firsts[i+2].at.Before(startedAt) || runs[i].holder != firsts[i+2].holder {
			continue
		}
		s.log.Printf("%s, %s and %s again acted within %d ms", runs[i].holder, runs[i+1].holder, runs[i].holder, span.Milliseconds())
		broken = broken || span < leaseTime
	}
	s.log.Printf("rule broken: %t", broken)
	return broken
}

// sendRequests sends requests to one process until ctx ends, so that there is usage to report.
func (s *scene) sendRequests(ctx context.Context, e *edgefleet.Edge) {
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(callInterval)
		conn, err := net.DialTimeout("tcp", e.FrontAddress, deadline)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(2 * deadline))
		r := userplatform.CallerRequest{
			Method: http.MethodGet, Target: "/check/x", Host: edgefleet.Host, Attempt: fmt.Sprintf("%s-%d", e.Name, n), Key: apiKey, Deadline: deadline,
		}
		if r.Write(conn) == nil {
			if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
				_ = resp.Body.Close()
			}
		}
		_ = conn.Close()
	}
}
