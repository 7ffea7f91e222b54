package policybench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/core/reclaim"
)

const (
	// routers is the number of simulated routers. Each receives only its own
	// requests.
	routers = 8
	// localDelay and remoteDelay are one-way delays within and between data centres.
	localDelay  = time.Millisecond
	remoteDelay = 5 * time.Millisecond
	// reportInterval is the time between load reports of an endpoint, reportLag
	// the delay of each.
	reportInterval = 250 * time.Millisecond
	reportLag      = 150 * time.Millisecond
	// cacheEventLag is the delay of cache events; on average, one in
	// cacheLossInterval is lost.
	cacheEventLag     = time.Second
	cacheLossInterval = 10
	// reclaimAt is when the first data centre is reclaimed, reclaimNotice the
	// notice, listLag the lag of the instance list and replacementDelay the time
	// until replacements in other data centres are live.
	reclaimAt        = 30 * time.Second
	reclaimNotice    = 5 * time.Second
	listLag          = 2 * time.Second
	replacementDelay = 25 * time.Second
	// slowAt is when one endpoint becomes slow, slowFactor by how much its
	// processing times grow.
	slowAt     = 15 * time.Second
	slowFactor = 4
)

// progress is the state of one call and its outcome.
type progress struct {
	call         *call
	firstTokenAt time.Duration
	endAt        time.Duration
	refusal      fleet.RefusalKind
	attempts     int
	generated    int
	jobs         map[fleet.AttemptNumber]*job
	done         bool
}

type simulation struct {
	timeline
	user     *user
	random   *rand.Rand
	policies []Policy
	nodes    []*node
	byID     map[fleet.EndpointID]*node
	progress map[fleet.RequestID]*progress
	calls    []*progress
	version  uint64
	// processedBlocks holds the prefix blocks that some endpoint has processed.
	processedBlocks map[uint64]struct{}
	promptTokens    int
	recomputed      int
}

func dispatchEndpoint(u *user, number, dataCentre int) dispatch.Endpoint {
	return dispatch.Endpoint{
		ID: fleet.EndpointID(fmt.Sprintf("model-%02d", number)), Service: u.modelService,
		DataCentre: u.dataCentres[dataCentre%len(u.dataCentres)], Class: "gpu", Slots: modelSlots,
		Reclaimable: (number/len(u.dataCentres))%3 != 0,
	}
}

// simulate runs one scenario of a user against a policy.
func simulate(u *user, scenario Scenario, build func(u *user, router int) Policy) *simulation {
	s := &simulation{
		user: u, random: rand.New(rand.NewPCG(u.seed, 2)), nodes: u.nodes(),
		byID: map[fleet.EndpointID]*node{}, progress: map[fleet.RequestID]*progress{}, processedBlocks: map[uint64]struct{}{},
	}
	for _, n := range s.nodes {
		s.byID[n.endpoint.ID] = n
	}
	for i := range routers {
		s.policies = append(s.policies, build(u, i))
	}
	for i := range routers {
		s.step(i, dispatch.Peers{Count: routers, Index: i})
		s.step(i, dispatch.Configure{Spec: u.spec()})
	}
	s.publishList()
	for _, c := range u.generate(scenario) {
		s.at(c.at, func() { s.submit(c) })
	}
	s.report()
	s.scheduleFaults(scenario)
	s.run(traceDuration + drainDuration)
	return s
}

func (s *simulation) dataCentre(router int) fleet.DataCentre {
	return s.user.dataCentres[router%len(s.user.dataCentres)]
}

func (s *simulation) broadcast(msg dispatch.Message) {
	for router := range s.policies {
		s.step(router, msg)
	}
}

func (s *simulation) publishList() {
	s.version++
	list := dispatch.Endpoints{Version: s.version}
	for _, n := range s.nodes {
		if !n.dead {
			list.List = append(list.List, n.endpoint)
		}
	}
	s.broadcast(list)
}

func (s *simulation) submit(c *call) {
	p := &progress{call: c, jobs: map[fleet.AttemptNumber]*job{}}
	s.progress[c.id] = p
	s.calls = append(s.calls, p)
	msg := dispatch.Submit{
		Request: c.id, Team: c.team, Service: c.service, Class: c.class, MaxTokens: c.tokens, Idempotent: c.idempotent,
		Prompt: dispatch.Prompt{Blocks: c.blocks, Tokens: c.promptTokens}, MaxWait: c.maxWait,
	}
	if len(c.blocks) == 0 {
		msg.Operation = c.kind
	}
	s.step(s.random.IntN(routers), msg)
}

func (s *simulation) step(router int, msg dispatch.Message) {
	for _, action := range s.policies[router].Step(s.now, msg) {
		s.perform(router, action)
	}
}

func (s *simulation) perform(router int, action dispatch.Action) {
	switch a := action.(type) {
	case dispatch.Grant:
		s.grant(router, a)
	case dispatch.Refuse:
		p := s.progress[a.Request]
		p.refusal = a.Refusal.Kind
		p.done = true
	case dispatch.SetTimer:
		s.at(a.At, func() { s.step(router, dispatch.Tick{}) })
	case dispatch.Relocate:
		if a.Method != reclaim.MethodFinish {
			s.relocate(router, a)
		}
	}
}

func (s *simulation) grant(router int, a dispatch.Grant) {
	p := s.progress[a.Request]
	p.attempts++
	j := &job{call: p.call, router: router, attempt: a.Attempt, resumed: p.generated}
	p.jobs[a.Attempt] = j
	n := s.byID[a.Endpoint.ID]
	delay := remoteDelay
	if n.endpoint.DataCentre == s.dataCentre(router) {
		delay = localDelay
	}
	s.after(delay, func() {
		if j.cancelled {
			return
		}
		if n.dead {
			s.failAttempt(j, dispatch.AttemptBroken)
			return
		}
		n.enqueue(s, j)
	})
}

