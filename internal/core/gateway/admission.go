package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// defaultDeadline applies if neither caller nor route sets one.
	defaultDeadline = 30 * time.Second
	// minTeamRetryAfter and maxTeamRetryAfter bound the retry delay that a team
	// over its quota is given.
	minTeamRetryAfter = 250 * time.Millisecond
	maxTeamRetryAfter = 3 * time.Second
	// retryAfter is the retry delay after a refusal for overload.
	retryAfter = 700 * time.Millisecond
	// startRetryAfter is the retry delay for an instance that has no
	// configuration yet.
	startRetryAfter = time.Second
)

func (m *Machine) requestArrived(now time.Duration, msg RequestArrived) []Action {
	switch {
	case !m.Ready():
		refusal := fleet.Refuse(fleet.RefusedNotReady, startRetryAfter, "this instance has no configuration yet; retry")
		return []Action{Refuse{ID: msg.ID, Refusal: refusal}}
	case !m.list.usable(now):
		return m.hold(heldRequest{id: msg.ID, arrival: &msg.Request, heldAt: now})
	}
	if a := m.admit(now, msg); a != nil {
		return []Action{a}
	}
	return nil
}

// admit sends a new request to an endpoint or refuses it. It returns nil if the request
// has to wait.
func (m *Machine) admit(now time.Duration, msg RequestArrived) Action {
	refuse := func(kind fleet.RefusalKind, after time.Duration, remedy string) Action {
		return Refuse{ID: msg.ID, Refusal: fleet.Refuse(kind, after, remedy)}
	}
	o, refusal := m.resolve(msg.Request)
	if refusal != nil {
		return Refuse{ID: msg.ID, Refusal: refusal}
	}
	o.arrivedAt = now - msg.Request.Waited
	o.deadlineAt = o.arrivedAt + timeLimit(msg.Request.Deadline, o.route.Timeout)
	if o.deadlineAt <= now {
		return refuse(fleet.RefusedOverload, retryAfter, "the caller's time was over before the request was read; retry")
	}
	if refusal, detail := m.quarantined(now, o); refusal != nil {
		return Refuse{ID: msg.ID, Refusal: refusal, Detail: detail}
	}
	if !msg.Request.waitedAsSuspect && m.awaitsDecision(now, o.traits) {
		m.waitingSuspects = append(m.waitingSuspects, waitingSuspect{arrival: msg, traits: o.traits, since: now})
		return nil
	}
	e, est, overloaded := m.chooseUsable(now, o)
	if e == nil {
		if until := m.mayAwait(now, o); until > 0 {
			m.awaiting = append(m.awaiting, awaitingRequest{id: msg.ID, arrival: &msg.Request, service: o.service, since: now, until: until})
			return nil
		}
		return refuse(fleet.RefusedNoEndpoint, m.noEndpointDelay(now, o.service, msg.Request.Random), "no endpoint of the service is available; retry")
	}
	if o.team != nil && !m.quota.Admit(now, o.team.Name, o.team.Rate, o.team.Burst, o.quotaAmount) {
		delay := m.quota.RetryDelay(now, o.team.Name, o.team.Rate, o.team.Burst, o.quotaAmount)
		after := min(max(delay, minTeamRetryAfter), maxTeamRetryAfter)
		return Refuse{
			ID: msg.ID, Refusal: fleet.Refuse(fleet.RefusedTeamLimit, after, "the team has used its allowance; retry later"),
			Detail: m.quota.Describe(now, o.team.Name, o.team.Rate, o.team.Burst),
		}
	}
	m.recordDemand(now, o)
	if _, inTurn := m.needsTurn(now, o); !inTurn && overloaded {
		m.recordLatency(now, o, o.route.LatencyObjective)
		return m.refuseOverload(now, msg.ID, o, est)
	}
	m.open[msg.ID] = o
	m.budget(o.service).RecordRequest(now)
	return m.sendInTurn(now, msg.ID, o, e, est, FailureNotSentInTime)
}

// refuseOverload ends a request for which its endpoint has too much to do.
func (m *Machine) refuseOverload(now time.Duration, id RequestID, o *openRequest, est estimate) Action {
	delete(m.open, id)
	m.refundQuota(now, o)
	after := min(max(est.firstByte/2, retryAfter), (o.deadlineAt-now)/3)
	return Refuse{ID: id, Refusal: fleet.Refuse(fleet.RefusedOverload, after, "the endpoints are overloaded; retry"), Detail: est.describe()}
}

// resolve determines the route, team, service and quota amount of a request.
func (m *Machine) resolve(r Request) (*openRequest, *fleet.Refusal) {
	route, ok := m.catalog.Match(r.Host, r.Path)
	if !ok {
		return nil, fleet.Refuse(fleet.RefusedNotFound, 0, "no route matches host and path; check both")
	}
	o := &openRequest{request: r, route: route, tried: make(map[fleet.EndpointID]bool)}
	if m.catalog.HasTeams() {
		team, known := m.catalog.TeamByKey(r.Key)
		if r.HasKey && known {
			o.team = team
		} else if !route.Public {
			return nil, fleet.Refuse(fleet.RefusedUnauthorized, 0, "the key is not known; check the key")
		}
	}
	o.service = split(route.Targets, r.Random)
	o.traits = requestTraits(r, o.team)
	if o.team != nil {
		o.quotaAmount = 1
		if o.team.CountTokens {
			o.quotaAmount = float64(o.team.DefaultTokens)
			if r.HasTokens {
				o.quotaAmount = float64(r.PromptTokens + r.MaxOutputTokens)
			}
		}
	}
	return o, nil
}

// split chooses a target by weight.
func split(targets []catalog.Target, random float64) fleet.ServiceName {
	var total float64
	for _, t := range targets {
		total += t.Weight
	}
	position := random * total
	for _, t := range targets {
		if position < t.Weight {
			return t.Service
		}
		position -= t.Weight
	}
	return targets[0].Service
}

func timeLimit(deadline, timeout time.Duration) time.Duration {
	switch {
	case deadline <= 0 && timeout <= 0:
		return defaultDeadline
	case deadline <= 0:
		return timeout
	case timeout <= 0:
		return deadline
	default:
		return min(deadline, timeout)
	}
}

func teamName(t *catalog.Team) fleet.TeamName {
	if t == nil {
		return ""
	}
	return t.Name
}

// requestPriority ranks by route and, within a route, by team.
func requestPriority(o *openRequest) int {
	const perRoute = 3
	team := 1
	if o.team != nil && o.team.Priority >= 0 {
		team = min(o.team.Priority, perRoute-1)
	}
	return min(o.route.Priority*perRoute+team, 9)
}

func (m *Machine) refundQuota(now time.Duration, o *openRequest) {
	if o.team != nil {
		m.quota.Refund(now, o.team.Name, o.quotaAmount)
	}
}
