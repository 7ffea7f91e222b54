package duty

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cornelhold/cornelhold/internal/core/storelog"
	"github.com/cornelhold/cornelhold/internal/proptest"
)

const (
	// maxCallTime is the maximum time between the sending of a call by the holder
	// and its arrival.
	maxCallTime = time.Second
	// minReacquireInterval is the period of rule ONE: within it, holders must not
	// act in the order A, B, A.
	minReacquireInterval = 3 * time.Second
	// restartDelay is the time after which a killed process is started again.
	restartDelay = 500 * time.Millisecond
)

// leaseStore simulates the conditional append of the platform's store, which may come back from
// an older copy.
type leaseStore struct {
	epoch   storelog.Epoch
	records []LeaseRecord
	// appendedAt are the times of the records.
	appendedAt []time.Duration
	// delayed holds appends that take effect later if their condition still holds.
	delayed []delayedAppend
	down    bool
}

type delayedAppend struct {
	at     time.Duration
	action AppendLease
}

// append executes an append. The store knows offsets only.
func (s *leaseStore) append(now time.Duration, a AppendLease) (storelog.Position, bool) {
	if a.At.Offset() != int64(len(s.records)) {
		return 0, false
	}
	position := s.end()
	s.records, s.appendedAt = append(s.records, a.Record), append(s.appendedAt, now)
	return position, true
}

func (s *leaseStore) end() storelog.Position {
	end, _ := storelog.At(s.epoch, int64(len(s.records)))
	return end
}

// newest returns the newest record with its position in this epoch.
func (s *leaseStore) newest() *LeaseRecord {
	if len(s.records) == 0 {
		return nil
	}
	r := s.records[len(s.records)-1]
	r.Position = s.end() - 1
	return &r
}

// rollBack replaces the records by those of a copy from an earlier time.
func (s *leaseStore) rollBack(copiedAt time.Duration) {
	kept := 0
	for kept < len(s.records) && s.appendedAt[kept] <= copiedAt {
		kept++
	}
	s.records, s.appendedAt = slices.Clone(s.records[:kept]), slices.Clone(s.appendedAt[:kept])
	s.epoch++
	s.down = false
}

type leaseNode struct {
	// name determines the jitter of takeovers.
	name             string
	lease            *Lease
	boot             int
	suspendedUntil   time.Duration
	downUntil        time.Duration
	partitionedUntil time.Duration
	// stopAt is when the process is asked to stop and killAt when it is killed, both 0 if
	// nothing is planned.
	stopAt, killAt time.Duration
	// callsUntil is when the last call of the process is answered, lastUse the index of its
	// last use of the lease.
	callsUntil time.Duration
	lastUse    int
	pending    []pendingReply
}

// pendingReply is an answer of the store in an epoch.
type pendingReply struct {
	at    time.Duration
	epoch storelog.Epoch
	msg   LeaseMessage
}

// unlessOutdated returns the message as the client of the store passes it on: what an answer of
// an earlier epoch says is lost.
func (p pendingReply) unlessOutdated(epoch storelog.Epoch) LeaseMessage {
	if p.epoch == epoch {
		return p.msg
	}
	if _, ok := p.msg.(LeaseRead); ok {
		return LeaseReadFailed{}
	}
	if _, ok := p.msg.(LeaseAppended); ok {
		return LeaseAppendFailed{}
	}
	return p.msg
}

type leaseSimulation struct {
	t      *rapid.T
	random *rand.Rand
	store  leaseStore
	nodes  []*leaseNode
	uses   []leaseUse
	now    time.Duration
	// returns are the planned returns of the store.
	returns []storeReturn
}

// leaseUse is a moment at which a node was allowed to act as the holder. Calls that it sent
// until then arrive by arrivesBy.
type leaseUse struct {
	at, arrivesBy time.Duration
	node          int
	fence         int64
}

func (w *leaseSimulation) addNode(i int) {
	w.nodes = append(w.nodes, &leaseNode{name: fmt.Sprint("n", i, "-", w.random.IntN(1000))})
	w.restart(i)
}

func (w *leaseSimulation) restart(i int) {
	n := w.nodes[i]
	n.boot++
	holder := Holder{Node: n.name, Boot: fmt.Sprint(n.boot)}
	n.lease = NewLease(LeaseOptions{
		Self: holder, Seed: uint64(i*1000+n.boot) << 20, StartedAt: max(w.now, n.downUntil), ReacquireInterval: minReacquireInterval,
	})
	n.pending, n.stopAt, n.killAt, n.callsUntil = nil, 0, 0, 0
}

