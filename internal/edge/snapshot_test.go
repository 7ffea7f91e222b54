package edge

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/gen/cornelhold/v1/cornelholdv1connect"
	"github.com/cornelhold/cornelhold/internal/core/duty"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/platform"
)

// maxListPullBytes is the size of a snapshot that a reader of the store can send to 20
// peers over a link of 10 Mbit/s within a tenth of a drain bound of 3 s.
const maxListPullBytes = 300 * 10_000_000 / 8 / 1000 / 20

// snapshotDataCentres is the number of data centres of the deployment that it knows.
const snapshotDataCentres = 4

// newSnapshotPeer returns a client of the snapshots of a process that knows the usage of
// a large deployment.
func newSnapshotPeer(t *testing.T) cornelholdv1connect.InstanceServiceClient {
	logger := &log.Logger{Handler: discard.New()}
	registry := prometheus.NewRegistry()
	p := newProcess(platform.Deployment{Node: "n"}, logger, newMetrics(registry, logger), registry)
	for window := range int64(12) {
		for origin := range 84 {
			counts := make(duty.Counts)
			for team := range 16 {
				counts[fleet.TeamName(fmt.Sprint("team-", team))] = 100
			}
			p.duties.usage.Merge(window, duty.Origin{DataCentre: fleet.DataCentre(fmt.Sprint("dc-", origin%snapshotDataCentres)), Boot: fmt.Sprint("edge-", origin)}, counts)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go func() { _ = p.directory.run(ctx) }()
	go func() {
		for {
			select {
			case msg := <-p.duties.mailbox.Receive():
				p.duties.handle(ctx, msg)
			case <-ctx.Done():
				return
			}
		}
	}()
	server := httptest.NewServer(snapshotHandler(p))
	t.Cleanup(server.Close)
	err := p.directory.mailbox.Send(ctx, entriesRead{
		records: []platform.Record{entry("i-1", "ready", 3)}, resync: true, end: 4, source: sourceStore,
	})
	if err != nil {
		t.Fatal(err)
	}
	return cornelholdv1connect.NewInstanceServiceClient(server.Client(), server.URL)
}

// TestListPullsAreSmall guards against a reader of the store whose link and processor are
// busy for seconds with usage counts when its peers pull a list change from it (rule DRAIN).
func TestListPullsAreSmall(t *testing.T) {
	is := is.New(t)
	peer := newSnapshotPeer(t)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	first, err := peer.Snapshot(ctx, connect.NewRequest(&cornelholdv1.SnapshotRequest{}))
	is.NoErr(err)
	is.Equal(len(first.Msg.GetWindows()), 12*snapshotDataCentres) // a restarted instance gets the counts from before
	later, err := peer.Snapshot(ctx, connect.NewRequest(&cornelholdv1.SnapshotRequest{OmitUsage: true}))
	is.NoErr(err)
	is.Equal(len(later.Msg.GetEntries()), 1)
	is.True(proto.Size(later.Msg) <= maxListPullBytes)
}

// pullRecorder is a peer that records the requests for snapshots.
type pullRecorder struct {
	requests chan *cornelholdv1.SnapshotRequest
}

func (r pullRecorder) Snapshot(_ context.Context, request *connect.Request[cornelholdv1.SnapshotRequest]) (*connect.Response[cornelholdv1.SnapshotResponse], error) {
	r.requests <- request.Msg
	return connect.NewResponse(&cornelholdv1.SnapshotResponse{}), nil
}

// TestUsageIsPulledAtTheStartOnly guards against an instance that requests the usage counts
// of all instances with each list change.
func TestUsageIsPulledAtTheStartOnly(t *testing.T) {
	is := is.New(t)
	recorder := pullRecorder{requests: make(chan *cornelholdv1.SnapshotRequest, 1)}
	mux := http.NewServeMux()
	mux.Handle(cornelholdv1connect.NewInstanceServiceHandler(recorder))
	server := httptest.NewServer(mux)
	defer server.Close()
	address, err := netip.ParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	is.NoErr(err)
	logger := &log.Logger{Handler: discard.New()}
	registry := prometheus.NewRegistry()
	p := newProcess(platform.Deployment{Node: "n", Control: address.String()}, logger, newMetrics(registry, logger), registry)
	for i := range maxUsagePulls + 2 {
		p.peers.puller.pull(t.Context(), address.Addr(), directoryState{}, 0)
		is.Equal((<-recorder.requests).GetOmitUsage(), i >= maxUsagePulls)
	}
}
