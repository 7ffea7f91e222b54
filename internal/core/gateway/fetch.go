package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/evacuation"
)

// minFetchTokens is the number of shared prompt tokens from which on an endpoint is asked to fetch them.
// Fewer are read sooner than a transfer begins.
const minFetchTokens = 256

// minFetchTime is how long an endpoint must still run to be a source. Transfers take a few ms, and queue on
// its link behind those of runs that are moved.
const minFetchTime = 200 * time.Millisecond

// fetchSource returns the address of the endpoint from which the chosen one fetches what it lacks of the shared parts of
// the prompt, or "". Instances send the requests of a session to the endpoints that they
// prefer for it if these have room, so one of them most likely has the parts: the first, or the second
// if the first is the chosen one, which may have been added since. An endpoint that has the parts itself
// fetches nothing. While one that was preferred before still runs for its notice, it is the source.
func (m *Machine) fetchSource(now time.Duration, o *openRequest) string {
	if !m.fetchPays(o) {
		return ""
	}
	p := o.preferred
	if p.former != nil && now >= p.former.leavesAt()-minFetchTime {
		p.former = nil
	}
	for _, e := range []*endpoint{p.former, p.first, p.second} {
		if e != nil && e != o.endpoint && e.Version == o.endpoint.Version {
			return e.Address
		}
	}
	return ""
}

// fetchPays reports whether the memory of the shared parts is fetched sooner than they are read again.
func (m *Machine) fetchPays(o *openRequest) bool {
	engine := m.moves(o.service)
	shared := o.request.PromptTokens - m.lastPartTokens(o)
	if engine == nil || shared < minFetchTokens {
		return false
	}
	perToken := evacuation.CopyTimePerToken(engine.BytesPerToken, engine.LinkMbps)
	return perToken > 0 && perToken < m.model.Speeds(o.service).ReadTime(1)
}
