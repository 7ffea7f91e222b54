package gateway

import (
	"maps"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/catalog"
	"github.com/cornelhold/cornelhold/internal/core/evacuation"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	// maxMovesAtOnce bounds the moves from one endpoint that this instance performs at the same
	// time. Copies queue on the endpoint's link, so that more of them only lengthen the pause of
	// each stream.
	maxMovesAtOnce = 4
	// maxDestinations bounds the destinations that are tried for one stream.
	maxDestinations = 8
	// noRoomTime is how long a destination that had no room is avoided, though it has free slots: its
	// memory is not known. A few requests end within that time.
	noRoomTime = 500 * time.Millisecond
	// maxSpreadShare is the part of the time left over which moves are spread at most, as a divisor.
	maxSpreadShare = 4
)

// evacuated is the state of an endpoint that the cloud takes back.
type evacuated struct {
	leavesAt time.Duration
	// waiting holds the streams of this instance for which a decision is due, nextStart is when the
	// first of them may move.
	waiting   map[RequestID]waitingStream
	nextStart time.Duration
	// moving is the number of moves from the endpoint in progress.
	moving int
}

// waitingStream is a stream for which a decision is due. Its move begins at startAt or later.
type waitingStream struct {
	progress StreamProgress
	startAt  time.Duration
}

// runMove is the move of a request's run in progress. The request counts as load of both endpoints.
type runMove struct{ source, destination *endpoint }

// continuation is a run that was sent on with its memory and has produced no event since.
type continuation struct {
	source *endpoint
	handle string
	// usableUntil is when the source is gone or has freed the memory of the stopped run.
	usableUntil time.Duration
}

// moves returns the engine of a service if its running requests can be moved, else nil.
func (m *Machine) moves(s fleet.ServiceName) *catalog.Engine {
	if m.catalog == nil {
		return nil
	}
	if engine := m.catalog.Services[s].Engine; engine != nil && engine.Moves {
		return engine
	}
	return nil
}

// reviewEvacuations asks again for the progress of the streams on endpoints that leave, since those
// that were expected to end may not, and forgets endpoints that are gone.
func (m *Machine) reviewEvacuations(now time.Duration) []Action {
	if len(m.evacuating) == 0 {
		return nil
	}
	m.evacuating = slices.DeleteFunc(m.evacuating, func(e *endpoint) bool { return now >= e.evacuated.leavesAt })
	return m.askAll(now)
}

// askAll asks for the progress of all streams on endpoints that leave.
func (m *Machine) askAll(now time.Duration) []Action {
	var actions []Action
	for _, id := range slices.Sorted(maps.Keys(m.open)) {
		actions = append(actions, m.askProgress(now, id, m.open[id])...)
	}
	return actions
}

// askProgress asks for the progress of a request if it is a stream that may have to move. One
// without an event is left to the endpoint, which rejects or runs it, and so is one whose time is over
// before the endpoint is gone.
func (m *Machine) askProgress(now time.Duration, id RequestID, o *openRequest) []Action {
	e := o.endpoint
	if e == nil || !o.started || o.route.Kind != catalog.KindStream {
		return nil
	}
	if e.evacuated == nil {
		return m.askNotice(now, e)
	}
	if o.asked || o.move != nil || now >= e.evacuated.leavesAt || o.deadlineAt <= e.evacuated.leavesAt {
		return nil
	}
	if _, waits := e.evacuated.waiting[id]; waits {
		return nil
	}
	o.asked = true
	return []Action{ReportProgress{ID: id}}
}

// processEvacuation processes a message about a stream on an endpoint that leaves.
func (m *Machine) processEvacuation(now time.Duration, msg Message) []Action {
	switch msg := msg.(type) {
	case NoticeRead:
		return m.noticeRead(now, msg)
	case StreamProgress:
		return m.streamProgress(now, msg)
	case StreamMoved:
		return m.streamMoved(now, msg)
	}
	return nil
}

func (m *Machine) streamProgress(now time.Duration, msg StreamProgress) []Action {
	o, ok := m.open[msg.ID]
	if !ok {
		return nil
	}
	o.asked = false
	if o.endpoint == nil || o.endpoint.evacuated == nil || o.move != nil || msg.Events == 0 {
		return nil
	}
	o.endpoint.evacuated.waiting[msg.ID] = waitingStream{progress: msg, startAt: now + m.startDelay(now, o, msg)}
	return m.startMoves(now, o.endpoint)
}

