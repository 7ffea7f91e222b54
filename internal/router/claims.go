package router

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/cornelhold/cornelhold/internal/core/claim"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/engine"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	// claimsCapacity bounds the messages that wait for the claims task; beyond
	// it new calls are refused.
	claimsCapacity = 8192
	// appendTimeout bounds one append.
	appendTimeout = 2 * time.Second
	// appendInterval separates the starts of a router's appends. Nine routers
	// then use at most 180 of the several hundred appends a second of the log.
	appendInterval = 50 * time.Millisecond
	// maxBatchEntries and maxGroupBytes bound one claim record.
	maxBatchEntries = 512
	maxBatchBytes   = 512 << 10
	// estimatedEntryBytes estimates an entry without its response body.
	estimatedEntryBytes = 200
)

type submitCall struct {
	call  PlainCall
	key   claim.Key
	reply chan CallReply
}

// claimRecords delivers records of the claim stream.
type claimRecords struct {
	records []platform.Record
}

type batchAppended struct {
	entries []claim.Entry
	result  claim.AppendResult
}

// submission is a call that waits for its reply.
type submission struct {
	submitCall
	attempt claim.AttemptID
	started time.Duration
}

// claimsTask is the task that owns claim.Table, the queue of entries to append and
// the calls that wait for a reply.
type claimsTask struct {
	log         log.Interface
	clock       task.Clock
	mailbox     task.Mailbox[any]
	table       *claim.Table
	client      *platform.LogClient
	dispatcher  task.Mailbox[dispatcherMessage]
	plain       *engine.PlainClient
	tasks       *task.Group
	metrics     *callMetrics
	alarm       *task.Alarm
	lastID      claim.SubmissionID
	submissions map[claim.SubmissionID]submission
	attempts    map[claim.AttemptID]requestMailbox
	appends     appendQueue
}

// appendQueue collects the entries of the next records.
type appendQueue struct {
	entries   []claim.Entry
	marker    bool
	appending bool
	// notBefore is the earliest start of the next append.
	notBefore time.Duration
	alarm     *task.Alarm
	failing   bool
}

// Run owns the table until ctx ends.
func (c *claimsTask) Run(ctx context.Context) error {
	defer c.alarm.Stop()
	defer c.appends.alarm.Stop()
	c.step(ctx, claim.TickTable{})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.alarm.C():
			c.step(ctx, claim.TickTable{})
		case <-c.appends.alarm.C():
		case msg := <-c.mailbox.Receive():
			c.handle(ctx, msg)
		}
		c.flush(ctx)
	}
}

func (c *claimsTask) handle(ctx context.Context, msg any) {
	switch msg := msg.(type) {
	case submitCall:
		c.submit(ctx, msg)
	case claimRecords:
		for _, r := range msg.records {
			c.step(ctx, claim.Record{Offset: r.Offset, At: claim.LogTime(r.TimeMillis), Entries: decodeClaims(r.Data)})
		}
		c.metrics.keys.Set(float64(c.table.Keys()))
	case claim.ToAttempt:
		if _, refused := msg.Message.(claim.Refused); refused {
			delete(c.attempts, msg.Attempt)
		}
		c.step(ctx, msg)
	case batchAppended:
		c.appended(ctx, msg)
	}
}

func (c *claimsTask) submit(ctx context.Context, msg submitCall) {
	c.lastID++
	attempt := claim.AttemptID(uuid.NewString())
	c.submissions[c.lastID] = submission{submitCall: msg, attempt: attempt, started: c.clock.Now()}
	c.step(ctx, claim.Submit{
		Submission: c.lastID, Key: msg.key, Attempt: attempt, Fingerprint: msg.call.fingerprint(),
	})
}

func (c *claimsTask) step(ctx context.Context, msg claim.TableMessage) {
	for _, action := range c.table.Step(c.clock.Now(), msg) {
		switch a := action.(type) {
		case claim.Reply:
			c.reply(a)
		case claim.FromAttempt:
			c.perform(ctx, a)
		case claim.AppendMarker:
			c.appends.marker = true
		case claim.SetTableTimer:
			c.alarm.Arm(a.At - c.clock.Now())
		}
	}
}

func (c *claimsTask) reply(a claim.Reply) {
	s := c.submissions[a.Submission]
	delete(c.submissions, a.Submission)
	reply := CallReply{Request: fleet.RequestID(s.attempt)}
	switch answer := a.Result.(type) {
	case claim.Respond:
		reply.Response = answer.Response
	case claim.Refuse:
		reply.Refusal = answer.Refusal
	}
	c.metrics.recordResult(s.call.Team, reply.Refusal)
	s.reply <- reply
}

func (c *claimsTask) perform(ctx context.Context, a claim.FromAttempt) {
	switch action := a.Action.(type) {
	case claim.Append:
		c.appends.entries = append(c.appends.entries, action.Entry)
	case claim.RequestEndpoint:
		c.openCall(a)
	case claim.ReadOutcome:
		c.readOutcome(a, action.Offset)
	default:
		// The mailbox of a call has room for the few messages of its attempt.
		if mailbox, ok := c.attempts[a.Attempt]; ok {
			_ = mailbox.Send(ctx, action)
		}
	}
	if _, ended := a.Action.(claim.EndCall); ended {
		delete(c.attempts, a.Attempt)
	}
}

