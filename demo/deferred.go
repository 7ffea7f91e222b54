package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cornelhold/cornelhold/internal/procs"
)

const (
	proofTokens   = 40
	proofQuestion = "Proof the bilingual sign of aisle 7."
	proofTimeout  = 10 * time.Second
)

// job is the status of deferred work.
type job struct {
	ID        string `json:"id"`
	Status    string `json:"status"`
	StatusURL string `json:"status_url"`
	Text      string `json:"text"`
}

func (d *demo) deferProof(ctx context.Context) error {
	body := fmt.Sprintf(`{"service":"dial-advisor","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, proofTokens, proofQuestion)
	resp, err := post(ctx, "http://"+d.fleet.Routers[0].Listen+"/v1/deferred", body, nil) //nolint:bodyclose // closed by decodeJob
	if err != nil {
		return err
	}
	accepted, err := decodeJob(resp)
	if err != nil {
		return err
	}
	printLine("   router-1: %d, job %s is %s", resp.StatusCode, accepted.ID, accepted.Status)
	var latest job
	err = procs.WaitFor(ctx, proofTimeout, "the proof batch", func() bool {
		latest = d.readJob(ctx, 1, accepted.StatusURL)
		return latest.Status == "done"
	})
	if err != nil {
		return err
	}
	printLine("   router-2: job %s is %s", latest.ID, latest.Status)
	if latest.Text != expectedText(proofQuestion, proofTokens) {
		return fmt.Errorf("the result differs from the text that the engine generates: %q", latest.Text)
	}
	return nil
}

// readJob returns the status of a job, or a zero job if the request fails.
func (d *demo) readJob(ctx context.Context, router int, statusURL string) job {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.fleet.Routers[router].Listen+statusURL, nil)
	if err != nil {
		return job{}
	}
	req.Header.Set("Authorization", "Bearer "+teamKey)
	resp, err := http.DefaultClient.Do(req) //nolint:bodyclose // closed by decodeJob
	if err != nil {
		return job{}
	}
	found, _ := decodeJob(resp)
	return found
}

func decodeJob(resp *http.Response) (job, error) {
	defer func() { _ = resp.Body.Close() }()
	var j job
	if err := json.NewDecoder(resp.Body).Decode(&j); err != nil {
		return job{}, err
	}
	if j.ID == "" {
		return job{}, fmt.Errorf("the response with status %s contains no job id", resp.Status)
	}
	return j, nil
}
