package edge

import (
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	cornelholdv1 "github.com/cornelhold/cornelhold/gen/cornelhold/v1"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/turns"
)

const (
	// maxTurnName bounds the names in a datagram about turns, in bytes.
	maxTurnName = 256
	// maxHeldTurns, maxHeldAsks and maxRecentEnds bound the lists of a statement, so that it fits into a
	// datagram. An instance has a few calls of a service that needs turns. Ends that are left out have
	// been sent on their own.
	maxHeldTurns  = 256
	maxHeldAsks   = 4096
	maxRecentEnds = 128
	// maxTurnTime bounds the times in a datagram.
	maxTurnTime = time.Hour
)

// encodeTurns encodes a message about turns: an ask, an end, a statement or an answer.
func encodeTurns(node string, content any) ([]byte, error) {
	m := &cornelholdv1.TurnsMessage{Node: node}
	switch c := content.(type) {
	case turns.Ask:
		m.Content = &cornelholdv1.TurnsMessage_Ask{Ask: &cornelholdv1.TurnAsk{
			Key: encodeTurnKey(c.Key), Service: string(c.Service), Team: string(c.Team), Priority: int32(c.Priority),
			ObjectiveLeftUs: c.ObjectiveLeft.Microseconds(), DeadlineLeftUs: c.DeadlineLeft.Microseconds(), Fingerprint: uint64(c.Fingerprint),
			Excluded: lo.Map(c.Excluded, func(e fleet.EndpointID, _ int) string { return string(e) }),
		}}
	case turns.End:
		m.Content = &cornelholdv1.TurnsMessage_End{End: encodeTurnEnd(c, 0)}
	case turns.Held:
		m.Content = &cornelholdv1.TurnsMessage_Held{Held: encodeHeld(c)}
	case turns.Grant:
		m.Content = &cornelholdv1.TurnsMessage_Grant{Grant: &cornelholdv1.TurnGrant{
			Key: encodeTurnKey(c.Key), Service: string(c.Service), Endpoint: string(c.Endpoint), WaitedUs: c.Waited.Microseconds(), Place: int32(c.Place),
		}}
	case turns.Deny:
		m.Content = &cornelholdv1.TurnsMessage_Denial{Denial: &cornelholdv1.TurnDenial{
			Key: encodeTurnKey(c.Key), RetryAfterUs: c.RetryAfter.Microseconds(), Reason: c.Reason,
		}}
	case turns.Queued:
		m.Content = &cornelholdv1.TurnsMessage_Queued{Queued: &cornelholdv1.TurnQueued{
			Key: encodeTurnKey(c.Key), Service: string(c.Service), Place: int32(c.Place), ExpectedUs: c.Expected.Microseconds(),
		}}
	case turns.Unknown:
		m.Content = &cornelholdv1.TurnsMessage_Unknown{Unknown: &cornelholdv1.TurnUnknown{Key: encodeTurnKey(c.Key)}}
	}
	data, err := proto.Marshal(m)
	return data, Error.Wrap(err)
}

func encodeTurnKey(k turns.Key) *cornelholdv1.TurnKey {
	return &cornelholdv1.TurnKey{Instance: k.Instance, Id: k.ID}
}

func encodeTurnEnd(e turns.End, _ int) *cornelholdv1.TurnEnd {
	return &cornelholdv1.TurnEnd{
		Key: encodeTurnKey(e.Key), Service: string(e.Service), Endpoint: string(e.Endpoint),
		Outcome: cornelholdv1.TurnOutcome(e.Outcome), TookUs: e.Took.Microseconds(),
	}
}

func encodeHeld(h turns.Held) *cornelholdv1.TurnsHeld {
	return &cornelholdv1.TurnsHeld{
		Instance: h.Instance, Service: string(h.Service),
		Turns: lo.Map(h.Turns[:min(len(h.Turns), maxHeldTurns)], func(t turns.HeldTurn, _ int) *cornelholdv1.HeldTurn {
			return &cornelholdv1.HeldTurn{
				Id: t.Key.ID, Endpoint: string(t.Endpoint), Team: string(t.Team), Priority: int32(t.Priority), LeftUs: t.Left.Microseconds(),
			}
		}),
		Asks:  lo.Map(h.Asks[:min(len(h.Asks), maxHeldAsks)], func(k turns.Key, _ int) uint64 { return k.ID }),
		Ended: lo.Map(h.Ended[max(len(h.Ended)-maxRecentEnds, 0):], encodeTurnEnd),
	}
}