// perform executes an action on the store. Responses take up to 300 ms and may be
// lost; an append whose response is lost may take effect seconds later.
func (w *leaseSimulation) perform(n *leaseNode, action LeaseAction) {
	reply := func(msg LeaseMessage, after time.Duration) {
		n.pending = append(n.pending, pendingReply{w.now + after, w.store.epoch, msg})
	}
	delay := time.Duration(w.random.IntN(300)) * time.Millisecond
	failed := w.store.down || w.now < n.partitionedUntil
	switch a := action.(type) {
	case ReadLease:
		if failed {
			reply(LeaseReadFailed{}, delay)
			return
		}
		reply(LeaseRead{End: w.store.end(), Record: w.store.newest()}, delay)
	case AppendLease:
		switch {
		case failed:
			reply(LeaseAppendFailed{}, 1500*time.Millisecond)
		case w.random.IntN(10) == 0:
			reply(LeaseAppendFailed{}, 1500*time.Millisecond)
			effectDelay := time.Duration(w.random.IntN(6000)) * time.Millisecond
			w.store.delayed = append(w.store.delayed, delayedAppend{w.now + effectDelay, a})
		default:
			position, ok := w.store.append(w.now, a)
			if ok && a.At.Epoch() == w.store.epoch {
				reply(LeaseAppended{Position: position}, delay)
			} else {
				reply(LeaseAppendFailed{}, delay)
			}
		}
	}
}

// injectFault suspends, restarts, stops or partitions a random node, or starts or ends an
// outage of the store.
func (w *leaseSimulation) injectFault() {
	n := w.random.IntN(len(w.nodes))
	node := w.nodes[n]
	length := time.Duration(500+w.random.IntN(8000)) * time.Millisecond
	switch w.random.IntN(7) {
	case 0:
		node.suspendedUntil = w.now + length
	case 1:
		node.downUntil = w.now + length/4
		w.restart(n)
	case 2:
		node.partitionedUntil = w.now + length
	case 3:
		w.store.down = !w.store.down
	case 4:
		w.planStops()
	default:
		w.store.down = false
	}
}

// planStops stops all processes in turn, each of which is killed while it stops.
func (w *leaseSimulation) planStops() {
	gap := time.Duration(500+w.random.IntN(2000)) * time.Millisecond
	stopTime := time.Duration(500+w.random.IntN(4000)) * time.Millisecond
	for i, n := range w.random.Perm(len(w.nodes)) {
		w.nodes[n].stopAt = w.now + time.Duration(i)*gap
		w.nodes[n].killAt = w.nodes[n].stopAt + stopTime
	}
}

// restartKilled restarts a process that was killed while it stopped.
func (w *leaseSimulation) restartKilled(i int) {
	n := w.nodes[i]
	if n.killAt == 0 || w.now < n.killAt {
		return
	}
	n.downUntil = w.now + restartDelay
	w.restart(i)
}

func (w *leaseSimulation) step() {
	for i, n := range w.nodes {
		w.restartKilled(i)
		if w.now < n.suspendedUntil || w.now < n.downUntil {
			continue
		}
		var due []pendingReply
		var rest []pendingReply
		for _, p := range n.pending {
			if p.at <= w.now {
				due = append(due, p)
			} else {
				rest = append(rest, p)
			}
		}
		n.pending = rest
		for _, p := range due {
			w.learnEpoch(n, p.epoch)
			w.apply(n, p.unlessOutdated(n.lease.Epoch()))
		}
		w.act(i)
		// Two of three reports between instances are lost.
		for j, other := range w.nodes {
			reachable := w.now >= other.suspendedUntil && w.now >= other.downUntil && w.now >= n.partitionedUntil && w.now >= other.partitionedUntil
			if i != j && reachable && w.random.IntN(3) == 0 {
				_, held := n.lease.Fence(w.now)
				w.learnEpoch(other, n.lease.Epoch())
				w.apply(other, LeaseReported{Position: n.lease.NewestPosition(), Held: held})
			}
		}
	}
}

