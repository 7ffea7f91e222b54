package callerapi

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"github.com/danielgtaylor/huma/v2"

	"github.com/cornelhold/cornelhold/internal/core/config"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

// authenticate returns the team whose API key is in the Authorization header.
func authenticate(spec *config.Spec, header string) (*config.Team, *fleet.Refusal) {
	if spec == nil {
		return nil, fleet.Refuse(fleet.RefusedNotReady, notReadyRetryAfter,
			"no configuration is active yet; retry through the load balancer")
	}
	key, ok := strings.CutPrefix(header, "Bearer ")
	if !ok {
		return nil, fleet.Refuse(fleet.RefusedUnauthorized, 0, "send the team's API key as Authorization: Bearer KEY")
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	for _, team := range spec.Teams {
		if slices.Contains(team.KeyHashes, hash) {
			return team, nil
		}
	}
	return nil, fleet.Refuse(fleet.RefusedUnauthorized, 0, "the API key belongs to no team; ask an operator for a valid key")
}

// exchange is one request of an authenticated team. The configuration is read
// once, so that all checks of a request use the same version.
type exchange struct {
	ctx  huma.Context
	spec *config.Spec
	team *config.Team
}

// respond returns a response that authenticates the team and calls handle to
// write the rest. A refusal that handle returns is written as a Problem.
func (a *api) respond(authorization string, handle func(e exchange) *fleet.Refusal) *huma.StreamResponse {
	return &huma.StreamResponse{Body: func(ctx huma.Context) {
		spec := a.active.Spec()
		team, refusal := authenticate(spec, authorization)
		if refusal == nil {
			refusal = handle(exchange{ctx: ctx, spec: spec, team: team})
		}
		if refusal != nil {
			writeProblem(ctx, refusal)
		}
	}}
}
