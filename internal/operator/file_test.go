package operator

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cornelhold/cornelhold/internal/checkpoint"
	"github.com/cornelhold/cornelhold/internal/standin/logservice"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

// TestLostRaceNamesWinnerAfterCheckpoint guards against an error that does not
// name the accepted ticket: the history that filing reads starts at a checkpoint,
// which may cover that ticket's record.
func TestLostRaceNamesWinnerAfterCheckpoint(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	service := logservice.New(logservice.Settings{})
	go func() { _ = service.Run(ctx) }()
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	filer := NewFiler(server.URL)
	doc, err := ticket.ParseFile("t", []byte("number: 1\nmodels: [{name: m, version: '1', weight_bytes: 1, context_tokens: 1}]\n"))
	is.NoErr(err)
	winner, err := filer.File(ctx, doc, "mika")
	is.NoErr(err)
	history, err := filer.History(ctx)
	is.NoErr(err)
	is.NoErr(checkpoint.Append(ctx, filer.log, history.Fold.Current()))

	_, err = filer.File(ctx, doc, "yuki")
	is.True(ErrNumberTaken.Has(err))
	is.True(strings.Contains(err.Error(), winner.Ticket.ID+" of mika"))
}
