// Package operator files tickets on the log service, determines whether they were
// accepted, and queries routers for the active configuration. If the response to
// an append is lost, it looks for the ticket's unique id in the log.
package operator

import (
	"context"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/checkpoint"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

// Error classes of this package.
var (
	Error = errs.Class("operator")
	// ErrNumberTaken means that another ticket with the same number was accepted.
	ErrNumberTaken = errs.Class("ticket lost the race")
	// ErrUnresolved means that it is unknown whether the log service stored the
	// ticket.
	ErrUnresolved = errs.Class("ticket outcome unknown")
	// ErrUnavailable means that the log service or a router cannot be reached
	// and that nothing was filed.
	ErrUnavailable = errs.Class("unavailable")
	// ErrNotActive means that a number was not active on all live members before
	// the deadline.
	ErrNotActive = errs.Class("ticket not active everywhere")
)

// readLimit is the maximum number of records per read.
const readLimit = 500

// maxResolveReads limits the reads that look for a ticket after its append. Each
// waits up to resolveWait for further records.
const (
	maxResolveReads = 3
	resolveWait     = time.Second
)

// Filer files tickets.
type Filer struct {
	log *platform.LogClient
}

// NewFiler returns a filer that uses the log service at the base URL.
func NewFiler(logURL string) *Filer {
	return &Filer{log: platform.NewLogClient(logURL)}
}

// History is the ticket stream as read so far and the state that results from
// folding it.
type History struct {
	Fold *config.Fold
	// Entries are the records that were folded one by one. A history that starts
	// at a checkpoint lacks the records that the checkpoint covers.
	Entries []Entry
}

// Entry is one ticket record with its verdict.
type Entry struct {
	Offset  uint64
	Time    time.Time
	Ticket  config.Ticket
	Verdict config.Verdict
}

// History reads the ticket stream from its first record. If that has expired, the
// history starts at the newest checkpoint.
func (f *Filer) History(ctx context.Context) (*History, error) {
	h := &History{Fold: config.NewFold()}
	batch, err := f.log.Read(ctx, platform.StreamTickets, 0, 1, 0)
	if platform.ErrExpired.Has(err) {
		return f.historyFromCheckpoint(ctx, batch.First)
	}
	return h, f.foldNew(ctx, h, 0)
}

// Recent returns the history from the newest checkpoint on, which is sufficient
// for filing a ticket.
func (f *Filer) Recent(ctx context.Context) (*History, error) {
	return f.historyFromCheckpoint(ctx, 0)
}

// historyFromCheckpoint returns the history from the newest checkpoint on. The
// checkpoint must cover all records before the offset first.
func (f *Filer) historyFromCheckpoint(ctx context.Context, first uint64) (*History, error) {
	h := &History{Fold: config.NewFold()}
	newest, err := checkpoint.Newest(ctx, f.log)
	if err != nil {
		return nil, readError(err)
	}
	if newest != nil {
		h.Fold.Adopt(newest)
	}
	if h.Fold.Current().Offset < first {
		return nil, Error.New("ticket records before offset %d have expired and no checkpoint covers them; wait until a running router has appended one", first)
	}
	return h, f.foldNew(ctx, h, 0)
}

// foldNew reads the records after the end of the history and folds them. It waits
// up to wait for the first one.
func (f *Filer) foldNew(ctx context.Context, h *History, wait time.Duration) error {
	for {
		batch, err := f.log.Read(ctx, platform.StreamTickets, h.Fold.Current().Offset, readLimit, wait)
		if err != nil {
			return readError(err)
		}
		if len(batch.Records) == 0 {
			return nil
		}
		for _, record := range batch.Records {
			h.add(record)
		}
		wait = 0
	}
}

func readError(err error) error {
	return ErrUnavailable.New("cannot read the ticket stream: %w; retry when the log service is up", err)
}

func (h *History) add(record platform.Record) {
	r := ticket.DecodeRecord(record.Offset, record.TimeMillis, record.Data)
	entry := Entry{Offset: r.Offset, Time: time.UnixMilli(r.TimeMillis), Ticket: r.Ticket}
	if r.Malformed {
		entry.Verdict = h.Fold.Skip(r.Offset)
	} else {
		entry.Verdict = h.Fold.Apply(r.Offset, r.Ticket)
	}
	h.Entries = append(h.Entries, entry)
}

// FileChecked checks the ticket in the file against the active configuration
// and appends it. Errors are those of ticket.Check and File.
func (f *Filer) FileChecked(ctx context.Context, file string, doc ticket.Document, author string) (Entry, error) {
	history, err := f.Recent(ctx)
	if err != nil {
		return Entry{}, err
	}
	if err := ticket.Check(file, doc, history.Fold.Current()); err != nil {
		return Entry{}, err
	}
	return f.file(ctx, history, doc, author)
}

// File appends the document as a ticket without checking its references and
// returns its entry once it is accepted. ErrNumberTaken names the accepted ticket
// with the same number, ErrUnavailable means that nothing was filed, and
// ErrUnresolved that the ticket may or may not have been filed.
func (f *Filer) File(ctx context.Context, doc ticket.Document, author string) (Entry, error) {
	history, err := f.Recent(ctx)
	if err != nil {
		return Entry{}, err
	}
	return f.file(ctx, history, doc, author)
}

func (f *Filer) file(ctx context.Context, history *History, doc ticket.Document, author string) (Entry, error) {
	objects, err := doc.Objects()
	if err != nil {
		return Entry{}, err
	}
	number := config.Number(doc.Number)
	if number == 0 {
		number = history.Fold.Current().Number + 1
	}
	t := config.Ticket{
		ID: uuid.NewString(), Number: number, Schema: ticket.SchemaVersion,
		Author: author, Comment: doc.Comment, Objects: objects,
	}
	data, err := ticket.Encode(t)
	if err != nil {
		return Entry{}, err
	}
	_, appendErr := f.log.Append(ctx, platform.StreamTickets, data)
	if platform.ErrNotDone.Has(appendErr) {
		return Entry{}, ErrUnavailable.New("the ticket was not filed: %w; file it again when the log service is up", appendErr)
	}
	return f.resolve(ctx, history, t, appendErr)
}

// resolve looks for the ticket's id in the log and returns its entry. It continues
// the history from before the append, because a newer checkpoint may already cover
// the ticket's record.
func (f *Filer) resolve(ctx context.Context, h *History, t config.Ticket, appendErr error) (Entry, error) {
	for range maxResolveReads {
		if err := f.foldNew(ctx, h, resolveWait); err != nil {
			return Entry{}, ErrUnresolved.New("the ticket with id %s may have been filed; run cornelctl ticket show %s before filing again: %w", t.ID, t.ID, err)
		}
		if entry, found := h.Find(t.ID); found {
			return entry, f.verdictError(ctx, entry, h)
		}
	}
	return Entry{}, ErrUnresolved.New("the ticket with id %s is not in the log yet; run cornelctl ticket show %s before filing again (append: %v)", t.ID, t.ID, appendErr)
}

// Find returns the first entry with the given ticket id, or the entry of the
// accepted ticket with the given number in decimal.
func (h *History) Find(idOrNumber string) (Entry, bool) {
	number, err := strconv.ParseUint(idOrNumber, 10, 64)
	for _, entry := range h.Entries {
		if entry.Ticket.ID == idOrNumber && idOrNumber != "" {
			return entry, true
		}
		if err == nil && entry.Verdict == config.VerdictAccepted && uint64(entry.Ticket.Number) == number {
			return entry, true
		}
	}
	return Entry{}, false
}

func (f *Filer) verdictError(ctx context.Context, entry Entry, h *History) error {
	current := h.Fold.Current().Number
	number := entry.Ticket.Number
	switch entry.Verdict {
	case config.VerdictAccepted:
		return nil
	case config.VerdictGap:
		return Error.New("ticket number %d is not the next number; the active number is %d, file again with number %d",
			number, current, current+1)
	default:
		return ErrNumberTaken.New("number %d is held by %s; read it with cornelctl ticket show %d, rebase your change and file it again",
			number, f.describeHolder(ctx, h, number), number)
	}
}

// describeHolder describes the accepted ticket with the number. If the history
// starts at a checkpoint and lacks the ticket, it reads the whole stream.
func (f *Filer) describeHolder(ctx context.Context, h *History, number config.Number) string {
	text := strconv.FormatUint(uint64(number), 10)
	winner, found := h.Find(text)
	if !found {
		if completeHistory, err := f.History(ctx); err == nil {
			winner, found = completeHistory.Find(text)
		}
	}
	if !found {
		return "a ticket whose record has expired"
	}
	return "ticket " + winner.Ticket.ID + " of " + winner.Ticket.Author
}
