// Package operator files tickets on the log service and finds out what became
// of them. A filing whose response was lost is resolved by reading back the
// ticket's unique id.
package operator

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

// Error classes of filing.
var (
	Error = errs.Class("operator")
	// ErrLost means that another ticket holds the number.
	ErrLost = errs.Class("ticket lost the race")
	// ErrUnresolved means that the log service did not tell whether the ticket
	// was stored.
	ErrUnresolved = errs.Class("ticket outcome unknown")
)

const readLimit = 500

// Filer files tickets.
type Filer struct {
	log *platform.LogClient
}

// NewFiler returns a filer that uses the log service at the base URL.
func NewFiler(logURL string) *Filer {
	return &Filer{log: platform.NewLogClient(logURL)}
}

// History is the folded ticket stream.
type History struct {
	Fold    *config.Fold
	Entries []Entry
}

// Entry is one ticket record with its verdict.
type Entry struct {
	Offset  uint64
	Time    time.Time
	Ticket  config.Ticket
	Verdict config.Verdict
}

// History reads the whole ticket stream that the log service still holds.
func (f *Filer) History(ctx context.Context) (*History, error) {
	h := &History{Fold: config.NewFold()}
	for {
		batch, err := f.log.Read(ctx, platform.StreamTickets, h.Fold.Current().Offset, readLimit, 0)
		if err != nil {
			return nil, Error.New("cannot read the ticket stream: %w; retry when the log service is up", err)
		}
		if len(batch.Records) == 0 {
			return h, nil
		}
		for _, record := range batch.Records {
			h.add(record)
		}
	}
}

func (h *History) add(record platform.Record) {
	t, err := ticket.Decode(record.Data)
	if err != nil {
		t = config.Ticket{}
	}
	verdict := h.Fold.Apply(record.Offset, t)
	h.Entries = append(h.Entries, Entry{
		Offset: record.Offset, Time: time.UnixMilli(record.TimeMillis), Ticket: t, Verdict: verdict,
	})
}

// File appends the document as a ticket and returns its entry once it is
// accepted. ErrLost names the winner of a race.
func (f *Filer) File(ctx context.Context, doc ticket.Document, author string) (Entry, error) {
	objects, err := doc.Objects()
	if err != nil {
		return Entry{}, err
	}
	history, err := f.History(ctx)
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
		return Entry{}, Error.New("the ticket was not filed: %w; file it again when the log service is up", appendErr)
	}
	return f.resolve(ctx, t, appendErr)
}

func (f *Filer) resolve(ctx context.Context, t config.Ticket, appendErr error) (Entry, error) {
	history, err := f.History(ctx)
	if err != nil {
		return Entry{}, ErrUnresolved.New("the ticket with id %s may have been filed; run cornelctl ticket show %s before filing again: %w", t.ID, t.ID, err)
	}
	for _, entry := range history.Entries {
		if entry.Ticket.ID == t.ID {
			return entry, verdictError(entry, history)
		}
	}
	return Entry{}, ErrUnresolved.New("the ticket with id %s is not in the log yet; run cornelctl ticket show %s before filing again (append: %v)", t.ID, t.ID, appendErr)
}

func verdictError(entry Entry, history *History) error {
	switch entry.Verdict {
	case config.VerdictAccepted:
		return nil
	case config.VerdictGap:
		return Error.New("ticket number %d is not the next number; the active number is %d, file again with number %d",
			entry.Ticket.Number, history.Fold.Current().Number, history.Fold.Current().Number+1)
	default:
		winner := history.winner(entry.Ticket.Number)
		return ErrLost.New("number %d is held by ticket %s of %s; read it with cornelctl ticket show %d, rebase your change and file it again",
			entry.Ticket.Number, winner.ID, winner.Author, entry.Ticket.Number)
	}
}

func (h *History) winner(number config.Number) config.Ticket {
	for _, entry := range h.Entries {
		if entry.Verdict == config.VerdictAccepted && entry.Ticket.Number == number {
			return entry.Ticket
		}
	}
	return config.Ticket{}
}
