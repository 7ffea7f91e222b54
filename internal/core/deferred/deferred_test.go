package deferred

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/fleet"
	"github.com/cornelhold/cornelhold/internal/proptest"
)

const (
	epoch LogTime = 1_800_000_000_000
	// retention is the minimum that the log service must provide.
	retention = 24*time.Hour + 5*time.Minute
	// textsPerAnswer is the number of texts of each simulated response.
	textsPerAnswer = 2*TextsPerProgress + 10
)

type logRecord struct {
	offset uint64
	at     LogTime
	entry  Entry
}

type activeRun struct {
	node  int
	start Start
	texts []string
}

// simulation models several nodes, one log and a model engine whose texts
// depend on the run, so that a result that mixes two runs is detected.
type simulation struct {
	now            time.Duration
	logDown        bool
	firstOffset    uint64
	records        []logRecord
	delayedAppends []Entry
	schedulers     [3]*Scheduler
	members        []fleet.InstanceID
	queues         [3][]Entry
	runs           []activeRun
	nextID         int
	accepted       map[JobID]bool
	notRun         map[JobID]bool
	outcomes       map[JobID]*Outcome
	resumed        int
}

func newSimulation() *simulation {
	s := &simulation{accepted: map[JobID]bool{}, notRun: map[JobID]bool{}, outcomes: map[JobID]*Outcome{}}
	for i := range s.schedulers {
		s.members = append(s.members, s.name(i))
		s.schedulers[i] = NewScheduler(s.name(i))
	}
	return s
}

func (s *simulation) name(node int) fleet.InstanceID {
	return fleet.InstanceID(fmt.Sprintf("r%d", node))
}

func (s *simulation) logTime() LogTime { return epoch.add(s.now) }

func (s *simulation) step(t *rapid.T, node int, msg Message) {
	for _, action := range s.schedulers[node].Step(s.now, msg) {
		switch a := action.(type) {
		case Append:
			s.queues[node] = append(s.queues[node], a.Entry)
		case Start:
			if len(a.Texts) > 0 {
				s.resumed++
			}
			s.runs = append(s.runs, activeRun{node: node, start: a, texts: a.Texts})
		case Stop:
			s.dropRuns(func(r activeRun) bool { return r.node == node && r.start.Run == a.Run })
		case Reply:
			if a.Refusal == nil {
				s.accepted[a.Job] = true
			} else if a.Refusal.Run == fleet.RunNotRun {
				s.notRun[a.Job] = true
			}
		}
	}
	s.check(t, node)
}

func (s *simulation) dropRuns(drop func(activeRun) bool) {
	var rest []activeRun
	for _, r := range s.runs {
		if !drop(r) {
			rest = append(rest, r)
		}
	}
	s.runs = rest
}

// check compares the jobs of a node with earlier replies and outcomes.
func (s *simulation) check(t *rapid.T, node int) {
	for id, job := range s.schedulers[node].fold.jobs {
		if s.notRun[id] {
			t.Fatalf("job %s was refused with not_run and is in the log", id)
		}
		if job.Outcome == nil {
			continue
		}
		if earlier, ok := s.outcomes[id]; ok {
			if earlier != job.Outcome && !reflect.DeepEqual(earlier, job.Outcome) {
				t.Fatalf("job %s ended as %v and as %v", id, earlier.Kind, job.Outcome.Kind)
			}
			continue
		}
		s.outcomes[id] = job.Outcome
		if job.Outcome.Kind == OutcomeDone && !fromOneRun(job.Outcome.Texts) {
			t.Fatalf("the result of job %s mixes two runs", id)
		}
	}
}

// text returns the next text of a run. It depends on the run and on the text
// before it, and so on all texts before it.
func text(run string, before []string) string {
	return fmt.Sprintf("%s/%d/%x", run, len(before), PrefixHash(before[max(0, len(before)-1):]))
}

func fromOneRun(texts []string) bool {
	for i, s := range texts {
		var run string
		if _, err := fmt.Sscanf(s, "%2s", &run); err != nil || s != text(run, texts[:i]) {
			return false
		}
	}
	return len(texts) == textsPerAnswer
}

func (s *simulation) node(t *rapid.T) int { return proptest.Pick(t, len(s.schedulers)) }

func (s *simulation) submit(t *rapid.T) {
	if s.nextID >= 3 {
		return
	}
	s.nextID++
	s.step(t, s.node(t), Submit{Job: JobID(fmt.Sprintf("job%d", s.nextID)), Work: Work{Team: "proofs", Prompt: "p"}})
}

func (s *simulation) store(entry Entry) {
	s.records = append(s.records, logRecord{offset: s.firstOffset + uint64(len(s.records)), at: s.logTime(), entry: entry})
}

