//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	clientCount = 9
	// clientPause is the mean time between two requests of a client.
	clientPause = 250 * time.Millisecond
	timeLimit   = time.Second
)

// clients send orders, which may run once only, to the machines that are ready.
type clients struct {
	fleet *fleet
	log   *journal
	mu    sync.Mutex
	sent  map[string]time.Time
	// chats is the number of chats that a client sends for each order.
	chats   int
	results []result
	// served and failed count the answers.
	served, failed int
}

// result is the result of a request.
type result struct {
	sentAt time.Time
	served bool
}

// servedShare returns the share of the requests sent within a time that were served, and their number.
func (c *clients) servedShare(from, to time.Time) (share float64, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	served := 0
	for _, r := range c.results {
		if r.sentAt.Before(from) || r.sentAt.After(to) {
			continue
		}
		n++
		if r.served {
			served++
		}
	}
	return float64(served) / float64(max(n, 1)), n
}

func (c *clients) start(ctx context.Context) {
	for i := range clientCount {
		go c.run(ctx, i)
	}
}

func (c *clients) run(ctx context.Context, number int) {
	client := &http.Client{Timeout: timeLimit + 500*time.Millisecond, Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	for n := 0; ; n++ {
		pause := time.Duration((0.5 + rand.Float64()) * float64(clientPause))
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return
		}
		if e := c.fleet.choose(number); e != nil {
			prefix := orderPrefix
			if n%(c.chats+1) > 0 {
				prefix = chatPrefix
			}
			c.send(ctx, client, e, prefix, fmt.Sprintf("%02x%06x", number, n))
		}
	}
}

func (c *clients) send(ctx context.Context, client *http.Client, e *edge, prefix, attempt string) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.front+prefix+"one", strings.NewReader(attempt))
	if err != nil {
		return
	}
	req.Host = clientHost
	req.Header.Set("Attempt-Id", attempt)
	req.Header.Set("Deadline-Ms", fmt.Sprint(timeLimit.Milliseconds()))
	if prefix == chatPrefix {
		req.Header.Set("Token-Usage", "500,24")
		req.Header.Set("Model", "m")
	}
	req.Header.Set("Authorization", "Bearer "+clientKey)
	now := time.Now()
	c.mu.Lock()
	c.sent[attempt] = now
	c.mu.Unlock()
	c.log.write("sent", "attempt=%s path=%sone edge=%s", attempt, prefix, e.name)
	status := "no answer"
	if resp, err := client.Do(req); err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		status = fmt.Sprint(resp.StatusCode)
		if err != nil {
			status += " cut"
		}
	}
	c.mu.Lock()
	c.results = append(c.results, result{sentAt: now, served: status == "200"})
	if status == "200" {
		c.served++
	} else {
		c.failed++
	}
	c.mu.Unlock()
	c.log.write("answered", "attempt=%s status=%s after_ms=%d", attempt, status, time.Since(now).Milliseconds())
}

// sentAt returns when a request was sent.
func (c *clients) sentAt(attempt string) (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.sent[attempt]
	return at, ok
}

func (c *clients) servedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}
