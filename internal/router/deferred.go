package router

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"

	"github.com/cornelhold/cornelhold/internal/core/deferred"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/request"
	"github.com/cornelhold/cornelhold/internal/peer"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	// deferredCapacity bounds the messages that wait for the deferred task.
	deferredCapacity = 1024
	// deferredGrantTimeout bounds the time until the dispatcher grants a run,
	// which waits for spare capacity.
	deferredGrantTimeout = 10 * time.Minute
	// deferredRetryDelay is the delay after a failed read of the deferred stream.
	deferredRetryDelay = time.Second
	// deferredAppendTimeout bounds an append of up to 1 MiB.
	deferredAppendTimeout = 5 * time.Second
)

// JobReply is the reply to the submission of a job.
type JobReply struct {
	Job           deferred.JobID
	ReadableUntil time.Time
	Refusal       *fleet.Refusal
}

type submitJob struct {
	work  deferred.Work
	reply chan JobReply
}

type findJob struct {
	id    deferred.JobID
	team  fleet.TeamName
	reply chan *deferred.Job
}

// deferredRecords are records that were read from the deferred stream.
type deferredRecords struct {
	records  []platform.Record
	caughtUp bool
}

// deferredTask owns deferred.Scheduler.
type deferredTask struct {
	clock     task.Clock
	mailbox   task.Mailbox[any]
	scheduler *deferred.Scheduler
	client    *platform.LogClient
	router    *Router
	metrics   *deferredMetrics
	timer     *task.Timer
	// timerAt is when the timer fires; 0 if it is not armed.
	timerAt time.Duration
	replies map[deferred.JobID]chan JobReply
	cancel  map[deferred.RunID]context.CancelFunc
}

// Run owns the scheduler until ctx ends.
func (d *deferredTask) Run(ctx context.Context) error {
	defer d.timer.Stop()
	d.step(ctx, d.members())
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-d.timer.C():
			d.timerAt = 0
			d.step(ctx, d.members())
			d.step(ctx, deferred.Tick{})
		case msg := <-d.mailbox.Receive():
			d.handle(ctx, msg)
		}
	}
}

// members returns the instances that run jobs: the live ones that are not
// leaving.
func (d *deferredTask) members() deferred.Members {
	staying := lo.Reject(d.router.directory.Members(), func(m peer.Member, _ int) bool { return m.Leaving })
	return deferred.Members{List: lo.Map(staying, func(m peer.Member, _ int) fleet.InstanceID { return m.Instance })}
}

func (d *deferredTask) handle(ctx context.Context, msg any) {
	switch msg := msg.(type) {
	case submitJob:
		id := deferred.JobID(uuid.NewString())
		d.replies[id] = msg.reply
		d.step(ctx, deferred.Submit{Job: id, Work: msg.work})
	case findJob:
		// Another team's job is reported as not found, so that ids can't be probed.
		var found *deferred.Job
		if job, ok := d.scheduler.Find(msg.id); ok && job.Work.Team == msg.team {
			clone := *job
			found = &clone
		}
		msg.reply <- found
	case deferredRecords:
		for _, r := range msg.records {
			d.step(ctx, deferred.Record{Offset: r.Offset, At: deferred.LogTime(r.TimeMillis), Entry: decodeDeferred(r.Data)})
		}
		if msg.caughtUp {
			d.step(ctx, deferred.CaughtUp{})
		}
	case deferred.Message:
		d.step(ctx, msg)
	}
}

func (d *deferredTask) step(ctx context.Context, msg deferred.Message) {
	actions := d.scheduler.Step(d.clock.Now(), msg)
	d.metrics.observe(msg, d.scheduler.Running())
	for _, action := range actions {
		switch a := action.(type) {
		case deferred.Append:
			d.append(a.Entry)
		case deferred.Start:
			d.start(ctx, a)
		case deferred.Stop:
			if cancel, ok := d.cancel[a.Run]; ok {
				cancel()
				delete(d.cancel, a.Run)
			}
		case deferred.Reply:
			d.metrics.recordSubmission(a.Refusal)
			d.replies[a.Job] <- JobReply{Job: a.Job, ReadableUntil: time.UnixMilli(int64(a.ReadableUntil)), Refusal: a.Refusal}
			delete(d.replies, a.Job)
		case deferred.SetTimer:
			if d.timerAt == 0 || a.At < d.timerAt {
				d.timerAt = a.At
				d.timer.Arm(a.At - d.clock.Now())
			}
		}
	}
}

// append appends an entry in a separate task. Entries are not batched, since
// each job has only a few records.
func (d *deferredTask) append(entry deferred.Entry) {
	d.router.tasks.Go("append deferred", func(ctx context.Context) error {
		appendCtx, cancel := context.WithTimeout(ctx, deferredAppendTimeout)
		defer cancel()
		result := deferred.AppendStored
		_, err := d.client.Append(appendCtx, platform.StreamDeferred, encodeDeferred(entry))
		switch {
		case platform.ErrNotDone.Has(err):
			result = deferred.AppendNotDone
		case err != nil:
			result = deferred.AppendUnknown
		}
		return d.mailbox.Send(ctx, deferred.Appended{Entry: entry, Result: result})
	})
}

func (d *deferredTask) start(ctx context.Context, a deferred.Start) {
	runCtx, cancel := context.WithCancel(ctx)
	d.cancel[a.Run] = cancel
	d.router.tasks.Go("deferred run", func(context.Context) error {
		defer cancel()
		ended := deferred.RunEnded{Job: a.Job, Run: a.Run}
		if a.Work.Operation != "" {
			ended.Outcome, ended.Failed = d.runCall(runCtx, a.Work)
		} else {
			ended.Outcome, ended.Failed = d.runModel(runCtx, a)
		}
		if runCtx.Err() != nil {
			return nil
		}
		return d.mailbox.Send(runCtx, ended)
	})
}

