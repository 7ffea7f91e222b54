//go:build review

// Command history runs three edge processes before stand-ins of the users' platform whose store has kept
// the usage decisions of many days, kills the holder of the duties, and watches the memory of the others.
package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cornelhold/cornelhold/internal/procs"
	"github.com/cornelhold/cornelhold/internal/standin/edgefleet"
	"github.com/cornelhold/cornelhold/internal/standin/userplatform"
	"github.com/cornelhold/cornelhold/review/second/standin/casekit"
)

const (
	edges = 3
	// memoryLimit is memory-mb of the settings: the platform kills a process that exceeds it.
	memoryLimit = edgefleet.MemoryBytes
	// restartDelay is the time until the platform starts a process again.
	restartDelay = time.Second
	startTimeout = 15 * time.Second
	calmTime     = 8 * time.Second
	watchTime    = 90 * time.Second
	pollInterval = 20 * time.Millisecond
	// channels is the number of kept channels to each process.
	channels     = 3
	callInterval = 40 * time.Millisecond
	callDeadline = time.Second
	apiKey       = "key-1"
	// allowedEnds and allowedLost are what the rules Fault and LOST allow: a third end of processes by
	// themselves on a second machine breaks Fault, more than three closed channels break LOST.
	allowedEnds = 2
	allowedLost = 3
)

func main() {
	program := flag.String("program", "", "path of cornelhold-edge")
	record := flag.String("record", "", "file for what was sent, answered and run")
	days := flag.Float64("days", 30, "days of usage decisions that the store has kept")
	trouble := flag.Bool("trouble", true, "kill the holder of the duties")
	flag.Parse()
	broken, err := run(*program, *record, *days, *trouble)
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(os.Stdout, "the case could not run:", err)
		os.Exit(2)
	case broken:
		os.Exit(1)
	}
}

// scene is one run of the case.
type scene struct {
	fleet   *edgefleet.Fleet
	history *history
	log     *casekit.Recorder
	// peak is the largest resident size in bytes.
	peak atomic.Int64
	// answered and refused count the calls by their end.
	answered, refused atomic.Int64

	mutex sync.Mutex
	// ends counts the ends of each process by the memory limit.
	ends map[string]int
	// closed are the calls whose channel ended without an answer.
	closed []closedCall
}

// closedCall is a call without an answer.
type closedCall struct {
	attempt, edge string
	at            time.Time
}