// act makes a process check its timeouts and act if it may. The calls of a process that
// releases the lease have arrived once they are answered.
func (w *leaseSimulation) act(i int) {
	n := w.nodes[i]
	if n.killAt != 0 && w.now >= n.stopAt {
		if n.callsUntil > 0 {
			w.uses[n.lastUse].arrivesBy = n.callsUntil
		}
		w.apply(n, LeaseRelease{CallsPending: w.now < n.callsUntil})
	} else {
		w.apply(n, LeaseTick{})
	}
	if fence, ok := n.lease.Fence(w.now); ok {
		n.callsUntil = max(n.callsUntil, w.now+w.callTime())
		n.lastUse = len(w.uses)
		w.uses = append(w.uses, leaseUse{at: w.now, arrivesBy: w.now + maxCallTime, node: i, fence: fence})
	}
}

// learnEpoch tells a node of an epoch. It learns it with the first answer of the store or report of
// another node that states it.
func (w *leaseSimulation) learnEpoch(n *leaseNode, epoch storelog.Epoch) {
	if epoch > n.lease.Epoch() {
		w.apply(n, LeaseEpochBegan{Epoch: epoch})
	}
}

// rollback makes the store come back from an older copy after it was away for a moment. All processes
// may be killed meanwhile.
func (w *leaseSimulation) rollback() {
	w.store.down = true
	away := time.Duration(w.random.IntN(4000)) * time.Millisecond
	copiedAt := w.now - time.Duration(w.random.IntN(12000))*time.Millisecond
	w.returns = append(w.returns, storeReturn{at: w.now + away, copiedAt: copiedAt})
	if w.random.IntN(3) > 0 {
		return
	}
	for i, n := range w.nodes {
		n.downUntil = w.now + away + time.Duration(w.random.IntN(1000))*time.Millisecond
		w.restart(i)
	}
}

// storeReturn is a planned return of the store from a copy.
type storeReturn struct{ at, copiedAt time.Duration }

// returnStore performs the returns that are due.
func (w *leaseSimulation) returnStore() {
	w.returns = slices.DeleteFunc(w.returns, func(r storeReturn) bool {
		if w.now < r.at {
			return false
		}
		w.store.rollBack(r.copiedAt)
		return true
	})
}

// callTime returns the time that a call takes.
func (w *leaseSimulation) callTime() time.Duration {
	if w.random.IntN(10) == 0 {
		return time.Duration(w.random.Int64N(int64(maxCallTime)))
	}
	return 10 * time.Millisecond
}

func (w *leaseSimulation) apply(n *leaseNode, msg LeaseMessage) {
	for _, a := range n.lease.Step(w.now, msg) {
		w.perform(n, a)
	}
}

// check compares each use of the lease with those of other nodes. A call without an answer
// may arrive up to maxCallTime after it was sent, and no call with a lower fencing
// token may arrive after one with a higher token.
func (w *leaseSimulation) check() {
	last := make(map[int]leaseUse)
	newest := leaseUse{node: -1}
	for _, a := range w.uses {
		if newest.node >= 0 && newest.node != a.node {
			if a.fence <= newest.fence {
				w.t.Fatalf("node %d acts with fencing token %d after node %d with %d", a.node, a.fence, newest.node, newest.fence)
			}
			if a.at < newest.arrivesBy {
				w.t.Fatalf("node %d acts %v after node %d, whose calls may still arrive", a.node, a.at-newest.at, newest.node)
			}
			if previous, ok := last[a.node]; ok && a.at-previous.at < minReacquireInterval {
				w.t.Fatalf("holders act in the order A, B, A within %v", a.at-previous.at)
			}
		}
		if newest.node == a.node && a.fence != newest.fence && (a.fence < newest.fence || a.at < newest.arrivesBy) {
			w.t.Fatalf("node %d acts with fencing token %d while its calls with %d may still arrive", a.node, a.fence, newest.fence)
		}
		newest, last[a.node] = a, a
	}
}

// TestAtMostOneHolderActs guards against two holders of the duties, and against holders that
// act in the order A, B, A within a short time (rule ONE), under suspended, killed and stopped
// processes, network partitions, store outages, lost responses and appends that take effect
// seconds later.
func TestAtMostOneHolderActs(t *testing.T) {
	checkHolders(t, proptest.Bounds{Seed: 20261204, Checks: 1000}, false)
}

// TestAtMostOneHolderActsAfterRollbacks guards against the same, and against fencing tokens that
// fall, when the store also comes back from older copies, with appends of earlier epochs under way.
func TestAtMostOneHolderActsAfterRollbacks(t *testing.T) {
	checkHolders(t, proptest.Bounds{Seed: 20261207, Checks: 1000}, true)
}

