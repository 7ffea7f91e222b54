package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cornelhold/cornelhold/internal/standin/modelengine"
)

func post(ctx context.Context, url, body string, header http.Header) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name := range header {
		req.Header.Set(name, header.Get(name))
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set("Content-Type", "application/json")
	return http.DefaultClient.Do(req)
}

// openQuote requests a streamed completion of the given number of tokens.
func (d *demo) openQuote(ctx context.Context, router int, question string, tokens int) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":"dial-advisor","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		tokens, question)
	return post(ctx, "http://"+d.fleet.Routers[router].Listen+"/v1/chat/completions", body, nil)
}

// expectedText returns the text that the engine stand-in generates for a question.
func expectedText(question string, tokens int) string {
	return modelengine.Completion("user: "+question+"\n", tokens)
}

// readEvents returns the text of a server-sent event stream and the last event id.
// complete reports whether the stream ended with [DONE].
func readEvents(body io.Reader) (text, lastID string, complete bool) {
	var b strings.Builder
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			lastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return b.String(), lastID, true
		}
		b.WriteString(chunkContent(data))
	}
	return b.String(), lastID, false
}

func chunkContent(data string) string {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

func (d *demo) streamQuote(ctx context.Context) error {
	const tokens = 25
	const question = "Which cord for a 1938 dial?"
	resp, err := d.openQuote(ctx, 0, question, tokens)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, lastID, complete := readEvents(resp.Body)
	printLine("   %s: %d, %s tokens, whole: %t", resp.Header.Get("X-Request-Id"), resp.StatusCode, lastID, complete)
	if !complete || text != expectedText(question, tokens) {
		return fmt.Errorf("the response is incomplete or differs from the text that the engine generates: %q", text)
	}
	return nil
}

func firstLine(output []byte) string {
	line, _, _ := strings.Cut(strings.TrimSpace(string(output)), "\n")
	return line
}
