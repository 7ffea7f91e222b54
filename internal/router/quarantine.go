package router

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/quarantine"
	"github.com/cornelhold/cornelhold/internal/core/request"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	quarantineCapacity = 4096
	// verdictSettle is how long a verdict on a request that reached the crash
	// limit waits for the evidence of other routers about the same crashes.
	verdictSettle = time.Second
	// maxUnsent bounds the evidence that waits for the log; during a long
	// outage the oldest is dropped.
	maxUnsent = 4096
)

// crashReport tells that a request was running on an endpoint that crashed.
type crashReport struct {
	fingerprint fleet.Fingerprint
	endpoint    fleet.EndpointID
	dataCentre  fleet.DataCentre
	// incarnation is empty if the attempt was not known to run.
	incarnation string
	// reply receives request.CrashJudged.
	reply requestMailbox
}

// requestCompleted tells that a request got a whole answer.
type requestCompleted struct {
	fingerprint fleet.Fingerprint
}

// observedList is the instance list as far as crash evidence needs it.
type observedList struct {
	list []quarantine.Observed
}

// evidenceRecords are records that were read from the crash stream.
type evidenceRecords struct {
	batch platform.Batch
	// next is the offset at which the reader continues.
	next chan uint64
}

// pendingVerdict is a request at the crash limit.
type pendingVerdict struct {
	at          time.Duration
	fingerprint fleet.Fingerprint
	reply       requestMailbox
}

// quarantineTask owns the crash evidence. Its evidence takes effect at once
// and is appended to the log for the other routers.
type quarantineTask struct {
	log      log.Interface
	size     prometheus.Gauge
	clock    task.Clock
	mailbox  task.Mailbox[any]
	unsent   task.Mailbox[quarantine.Evidence]
	fold     *quarantine.Fold
	waves    *quarantine.Waves
	logTime  time.Duration
	verdicts []pendingVerdict
	alarm    *task.Timer
	// refused is read by submissions; the task replaces it.
	refused atomic.Pointer[map[fleet.Fingerprint]bool]
}

func newQuarantineTask(logger log.Interface, size prometheus.Gauge, clock task.Clock) *quarantineTask {
	t := &quarantineTask{
		log: logger, size: size, clock: clock,
		mailbox: task.NewMailbox[any](quarantineCapacity),
		unsent:  task.NewMailbox[quarantine.Evidence](maxUnsent),
		fold:    quarantine.NewFold(),
		waves:   quarantine.NewWaves(),
		alarm:   task.NewTimer(),
	}
	t.refused.Store(&map[fleet.Fingerprint]bool{})
	return t
}

// Refusal returns the refusal of a quarantined fingerprint, or nil.
func (t *quarantineTask) Refusal(fingerprint fleet.Fingerprint) *fleet.Refusal {
	if !(*t.refused.Load())[fingerprint] {
		return nil
	}
	return quarantineRefusal()
}

func quarantineRefusal() *fleet.Refusal {
	return fleet.Refuse(fleet.RefusedQuarantined, 0,
		"this request crashed several endpoints and is not run again; change it, or ask an operator to examine it")
}

// Run owns the evidence until ctx ends.
func (t *quarantineTask) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case msg := <-t.mailbox.Receive():
			t.handle(msg)
		case <-t.alarm.C():
			t.publish()
		}
	}
}

func (t *quarantineTask) handle(msg any) {
	switch msg := msg.(type) {
	case crashReport:
		t.crash(msg)
	case requestCompleted:
		t.completed(msg.fingerprint)
	case observedList:
		t.waves.Observe(t.clock.Now(), msg.list)
	case evidenceRecords:
		t.records(msg)
	}
}

func (t *quarantineTask) crash(msg crashReport) {
	counts := msg.incarnation != "" && t.waves.Counts(t.clock.Now(), msg.endpoint, msg.dataCentre)
	if counts {
		evidence := quarantine.Evidence{
			Event:        quarantine.Event{Endpoint: msg.endpoint, Incarnation: msg.incarnation},
			Fingerprints: []fleet.Fingerprint{msg.fingerprint},
		}
		t.fold.Add(t.logTime, evidence)
		t.unsent.TrySend(evidence)
	}
	if !counts || t.fold.Events(msg.fingerprint) < quarantine.CrashLimit {
		msg.reply.TrySend(coreMessage{message: request.CrashJudged{}})
		return
	}
	t.verdicts = append(t.verdicts, pendingVerdict{
		at: t.clock.Now() + verdictSettle, fingerprint: msg.fingerprint, reply: msg.reply,
	})
	t.alarm.Arm(t.verdicts[0].at - t.clock.Now())
}

func (t *quarantineTask) completed(fingerprint fleet.Fingerprint) {
	if t.fold.Events(fingerprint) == 0 {
		return
	}
	evidence := quarantine.Evidence{Cleared: []fleet.Fingerprint{fingerprint}}
	t.fold.Add(t.logTime, evidence)
	t.unsent.TrySend(evidence)
	t.arm()
}

func (t *quarantineTask) records(msg evidenceRecords) {
	for _, record := range msg.batch.Records {
		t.logTime = time.Duration(record.TimeMillis) * time.Millisecond
		evidence, err := decodeEvidence(record.Data)
		if err != nil {
			t.fold.Skip(record.Offset + 1)
			continue
		}
		t.fold.Apply(record.Offset, t.logTime, evidence)
	}
	if msg.batch.First > t.fold.Next() {
		t.fold.Skip(msg.batch.First)
	}
	msg.next <- t.fold.Next()
	if len(msg.batch.Records) > 0 {
		t.arm()
	}
}

// arm publishes the verdicts after the evidence has settled.
func (t *quarantineTask) arm() {
	if len(t.verdicts) == 0 {
		t.alarm.Arm(verdictSettle)
	}
}

// publish replaces the refused fingerprints and answers the due verdicts.
func (t *quarantineTask) publish() {
	refused := make(map[fleet.Fingerprint]bool)
	for _, fingerprint := range t.fold.Quarantined() {
		refused[fingerprint] = true
	}
	if len(refused) != len(*t.refused.Load()) {
		t.log.WithField("fingerprints", len(refused)).Info("quarantine changed")
	}
	t.refused.Store(&refused)
	t.size.Set(float64(len(refused)))
	for len(t.verdicts) > 0 && t.verdicts[0].at <= t.clock.Now() {
		v := t.verdicts[0]
		t.verdicts = t.verdicts[1:]
		var refusal *fleet.Refusal
		if refused[v.fingerprint] {
			refusal = quarantineRefusal()
		}
		v.reply.TrySend(coreMessage{message: request.CrashJudged{Refusal: refusal}})
	}
	if len(t.verdicts) > 0 {
		t.alarm.Arm(t.verdicts[0].at - t.clock.Now())
	}
}
