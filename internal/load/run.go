package load

import (
	"context"
	"time"

	"github.com/cornelhold/cornelhold/internal/task"
)

// sampleMailboxCapacity bounds the samples that Run has not yet received.
const sampleMailboxCapacity = 1024

// drainTimeout bounds the wait for open requests after the planned duration.
const drainTimeout = 30 * time.Second

// Run executes the experiment and returns its report.
func Run(ctx context.Context, e *Experiment) *Report {
	if e.MaxInFlight == 0 {
		e.MaxInFlight = DefaultMaxInFlight
	}
	ctx, cancel := context.WithTimeout(ctx, e.Duration+drainTimeout)
	defer cancel()
	samples := task.NewMailbox[sample](sampleMailboxCapacity)
	generator := &generator{
		experiment: e,
		client:     newClient(e.MaxInFlight),
		samples:    samples,
		slots:      make(chan struct{}, e.MaxInFlight),
	}
	report := newReport(e)
	plan := e.Plan()
	go generator.run(ctx, plan)
	for range plan {
		report.add(<-samples.Receive())
	}
	return report
}

// generator starts requests at their planned times and sends one sample for each.
type generator struct {
	experiment *Experiment
	client     *client
	samples    task.Mailbox[sample]
	// slots is a semaphore that holds one element for each open request.
	slots chan struct{}
}

func (g *generator) run(ctx context.Context, plan []Arrival) {
	start := time.Now()
	timer := task.NewTimer()
	for i, arrival := range plan {
		timer.Arm(arrival.At - time.Since(start))
		select {
		case <-timer.C():
		case <-ctx.Done():
		}
		g.start(ctx, i, arrival)
	}
}

func (g *generator) start(ctx context.Context, i int, arrival Arrival) {
	select {
	case g.slots <- struct{}{}:
	default:
		g.post(sample{class: arrival.Class, failure: "skipped: client limit max_in_flight"})
		return
	}
	target := g.experiment.Targets[i%len(g.experiment.Targets)]
	go func() {
		defer func() { <-g.slots }()
		g.post(g.client.do(ctx, target, g.experiment, arrival))
	}()
}

// post always succeeds, since Run receives one sample for each arrival.
func (g *generator) post(s sample) {
	_ = g.samples.Send(context.Background(), s)
}
