package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/storelog"
)

const (
	// maxChoiceAgeShare is the greatest age of the instance list at the choice of an
	// endpoint, as a share of the drain bound.
	maxChoiceAgeShare = 0.65
	// maxSendAgeShare is the greatest age of the list when a request is written. The
	// rest of the drain bound is for its way to the endpoint.
	maxSendAgeShare = 0.75
	// outageTTL is how long a failed read of the list shows that the store cannot be
	// reached. It covers the time between two attempts to read.
	outageTTL = 2 * time.Second
)

// listAge is the age of the instance list. A list that is too old names endpoints that
// may have begun to drain; it is used only while the store cannot be reached.
type listAge struct {
	// drainBound is the time within which requests must no longer reach a draining
	// endpoint; 0 means no bound.
	drainBound time.Duration
	// position is the place of the list in its log.
	position storelog.Position
	// completeAt is when the list was last known to be complete, if confirmed is set.
	completeAt time.Duration
	confirmed  bool
	// unreachableAt is when the last read of the list failed, if unreachable is set.
	unreachableAt time.Duration
	unreachable   bool
}

func (l *listAge) confirm(at time.Duration) {
	if !l.confirmed || at > l.completeAt {
		l.completeAt, l.confirmed = at, true
	}
	l.unreachable = l.unreachable && at <= l.unreachableAt
}

func (l *listAge) readFailed(at time.Duration) { l.unreachableAt, l.unreachable = at, true }

// storeUnreachable reports whether the store could not be reached recently.
func (l *listAge) storeUnreachable(now time.Duration) bool {
	return l.unreachable && now-l.unreachableAt <= outageTTL
}

// current reports whether the list is new enough for the choice of an endpoint.
func (l *listAge) current(now time.Duration) bool {
	return l.drainBound <= 0 || l.confirmed && now-l.completeAt <= l.share(maxChoiceAgeShare)
}

// usable reports whether an endpoint may be chosen from the list: it is current, or no
// newer one can be had.
func (l *listAge) usable(now time.Duration) bool {
	return l.current(now) || l.storeUnreachable(now)
}

// sendBy returns the time by which a request to an endpoint chosen now must be written;
// 0 means no limit.
func (l *listAge) sendBy(now time.Duration) time.Duration {
	if l.drainBound <= 0 || !l.current(now) {
		return 0
	}
	return l.completeAt + l.share(maxSendAgeShare)
}

func (l *listAge) share(share float64) time.Duration {
	return time.Duration(float64(l.drainBound) * share)
}

// heldRequest is a request whose endpoint is chosen once the list is usable.
type heldRequest struct {
	id RequestID
	// arrival is the request if it is new, else nil: the endpoint of a retry is chosen.
	arrival *Request
	failure Failure
	heldAt  time.Duration
}

// hold keeps a request until the list is usable. The first one held requests a read of
// the list.
func (m *Machine) hold(h heldRequest) []Action {
	m.held = append(m.held, h)
	if len(m.held) > 1 {
		return nil
	}
	return []Action{ReadList{}}
}

// release resumes the held requests if the list is usable.
func (m *Machine) release(now time.Duration) []Action {
	if len(m.held) == 0 || !m.list.usable(now) {
		return nil
	}
	held := m.held
	m.held = nil
	var actions []Action
	for _, h := range held {
		if h.arrival == nil {
			actions = append(actions, m.retryOrRefuse(now, h.id, h.failure)...)
			continue
		}
		request := *h.arrival
		request.Waited += now - h.heldAt
		actions = append(actions, m.requestArrived(now, RequestArrived{ID: h.id, Request: request})...)
	}
	return actions
}
