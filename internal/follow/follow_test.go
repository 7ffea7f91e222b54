package follow

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/goleak"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/internal/ticket"
)

// expiredLog returns a log service whose ticket records before offset 3 have
// expired. A malformed checkpoint follows the one that covers them.
func expiredLog(t *testing.T) http.Handler {
	checkpoint, err := ticket.EncodeSnapshot(&config.Snapshot{Number: 2, TicketID: "t2", Offset: 3})
	if err != nil {
		t.Fatal(err)
	}
	third, err := ticket.Encode(config.Ticket{ID: "t3", Number: 3})
	if err != nil {
		t.Fatal(err)
	}
	checkpoints := []json.RawMessage{checkpoint, json.RawMessage(`"damaged"`)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/streams/tickets/records", func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("from") {
		case "3":
			_ = json.NewEncoder(w).Encode(platform.Batch{Records: []platform.Record{{Offset: 3, Data: third}}, First: 3, Next: 4})
		case "4":
			<-r.Context().Done() // a long poll
		default:
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(platform.Batch{First: 3, Next: 4})
		}
	})
	mux.HandleFunc("GET /v1/streams/checkpoints/records", func(w http.ResponseWriter, r *http.Request) {
		var from int
		_, _ = fmt.Sscan(r.URL.Query().Get("from"), &from)
		record := platform.Record{Offset: uint64(from), Data: checkpoints[from]}
		_ = json.NewEncoder(w).Encode(platform.Batch{Records: []platform.Record{record}, Next: uint64(len(checkpoints))})
	})
	mux.HandleFunc("POST /v1/streams/checkpoints/records", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(platform.Record{Offset: 2})
	})
	return mux
}

func startFollower(group *task.Group, logURL string) (*Follower, chan *config.Spec) {
	active := make(chan *config.Spec, 100)
	f := New(Options{
		Self: config.Node{Instance: "a"}, Policy: config.CheckpointPolicyFor(24 * time.Hour), Log: logURL,
		Clock: task.NewClock(), Logger: &log.Logger{Handler: discard.New()}, Metrics: prometheus.NewRegistry(),
		Active: &Active{}, OnActive: func(_ context.Context, spec *config.Spec) { active <- spec },
	})
	f.Start(group)
	return f, active
}

// TestContinuesFromCheckpoint guards against a follower that stops when the
// records at its offset have expired: it must continue from the newest valid
// checkpoint and ignore a malformed one.
func TestContinuesFromCheckpoint(t *testing.T) {
	defer goleak.VerifyNone(t)
	is := is.New(t)
	server := httptest.NewServer(expiredLog(t))
	defer server.Close()
	ctx, cancel := context.WithCancel(t.Context())
	group := task.NewGroup(ctx)
	f, active := startFollower(group, server.URL)
	is.Equal((<-active).Number, config.Number(2))
	is.Equal((<-active).Number, config.Number(3))
	snapshot, err := f.Current(ctx)
	is.NoErr(err)
	is.Equal(snapshot.Offset, uint64(4))
	cancel()
	is.NoErr(group.Wait())
}

// countingListener counts the bytes sent and received on all its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{Conn: conn, bytes: l.bytes}, err
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	c.bytes.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// TestPushStaysInBudget guards the traffic budget of the relay: pushing a ticket
// of 600 bytes, response included, must need no more bytes than the budget test of
// the membership assumes (see ticketBytes in internal/core/member).
func TestPushStaysInBudget(t *testing.T) {
	const budgetBytes = 600 + 120 + 300 + 200
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	group := task.NewGroup(ctx)
	f, active := startFollower(group, "http://127.0.0.1:1")
	mux := http.NewServeMux()
	f.Register(mux)
	server := httptest.NewUnstartedServer(mux)
	var bytes atomic.Int64
	server.Listener = countingListener{Listener: server.Listener, bytes: &bytes}
	server.Start()
	defer server.Close()
	client := NewRelayClient(platform.NewHTTPClient(), server.Listener.Addr().String())
	value := make([]byte, 600)
	for number := range uint64(2) {
		before := bytes.Load()
		response, err := client.Push(ctx, connect.NewRequest(&cornelholdv1.PushRequest{Tickets: []*cornelholdv1.Ticket{{
			Id: "6f1c2a52-6a0e-4c43-9d57-0f3f9e1c8a11", Number: number + 1, Schema: 1, Author: "mika", Comment: "more replicas for the counter",
			Objects: []*cornelholdv1.Object{{Kind: "service", Name: "dial-advisor", Value: value}}, Offset: 1_000_000 + number, TimeMs: 1_796_000_000_000,
		}}}))
		is.NoErr(err)
		is.Equal(response.Msg.GetNumber(), number+1)
		is.Equal((<-active).Number, config.Number(number+1))
		t.Logf("push and response: %d bytes, budget %d", bytes.Load()-before, budgetBytes)
		is.True(bytes.Load()-before <= budgetBytes)
	}
	fetched, err := client.Fetch(ctx, connect.NewRequest(&cornelholdv1.FetchRequest{AfterNumber: 1}))
	is.NoErr(err)
	is.Equal(len(fetched.Msg.GetTickets()), 1) // only the ticket after number 1
}
