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
	w := &simulation{accepted: map[JobID]bool{}, notRun: map[JobID]bool{}, outcomes: map[JobID]*Outcome{}}
	for i := range w.schedulers {
		w.members = append(w.members, w.name(i))
		w.schedulers[i] = NewScheduler(w.name(i))
	}
	return w
}

func (w *simulation) name(node int) fleet.InstanceID {
	return fleet.InstanceID(fmt.Sprintf("r%d", node))
}

func (w *simulation) logTime() LogTime { return epoch.add(w.now) }

func (w *simulation) step(t *rapid.T, node int, msg Message) {
	for _, action := range w.schedulers[node].Step(w.now, msg) {
		switch a := action.(type) {
		case Append:
			w.queues[node] = append(w.queues[node], a.Entry)
		case Start:
			if len(a.Texts) > 0 {
				w.resumed++
			}
			w.runs = append(w.runs, activeRun{node: node, start: a, texts: a.Texts})
		case Stop:
			w.dropRuns(func(r activeRun) bool { return r.node == node && r.start.Run == a.Run })
		case Reply:
			if a.Refusal == nil {
				w.accepted[a.Job] = true
			} else if a.Refusal.Run == fleet.RunNotRun {
				w.notRun[a.Job] = true
			}
		}
	}
	w.check(t, node)
}

func (w *simulation) dropRuns(drop func(activeRun) bool) {
	var rest []activeRun
	for _, r := range w.runs {
		if !drop(r) {
			rest = append(rest, r)
		}
	}
	w.runs = rest
}

