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
	// verdictDelay is the delay of the verdict on a request that has reached the
	// crash limit, so that other routers' evidence of the same crashes arrives
	// first.
	verdictDelay = time.Second
	// maxUnsent bounds the evidence that is queued for the log. During a long
	// outage further evidence is not sent.
	maxUnsent = 4096
)

// crashReport reports that a request was running on an endpoint that crashed.
type crashReport struct {
	fingerprint fleet.Fingerprint
	endpoint    fleet.EndpointID
	dataCentre  fleet.DataCentre
	// incarnation is empty if it is unknown whether the attempt was running.
	incarnation string
	// reply receives request.CrashVerdict.
	reply requestMailbox
}

// requestCompleted reports that a request got a complete response.
type requestCompleted struct {
	fingerprint fleet.Fingerprint
}

// listedEndpoints is the part of the instance list that crash evidence needs.
type listedEndpoints struct {
	list []quarantine.ListedEndpoint
}

// evidenceRecords are records that were read from the crash stream.
type evidenceRecords struct {
	batch platform.Batch
	// next is the offset at which the reader continues.
	next chan uint64
}

// pendingVerdict is a request that has reached the crash limit and gets its
// verdict at the given time.
type pendingVerdict struct {
	at          time.Duration
	fingerprint fleet.Fingerprint
	reply       requestMailbox
}

// quarantineTask owns the crash evidence. Evidence of this router takes effect
// immediately and is appended to the log for the other routers.
type quarantineTask struct {
	log             log.Interface
	size            prometheus.Gauge
	clock           task.Clock
	mailbox         task.Mailbox[any]
	unsent          task.Mailbox[quarantine.Evidence]
	fold            *quarantine.Fold
	batches         *quarantine.ReclaimTracker
	logTime         time.Duration
	pendingVerdicts []pendingVerdict
	timer           *task.Timer
	// refused is replaced by the task and read by submissions.
	refused atomic.Pointer[map[fleet.Fingerprint]bool]
}

func newQuarantineTask(logger log.Interface, size prometheus.Gauge, clock task.Clock) *quarantineTask {
	t := &quarantineTask{
		log: logger, size: size, clock: clock,
		mailbox: task.NewMailbox[any](quarantineCapacity),
		unsent:  task.NewMailbox[quarantine.Evidence](maxUnsent),
		fold:    quarantine.NewFold(),
		batches: quarantine.NewReclaimTracker(),
		timer:   task.NewTimer(),
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
		case <-t.timer.C():
			t.publish()
		}
	}
}

func (t *quarantineTask) handle(msg any) {
	switch msg := msg.(type) {
	case crashReport:
		t.handleCrash(msg)
	case requestCompleted:
		t.completed(msg.fingerprint)
	case listedEndpoints:
		t.batches.UpdateList(t.clock.Now(), msg.list)
	case evidenceRecords:
		t.applyRecords(msg)
	}
}

func (t *quarantineTask) handleCrash(msg crashReport) {
	counts := msg.incarnation != "" && t.batches.IsEvidence(t.clock.Now(), msg.endpoint, msg.dataCentre)
	if counts {
		evidence := quarantine.Evidence{
			Event:        quarantine.Event{Endpoint: msg.endpoint, Incarnation: msg.incarnation},
			Fingerprints: []fleet.Fingerprint{msg.fingerprint},
		}
		t.fold.AddLocal(t.logTime, evidence)
		t.unsent.TrySend(evidence)
	}
	if !counts || t.fold.EventCount(msg.fingerprint) < quarantine.CrashThreshold {
		msg.reply.TrySend(machineMessage{message: request.CrashVerdict{}})
		return
	}
	t.pendingVerdicts = append(t.pendingVerdicts, pendingVerdict{
		at: t.clock.Now() + verdictDelay, fingerprint: msg.fingerprint, reply: msg.reply,
	})
	t.timer.Arm(t.pendingVerdicts[0].at - t.clock.Now())
}

func (t *quarantineTask) completed(fingerprint fleet.Fingerprint) {
	if t.fold.EventCount(fingerprint) == 0 {
		return
	}
	evidence := quarantine.Evidence{Cleared: []fleet.Fingerprint{fingerprint}}
	t.fold.AddLocal(t.logTime, evidence)
	t.unsent.TrySend(evidence)
	t.schedulePublish()
}

func (t *quarantineTask) applyRecords(msg evidenceRecords) {
	for _, record := range msg.batch.Records {
		t.logTime = time.Duration(record.TimeMillis) * time.Millisecond
		evidence, err := decodeEvidence(record.Data)
		if err != nil {
			t.fold.SkipTo(record.Offset + 1)
			continue
		}
		t.fold.Apply(record.Offset, t.logTime, evidence)
	}
	if msg.batch.First > t.fold.NextOffset() {
		t.fold.SkipTo(msg.batch.First)
	}
	msg.next <- t.fold.NextOffset()
	if len(msg.batch.Records) > 0 {
		t.schedulePublish()
	}
}

// schedulePublish arms the timer for publish. Pending verdicts have armed it
// already.
func (t *quarantineTask) schedulePublish() {
	if len(t.pendingVerdicts) == 0 {
		t.timer.Arm(verdictDelay)
	}
}

// publish replaces the set of refused fingerprints and sends the verdicts that
// are due.
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
	for len(t.pendingVerdicts) > 0 && t.pendingVerdicts[0].at <= t.clock.Now() {
		v := t.pendingVerdicts[0]
		t.pendingVerdicts = t.pendingVerdicts[1:]
		var refusal *fleet.Refusal
		if refused[v.fingerprint] {
			refusal = quarantineRefusal()
		}
		v.reply.TrySend(machineMessage{message: request.CrashVerdict{Refusal: refusal}})
	}
	if len(t.pendingVerdicts) > 0 {
		t.timer.Arm(t.pendingVerdicts[0].at - t.clock.Now())
	}
}