func (s *simulation) flush(t *rapid.T) {
	node := s.node(t)
	if len(s.queues[node]) == 0 {
		return
	}
	entry := s.queues[node][0]
	s.queues[node] = s.queues[node][1:]
	s.append(t, node, entry, proptest.Pick(t, 8))
}

func (s *simulation) append(t *rapid.T, node int, entry Entry, fault int) {
	result := AppendStored
	switch {
	case fault == 0:
		s.delayedAppends = append(s.delayedAppends, entry)
		result = AppendUnknown
	case s.logDown:
		result = AppendNotDone
	case fault == 1:
		s.store(entry)
		result = AppendUnknown
	default:
		s.store(entry)
	}
	s.step(t, node, Appended{Entry: entry, Result: result})
}

func (s *simulation) storeDelayed(*rapid.T) {
	if len(s.delayedAppends) > 0 && !s.logDown {
		s.store(s.delayedAppends[0])
		s.delayedAppends = s.delayedAppends[1:]
	}
}

func (s *simulation) read(t *rapid.T) { s.readNode(t, s.node(t)) }

func (s *simulation) readNode(t *rapid.T, node int) {
	if s.logDown {
		return
	}
	for _, r := range s.records {
		if r.offset >= s.schedulers[node].NextOffset() {
			s.step(t, node, Record{Offset: r.offset, At: r.at, Entry: r.entry})
		}
	}
	s.step(t, node, CaughtUp{})
}

func (s *simulation) generate(t *rapid.T) {
	if len(s.runs) == 0 {
		return
	}
	i := proptest.Pick(t, len(s.runs))
	r := &s.runs[i]
	var part []string
	for len(part) < TextsPerProgress && len(r.texts) < textsPerAnswer {
		next := text(fmt.Sprintf("%d%d", r.node, r.start.Run%10), r.texts)
		r.texts = append(r.texts, next)
		part = append(part, next)
	}
	run := *r
	s.step(t, run.node, Texts{Job: run.start.Job, Run: run.start.Run, Texts: part})
	ended := RunEnded{Job: run.start.Job, Run: run.start.Run}
	switch {
	case proptest.Pick(t, 6) == 0:
		ended.Failed = true
	case len(run.texts) == textsPerAnswer:
		ended.Outcome = Outcome{Kind: OutcomeDone, Texts: run.texts}
	default:
		return
	}
	s.dropRuns(func(other activeRun) bool { return other.node == run.node && other.start.Run == run.start.Run })
	s.step(t, run.node, ended)
}

func (s *simulation) advance(t *rapid.T) {
	pauses := []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, time.Second, 30 * time.Second}
	pause := pauses[proptest.Pick(t, len(pauses))]
	s.advanceBy(t, pause)
}

// advanceHours advances the time by hours while the log works, so that snapshots
// are appended before records expire.
func (s *simulation) advanceHours(t *rapid.T) {
	if s.logDown || s.now > 30*time.Hour {
		return
	}
	for range 3 {
		s.advanceBy(t, 3*time.Hour)
		s.flushAndReadAll(t)
	}
}

// flushAndReadAll appends all queued entries and lets each node read all records.
func (s *simulation) flushAndReadAll(t *rapid.T) {
	for node := range s.schedulers {
		queue := s.queues[node]
		s.queues[node] = nil
		for _, entry := range queue {
			s.append(t, node, entry, 2)
		}
	}
	for node := range s.schedulers {
		s.readNode(t, node)
	}
}

func (s *simulation) advanceBy(t *rapid.T, d time.Duration) {
	s.now += d
	for node := range s.schedulers {
		s.step(t, node, Tick{})
	}
	for len(s.records) > 0 && s.records[0].at < s.logTime().add(-retention) {
		s.records = s.records[1:]
		s.firstOffset++
	}
}

func (s *simulation) crash(t *rapid.T) {
	if proptest.Pick(t, 3) > 0 {
		return
	}
	node := s.node(t)
	s.schedulers[node] = NewScheduler(s.name(node))
	s.queues[node] = nil
	s.dropRuns(func(r activeRun) bool { return r.node == node })
	s.setRandomMembers(t, node)
}

// setRandomMembers sets a node's member list, which may lack live members.
func (s *simulation) setRandomMembers(t *rapid.T, node int) {
	list := []fleet.InstanceID{s.name(node)}
	for i := range s.schedulers {
		if i != node && proptest.Pick(t, 3) > 0 {
			list = append(list, s.name(i))
		}
	}
	s.step(t, node, Members{List: list})
}

// recoverAll ends all faults, lets the nodes work and checks that every accepted
// job has an outcome.
func (s *simulation) recoverAll(t *rapid.T) {
	s.logDown = false
	for node := range s.schedulers {
		s.step(t, node, Members{List: s.members})
	}
	for range 12 {
		s.flushAndReadAll(t)
		s.finishRuns(t)
		s.advanceBy(t, 10*time.Second)
	}
	for id := range s.accepted {
		if s.outcomes[id] == nil {
			t.Fatalf("job %s was accepted and has no outcome", id)
		}
	}
}