// check compares the jobs of a node with earlier replies and outcomes.
func (w *simulation) check(t *rapid.T, node int) {
	for id, job := range w.schedulers[node].fold.jobs {
		if w.notRun[id] {
			t.Fatalf("job %s was refused with not_run and is in the log", id)
		}
		if job.Outcome == nil {
			continue
		}
		if earlier, ok := w.outcomes[id]; ok {
			if earlier != job.Outcome && !reflect.DeepEqual(earlier, job.Outcome) {
				t.Fatalf("job %s ended as %v and as %v", id, earlier.Kind, job.Outcome.Kind)
			}
			continue
		}
		w.outcomes[id] = job.Outcome
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

func (w *simulation) node(t *rapid.T) int { return proptest.Pick(t, len(w.schedulers)) }

func (w *simulation) submit(t *rapid.T) {
	if w.nextID >= 3 {
		return
	}
	w.nextID++
	w.step(t, w.node(t), Submit{Job: JobID(fmt.Sprintf("job%d", w.nextID)), Work: Work{Team: "proofs", Prompt: "p"}})
}

func (w *simulation) store(entry Entry) {
	w.records = append(w.records, logRecord{offset: w.firstOffset + uint64(len(w.records)), at: w.logTime(), entry: entry})
}

func (w *simulation) flush(t *rapid.T) {
	node := w.node(t)
	if len(w.queues[node]) == 0 {
		return
	}
	entry := w.queues[node][0]
	w.queues[node] = w.queues[node][1:]
	w.append(t, node, entry, proptest.Pick(t, 8))
}

func (w *simulation) append(t *rapid.T, node int, entry Entry, fault int) {
	result := AppendStored
	switch {
	case fault == 0:
		w.delayedAppends = append(w.delayedAppends, entry)
		result = AppendUnknown
	case w.logDown:
		result = AppendNotDone
	case fault == 1:
		w.store(entry)
		result = AppendUnknown
	default:
		w.store(entry)
	}
	w.step(t, node, Appended{Entry: entry, Result: result})
}

func (w *simulation) storeDelayed(*rapid.T) {
	if len(w.delayedAppends) > 0 && !w.logDown {
		w.store(w.delayedAppends[0])
		w.delayedAppends = w.delayedAppends[1:]
	}
}

func (w *simulation) read(t *rapid.T) { w.readNode(t, w.node(t)) }

func (w *simulation) readNode(t *rapid.T, node int) {
	if w.logDown {
		return
	}
	for _, r := range w.records {
		if r.offset >= w.schedulers[node].NextOffset() {
			w.step(t, node, Record{Offset: r.offset, At: r.at, Entry: r.entry})
		}
	}
	w.step(t, node, CaughtUp{})
}

func (w *simulation) generate(t *rapid.T) {
	if len(w.runs) == 0 {
		return
	}
	i := proptest.Pick(t, len(w.runs))
	r := &w.runs[i]
	var part []string
	for len(part) < TextsPerProgress && len(r.texts) < textsPerAnswer {
		next := text(fmt.Sprintf("%d%d", r.node, r.start.Run%10), r.texts)
		r.texts = append(r.texts, next)
		part = append(part, next)
	}
	run := *r
	w.step(t, run.node, Texts{Job: run.start.Job, Run: run.start.Run, Texts: part})
	ended := RunEnded{Job: run.start.Job, Run: run.start.Run}
	switch {
	case proptest.Pick(t, 6) == 0:
		ended.Failed = true
	case len(run.texts) == textsPerAnswer:
		ended.Outcome = Outcome{Kind: OutcomeDone, Texts: run.texts}
	default:
		return
	}
	w.dropRuns(func(other activeRun) bool { return other.node == run.node && other.start.Run == run.start.Run })
	w.step(t, run.node, ended)
}

func (w *simulation) advance(t *rapid.T) {
	pauses := []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, time.Second, 30 * time.Second}
	pause := pauses[proptest.Pick(t, len(pauses))]
	w.advanceBy(t, pause)
}

// advanceHours advances the time by hours while the log works, so that snapshots
// are appended before records expire.
func (w *simulation) advanceHours(t *rapid.T) {
	if w.logDown || w.now > 30*time.Hour {
		return
	}
	for range 3 {
		w.advanceBy(t, 3*time.Hour)
		w.flushAndReadAll(t)
	}
}

// flushAndReadAll appends all queued entries and lets each node read all records.
func (w *simulation) flushAndReadAll(t *rapid.T) {
	for node := range w.schedulers {
		queue := w.queues[node]
		w.queues[node] = nil
		for _, entry := range queue {
			w.append(t, node, entry, 2)
		}
	}
	for node := range w.schedulers {
		w.readNode(t, node)
	}
}

func (w *simulation) advanceBy(t *rapid.T, d time.Duration) {
	w.now += d
	for node := range w.schedulers {
		w.step(t, node, Tick{})
	}
	for len(w.records) > 0 && w.records[0].at < w.logTime().add(-retention) {
		w.records = w.records[1:]
		w.firstOffset++
	}
}

func (w *simulation) crash(t *rapid.T) {
	if proptest.Pick(t, 3) > 0 {
		return
	}
	node := w.node(t)
	w.schedulers[node] = NewScheduler(w.name(node))
	w.queues[node] = nil
	w.dropRuns(func(r activeRun) bool { return r.node == node })
	w.setRandomMembers(t, node)
}

// setRandomMembers sets a node's member list, which may lack live members.
func (w *simulation) setRandomMembers(t *rapid.T, node int) {
	list := []fleet.InstanceID{w.name(node)}
	for i := range w.schedulers {
		if i != node && proptest.Pick(t, 3) > 0 {
			list = append(list, w.name(i))
		}
	}
	w.step(t, node, Members{List: list})
}

// recoverAll ends all faults, lets the nodes work and checks that every accepted
// job has an outcome.
func (w *simulation) recoverAll(t *rapid.T) {
	w.logDown = false
	for node := range w.schedulers {
		w.step(t, node, Members{List: w.members})
	}
	for range 12 {
		w.flushAndReadAll(t)
		w.finishRuns(t)
		w.advanceBy(t, 10*time.Second)
	}
	for id := range w.accepted {
		if w.outcomes[id] == nil {
			t.Fatalf("job %s was accepted and has no outcome", id)
		}
	}
}

func (w *simulation) finishRuns(t *rapid.T) {
	runs := w.runs
	w.runs = nil
	for _, r := range runs {
		for len(r.texts) < textsPerAnswer {
			r.texts = append(r.texts, text(fmt.Sprintf("%d%d", r.node, r.start.Run%10), r.texts))
		}
		w.step(t, r.node, RunEnded{Job: r.start.Job, Run: r.start.Run, Outcome: Outcome{Kind: OutcomeDone, Texts: r.texts}})
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
		w := newSimulation()
		actions := []func(*rapid.T){
			w.submit, w.flush, w.flush, w.flush, w.read, w.read, w.storeDelayed, w.generate, w.generate,
			w.advance, w.crash, w.submit,
			func(t *rapid.T) { w.setRandomMembers(t, w.node(t)) },
			func(t *rapid.T) { w.logDown = proptest.Pick(t, 4) == 0 },
		}
		for range 150 {
			actions[proptest.Pick(t, len(actions))](t)
			if proptest.Pick(t, 60) == 0 {
				w.advanceHours(t)
			}
		}
		w.recoverAll(t)
		accepted += len(w.accepted)
		resumed += w.resumed
		if w.firstOffset > 0 {
			expired++
		}
	})
	if accepted < 50 || resumed < 20 || expired < 5 {
		t.Fatalf("too few jobs accepted (%d, want 50), runs resumed (%d, want 20) or simulations with expired records (%d, want 5) to test the invariants", accepted, resumed, expired)
	}
	t.Logf("%d jobs accepted, %d runs resumed, %d simulations had expired records", accepted, resumed, expired)
}

// TestRunnerVanishes guards against a job that stays assigned to a node after
// the node has left the member list.
func TestRunnerVanishes(t *testing.T) {
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
	is.Equal(countStarts(scheduler.Step(0, Members{List: []fleet.InstanceID{"a"}})), 1) // the other members are gone
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

	late := NewFold()
	late.Apply(5, epoch, Snapshot{Job: "j", Accepted: epoch, AsOf: 4})
	_, known := late.Find("j")
	is.True(!known) // record 4 was not read and may hold the first outcome
	late.Apply(6, epoch, Result{Job: "j", Outcome: Outcome{Kind: OutcomeDone}})
	late.Apply(7, epoch, Snapshot{Job: "j", Accepted: epoch, AsOf: 6})
	job, _ = late.Find("j")
	is.Equal(job.Outcome.Kind, OutcomeDone) // the outcome between AsOf and the snapshot's record counts
}
