package edge

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	"github.com/samber/lo"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/gen/cornelhold/v1/cornelholdv1connect"
	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/gateway"
	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/internal/socket"
	"github.com/cornelhold/cornelhold/internal/task"
	"github.com/cornelhold/cornelhold/platform"
)

const (
	// pullTimeout bounds one pull from a peer.
	pullTimeout = 800 * time.Millisecond
	// maxSnapshotBytes bounds the snapshot received from a peer.
	maxSnapshotBytes = 32 << 20
)

// snapshotServer serves snapshots to peers.
type snapshotServer struct{ process *process }

// Snapshot returns the configuration and the instance entries that the caller
// lacks, and all usage counts unless the caller omits them.
func (s snapshotServer) Snapshot(ctx context.Context, r *connect.Request[cornelholdv1.SnapshotRequest]) (*connect.Response[cornelholdv1.SnapshotResponse], error) {
	// The age is read before the list, so that the list is at least as new.
	listAge := s.process.list.age().Milliseconds()
	reply := make(chan snapshot, 1)
	err := s.process.directory.mailbox.Send(ctx, snapshotRequest{
		peerVersion: catalog.Version(r.Msg.GetConfigVersion()), peerPosition: storelog.Position(r.Msg.GetListPosition()), reply: reply,
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	var result snapshot
	select {
	case result = <-reply:
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
	}
	m := &cornelholdv1.SnapshotResponse{
		ListAgeMs: &listAge,
		Entries:   lo.Map(result.records, encodeRecord), ListPosition: int64(result.end), Complete: result.complete,
		Rollouts: encodePlans(s.process.gateway.rolloutPlans(), s.process.clock.Now()),
	}
	if !r.Msg.GetOmitUsage() {
		m.Windows = lo.Map(s.process.duties.allWindows(ctx), encodeWindow)
	}
	if result.config != nil {
		m.Config = encodeRecord(*result.config, 0)
	}
	return connect.NewResponse(m), nil
}

func snapshotHandler(p *process) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(cornelholdv1connect.NewInstanceServiceHandler(snapshotServer{process: p}))
	return mux
}

// puller requests from peers what this instance lacks.
type puller struct {
	process *process
	client  *http.Client
	port    string
	// usagePulls counts the snapshots received with usage counts.
	usagePulls atomic.Int32
}

// maxUsagePulls is the number of snapshots that an instance pulls with the usage
// counts from before its start. One is not enough, as the peer may have started at
// the same time. Later pulls omit the counts, which are large: newer ones are part
// of the reports of the peers.
const maxUsagePulls = 3

func newPuller(p *process) *puller {
	dialer := &net.Dialer{Timeout: pullTimeout, Control: platform.SetUserTimeout}
	return &puller{
		process: p, port: p.snapshotPort(),
		client: &http.Client{Transport: &http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: true, MaxResponseHeaderBytes: socket.MaxResponseHeadBytes,
		}},
	}
}

// snapshotPort returns the port of the control address, or the first peer port if
// there is none.
func (p *process) snapshotPort() string {
	if _, port, err := net.SplitHostPort(p.deployment.Control); err == nil {
		return port
	}
	return strconv.Itoa(p.deployment.FirstPeerPort)
}

// pull requests a snapshot from a peer and applies it. healthyFor is how long the
// peer's reads of the list have succeeded.
func (u *puller) pull(ctx context.Context, from netip.Addr, state directoryState, healthyFor time.Duration) {
	startedAt := task.BootTime()
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	client := cornelholdv1connect.NewInstanceServiceClient(
		u.client, "http://"+net.JoinHostPort(from.String(), u.port), connect.WithReadMaxBytes(maxSnapshotBytes))
	reply, err := client.Snapshot(ctx, connect.NewRequest(&cornelholdv1.SnapshotRequest{
		ConfigVersion: int64(state.Version), ListPosition: int64(state.Position), OmitUsage: u.usagePulls.Load() >= maxUsagePulls,
	}))
	if err != nil {
		u.process.log.WithField("peer", from.String()).WithError(err).Warn("snapshot could not be received from a peer")
		return
	}
	m := reply.Msg
	u.usagePulls.Add(1)
	u.process.log.WithFields(log.Fields{
		"peer": from.String(), "entries": len(m.GetEntries()), "list_position": storelog.Position(m.GetListPosition()), "config": m.GetConfig() != nil,
	}).Info("snapshot of a peer received")
	// Plans come before the endpoints that they withhold.
	if plans := decodePlans(m.GetRollouts(), u.process.clock.At(startedAt)); len(plans) > 0 {
		u.process.gateway.Post(ctx, gateway.RolloutsReported{Plans: plans})
	}
	if m.GetConfig() != nil {
		_ = u.process.directory.mailbox.Send(ctx, configRead{record: decodeRecord(m.GetConfig(), 0), source: sourcePeer})
	}
	if len(m.GetEntries()) > 0 || m.GetComplete() {
		applied := u.process.applyEntries(ctx, entriesRead{
			records: lo.Map(m.GetEntries(), decodeRecord), end: storelog.Position(m.GetListPosition()), resync: m.GetComplete(),
			source: sourcePeer, storeHealthy: healthyFor >= minHealthyTime,
		})
		if applied && m.ListAgeMs != nil {
			u.process.list.recordPeerRead(startedAt-milliseconds(m.GetListAgeMs()), healthyFor)
			u.process.confirmList(ctx)
		}
	}
	u.process.duties.post(peerUpdate{windows: lo.Map(m.GetWindows(), decodeWindow)})
}
