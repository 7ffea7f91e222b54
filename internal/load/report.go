package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// Histograms record microseconds from 1 µs to 10 min with 3 significant digits.
	minRecordedMicros = 1
	maxRecordedMicros = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Report holds the results of one run by class.
type Report struct {
	Duration time.Duration
	Classes  []*ClassReport
}

// ClassReport holds the results of one class.
type ClassReport struct {
	Name     string
	Sent     int
	Answered int
	Tokens   int
	Refused  map[string]int
	Failed   map[string]int

	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	total         *hdrhistogram.Histogram
}

func newReport(e *Experiment) *Report {
	r := &Report{Duration: e.Duration}
	for _, class := range e.Classes {
		r.Classes = append(r.Classes, &ClassReport{
			Name:          class.Name,
			Refused:       make(map[string]int),
			Failed:        make(map[string]int),
			firstToken:    newHistogram(),
			betweenTokens: newHistogram(),
			total:         newHistogram(),
		})
	}
	return r
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minRecordedMicros, maxRecordedMicros, significantDigits)
}

func (r *Report) add(s sample) {
	c := r.Classes[s.class]
	c.Sent++
	c.Tokens += s.tokens
	switch {
	case s.refusal != "":
		c.Refused[s.refusal]++
		return
	case s.failure != "":
		c.Failed[s.failure]++
		return
	}
	c.Answered++
	recordLatency(c.total, s.total)
	if s.tokens > 0 {
		recordLatency(c.firstToken, s.firstToken)
	}
	for _, d := range s.betweenTokens {
		recordLatency(c.betweenTokens, d)
	}
}

func recordLatency(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minRecordedMicros), maxRecordedMicros))
}

// Latency is a summary of one histogram in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	const microsPerMilli = 1000
	return Latency{
		Count: h.TotalCount(),
		P50:   float64(h.ValueAtQuantile(50)) / microsPerMilli,
		P95:   float64(h.ValueAtQuantile(95)) / microsPerMilli,
		P99:   float64(h.ValueAtQuantile(99)) / microsPerMilli,
		Max:   float64(h.Max()) / microsPerMilli,
	}
}

// WriteText writes the report as a table.
func (r *Report) WriteText(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "class\tmeasure\tcount\tp50 ms\tp95 ms\tp99 ms\tmax ms")
	for _, c := range r.Classes {
		writeLatencyRow(table, c.Name, "first token", c.firstToken)
		writeLatencyRow(table, c.Name, "between tokens", c.betweenTokens)
		writeLatencyRow(table, c.Name, "total", c.total)
	}
	_, _ = fmt.Fprintln(table, "\nclass\tsent\tanswered\ttokens/s\toutcome\tcount")
	for _, c := range r.Classes {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%d\t%.0f\t\t\n", c.Name, c.Sent, c.Answered, float64(c.Tokens)/r.Duration.Seconds())
		writeCounts(table, "refused: ", c.Refused)
		writeCounts(table, "failed: ", c.Failed)
	}
	return table.Flush()
}

func writeLatencyRow(w io.Writer, class, measure string, h *hdrhistogram.Histogram) {
	if h.TotalCount() == 0 {
		return
	}
	l := newLatency(h)
	_, _ = fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", class, measure, l.Count, l.P50, l.P95, l.P99, l.Max)
}

func writeCounts(w io.Writer, prefix string, counts map[string]int) {
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(w, "\t\t\t\t%s%s\t%d\n", prefix, name, counts[name])
	}
}

// WriteJSON writes the report as one JSON document.
func (r *Report) WriteJSON(w io.Writer) error {
	type class struct {
		Name       string         `json:"name"`
		Sent       int            `json:"sent"`
		Answered   int            `json:"answered"`
		Tokens     int            `json:"tokens"`
		Refused    map[string]int `json:"refused"`
		Failed     map[string]int `json:"failed"`
		FirstToken Latency        `json:"first_token"`
		Between    Latency        `json:"between_tokens"`
		Total      Latency        `json:"total"`
	}
	var classes []class
	for _, c := range r.Classes {
		classes = append(classes, class{
			c.Name, c.Sent, c.Answered, c.Tokens, c.Refused, c.Failed,
			newLatency(c.firstToken), newLatency(c.betweenTokens), newLatency(c.total),
		})
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(classes)
}
