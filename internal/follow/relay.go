package follow

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/gen/cornelhold/v1/cornelholdv1connect"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/platform"
	"github.com/cornelhold/cornelhold/internal/task"
)

const (
	// peerTimeout limits a call to a peer. It leaves time to fetch from another
	// peer within the 4 s limit on the activation of a ticket.
	peerTimeout = time.Second
	// maxPeerBytes limits the size of a message from a peer.
	maxPeerBytes = 16 << 20
	// relayQueue is the capacity of a peer task's queue. A push that finds the
	// queue full is dropped; the peer then fetches the missing tickets.
	relayQueue = 16
)

// AddressLookup returns the peer address of a live own instance.
type AddressLookup func(fleet.InstanceID) (address string, found bool)

// peerTask is the task that owns connections to peers and performs one call at a
// time.
type peerTask struct {
	lookup  AddressLookup
	client  *http.Client
	calls   task.Mailbox[config.FollowerAction]
	results task.Mailbox[any]
}

func newPeerTask(lookup AddressLookup, results task.Mailbox[any]) *peerTask {
	return &peerTask{
		lookup: lookup, client: platform.NewHTTPClient(),
		calls: task.NewMailbox[config.FollowerAction](relayQueue), results: results,
	}
}

// Run performs calls until ctx ends.
func (p *peerTask) Run(ctx context.Context) error {
	defer p.client.CloseIdleConnections()
	for {
		select {
		case <-ctx.Done():
			return nil
		case call := <-p.calls.Receive():
			p.perform(ctx, call)
		}
	}
}

func (p *peerTask) perform(ctx context.Context, call config.FollowerAction) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	switch call := call.(type) {
	case config.FetchPeer:
		_ = p.results.Send(ctx, p.fetch(callCtx, call))
	case config.Relay:
		if number, err := p.push(callCtx, call); err == nil {
			_ = p.results.Send(ctx, config.PeerNumber{Peer: call.To, Number: number})
		}
	}
}

func (p *peerTask) relayClient(id fleet.InstanceID) (cornelholdv1connect.ConfigRelayClient, error) {
	address, found := p.lookup(id)
	if !found {
		return nil, Error.New("instance %s is not in the list of live members; retry after the next membership update", id)
	}
	return NewRelayClient(p.client, address), nil
}

// NewRelayClient returns a client of the configuration relay at a peer address.
func NewRelayClient(client *http.Client, address string) cornelholdv1connect.ConfigRelayClient {
	return cornelholdv1connect.NewConfigRelayClient(client, "http://"+address, connect.WithReadMaxBytes(maxPeerBytes))
}

func (p *peerTask) fetch(ctx context.Context, call config.FetchPeer) config.FollowerMessage {
	failed := config.PeerFetchFailed{Peer: call.Peer}
	client, err := p.relayClient(call.Peer)
	if err != nil {
		return failed
	}
	request := &cornelholdv1.FetchRequest{AfterNumber: uint64(call.After), Whole: call.Complete}
	response, err := client.Fetch(ctx, connect.NewRequest(request))
	if err != nil {
		return failed
	}
	decoded, err := decodeFetchResponse(response.Msg)
	if err != nil {
		return failed
	}
	return config.PeerFetched{Peer: call.Peer, Response: decoded}
}

func (p *peerTask) push(ctx context.Context, call config.Relay) (config.Number, error) {
	client, err := p.relayClient(call.To)
	if err != nil {
		return 0, err
	}
	response, err := client.Push(ctx, connect.NewRequest(&cornelholdv1.PushRequest{Tickets: encodeTickets(call.Records)}))
	if err != nil {
		return 0, err
	}
	return config.Number(response.Msg.GetNumber()), nil
}

// relayHandler serves ConfigRelay by posting messages to the follower task.
type relayHandler struct {
	mailbox task.Mailbox[any]
}

// Push implements cornelholdv1connect.ConfigRelayHandler.
func (h *relayHandler) Push(ctx context.Context, r *connect.Request[cornelholdv1.PushRequest]) (*connect.Response[cornelholdv1.PushResponse], error) {
	reply := make(chan config.Number, 1)
	if err := h.mailbox.Send(ctx, pushRequest{records: decodeTickets(r.Msg.GetTickets()), reply: reply}); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	select {
	case number := <-reply:
		return connect.NewResponse(&cornelholdv1.PushResponse{Number: uint64(number)}), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeUnavailable, context.Cause(ctx))
	}
}

// Fetch implements cornelholdv1connect.ConfigRelayHandler.
func (h *relayHandler) Fetch(ctx context.Context, r *connect.Request[cornelholdv1.FetchRequest]) (*connect.Response[cornelholdv1.FetchResponse], error) {
	reply := make(chan config.FetchResponse, 1)
	msg := fetchRequest{after: config.Number(r.Msg.GetAfterNumber()), complete: r.Msg.GetWhole(), reply: reply}
	if err := h.mailbox.Send(ctx, msg); err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	select {
	case response := <-reply:
		return connect.NewResponse(encodeFetchResponse(response)), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeUnavailable, context.Cause(ctx))
	}
}