func (d *deferredTask) runCall(ctx context.Context, w deferred.Work) (deferred.Outcome, bool) {
	reply := d.router.Call(ctx, PlainCall{
		Team: w.Team, Service: w.Service, Operation: w.Operation, Class: fleet.ClassBatch,
		ContentType: w.ContentType, Body: w.Body, Wait: deferredGrantTimeout,
	})
	if reply.Refusal != nil {
		return deferred.Outcome{Detail: reply.Refusal.Error()}, true
	}
	return deferred.Outcome{
		Kind: deferred.OutcomeDone, Status: reply.Response.Status, ContentType: reply.Response.ContentType, Body: reply.Response.Body,
	}, false
}

// runModel runs a completion that continues after the recorded texts.
func (d *deferredTask) runModel(ctx context.Context, a deferred.Start) (deferred.Outcome, bool) {
	handle, refusal := d.router.submitRestored(ctx, Submission{
		Team: a.Work.Team, Service: a.Work.Service, Class: fleet.ClassBatch, Adapter: a.Work.Adapter,
		Prompt: a.Work.Prompt, MaxTokens: a.Work.MaxTokens,
	}, a.Texts)
	if refusal != nil {
		return deferred.Outcome{Detail: refusal.Error()}, true
	}
	defer handle.Release()
	texts := append([]string(nil), a.Texts...)
	for {
		frames, err := handle.Read(ctx, len(texts))
		if err != nil {
			return deferred.Outcome{Detail: err.Error()}, true
		}
		if len(frames.Texts) > 0 {
			texts = append(texts, frames.Texts...)
			_ = d.mailbox.Send(ctx, deferred.Texts{Job: a.Job, Run: a.Run, Texts: frames.Texts})
		}
		switch {
		case frames.Moved:
			return deferred.Outcome{Detail: "the run was given up"}, true
		case frames.Refusal != nil:
			return deferred.Outcome{Detail: frames.Refusal.Error()}, true
		case frames.Ended:
			return deferred.Outcome{Kind: deferred.OutcomeDone, Texts: texts, Finish: frames.Finish, Status: http.StatusOK}, false
		}
	}
}

// submitRestored submits a request whose response continues after texts. The
// request is not registered, so that it is not handed over when this router is
// reclaimed: another node continues the job from the log.
func (r *Router) submitRestored(ctx context.Context, s Submission, texts []string) (*Handle, *fleet.Refusal) {
	id := newRequestID(r.self)
	machine, _ := request.Restore(r.clock.Now(), id, request.Record{Frames: texts})
	machine.Step(r.clock.Now(), request.CallerAttached{})
	t := r.newTask(id, s, machine)
	submit := newSubmitMessage(id, s, t.fingerprint)
	submit.MaxWait = deferredGrantTimeout
	if r.dispatcher.mailbox.Send(ctx, dispatcherMessage{message: submit, sender: &t.mailbox}) != nil {
		return nil, overloadedRefusal()
	}
	r.tasks.Go("deferred request", func(ctx context.Context) error {
		t.Run(ctx)
		return nil
	})
	return &Handle{ID: id, mailbox: t.mailbox, done: t.done}, nil
}

// Defer accepts a job, or refuses it.
func (r *Router) Defer(ctx context.Context, work deferred.Work) JobReply {
	if r.draining.Load() {
		return JobReply{Refusal: drainingRefusal()}
	}
	reply := make(chan JobReply, 1)
	if !r.calls.deferred.mailbox.TrySend(submitJob{work: work, reply: reply}) {
		return JobReply{Refusal: overloadedRefusal()}
	}
	select {
	case result := <-reply:
		return result
	case <-ctx.Done():
		return JobReply{Refusal: &fleet.Refusal{
			Kind: fleet.RefusedOutcomeUnknown, Run: fleet.RunUnknown, Remedy: "the caller left before the job was accepted",
		}}
	}
}

// Job returns a job of the team.
func (r *Router) Job(ctx context.Context, id deferred.JobID, team fleet.TeamName) (*deferred.Job, *fleet.Refusal) {
	reply := make(chan *deferred.Job, 1)
	if !r.calls.deferred.mailbox.TrySend(findJob{id: id, team: team, reply: reply}) {
		return nil, overloadedRefusal()
	}
	select {
	case job := <-reply:
		if job != nil {
			return job, nil
		}
	case <-ctx.Done():
	}
	return nil, fleet.Refuse(fleet.RefusedNotFound, 0,
		"no such job is known for this team; check the id and the time until which the result can be read")
}

// deferredFollower reads the deferred stream and sends its records to the
// deferred task.
type deferredFollower struct {
	client   *platform.LogClient
	deferred task.Mailbox[any]
}

// Run reads until ctx ends. If records have expired, it continues with the
// oldest available one.
func (f *deferredFollower) Run(ctx context.Context) error {
	next := uint64(0)
	wait := time.Duration(0)
	for ctx.Err() == nil {
		batch, err := f.client.Read(ctx, platform.StreamDeferred, next, readLimit, wait)
		if err != nil {
			if first, ok := platform.FirstRetainedOffset(err); ok {
				next = first
				continue
			}
			sleep(ctx, deferredRetryDelay)
			continue
		}
		if n := len(batch.Records); n > 0 {
			next = batch.Records[n-1].Offset + 1
		}
		caughtUp := next >= batch.Next
		wait = 0
		if caughtUp {
			wait = logPollTimeout
		}
		if f.deferred.Send(ctx, deferredRecords{records: batch.Records, caughtUp: caughtUp}) != nil {
			return nil
		}
	}
	return nil
}
