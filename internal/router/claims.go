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
	// appendInterval is the minimum time between the starts of two appends. Nine
	// routers then use at most 180 of the several hundred appends per second
	// that the log accepts.
	appendInterval = 50 * time.Millisecond
	// maxBatchEntries and maxBatchBytes bound one claim record.
	maxBatchEntries = 512
	maxBatchBytes   = 512 << 10
	// estimatedEntryBytes is the estimated size of an entry without its response
	// body.
	estimatedEntryBytes = 200
)

type submitCall struct {
	call  PlainCall
	key   claim.Key
	reply chan CallReply
}

// claimRecords are records that were read from the claim stream.
type claimRecords struct {
	records []platform.Record
}

// batchAppended reports the result of one append.
type batchAppended struct {
	entries []claim.Entry
	result  claim.AppendResult
}

// submission is a call whose reply is pending.
type submission struct {
	submitCall
	attempt claim.AttemptID
	started time.Duration
}

// claimsTask owns claim.Table, the queue of entries to append and the calls
// whose reply is pending.
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
	timer       *task.Timer
	lastID      claim.SubmissionID
	submissions map[claim.SubmissionID]submission
	attempts    map[claim.AttemptID]requestMailbox
	appends     appendQueue
}

// appendQueue batches the entries of the next records.
type appendQueue struct {
	entries   []claim.Entry
	marker    bool
	appending bool
	// notBefore is the earliest start of the next append.
	notBefore time.Duration
	timer     *task.Timer
	failing   bool
}

// Run owns the table until ctx ends.
func (c *claimsTask) Run(ctx context.Context) error {
	defer c.timer.Stop()
	defer c.appends.timer.Stop()
	c.step(ctx, claim.TickTable{})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.timer.C():
			c.step(ctx, claim.TickTable{})
		case <-c.appends.timer.C():
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
			c.timer.Arm(a.At - c.clock.Now())
		}
	}
}

func (c *claimsTask) reply(a claim.Reply) {
	s := c.submissions[a.Submission]
	delete(c.submissions, a.Submission)
	reply := CallReply{Request: fleet.RequestID(s.attempt)}
	switch result := a.Result.(type) {
	case claim.Respond:
		reply.Response = result.Response
	case claim.Refuse:
		reply.Refusal = result.Refusal
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
		// The mailbox of a call has capacity for the few messages of its attempt,
		// so that Send does not block.
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

// reporter returns a function that sends messages to the attempt.
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
// stores the offset of the record in which the holder's outcome was recorded.
func findOutcome(record platform.Record, key claim.Key) claim.Message {
	for _, entry := range decodeClaims(record.Data) {
		if outcome, ok := entry.(claim.Outcome); ok && outcome.Key == key {
			return claim.OutcomeRead{Outcome: outcome}
		}
	}
	return claim.OutcomeUnreadable{}
}

// flush starts the next append if entries or a marker are pending, no append is
// running and appendInterval has passed since the start of the last one.
func (c *claimsTask) flush(ctx context.Context) {
	g := &c.appends
	if g.appending || (len(g.entries) == 0 && !g.marker) {
		return
	}
	now := c.clock.Now()
	if now < g.notBefore {
		g.timer.Arm(g.notBefore - now)
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

// nextBatch removes and returns the entries of the next record.
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

// logAppendState logs a line when appends start to fail and when they succeed
// again.
func (c *claimsTask) logAppendState(failing bool) {
	if failing == c.appends.failing {
		return
	}
	c.appends.failing = failing
	if failing {
		c.log.Warn("appends to the claim stream fail; non-idempotent calls are refused")
		return
	}
	c.log.Info("appends to the claim stream succeed again")
}

// claimsFollower reads the claim stream and sends its records to the claims task.
type claimsFollower struct {
	client *platform.LogClient
	claims task.Mailbox[any]
}

// Run reads until ctx ends. If records have expired, it continues with the
// oldest available one; the fold then refuses the keys that missing records may
// hold claims on.
func (f *claimsFollower) Run(ctx context.Context) error {
	next := uint64(0)
	for ctx.Err() == nil {
		batch, err := f.client.Read(ctx, platform.StreamClaims, next, readLimit, logPollTimeout)
		if err != nil {
			if first, ok := platform.FirstRetainedOffset(err); ok {
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
