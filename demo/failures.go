package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	// longQuoteTokens keeps a stream open until the injected failure occurs.
	longQuoteTokens   = 120
	endpointNotice    = 300 * time.Millisecond
	routerNotice      = 500 * time.Millisecond
	exitCodeLost      = 3
	routerStopTimeout = 5 * time.Second
)

// stream is an open response stream. received holds its first events, which were read
// from reader already.
type stream struct {
	question string
	id       string
	body     io.ReadCloser
	reader   *bufio.Reader
	received strings.Builder
}

// openStream opens a long stream and reads up to its fifth event, so that the failure
// that follows interrupts a running stream.
func (d *demo) openStream(ctx context.Context, router int, question string) (*stream, error) {
	resp, err := d.openQuote(ctx, router, question, longQuoteTokens) //nolint:bodyclose // closed by rest
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the request for a stream got status %s, want 200", resp.Status)
	}
	s := &stream{question: question, id: resp.Header.Get("X-Request-Id"), body: resp.Body, reader: bufio.NewReader(resp.Body)}
	for !strings.Contains(s.received.String(), "id: 5\n") {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			return nil, fmt.Errorf("the stream ended before its fifth event: %w", err)
		}
		s.received.WriteString(line)
	}
	return s, nil
}

// rest reads the stream to its end and returns the text from its beginning.
func (s *stream) rest() (text, lastID string, complete bool) {
	defer func() { _ = s.body.Close() }()
	return readEvents(io.MultiReader(strings.NewReader(s.received.String()), s.reader))
}

func (s *stream) check(text string, complete bool) error {
	if !complete || text != expectedText(s.question, longQuoteTokens) {
		return fmt.Errorf("the response is incomplete or differs from the text that the engine generates: %q", text)
	}
	return nil
}

func (d *demo) reclaimEndpoints(ctx context.Context) error {
	s, err := d.openStream(ctx, 0, "Route the cord of a 1936 dial.")
	if err != nil {
		return err
	}
	for _, dataCentre := range dataCentres[:2] {
		body := fmt.Sprintf(`{"data_centre":%q,"notice_ms":%d}`, dataCentre, endpointNotice.Milliseconds())
		resp, err := post(ctx, "http://"+d.fleet.Cloud+"/v1/cloud/reclaim", body, nil)
		if err != nil {
			return err
		}
		_ = resp.Body.Close()
	}
	text, lastID, complete := s.rest()
	printLine("   kyushu-a and kyushu-b are reclaimed with %s notice; the quote has %s tokens, whole: %t", endpointNotice, lastID, complete)
	if err := s.check(text, complete); err != nil {
		return err
	}
	if err := d.fleet.WaitInstances(ctx, endpointStartTimeout, "dial-advisor", engineCount); err != nil {
		return err
	}
	printLine("   the controllers have started replacements")
	return nil
}

func (d *demo) reclaimRouter(ctx context.Context) error {
	s, err := d.openStream(ctx, 0, "Which spring tension for a drum dial?")
	if err != nil {
		return err
	}
	url := fmt.Sprintf("http://%s/drain?remaining_ms=%d", d.fleet.Routers[0].Admin, routerNotice.Milliseconds())
	resp, err := post(ctx, url, "", nil)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	text, lastID, complete := s.rest()
	printLine("   router-1 leaves with %s notice; its stream ended after %s tokens, whole: %t", routerNotice, lastID, complete)
	if complete {
		return s.check(text, complete)
	}
	resumed, err := d.reconnect(ctx, 1, s.id, lastID)
	if err != nil {
		return err
	}
	defer func() { _ = resumed.Body.Close() }()
	more, lastID, complete := readEvents(resumed.Body)
	printLine("   router-2 continues up to token %s, whole: %t", lastID, complete)
	return s.check(text+more, complete)
}

// reconnect continues a stream at another router after the event lastID, as a caller
// does whose load balancer chooses another router.
func (d *demo) reconnect(ctx context.Context, router int, id, lastID string) (*http.Response, error) {
	url := "http://" + d.fleet.Routers[router].Listen + "/v1/requests/" + id + "/events"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set("Last-Event-ID", lastID)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("the router did not continue the stream: status %s, want 200", resp.Status)
	}
	return resp, nil
}

func (d *demo) stopRouter(ctx context.Context) error {
	s, err := d.openStream(ctx, 2, "How long is the cord of a slide rule dial?")
	if err != nil {
		return err
	}
	stopped := make(chan error, 1)
	go func() { stopped <- d.fleet.Routers[2].Process.Terminate() }()
	text, lastID, complete := s.rest()
	printLine("   router-3 gets SIGTERM; the quote has %s tokens, whole: %t", lastID, complete)
	if err := s.check(text, complete); err != nil {
		return err
	}
	select {
	case err := <-stopped:
		printLine("   router-3 has stopped")
		return err
	case <-time.After(routerStopTimeout):
		return fmt.Errorf("router-3 did not stop within %s of its last request", routerStopTimeout)
	}
}

// fileRacingTicket files a ticket whose number another ticket already holds and
// checks that cornelctl reports the conflict.
func (d *demo) fileRacingTicket(ctx context.Context) error {
	path, err := d.fleet.Write("ticket-racing.yaml", firstTicket())
	if err != nil {
		return err
	}
	code, _ := d.cornelctl(ctx, "ticket", "file", path, "--author", "rival")
	printLine("   exit code %d", code)
	if code != exitCodeLost {
		return fmt.Errorf("the ticket ended with exit code %d, want %d", code, exitCodeLost)
	}
	return nil
}
