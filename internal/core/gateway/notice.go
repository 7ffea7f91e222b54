package gateway

import (
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
)

const (
	// noticeTimeout bounds the questions for the time until an endpoint is gone. More of it would be
	// missing for the moves.
	noticeTimeout = 300 * time.Millisecond
	// noticePause is the time from an answer without a notice to the next question, since endpoints
	// report values that may be from before the notice. Questions are priced; within noticeTimeout there
	// are at most two.
	noticePause = noticeTimeout / 2
	// reportAge is the age of the values in a report.
	reportAge = 100 * time.Millisecond
	// assumedNotice is the assumed time from the list entry until an endpoint that states none is
	// gone. Notices are at least 2 s, of which the way of the entry to this instance takes a part.
	assumedNotice = 1500 * time.Millisecond
)

// reclaimNotice is the state of a reclaimable endpoint that drains and whose runs can be moved.
type reclaimNotice struct {
	// drainsSince is when the list said so, drainsAfter when it was last known to be complete without
	// that.
	drainsSince, drainsAfter time.Duration
	// askedAt is when the endpoint was last asked when it is gone, answerBy when that is assumed. Both
	// are 0 before the first question.
	askedAt, answerBy time.Duration
}

// noticeReclaims finds the reclaimable endpoints that have begun to drain, and asks those on which
// this instance has streams when they are gone.
func (m *Machine) noticeReclaims(now time.Duration) []Action {
	found := false
	for _, e := range m.endpoints {
		if e.Draining && e.Reclaimable && e.notice == nil && m.moves(e.Service) != nil {
			e.notice, found = &reclaimNotice{drainsSince: now, drainsAfter: m.list.completeAt}, true
			m.reclaimedAt[e.Service] = now
		}
	}
	m.setDraining()
	if !found {
		return nil
	}
	return m.askAll(now)
}

// askNotice asks an endpoint that this instance has not asked yet when it is gone.
func (m *Machine) askNotice(now time.Duration, e *endpoint) []Action {
	if e.notice == nil || e.notice.answerBy > 0 {
		return nil
	}
	e.notice.answerBy = now + noticeTimeout
	return e.readNotice(now)
}

func (e *endpoint) readNotice(at time.Duration) []Action {
	e.notice.askedAt = at
	return []Action{ReadNotice{Endpoint: e.Endpoint, At: at, By: e.notice.answerBy}}
}

// noticeRead begins the evacuation of an endpoint, or asks it once more.
func (m *Machine) noticeRead(now time.Duration, msg NoticeRead) []Action {
	e, ok := m.endpoints[msg.Endpoint]
	if !ok || e.Started != msg.Started || e.notice == nil || e.evacuated != nil {
		return nil
	}
	n, streams := e.notice, m.startedStreams(e)
	// The endpoint answered after the question, so that the time of the call is subtracted too.
	leavesAt := n.askedAt + msg.LeavesIn - reportAge
	if msg.LeavesIn <= 0 {
		if again := now + noticePause; again < n.answerBy && streams > 0 {
			return e.readNotice(again)
		}
		leavesAt = n.drainsSince + assumedNotice
	}
	e.evacuated = &evacuated{leavesAt: leavesAt, waiting: make(map[RequestID]waitingStream)}
	m.evacuating = append(m.evacuating, e)
	m.notes = append(m.notes, ReclaimNoticed{
		Endpoint: e.ID, Started: e.Started, Notice: leavesAt - now, Assumed: msg.LeavesIn <= 0, Streams: streams,
	})
	return m.askAll(now)
}

func (m *Machine) startedStreams(e *endpoint) int {
	streams := 0
	for _, o := range m.open {
		if o.endpoint == e && o.started && o.route.Kind == catalog.KindStream {
			streams++
		}
	}
	return streams
}