// startDelay spreads the moves of all instances from an endpoint over the time that its link needs
// for them, so that the second copy of a run, for which its stream pauses, does not queue behind the
// first copies of all others.
func (m *Machine) startDelay(now time.Duration, o *openRequest, p StreamProgress) time.Duration {
	e := o.endpoint
	engine := m.moves(e.Service)
	if engine == nil || len(o.moveTried) > 0 {
		return 0 // another destination is tried at once
	}
	tokens := o.request.PromptTokens + p.Events*max(engine.Stride, 1)
	copyTime := time.Duration(tokens) * evacuation.CopyTimePerToken(engine.BytesPerToken, engine.LinkMbps)
	spread := min(copyTime*time.Duration(e.load().Active), (e.evacuated.leavesAt-now)/maxSpreadShare)
	return time.Duration(float64(max(spread, 0)) * jitterFactor(o.request.Random, e))
}

// startDueMoves begins the moves whose time has come.
func (m *Machine) startDueMoves(now time.Duration) []Action {
	var actions []Action
	for _, e := range m.evacuating {
		if now >= e.evacuated.nextStart {
			actions = append(actions, m.startMoves(now, e)...)
		}
	}
	return actions
}

// startMoves decides on the waiting streams of an endpoint and begins as many moves as may be in
// progress.
func (m *Machine) startMoves(now time.Duration, e *endpoint) []Action {
	ev := e.evacuated
	engine := m.moves(e.Service)
	if engine == nil || len(ev.waiting) == 0 || ev.moving >= maxMovesAtOnce {
		return nil
	}
	var streams []evacuation.Stream
	for id, waits := range ev.waiting {
		o, ok := m.open[id]
		if !ok || o.endpoint != e || o.move != nil {
			delete(ev.waiting, id)
			continue
		}
		streams = append(streams, m.evacuatedStream(o, waits.progress, engine))
	}
	left := ev.leavesAt - now
	ev.nextStart = ev.leavesAt
	var actions []Action
	for _, d := range evacuation.Plan(streams, left, evacuation.CopyTimePerToken(engine.BytesPerToken, engine.LinkMbps)) {
		id := RequestID(d.Stream.ID)
		if d.Option == evacuation.OptionMove {
			startAt := ev.waiting[id].startAt
			if startAt > now {
				ev.nextStart = min(ev.nextStart, startAt)
			}
			if startAt > now || ev.moving >= maxMovesAtOnce {
				continue
			}
			if move, ok := m.beginMove(now, id, d.Stream.Tokens, ""); ok {
				actions = append(actions, move)
			} else {
				d.Option = evacuation.OptionStay
			}
		}
		delete(ev.waiting, id)
		if o := m.open[id]; o.planned != d.Option {
			o.planned = d.Option
			m.notes = append(m.notes, StreamPlanned{ID: id, Endpoint: e.ID, Option: d.Option, Stream: d.Stream, Left: left})
		}
	}
	return actions
}

func (m *Machine) evacuatedStream(o *openRequest, p StreamProgress, engine *catalog.Engine) evacuation.Stream {
	generated := p.Events * engine.Stride
	s := evacuation.Stream{
		ID: uint64(p.ID), Priority: o.route.Priority, Tokens: o.request.PromptTokens + generated,
		TokenTime: p.EventTime / time.Duration(max(engine.Stride, 1)), Resumable: o.route.Repeatable(),
	}
	lengths, ok := m.lengths[o.route.Name]
	if !ok {
		lengths = &evacuation.Lengths{}
	}
	s.Rest = lengths.Rest(generated, o.request.MaxOutputTokens)
	return s
}

// beginMove chooses a destination for a request's run. It reports false if there is none or the time
// is over.
func (m *Machine) beginMove(now time.Duration, id RequestID, tokens int, handle string) (Action, bool) {
	o := m.open[id]
	source := o.endpoint
	by := source.evacuated.leavesAt - evacuation.MoveMargin
	if now >= by || len(o.moveTried) >= maxDestinations {
		return nil, false
	}
	m.chooseVersion(now, o)
	var chosen *endpoint
	var best float64
	for e := range m.candidates(now, o) {
		if o.moveTried[e.ID] || e.Lapsed || now < e.suspectUntil {
			continue
		}
		d := evacuation.Destination{Hash: e.hash, Free: e.Slots - e.load().Active, Remote: e.DataCentre != source.DataCentre}
		if now < e.noRoomUntil {
			d.Free = 0
		}
		if score := d.Score(o.request.Random); chosen == nil || score > best {
			chosen, best = e, score
		}
	}
	if chosen == nil {
		return nil, false
	}
	if o.moveTried == nil {
		o.moveTried = make(map[fleet.EndpointID]bool)
	}
	o.moveTried[chosen.ID] = true
	o.move = &runMove{source: source, destination: chosen}
	chosen.own.Active++
	source.evacuated.moving++
	return MoveStream{ID: id, From: source.Endpoint, To: chosen.Endpoint, Handle: handle, By: by, Tokens: tokens}, true
}