func (s *simulation) finishRuns(t *rapid.T) {
	runs := s.runs
	s.runs = nil
	for _, r := range runs {
		for len(r.texts) < textsPerAnswer {
			r.texts = append(r.texts, text(fmt.Sprintf("%d%d", r.node, r.start.Run%10), r.texts))
		}
		s.step(t, r.node, RunEnded{Job: r.start.Job, Run: r.start.Run, Outcome: Outcome{Kind: OutcomeDone, Texts: r.texts}})
	}
}

// TestJobsAreNotLost guards against an accepted job without an outcome, two
// different outcomes of a job, a result that mixes two runs and a not_run
// refusal of a job that is in the log. It runs random interleavings of three
// nodes with wrong member lists, crashes, lost and delayed appends, log outages
// and expiry of records.
func TestJobsAreNotLost(t *testing.T) {
	accepted, resumed, expired := 0, 0, 0
	proptest.Check(t, proptest.Bounds{Seed: 3, Checks: 150, Steps: 1}, func(t *rapid.T) {
		s := newSimulation()
		actions := []func(*rapid.T){
			s.submit, s.flush, s.flush, s.flush, s.read, s.read, s.storeDelayed, s.generate, s.generate,
			s.advance, s.crash, s.submit,
			func(t *rapid.T) { s.setRandomMembers(t, s.node(t)) },
			func(t *rapid.T) { s.logDown = proptest.Pick(t, 4) == 0 },
		}
		for range 150 {
			actions[proptest.Pick(t, len(actions))](t)
			if proptest.Pick(t, 60) == 0 {
				s.advanceHours(t)
			}
		}
		s.recoverAll(t)
		accepted += len(s.accepted)
		resumed += s.resumed
		if s.firstOffset > 0 {
			expired++
		}
	})
	if accepted < 50 || resumed < 20 || expired < 5 {
		t.Fatalf("too few jobs accepted (%d, want 50), runs resumed (%d, want 20) or simulations with expired records (%d, want 5) to test the invariants", accepted, resumed, expired)
	}
	t.Logf("%d jobs accepted, %d runs resumed, %d simulations had expired records", accepted, resumed, expired)
}

// TestJobOfRemovedMemberIsReassigned guards against a job that stays assigned to a
// node after the node has left the member list.
func TestJobOfRemovedMemberIsReassigned(t *testing.T) {
	is := is.New(t)
	members := []fleet.InstanceID{"a", "b", "c"}
	scheduler := NewScheduler("a")
	scheduler.Step(0, CaughtUp{})
	scheduler.Step(0, Members{List: members})
	var foreign JobID
	for i := 0; foreign == ""; i++ {
		if id := JobID(fmt.Sprint(i)); scheduler.owner(id) != "a" {
			foreign = id
		}
	}
	is.Equal(countStarts(scheduler.Step(0, Record{At: epoch, Entry: Accepted{Job: foreign}})), 0)
	is.Equal(countStarts(scheduler.Step(0, Members{List: []fleet.InstanceID{"a"}})), 1) // the other members have left
	is.Equal(scheduler.Running(), 1)
	scheduler.Step(0, Members{List: members})
	is.Equal(scheduler.Running(), 0) // they are back
}

func countStarts(actions []Action) (n int) {
	for _, a := range actions {
		if _, ok := a.(Start); ok {
			n++
		}
	}
	return n
}

// TestFoldRules checks single rules that the simulation rarely reaches.
func TestFoldRules(t *testing.T) {
	is := is.New(t)
	fold := NewFold()
	fold.Apply(0, epoch, Accepted{Job: "j"})
	fold.Apply(1, epoch, Progress{Job: "j", Prefix: PrefixHash(nil), Texts: []string{"a"}})
	fold.Apply(2, epoch, Progress{Job: "j", From: 1, Prefix: PrefixHash([]string{"b"}), Texts: []string{"c"}})
	job, _ := fold.Find("j")
	is.Equal(job.Texts, []string{"a"}) // texts that continue another run are ignored

	lateFold := NewFold()
	lateFold.Apply(5, epoch, Snapshot{Job: "j", Accepted: epoch, AsOf: 4})
	_, exists := lateFold.Find("j")
	is.True(!exists) // record 4 was not read and may hold the first outcome
	lateFold.Apply(6, epoch, Result{Job: "j", Outcome: Outcome{Kind: OutcomeDone}})
	lateFold.Apply(7, epoch, Snapshot{Job: "j", Accepted: epoch, AsOf: 6})
	job, _ = lateFold.Find("j")
	is.Equal(job.Outcome.Kind, OutcomeDone) // the outcome between AsOf and the snapshot's record counts
}