func checkHolders(t *testing.T, bounds proptest.Bounds, rollbacks bool) {
	t.Helper()
	totalUses := 0
	proptest.Check(t, bounds, func(t *rapid.T) {
		w := &leaseSimulation{t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))}
		for i := range 3 {
			w.addNode(i)
		}
		const tick = 100 * time.Millisecond
		for w.now = time.Second; w.now < 60*time.Second; w.now += tick {
			for _, l := range w.store.delayed {
				if l.at > w.now-tick && l.at <= w.now {
					w.store.append(w.now, l.action)
				}
			}
			if w.random.IntN(30) == 0 {
				w.injectFault()
			}
			if rollbacks && w.random.IntN(100) == 0 {
				w.rollback()
			}
			w.returnStore()
			w.step()
		}
		w.check()
		totalUses += len(w.uses)
	})
	if totalUses == 0 {
		t.Fatal("no holder ever acted")
	}
}

// TestHolderIsReplacedInTime guards against duties that nobody performs after the
// holder was killed: usage reports are due ten seconds after their window.
func TestHolderIsReplacedInTime(t *testing.T) {
	const bound = 6 * time.Second
	proptest.Check(t, proptest.Bounds{Seed: 20261204, Checks: 100}, func(t *rapid.T) {
		w := &leaseSimulation{t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))}
		for i := range 4 {
			w.addNode(i)
		}
		const tick = 100 * time.Millisecond
		for w.now = time.Second; len(w.uses) == 0; w.now += tick {
			w.step()
		}
		killed := w.now
		w.nodes[w.uses[0].node].downUntil = time.Hour
		count := len(w.uses)
		for ; len(w.uses) == count; w.now += tick {
			w.step()
			if w.now > killed+bound {
				t.Fatalf("no holder %v after the last one was killed", w.now-killed)
			}
		}
	})
}

// TestOnlyCandidatesAcquireLease guards against calls to the store by every instance of a
// large deployment, and against a holder that loses the lease with its candidacy.
func TestOnlyCandidatesAcquireLease(t *testing.T) {
	is := is.New(t)
	l := NewLease(LeaseOptions{Self: Holder{Node: "n", Boot: "b"}, Seed: 1})
	is.Equal(len(l.Step(0, LeaseCandidacy{})), 0)
	is.Equal(len(l.Step(10*time.Second, LeaseTick{})), 0)
	is.Equal(len(l.Step(10*time.Second, LeaseReported{Position: 4, Held: true})), 0)
	is.Equal(len(l.Step(20*time.Second, LeaseTick{})), 0) // the holder is silent
	is.Equal(l.Step(20*time.Second, LeaseCandidacy{Allowed: true}), []LeaseAction{l.append(5)})
	l.Step(20*time.Second, LeaseAppended{Position: 5})
	is.Equal(l.Step(21*time.Second, LeaseCandidacy{}), []LeaseAction{l.append(6)}) // it renews
	_, held := l.Fence(21 * time.Second)
	is.True(held)
}

// append returns the append of the last record that the lease has sent.
func (l *Lease) append(at storelog.Position) AppendLease {
	return AppendLease{At: at, Record: *l.unconfirmed}
}

// TestDutiesGoOnAfterRollback guards against duties that nobody performs after the store came back from
// an older copy, since all instances wait for a record beyond the lost ones: with a holder that goes
// on, that was killed, and with all instances restarted. Usage reports are due ten seconds after
// their window.
func TestDutiesGoOnAfterRollback(t *testing.T) {
	const bound = 10 * time.Second
	proptest.Check(t, proptest.Bounds{Seed: 20261207, Checks: 300}, func(t *rapid.T) {
		w := &leaseSimulation{t: t, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))}
		for i := range 3 {
			w.addNode(i)
		}
		const tick = 100 * time.Millisecond
		for w.now = time.Second; w.now < 20*time.Second; w.now += tick {
			w.step()
		}
		switch w.random.IntN(3) {
		case 0:
			for i := range w.nodes {
				w.restart(i)
			}
		case 1:
			w.nodes[w.uses[len(w.uses)-1].node].downUntil = time.Hour
		}
		w.store.rollBack(w.now - time.Duration(w.random.IntN(20000))*time.Millisecond)
		returned, count := w.now, len(w.uses)
		for ; len(w.uses) == count || w.uses[len(w.uses)-1].at < returned+time.Second; w.now += tick {
			w.step()
			if w.now > returned+bound {
				t.Fatalf("no holder %v after the store's return", w.now-returned)
			}
		}
	})
}
