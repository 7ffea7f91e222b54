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
	// maxGroupEntries and maxGroupBytes bound one claim record.
	maxGroupEntries = 512
	maxGroupBytes   = 512 << 10
	// entryBytes estimates an entry without its response body.
	entryBytes = 200
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

type groupAppended struct {
	entries []claim.Entry
	result  claim.AppendResult
}

// submission is a call that waits for its reply.
type submission struct {
	submitCall
	attempt claim.AttemptID
	started time.Duration
}

// claims is the task that owns claim.Table, the queue of entries to append and
// the calls that wait for a reply.
type claims struct {
	log         log.Interface
	clock       task.Clock
	mailbox     task.Mailbox[any]
	table       *claim.Table
	client      *platform.LogClient
	dispatcher  task.Mailbox[dispatcherMessage]
	plain       *engine.PlainClient
	tasks       *task.Group
	metrics     *callMetrics
	alarm       *task.Timer
	next        claim.SubmissionID
	submissions map[claim.SubmissionID]submission
	attempts    map[claim.AttemptID]requestMailbox
	group       claimGroup
}

// claimGroup collects the entries of the next records.
type claimGroup struct {
	queue     []claim.Entry
	marker    bool
	appending bool
	// notBefore is the earliest start of the next append.
	notBefore time.Duration
	alarm     *task.Timer
	failing   bool
}

// Run owns the table until ctx ends.
func (c *claims) Run(ctx context.Context) error {
	defer c.alarm.Stop()
	defer c.group.alarm.Stop()
	c.step(ctx, claim.TickTable{})
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.alarm.C():
			c.step(ctx, claim.TickTable{})
		case <-c.group.alarm.C():
		case msg := <-c.mailbox.Receive():
			c.handle(ctx, msg)
		}
		c.flush(ctx)
	}
}

func (c *claims) handle(ctx context.Context, msg any) {
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
	case groupAppended:
		c.appended(ctx, msg)
	}
}

func (c *claims) submit(ctx context.Context, msg submitCall) {
	c.next++
	attempt := claim.AttemptID(uuid.NewString())
	c.submissions[c.next] = submission{submitCall: msg, attempt: attempt, started: c.clock.Now()}
	c.step(ctx, claim.Submit{
		Submission: c.next, Key: msg.key, Attempt: attempt, Fingerprint: msg.call.fingerprint(),
	})
}

func (c *claims) step(ctx context.Context, msg claim.TableMessage) {
	for _, action := range c.table.Step(c.clock.Now(), msg) {
		switch a := action.(type) {
		case claim.Reply:
			c.reply(a)
		case claim.FromAttempt:
			c.perform(ctx, a)
		case claim.AppendMarker:
			c.group.marker = true
		case claim.WakeTable:
			c.alarm.Arm(a.At - c.clock.Now())
		}
	}
}

func (c *claims) reply(a claim.Reply) {
	s := c.submissions[a.Submission]
	delete(c.submissions, a.Submission)
	reply := CallReply{Request: fleet.RequestID(s.attempt)}
	switch answer := a.Answer.(type) {
	case claim.Answer:
		reply.Response = answer.Response
	case claim.Refuse:
		reply.Refusal = answer.Refusal
	}
	c.metrics.count(s.call.Team, reply.Refusal)
	s.reply <- reply
}

func (c *claims) perform(ctx context.Context, a claim.FromAttempt) {
	switch action := a.Action.(type) {
	case claim.Append:
		c.group.queue = append(c.group.queue, action.Entry)
	case claim.AskEndpoint:
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

func (c *claims) openCall(a claim.FromAttempt) {
	first := c.submissions[a.First]
	c.metrics.wait(first.call.Team, c.clock.Now()-first.started)
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
func (c *claims) reporter(a claim.FromAttempt) func(context.Context, claim.Message) {
	return func(ctx context.Context, msg claim.Message) {
		_ = c.mailbox.Send(ctx, claim.ToAttempt{Key: a.Key, Attempt: a.Attempt, Message: msg})
	}
}

// readOutcome reads the record of an outcome in a task of its own.
func (c *claims) readOutcome(a claim.FromAttempt, offset uint64) {
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
func (c *claims) flush(ctx context.Context) {
	g := &c.group
	if g.appending || (len(g.queue) == 0 && !g.marker) {
		return
	}
	now := c.clock.Now()
	if now < g.notBefore {
		g.alarm.Arm(g.notBefore - now)
		return
	}
	entries := g.take()
	g.appending = true
	g.notBefore = now + appendInterval
	c.tasks.Go("append claims", func(context.Context) error {
		appendCtx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, err := c.client.Append(appendCtx, platform.StreamClaims, encodeClaims(entries))
		return c.mailbox.Send(ctx, groupAppended{entries: entries, result: appendResult(err)})
	})
}

// take removes the entries of the next record from the queue.
func (g *claimGroup) take() []claim.Entry {
	g.marker = false
	size, n := 0, 0
	for n < len(g.queue) && n < maxGroupEntries && size < maxGroupBytes {
		size += entryBytes
		if outcome, ok := g.queue[n].(claim.Outcome); ok {
			size += len(outcome.Response.Body)
		}
		n++
	}
	entries := g.queue[:n:n]
	g.queue = g.queue[n:]
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

func (c *claims) appended(ctx context.Context, msg groupAppended) {
	c.group.appending = false
	c.metrics.appended(msg)
	c.logState(msg.result != claim.AppendStored)
	for _, entry := range msg.entries {
		key, attempt := entry.Subject()
		c.step(ctx, claim.ToAttempt{
			Key: key, Attempt: attempt, Message: claim.Appended{Entry: entry, Result: msg.result},
		})
	}
}

// logState logs when appends begin to fail and when they work again.
func (c *claims) logState(failing bool) {
	if failing == c.group.failing {
		return
	}
	c.group.failing = failing
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
		batch, err := f.client.Read(ctx, platform.StreamClaims, next, readLimit, longPoll)
		if err != nil {
			if first, ok := platform.FirstOffset(err); ok {
				next = first
				continue
			}
			pause(ctx, retryDelay)
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
