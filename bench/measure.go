package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cornelhold/cornelhold/internal/engine"
)

const (
	// fastInterval and slowInterval are the times between two tokens of an engine.
	fastInterval = 5 * time.Millisecond
	slowInterval = time.Second
	// requestCount is the number of requests in a latency measurement.
	requestCount = 3000
	workers      = 8
	shortTokens  = 4
	// longTokens is the length of the longer responses from which the processor time
	// of a token is computed, and busyWorkers the number of concurrent streams in
	// that measurement.
	longTokens  = 104
	busyWorkers = 64
	// openStreams keeps the router below its limit of file descriptors: it holds two
	// connections for each stream.
	openStreams  = 9000
	streamTokens = 100000
	// maxOpeningStreams bounds the requests that wait for their response header.
	maxOpeningStreams = 2000
	// clockTick is the unit of processor time in /proc (USER_HZ = 100).
	clockTick        = 10 * time.Millisecond
	maxLatencyMicros = 60_000_000
)

type sender func(ctx context.Context, c *http.Client) (time.Duration, error)

// measureLatency compares the time to the first token through the router with that
// of a direct connection to the same engines, in one run.
func (b *bench) measureLatency(ctx context.Context) error {
	const rounds = 2 // the first warms up connections and its results are discarded
	for round := range rounds {
		direct, err := latencies(ctx, workers, b.direct)
		if err != nil {
			return err
		}
		before := cpuTime(b.router.Process.PID())
		start := time.Now()
		through, err := latencies(ctx, workers, b.throughRouter)
		if err != nil {
			return err
		}
		elapsed := time.Since(start)
		cpu := cpuTime(b.router.Process.PID()) - before
		if round == rounds-1 {
			printLatency(direct, through, elapsed, cpu)
			return b.measureTokens(ctx)
		}
	}
	return nil
}

// measureTokens prints the router's processor time of one token at busyWorkers
// concurrent streams, computed from the difference between long and short responses.
func (b *bench) measureTokens(ctx context.Context) error {
	short, err := b.routerCPUTime(ctx, b.throughRouter)
	if err != nil {
		return err
	}
	long, err := b.routerCPUTime(ctx, b.throughRouterLong)
	if err != nil {
		return err
	}
	printFigure("router processor time a token", float64((long-short).Microseconds())/(requestCount*(longTokens-shortTokens)), "us")
	return nil
}

// routerCPUTime returns the processor time that the router uses for requestCount
// requests.
func (b *bench) routerCPUTime(ctx context.Context, send sender) (time.Duration, error) {
	before := cpuTime(b.router.Process.PID())
	_, err := latencies(ctx, busyWorkers, send)
	return cpuTime(b.router.Process.PID()) - before, err
}

func printLatency(direct, through *hdrhistogram.Histogram, elapsed, cpu time.Duration) {
	micros := func(h *hdrhistogram.Histogram, q float64) float64 { return float64(h.ValueAtQuantile(q)) }
	printFigure("first token direct p50", micros(direct, 50), "us")
	printFigure("first token direct p99", micros(direct, 99), "us")
	printFigure("first token through router p50", micros(through, 50), "us")
	printFigure("first token through router p99", micros(through, 99), "us")
	printFigure("added p50", micros(through, 50)-micros(direct, 50), "us")
	printFigure("added p99", micros(through, 99)-micros(direct, 99), "us")
	printFigure("requests a second", requestCount/elapsed.Seconds(), "1/s")
	printFigure("router processor time a request", float64(cpu.Microseconds())/requestCount, "us")
	printFigure("requests a second and core", requestCount/cpu.Seconds(), "1/s")
}

func latencies(ctx context.Context, workers int, send sender) (*hdrhistogram.Histogram, error) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	defer client.CloseIdleConnections()
	results := make(chan time.Duration, requestCount)
	failures := make(chan error, workers)
	for range workers {
		go func() {
			for range requestCount / workers {
				d, err := send(ctx, client)
				if err != nil {
					failures <- err
					return
				}
				results <- d
			}
		}()
	}
	h := hdrhistogram.New(1, maxLatencyMicros, 3)
	for range requestCount / workers * workers {
		select {
		case d := <-results:
			_ = h.RecordValue(d.Microseconds())
		case err := <-failures:
			return nil, err
		}
	}
	return h, nil
}

func (b *bench) direct(ctx context.Context, c *http.Client) (time.Duration, error) {
	body, _ := json.Marshal(engine.CompletionRequest{
		Model: "m", Prompt: "user: hello\n", MaxTokens: shortTokens, Stream: true, RequestID: "r", Attempt: 1,
	})
	return firstToken(ctx, c, "http://"+b.fleet.Engines[0].Address+"/v1/completions", string(body))
}

func (b *bench) throughRouter(ctx context.Context, c *http.Client) (time.Duration, error) {
	return firstToken(ctx, c, "http://"+b.router.Listen+"/v1/chat/completions", chatBody("model", shortTokens))
}

func (b *bench) throughRouterLong(ctx context.Context, c *http.Client) (time.Duration, error) {
	return firstToken(ctx, c, "http://"+b.router.Listen+"/v1/chat/completions", chatBody("model", longTokens))
}

func chatBody(service string, maxTokens int) string {
	return fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hello"}]}`, service, maxTokens)
}

func firstToken(ctx context.Context, c *http.Client, url, body string) (time.Duration, error) {
	start := time.Now()
	resp, err := open(ctx, c, url, body)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	reader := bufio.NewReader(resp.Body)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return 0, fmt.Errorf("stream ended before the first token: %w", err)
		}
		if strings.HasPrefix(line, "data: ") {
			break
		}
	}
	elapsed := time.Since(start)
	_, err = io.Copy(io.Discard, reader)
	return elapsed, err
}

func open(ctx context.Context, c *http.Client, url, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+teamKey)
	resp, err := c.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("%s: status %s", url, resp.Status)
	}
	return resp, nil
}

// measureStreams opens openStreams streams and prints the growth of the router's
// resident memory for each.
func (b *bench) measureStreams(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{}}
	before := residentBytes(b.router.Process.PID())
	results := make(chan error, openStreams)
	semaphore := make(chan struct{}, maxOpeningStreams)
	for range openStreams {
		go func() {
			semaphore <- struct{}{}
			resp, err := open(ctx, client, "http://"+b.router.Listen+"/v1/chat/completions", chatBody("slow-model", streamTokens))
			<-semaphore
			results <- err
			if err == nil {
				defer func() { _ = resp.Body.Close() }()
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		}()
	}
	failed := 0
	var lastErr error
	for range openStreams {
		if err := <-results; err != nil {
			failed++
			lastErr = err
		}
	}
	after := residentBytes(b.router.Process.PID())
	printFigure("streams opened", float64(openStreams-failed), "")
	printFigure("router memory for each open stream", float64(after-before)/openStreams/1024, "KiB")
	if failed > 0 {
		return fmt.Errorf("%d of %d streams were not opened, the last with: %w", failed, openStreams, lastErr)
	}
	return nil
}

// cpuTime returns the processor time of a process that this program started.
func cpuTime(pid int) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	const userField, systemField = 11, 12
	user, _ := strconv.ParseInt(fields[userField], 10, 64)
	system, _ := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * clockTick
}

// residentBytes returns the resident memory of a process that this program started.
func residentBytes(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	pages, _ := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	return pages * int64(os.Getpagesize())
}
