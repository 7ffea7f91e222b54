package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/gen/cornelhold/v1/cornelholdv1connect"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/handoff"
	"github.com/cornelhold/cornelhold/internal/core/request"
	"github.com/cornelhold/cornelhold/internal/socket"
)

const (
	// handoffDialTimeout limits the time to connect to a peer, handoffTimeout a
	// whole call. A leaving router has only seconds, in which it may have to try
	// another peer.
	handoffDialTimeout = 500 * time.Millisecond
	handoffTimeout     = 2 * time.Second
)

// HandoffHandler handles handoff calls of other own instances. The router
// implements it.
type HandoffHandler interface {
	// Offer accepts or declines a request of a leaving router and reports whether
	// it was accepted.
	Offer(ctx context.Context, r handoff.Request) bool
	// Take returns a request to the router that its caller reconnected to. That
	// router takes it over, unless call.Peek is set.
	Take(ctx context.Context, call handoff.TakeoverCall) handoff.TakeoverReply
}

// HandoffService serves the handler to other own instances.
func HandoffService(h HandoffHandler) Service {
	return func(mux *http.ServeMux) {
		mux.Handle(cornelholdv1connect.NewHandoffHandler(&handoffServer{handler: h}))
	}
}

type handoffServer struct {
	handler HandoffHandler
}

// Offer implements the generated interface.
func (s *handoffServer) Offer(ctx context.Context, req *connect.Request[cornelholdv1.OfferRequest]) (*connect.Response[cornelholdv1.OfferResponse], error) {
	accepted := req.Msg.GetRecord() != nil && s.handler.Offer(ctx, fromRecord(req.Msg.GetRecord()))
	return connect.NewResponse(&cornelholdv1.OfferResponse{Accepted: accepted}), nil
}

// Take implements the generated interface.
func (s *handoffServer) Take(ctx context.Context, req *connect.Request[cornelholdv1.TakeRequest]) (*connect.Response[cornelholdv1.TakeResponse], error) {
	reply := s.handler.Take(ctx, handoff.TakeoverCall{
		ID: fleet.RequestID(req.Msg.GetRequestId()), Team: fleet.TeamName(req.Msg.GetTeam()),
		NewOwner: fleet.InstanceID(req.Msg.GetTaker()), Peek: req.Msg.GetPeek(),
	})
	resp := &cornelholdv1.TakeResponse{MovedTo: string(reply.MovedTo)}
	if reply.Request != nil {
		resp.Found = true
		resp.Record = toRecord(*reply.Request)
	}
	return connect.NewResponse(resp), nil
}

// HandoffClient calls the handoff service of other own instances.
type HandoffClient struct {
	http *http.Client
}

// NewHandoffClient returns a client whose calls time out after handoffTimeout.
func NewHandoffClient() *HandoffClient {
	dialer := &net.Dialer{Timeout: handoffDialTimeout}
	return &HandoffClient{http: &http.Client{
		Timeout: handoffTimeout,
		Transport: &http.Transport{
			DialContext: dialer.DialContext, IdleConnTimeout: idleTimeout, MaxResponseHeaderBytes: socket.MaxResponseHeadBytes,
		},
	}}
}

// Offer offers a request to the peer at the address. An error of class Error
// means that the peer may not have stored it, so another one must be tried.
func (c *HandoffClient) Offer(ctx context.Context, address string, r handoff.Request) error {
	resp, err := c.service(address).Offer(ctx, connect.NewRequest(&cornelholdv1.OfferRequest{Record: toRecord(r)}))
	if err != nil {
		return Error.New("peer %s did not respond to a handoff offer: %w; another peer is tried", address, err)
	}
	if !resp.Msg.GetAccepted() {
		return Error.New("peer %s declined a handoff offer; another peer is tried", address)
	}
	return nil
}

// Take takes over a request from the peer at the address, or reads it without
// taking it over if call.Peek is set.
func (c *HandoffClient) Take(ctx context.Context, address string, call handoff.TakeoverCall) (handoff.TakeoverReply, error) {
	resp, err := c.service(address).Take(ctx, connect.NewRequest(&cornelholdv1.TakeRequest{
		RequestId: string(call.ID), Team: string(call.Team), Taker: string(call.NewOwner), Peek: call.Peek,
	}))
	if err != nil {
		return handoff.TakeoverReply{}, Error.New("peer %s did not respond to a takeover call: %w; another peer is tried", address, err)
	}
	reply := handoff.TakeoverReply{MovedTo: fleet.InstanceID(resp.Msg.GetMovedTo())}
	if resp.Msg.GetFound() && resp.Msg.GetRecord() != nil {
		r := fromRecord(resp.Msg.GetRecord())
		reply.Request = &r
	}
	return reply, nil
}

func (c *HandoffClient) service(address string) cornelholdv1connect.HandoffClient {
	return cornelholdv1connect.NewHandoffClient(c.http, "http://"+address)
}

func toRecord(r handoff.Request) *cornelholdv1.RequestRecord {
	record := &cornelholdv1.RequestRecord{
		RequestId: string(r.ID), Team: string(r.Team), Service: string(r.Service), Adapter: r.Adapter,
		Prompt: r.Prompt, MaxTokens: int32(r.MaxTokens), RequestClass: int32(r.Class), Model: r.Model,
		Frames: r.Record.Frames, Finish: r.Record.Finish, Streamed: r.Record.Streamed,
		Attempts: uint32(r.Record.Attempts), Crashes: uint32(r.Record.Crashes), DeadlineLeftMs: r.MaxWait.Milliseconds(),
	}
	if refusal := r.Record.Refusal; refusal != nil {
		record.RefusalKind = string(refusal.Kind)
		record.RefusalRun = refusal.Run.String()
		record.RefusalRemedy = refusal.Remedy
	}
	return record
}

func fromRecord(r *cornelholdv1.RequestRecord) handoff.Request {
	decoded := handoff.Request{
		ID: fleet.RequestID(r.GetRequestId()), Team: fleet.TeamName(r.GetTeam()),
		Service: fleet.ServiceName(r.GetService()), Class: fleet.Class(r.GetRequestClass()),
		Adapter: r.GetAdapter(), Model: r.GetModel(), Prompt: r.GetPrompt(), MaxTokens: int(r.GetMaxTokens()),
		MaxWait: time.Duration(r.GetDeadlineLeftMs()) * time.Millisecond,
		Record: request.Record{
			Streamed: r.GetStreamed(), Frames: r.GetFrames(), Finish: r.GetFinish(),
			Attempts: fleet.AttemptNumber(r.GetAttempts()), Crashes: int(r.GetCrashes()),
		},
	}
	if r.GetRefusalKind() != "" {
		decoded.Record.Refusal = &fleet.Refusal{
			Kind: fleet.RefusalKind(r.GetRefusalKind()), Run: parseRun(r.GetRefusalRun()), Remedy: r.GetRefusalRemedy(),
		}
	}
	return decoded
}

func parseRun(name string) fleet.RunState {
	for _, run := range []fleet.RunState{fleet.RunNotRun, fleet.RunRan} {
		if run.String() == name {
			return run
		}
	}
	return fleet.RunUnknown
}