func (c *claimsTask) openCall(a claim.FromAttempt) {
	first := c.submissions[a.First]
	c.metrics.recordWait(first.call.Team, c.clock.Now()-first.started)
	t := &callTask{
		id: fleet.RequestID(a.Attempt), call: first.call, mailbox: task.NewMailbox[any](requestCapacity),
		dispatcher: c.dispatcher, plain: c.plain, report: c.reporter(a),
	}
	c.attempts[a.Attempt] = t.mailbox
	c.tasks.Go("call", func(ctx context.Context) error {
		t.Run(ctx)
		return nil
	})
}

// reporter returns a function that posts messages to the attempt.
func (c *claimsTask) reporter(a claim.FromAttempt) func(context.Context, claim.Message) {
	return func(ctx context.Context, msg claim.Message) {
		_ = c.mailbox.Send(ctx, claim.ToAttempt{Key: a.Key, Attempt: a.Attempt, Message: msg})
	}
}

// readOutcome reads the record of an outcome in a task of its own.
func (c *claimsTask) readOutcome(a claim.FromAttempt, offset uint64) {
	report := c.reporter(a)
	c.tasks.Go("read outcome", func(ctx context.Context) error {
		readCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		batch, err := c.client.Read(readCtx, platform.StreamClaims, offset, 1, 0)
		if err != nil || len(batch.Records) == 0 {
			report(ctx, claim.OutcomeUnreadable{})
			return nil
		}
		report(ctx, findOutcome(batch.Records[0], a.Key))
		return nil
	})
}

// findOutcome returns the first outcome of the key in the record. The fold
// names the record in which the holder's outcome is the first to count.
func findOutcome(record platform.Record, key claim.Key) claim.Message {
	for _, entry := range decodeClaims(record.Data) {
		if outcome, ok := entry.(claim.Outcome); ok && outcome.Key == key {
			return claim.OutcomeRead{Outcome: outcome}
		}
	}
	return claim.OutcomeUnreadable{}
}

// flush starts the next append when entries wait, none runs and the interval
// since the last one has passed.
func (c *claimsTask) flush(ctx context.Context) {
	g := &c.appends
	if g.appending || (len(g.entries) == 0 && !g.marker) {
		return
	}
	now := c.clock.Now()
	if now < g.notBefore {
		g.alarm.Arm(g.notBefore - now)
		return
	}
	entries := g.nextBatch()
	g.appending = true
	g.notBefore = now + appendInterval
	c.tasks.Go("append claims", func(context.Context) error {
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, err := c.client.Append(appendCtx, platform.StreamClaims, encodeClaims(entries))
		return c.mailbox.Send(ctx, batchAppended{entries: entries, result: appendResult(err)})
	})
}

// nextBatch removes the entries of the next record from the queue.
func (g *appendQueue) nextBatch() []claim.Entry {
	g.marker = false
	size, n := 0, 0
	for n < len(g.entries) && n < maxBatchEntries && size < maxBatchBytes {
		size += estimatedEntryBytes
		if outcome, ok := g.entries[n].(claim.Outcome); ok {
			size += len(outcome.Response.Body)
		}
		n++
	}
	entries := g.entries[:n:n]
	g.entries = g.entries[n:]
	return entries
}

func appendResult(err error) claim.AppendResult {
	switch {
	case err == nil:
		return claim.AppendStored
	case platform.ErrNotDone.Has(err):
		return claim.AppendNotDone
	default:
		return claim.AppendUnknown
	}
}

func (c *claimsTask) appended(ctx context.Context, msg batchAppended) {
	c.appends.appending = false
	c.metrics.recordAppend(msg)
	c.logAppendState(msg.result != claim.AppendStored)
	for _, entry := range msg.entries {
		key, attempt := entry.Subject()
		c.step(ctx, claim.ToAttempt{
			Key: key, Attempt: attempt, Message: claim.Appended{Entry: entry, Result: msg.result},
		})
	}
}

// logAppendState logs when appends begin to fail and when they work again.
func (c *claimsTask) logAppendState(failing bool) {
	if failing == c.appends.failing {
		return
	}
	c.appends.failing = failing
	if failing {
		c.log.Warn("claim stream cannot be appended to; calls that may not be repeated are refused")
		return
	}
	c.log.Info("claim stream can be appended to again")
}

// claimsFollower is the task that reads the claim stream.
type claimsFollower struct {
	client *platform.LogClient
	claims task.Mailbox[any]
}

// Run reads until ctx ends. When records have expired it continues with the
// oldest one; the fold then refuses keys that the missing ones may concern.
func (f *claimsFollower) Run(ctx context.Context) error {
	next := uint64(0)
	for ctx.Err() == nil {
		batch, err := f.client.Read(ctx, platform.StreamClaims, next, readLimit, logPollTimeout)
		if err != nil {
			if first, ok := platform.FirstOffset(err); ok {
				next = first
				continue
			}
			sleep(ctx, retryDelay)
			continue
		}
		if len(batch.Records) == 0 {
			continue
		}
		next = batch.Records[len(batch.Records)-1].Offset + 1
		if f.claims.Send(ctx, claimRecords{records: batch.Records}) != nil {
			return nil
		}
	}
	return nil
}
