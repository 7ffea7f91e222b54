package operator

import (
	"context"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/gen/cornelhold/v1/cornelholdv1connect"
	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/member"
	"github.com/cornelhold/cornelhold/internal/follow"
	"github.com/cornelhold/cornelhold/internal/platform"
)

const (
	// queryTimeout limits the query to one instance.
	queryTimeout = 2 * time.Second
	// maxConcurrentQueries limits the instances that are queried at the same time.
	maxConcurrentQueries = 32
	// pollInterval is the time between two queries of Wait.
	pollInterval = 250 * time.Millisecond
)

// State is the active configuration and the active ticket number of each own
// instance.
type State struct {
	// Responder is the instance that sent Active and Members.
	Responder string
	Active    *config.Snapshot
	Members   []Member
}

// Member is an own instance and its active ticket number.
type Member struct {
	Instance   string `json:"instance"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region"`
	Address    string `json:"address"`
	// State is alive, suspect, leaving or dead.
	State  string `json:"state"`
	Number uint64 `json:"number"`
	// Responded is set if the instance itself sent the number. Otherwise Number is
	// the last one announced to the responding router.
	Responded bool `json:"answered"`
}

// Live reports whether the member is in any state but dead.
func (m Member) Live() bool { return m.State != member.StateDead.String() }

// StateReader queries routers and members for the active configuration.
type StateReader struct {
	routers []string
	client  *http.Client
}

// NewStateReader returns a reader that queries the routers, given by their peer
// addresses, in order until one responds.
func NewStateReader(routers []string) *StateReader {
	return &StateReader{routers: routers, client: platform.NewHTTPClient()}
}

// State queries a router for the active configuration and its member list, and
// then each live member for its number. ErrUnavailable means that no router
// responded.
func (r *StateReader) State(ctx context.Context) (*State, error) {
	response, err := r.queryRouters(ctx)
	if err != nil {
		return nil, err
	}
	active, err := follow.DecodeSnapshot(response.GetActive())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	state := &State{Responder: response.GetInstance(), Active: active}
	for _, m := range response.GetMembers() {
		state.Members = append(state.Members, Member{
			Instance: m.GetInstance(), DataCentre: m.GetDataCentre(), Region: m.GetRegion(),
			Address: m.GetAddress(), State: m.GetState(), Number: m.GetNumber(),
		})
	}
	slices.SortFunc(state.Members, func(a, b Member) int { return strings.Compare(a.Instance, b.Instance) })
	r.queryMembers(ctx, state.Members)
	return state, nil
}

func (r *StateReader) queryRouters(ctx context.Context) (*cornelholdv1.StateResponse, error) {
	var last error
	for _, address := range r.routers {
		queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		client := cornelholdv1connect.NewOperatorClient(r.client, "http://"+address)
		response, err := client.State(queryCtx, connect.NewRequest(&cornelholdv1.StateRequest{}))
		cancel()
		if err == nil {
			return response.Msg, nil
		}
		last = err
	}
	if last == nil {
		return nil, Error.New("no router given; pass --router with the peer address of any router")
	}
	return nil, ErrUnavailable.New("no router responded: %w; pass --router with the peer address of a running router", last)
}

// queryMembers replaces the numbers by those that the live members send
// themselves.
func (r *StateReader) queryMembers(ctx context.Context, members []Member) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentQueries)
	for i := range members {
		if !members[i].Live() {
			continue
		}
		group.Go(func() error {
			r.queryMember(ctx, &members[i])
			return nil
		})
	}
	_ = group.Wait()
}

func (r *StateReader) queryMember(ctx context.Context, m *Member) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	// No ticket follows the highest number, so that the response has no tickets.
	request := &cornelholdv1.FetchRequest{AfterNumber: math.MaxUint64}
	response, err := follow.NewRelayClient(r.client, m.Address).Fetch(ctx, connect.NewRequest(request))
	if err == nil {
		m.Number, m.Responded = response.Msg.GetNumber(), true
	}
}

// Wait polls until all live members have responded with at least the given
// number. If ctx ends first, ErrNotActive names the members that have not.
func (r *StateReader) Wait(ctx context.Context, number config.Number) (*State, error) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	missing := []string{"no router answered"}
	for {
		select {
		case <-ctx.Done():
			return nil, ErrNotActive.New("number %d is not active on: %s; check these instances with cornelctl state and wait again",
				number, strings.Join(missing, ", "))
		case <-timer.C:
		}
		if state, err := r.State(ctx); err == nil {
			if missing = state.membersBelow(number); len(missing) == 0 {
				return state, nil
			}
		}
		timer.Reset(pollInterval)
	}
}

// membersBelow returns the live members that did not respond with at least the
// given number.
func (s *State) membersBelow(number config.Number) []string {
	var missing []string
	for _, m := range s.Members {
		if m.Live() && (!m.Responded || m.Number < uint64(number)) {
			missing = append(missing, m.Instance)
		}
	}
	return missing
}
