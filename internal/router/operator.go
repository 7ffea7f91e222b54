package router

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/samber/lo"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/gen/cornelhold/v1/cornelholdv1connect"
	"github.com/cornelhold/cornelhold/internal/core/member"
	"github.com/cornelhold/cornelhold/internal/follow"
	"github.com/cornelhold/cornelhold/internal/peer"
)

// operatorHandler serves the Operator service from the follower and the
// membership task.
type operatorHandler struct {
	self       string
	follower   *follow.Follower
	membership *peer.Membership
}

func (h *operatorHandler) register(mux *http.ServeMux) {
	mux.Handle(cornelholdv1connect.NewOperatorHandler(h))
}

// State implements cornelholdv1connect.OperatorHandler.
func (h *operatorHandler) State(ctx context.Context, _ *connect.Request[cornelholdv1.StateRequest]) (*connect.Response[cornelholdv1.StateResponse], error) {
	snapshot, err := h.follower.Current(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	members, err := h.membership.Members(ctx)
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&cornelholdv1.StateResponse{
		Instance: h.self, Active: follow.EncodeSnapshot(snapshot), Members: lo.Map(members, toMemberState),
	}), nil
}

func toMemberState(u member.Update, _ int) *cornelholdv1.MemberState {
	return &cornelholdv1.MemberState{
		Instance: string(u.Instance), DataCentre: string(u.DataCentre), Region: string(u.Region),
		Address: u.Address, State: u.State.String(), Number: uint64(u.Number),
	}
}