// dropMove ends the move of a request that has ended or failed meanwhile.
func (o *openRequest) dropMove() {
	if o.move == nil {
		return
	}
	o.move.destination.own.Active--
	o.move.source.evacuated.moving--
	o.move = nil
}

// streamMoved decides how a request goes on after a move. A destination that drains since is none any
// more; the source still has the memory of the run.
func (m *Machine) streamMoved(now time.Duration, msg StreamMoved) []Action {
	o, ok := m.open[msg.ID]
	if !ok || o.move == nil {
		return nil
	}
	move := *o.move
	o.dropMove()
	if msg.Reason == evacuation.AnswerNoRoom {
		move.destination.noRoomUntil = now + noRoomTime
	}
	stopped := m.stoppedRun(now, move.source, msg.Handle)
	var actions []Action
	d := move.destination
	switch {
	case msg.Outcome == MoveCompleted && m.endpoints[d.ID] == d && !d.Draining:
		o.moveTried = nil
		actions = m.continueAt(now, msg.ID, d, stopped)
	case msg.Outcome == MoveCompleted, msg.Outcome == MoveStopped:
		if again, ok := m.beginMove(now, msg.ID, 0, msg.Handle); ok {
			actions = []Action{again}
		} else {
			actions = m.continueAt(now, msg.ID, move.source, stopped)
		}
	case msg.Reason != evacuation.AnswerUnknownRun && msg.Reason != evacuation.AnswerBusy:
		actions = m.askProgress(now, msg.ID, o)
	}
	return append(actions, m.startMoves(now, move.source)...)
}

// stoppedRun describes a run that its source has stopped now.
func (m *Machine) stoppedRun(now time.Duration, source *endpoint, handle string) continuation {
	until := source.evacuated.leavesAt
	if engine := m.moves(source.Service); engine != nil && engine.HandleTTL > 0 {
		until = min(until, now+engine.HandleTTL)
	}
	return continuation{source: source, handle: handle, usableUntil: until}
}

// continueAt sends a stopped run on to an endpoint, which is neither an attempt nor a retry.
func (m *Machine) continueAt(now time.Duration, id RequestID, e *endpoint, c continuation) []Action {
	o := m.open[id]
	if o.endpoint != nil {
		o.endpoint.removeRequest(0, true)
	}
	e.own.Active++
	o.tried[e.ID] = true
	o.endpoint, o.sentAt, o.estimate, o.continued = e, now, estimate{}, &c
	send := m.sendAction(now, id, o)
	send.Copy = RunCopy{Source: c.source.Address, Handle: c.handle}
	if e == c.source {
		send.SendBy = c.usableUntil
	}
	return []Action{send}
}

// continuationFailed reacts to the failure of a run that was sent on. If it did not run, its source,
// which keeps the memory of a stopped run for a while, may continue it.
func (m *Machine) continuationFailed(now time.Duration, o *openRequest, e *endpoint, msg AttemptFailed) []Action {
	c := *o.continued
	o.continued = nil
	notRun := msg.Failure == FailureDial || msg.Failure == FailureRejected || msg.Failure == FailureNotSentInTime
	if notRun && e != c.source && now < c.usableUntil {
		return m.continueAt(now, msg.ID, c.source, c)
	}
	// The run has produced events before, so that only resumable routes may run it again.
	return m.retryOrRefuse(now, msg.ID, FailureConnectionLost)
}

// observeLength learns the length of a complete response.
func (m *Machine) observeLength(o *openRequest, events int) {
	engine := m.moves(o.service)
	if engine == nil || events == 0 || !o.request.HasTokens {
		return
	}
	lengths, ok := m.lengths[o.route.Name]
	if !ok {
		lengths = &evacuation.Lengths{}
		m.lengths[o.route.Name] = lengths
	}
	lengths.Observe(events*max(engine.Stride, 1), o.request.MaxOutputTokens)
}