// decodeTurns returns the node of the sender and the content of a datagram about turns.
func decodeTurns(data []byte) (node string, content any, err error) {
	var m cornelholdv1.TurnsMessage
	if err := proto.Unmarshal(data, &m); err != nil {
		return "", nil, Error.Wrap(err)
	}
	d := turnsDecoder{}
	node = d.name(m.GetNode())
	switch c := m.GetContent().(type) {
	case *cornelholdv1.TurnsMessage_Ask:
		content = d.ask(c.Ask)
	case *cornelholdv1.TurnsMessage_End:
		content = d.end(c.End)
	case *cornelholdv1.TurnsMessage_Held:
		content = d.held(node, c.Held)
	case *cornelholdv1.TurnsMessage_Grant:
		content = turns.Grant{
			Key: d.key(c.Grant.GetKey()), Service: d.service(c.Grant.GetService()), Endpoint: d.endpoint(c.Grant.GetEndpoint()),
			Waited: d.time(c.Grant.GetWaitedUs()), Place: d.count(c.Grant.GetPlace()),
		}
	case *cornelholdv1.TurnsMessage_Denial:
		content = turns.Deny{Key: d.key(c.Denial.GetKey()), RetryAfter: d.time(c.Denial.GetRetryAfterUs()), Reason: d.reason(c.Denial.GetReason())}
	case *cornelholdv1.TurnsMessage_Queued:
		content = turns.Queued{
			Key: d.key(c.Queued.GetKey()), Service: d.service(c.Queued.GetService()), Place: d.count(c.Queued.GetPlace()),
			Expected: d.time(c.Queued.GetExpectedUs()),
		}
	case *cornelholdv1.TurnsMessage_Unknown:
		content = turns.Unknown{Key: d.key(c.Unknown.GetKey())}
	default:
		d.malformed = true
	}
	if d.malformed {
		return "", nil, Error.New("malformed message about turns; it is dropped")
	}
	return node, content, nil
}

// turnsDecoder decodes the parts of a message and remembers whether one is malformed.
type turnsDecoder struct{ malformed bool }

// check keeps a value if it is well formed.
func check[T any](d *turnsDecoder, value T, ok bool) T {
	d.malformed = d.malformed || !ok
	return value
}

func (d *turnsDecoder) name(s string) string {
	return check(d, s, s != "" && len(s) <= maxTurnName)
}

func (d *turnsDecoder) service(s string) fleet.ServiceName { return fleet.ServiceName(d.name(s)) }
func (d *turnsDecoder) endpoint(s string) fleet.EndpointID { return fleet.EndpointID(d.name(s)) }
func (d *turnsDecoder) count(n int32) int                  { return check(d, int(n), n >= 0) }
func (d *turnsDecoder) key(k *cornelholdv1.TurnKey) turns.Key {
	return turns.Key{Instance: d.name(k.GetInstance()), ID: k.GetId()}
}

// optional decodes a name that may be empty.
func (d *turnsDecoder) optional(s string) string { return check(d, s, len(s) <= maxTurnName) }

// reason decodes a reason of a denial. Only known ones become labels of metrics.
func (d *turnsDecoder) reason(s string) string {
	switch s {
	case turns.ReasonObjective, turns.ReasonDeadline, turns.ReasonFull, turns.ReasonNoEndpoint:
		return s
	}
	return "other"
}

// left decodes a time until something, which may have passed.
func (d *turnsDecoder) left(us int64) time.Duration {
	limit := maxTurnTime.Microseconds()
	return time.Duration(check(d, us, us >= -limit && us <= limit)) * time.Microsecond
}

func (d *turnsDecoder) time(us int64) time.Duration { return check(d, d.left(us), us >= 0) }

func (d *turnsDecoder) ask(m *cornelholdv1.TurnAsk) turns.Ask {
	check(d, 0, len(m.GetExcluded()) <= turns.MaxExcluded)
	return turns.Ask{
		Key: d.key(m.GetKey()), Service: d.service(m.GetService()), Team: fleet.TeamName(d.optional(m.GetTeam())), Priority: d.count(m.GetPriority()),
		ObjectiveLeft: d.left(m.GetObjectiveLeftUs()), DeadlineLeft: d.left(m.GetDeadlineLeftUs()), Fingerprint: fleet.Fingerprint(m.GetFingerprint()),
		Excluded: lo.Map(m.GetExcluded(), func(e string, _ int) fleet.EndpointID { return d.endpoint(e) }),
	}
}

func (d *turnsDecoder) end(m *cornelholdv1.TurnEnd) turns.End {
	outcome := m.GetOutcome()
	_, known := cornelholdv1.TurnOutcome_name[int32(outcome)]
	check(d, 0, known && outcome != cornelholdv1.TurnOutcome_TURN_OUTCOME_UNSPECIFIED)
	return turns.End{
		Key: d.key(m.GetKey()), Service: d.service(m.GetService()), Endpoint: fleet.EndpointID(d.optional(m.GetEndpoint())),
		Outcome: turns.Outcome(outcome), Took: d.time(m.GetTookUs()),
	}
}

func (d *turnsDecoder) held(node string, m *cornelholdv1.TurnsHeld) turns.Held {
	check(d, 0, len(m.GetTurns()) <= maxHeldTurns && len(m.GetAsks()) <= maxHeldAsks && len(m.GetEnded()) <= maxRecentEnds)
	h := turns.Held{From: node, Instance: d.name(m.GetInstance()), Service: d.service(m.GetService())}
	if d.malformed {
		return h
	}
	for _, t := range m.GetTurns() {
		h.Turns = append(h.Turns, turns.HeldTurn{
			Key: turns.Key{Instance: h.Instance, ID: t.GetId()}, Endpoint: d.endpoint(t.GetEndpoint()),
			Team: fleet.TeamName(d.optional(t.GetTeam())), Priority: d.count(t.GetPriority()), Left: d.left(t.GetLeftUs()),
		})
	}
	for _, id := range m.GetAsks() {
		h.Asks = append(h.Asks, turns.Key{Instance: h.Instance, ID: id})
	}
	for _, e := range m.GetEnded() {
		h.Ended = append(h.Ended, d.end(e))
	}
	return h
}