func run(program, recordPath string, days float64, trouble bool) (broken bool, err error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	dir, err := os.MkdirTemp("", "history-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	log, err := casekit.New(recordPath)
	if err != nil {
		return false, err
	}
	defer log.Close()
	s := &scene{log: log, ends: make(map[string]int), history: newHistory(int(days * float64(24*time.Hour/casekit.UsageWindow)))}
	if err := s.start(ctx, program, dir); err != nil {
		return false, err
	}
	defer s.fleet.Stop()
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var tasks sync.WaitGroup
	for _, e := range s.fleet.Edges {
		tasks.Go(func() { s.watch(callCtx, e) })
		for i := range channels {
			tasks.Go(func() { s.callAll(callCtx, fmt.Sprintf("%s-%d", e.Name, i), e) })
		}
	}
	time.Sleep(calmTime)
	holder, err := s.holder()
	if err != nil {
		return false, err
	}
	log.Printf("%s holds the duties; %d decisions of %.0f days are in the store", holder.Name, s.history.count, days)
	s.history.show()
	killedAt := time.Now()
	if trouble {
		log.Printf("SIGKILL of %s", holder.Name)
		_ = holder.Signal(syscall.SIGKILL)
	}
	time.Sleep(watchTime)
	stopCalls()
	tasks.Wait()
	return s.judge(killedAt, holder.Name), nil
}

// judge reports what happened and whether a rule was broken.
func (s *scene) judge(killedAt time.Time, holder string) bool {
	ran := make(map[string]bool)
	for _, r := range s.fleet.PlainReplicas {
		for _, run := range r.Runs() {
			ran[run.Attempt()] = true
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	lost := 0
	for _, c := range s.closed {
		byKill := c.edge == holder && c.at.After(killedAt) && c.at.Before(killedAt.Add(restartDelay))
		s.log.Printf("call %s at %s: no answer, run by a replica: %t, by the SIGKILL of the case: %t", c.attempt, c.edge, ran[c.attempt], byKill)
		if ran[c.attempt] && !byKill {
			lost++
		}
	}
	machines, ends := 0, 0
	for name, n := range s.ends {
		s.log.Printf("%s: %d ends of the process for its memory", name, n)
		ends += n
		if n > allowedEnds {
			machines++
		}
	}
	s.log.Printf("calls answered by a replica %d, refused or failed %d, without an answer %d, run by replicas %d", s.answered.Load(), s.refused.Load(), len(s.closed), len(ran))
	s.log.Printf("largest resident size %d MB of %d MB, ends for it %d, machines with three of them %d, calls that ran and were lost with them %d; pages of decisions read %d",
		s.peak.Load()>>20, memoryLimit>>20, ends, machines, lost, s.history.pages.Load())
	return machines > 1 || lost > allowedLost
}

// start starts the stand-ins and the processes, and waits until all are ready.
func (s *scene) start(ctx context.Context, program, dir string) error {
	proxyStores := false
	fleet, err := edgefleet.New(ctx, edgefleet.Options{
		Program: program, Dir: dir, Replicas: 2, PlainTime: 15 * time.Millisecond,
		ProxyFor: func(address string) (string, error) {
			if !proxyStores {
				return address, nil
			}
			return s.history.serveBefore(ctx, address)
		},
	})
	if err != nil {
		return err
	}
	s.fleet, proxyStores = fleet, true
	fleet.Configure(fleet.Config(edgefleet.PlainService, apiKey))
	fleet.AnnounceAll("ready")
	for i := range edges {
		e, err := fleet.AddEdge(ctx)
		if err != nil {
			return err
		}
		// The windows are as long as those of the small deployments.
		path := filepath.Join(dir, fmt.Sprintf("edge-%d.yaml", i))
		if err := casekit.SetUsageWindow(e, path); err != nil {
			return err
		}
	}
	for _, e := range fleet.Edges {
		err := procs.WaitFor(ctx, startTimeout, e.Name+" to be ready", func() bool { return procs.Status("http://"+e.ReadyAddress+"/readyz") == http.StatusOK })
		if err != nil {
			return err
		}
	}
	return nil
}

// holder returns the process that sent the last call of the duties.
func (s *scene) holder() (*edgefleet.Edge, error) {
	reports := s.fleet.Cloud.UsageReports()
	if len(reports) == 0 {
		return nil, errors.New("no usage report has arrived")
	}
	for _, e := range s.fleet.Edges {
		if e.Name == reports[len(reports)-1].Holder {
			return e, nil
		}
	}
	return nil, errors.New("the holder of the duties is not known")
}

// watch is the platform of one machine: it kills a process above the memory limit and starts ended ones
// again.
func (s *scene) watch(ctx context.Context, e *edgefleet.Edge) {
	for ctx.Err() == nil {
		select {
		case <-e.Done():
			s.log.Printf("%s has ended: %v", e.Name, e.Err())
			time.Sleep(restartDelay)
			if ctx.Err() == nil {
				_ = e.Start()
			}
			continue
		case <-time.After(pollInterval):
		}
		size, err := e.PeakMemory()
		if err != nil {
			continue
		}
		s.peak.Store(max(s.peak.Load(), size))
		if size > memoryLimit {
			s.mutex.Lock()
			s.ends[e.Name]++
			s.mutex.Unlock()
			s.log.Printf("%s exceeds memory-mb with %d MB and is killed", e.Name, size>>20)
			e.Kill()
		}
	}
}

// callAll sends calls to one process, each on a kept channel, until ctx ends.
func (s *scene) callAll(ctx context.Context, client string, e *edgefleet.Edge) {
	var conn net.Conn
	var reader *bufio.Reader
	for n := 0; ctx.Err() == nil; n++ {
		time.Sleep(callInterval)
		if conn == nil {
			var err error
			if conn, err = net.DialTimeout("tcp", e.FrontAddress, time.Second); err != nil {
				conn = nil
				continue
			}
			reader = bufio.NewReader(conn)
		}
		attempt := fmt.Sprintf("%s-%d", client, n)
		status, err := s.call(conn, reader, attempt)
		if err != nil {
			s.mutex.Lock()
			s.closed = append(s.closed, closedCall{attempt: attempt, edge: e.Name, at: time.Now()})
			s.mutex.Unlock()
			_ = conn.Close()
			conn = nil
			continue
		}
		if status == http.StatusOK {
			s.answered.Add(1)
		} else {
			s.refused.Add(1)
		}
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// call sends one order and returns the status of its answer.
func (s *scene) call(conn net.Conn, reader *bufio.Reader, attempt string) (int, error) {
	_ = conn.SetDeadline(time.Now().Add(2 * callDeadline))
	r := userplatform.CallerRequest{
		Method: http.MethodPost, Target: "/order/x", Host: edgefleet.Host, Attempt: attempt, Key: apiKey, Body: "b", Deadline: callDeadline,
	}
	if err := r.Write(conn); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close() //nolint:errcheck // the body is short and read below
	buf := make([]byte, 4096)
	for {
		if _, err := resp.Body.Read(buf); err != nil {
			break
		}
	}
	return resp.StatusCode, nil
}