func (s *simulation) relocate(router int, a dispatch.Relocate) {
	p := s.progress[a.Request]
	if j, ok := p.jobs[a.Attempt]; ok && j.router == router {
		s.after(0, func() {
			if !j.cancelled && !p.done {
				s.failAttempt(j, dispatch.AttemptCancelled)
			}
		})
	}
}

// failAttempt ends a job and requests another attempt, as request.Machine does.
func (s *simulation) failAttempt(j *job, outcome dispatch.AttemptOutcome) {
	p := s.progress[j.call.id]
	j.cancelled = true
	delete(p.jobs, j.attempt)
	if p.done {
		return
	}
	p.generated = j.resumed + j.generated
	final := !j.call.idempotent
	ended := dispatch.AttemptEnded{Request: j.call.id, Attempt: j.attempt, Outcome: outcome, Generated: p.generated, Final: final}
	s.step(j.router, ended)
	switch {
	case final:
		p.refusal, p.done = fleet.RefusedOutcomeUnknown, true
	case len(p.jobs) == 0:
		avoid := fleet.EndpointID("")
		if j.node != nil {
			avoid = j.node.endpoint.ID
		}
		s.step(j.router, dispatch.Retry{Request: j.call.id, Generated: p.generated, Avoid: avoid})
	}
}

func (s *simulation) firstToken(j *job) {
	p := s.progress[j.call.id]
	if p.firstTokenAt == 0 {
		p.firstTokenAt = s.now
	}
	s.step(j.router, dispatch.FirstToken{Request: j.call.id, Attempt: j.attempt})
}

func (s *simulation) finished(j *job) {
	p := s.progress[j.call.id]
	j.cancelled = true
	if p.done {
		return
	}
	p.done = true
	p.endAt = s.now
	for _, other := range p.jobs {
		other.cancelled = true
	}
	s.step(j.router, dispatch.AttemptEnded{
		Request: j.call.id, Attempt: j.attempt, Outcome: dispatch.AttemptCompleted,
		Generated: j.resumed + j.generated, Final: true,
	})
}

// countPrefill counts as recomputed the tokens that an endpoint processes
// although some endpoint has already processed them.
func (s *simulation) countPrefill(j *job, cached int) {
	readmitted := j.admitted || j.attempt > 1
	if !readmitted {
		s.promptTokens += j.call.promptTokens
	}
	for _, block := range j.call.blocks[cached:] {
		if _, ok := s.processedBlocks[block]; ok {
			s.recomputed += blockTokens
		}
		s.processedBlocks[block] = struct{}{}
	}
	s.recomputed += j.resumed + j.generated
}

// report sends load reports and cache events of all nodes. Both are delayed, and
// some cache events are lost.
func (s *simulation) report() {
	for _, n := range s.nodes {
		if n.dead {
			continue
		}
		n.dropCancelled()
		n.reportSequence++
		load := loadReport(n)
		s.after(reportLag, func() { s.broadcast(load) })
		s.cacheEvent(n)
	}
	if s.now < traceDuration+drainDuration {
		s.after(reportInterval, s.report)
	}
}

func loadReport(n *node) dispatch.LoadReport {
	report := dispatch.LoadReport{
		Endpoint: n.endpoint.ID, Running: len(n.running), Waiting: len(n.queue), Age: reportLag,
		Sequence: n.reportSequence,
	}
	for _, j := range slices.Concat(n.running, n.queue) {
		report.Batch += boolToInt(j.call.class == fleet.ClassBatch)
	}
	return report
}

func (s *simulation) cacheEvent(n *node) {
	stored, evicted := n.cache.drain()
	if len(stored)+len(evicted) == 0 {
		return
	}
	n.cacheSequence++
	if s.random.IntN(cacheLossInterval) == 0 {
		return
	}
	event := dispatch.CacheEvent{Endpoint: n.endpoint.ID, Sequence: n.cacheSequence, Stored: stored, Evicted: evicted}
	s.after(cacheEventLag, func() { s.broadcast(event) })
}

func (s *simulation) scheduleFaults(scenario Scenario) {
	switch scenario {
	case Slow:
		s.at(slowAt, func() { s.nodes[1].slowdown = slowFactor })
	case Reclaim:
		s.at(reclaimAt, s.reclaim)
	}
}

// reclaim reclaims all endpoints of the first data centre and starts model
// endpoints in the others as replacements later.
func (s *simulation) reclaim() {
	reclaimed := 0
	for _, n := range s.nodes {
		if n.endpoint.DataCentre != s.user.dataCentres[0] {
			continue
		}
		reclaimed++
		n.endpoint.Leaving = true
		s.broadcast(dispatch.ReclaimNotice{Endpoint: n.endpoint.ID, Remaining: reclaimNotice})
		s.after(reclaimNotice, func() {
			for _, j := range n.kill() {
				s.failAttempt(j, dispatch.AttemptBroken)
			}
		})
	}
	s.after(listLag, s.publishList)
	s.after(reclaimNotice+listLag, s.publishList)
	s.after(replacementDelay, func() { s.replace(reclaimed - 1) })
}

func (s *simulation) replace(count int) {
	for i := range count {
		n := s.user.modelNode(100+i, 1+i%2)
		s.nodes = append(s.nodes, n)
		s.byID[n.endpoint.ID] = n
	}
	s.publishList()
}
