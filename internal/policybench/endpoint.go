package policybench

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	blockTokens = 64
	// prefillChunkTokens bounds the prompt tokens that one iteration processes.
	prefillChunkTokens = 512
	// prefillPerToken is the time to process one prompt token.
	prefillPerToken = 60 * time.Microsecond
	// An iteration takes iterationBase, iterationPerStream for each decoding
	// stream and prefillPerToken for each prompt token.
	iterationBase      = 25 * time.Millisecond
	iterationPerStream = time.Millisecond
	// cacheBlocks is the size of an endpoint's prefix cache.
	cacheBlocks = 1500
	// modelSlots and plainSlots bound the calls that run on an endpoint at a time.
	modelSlots = 16
	plainSlots = 8
)

// job is one attempt on an endpoint.
type job struct {
	call    *call
	router  int
	attempt fleet.AttemptNumber
	node    *node
	arrived time.Duration
	// prefill is the number of tokens to process before the next token.
	prefill      int
	admitted     bool
	resumed      int
	generated    int
	firstTokenAt time.Duration
	cancelled    bool
}

// node models one endpoint. An engine has a queue ordered by class, slots, a
// prefix cache and continuous batching: each iteration processes a chunk of
// prompt tokens and generates one token of each decoding stream. A plain node
// serves each call in a slot of its own for the call's service time.
type node struct {
	endpoint       dispatch.Endpoint
	plain          bool
	price          float64
	slowdown       float64
	dead           bool
	queue          []*job
	running        []*job
	cache          *prefixCache
	cacheSequence  uint64
	reportSequence uint64
	iterating      bool
	busyTime       time.Duration
}

func (n *node) enqueue(s *simulation, j *job) {
	j.node = n
	j.arrived = s.now
	n.queue = append(n.queue, j)
	if n.plain {
		n.startPlain(s)
		return
	}
	if !n.iterating {
		n.iterate(s)
	}
}

func (n *node) startPlain(s *simulation) {
	n.dropCancelled()
	for len(n.running) < n.endpoint.Slots && len(n.queue) > 0 {
		j := n.pop()
		n.running = append(n.running, j)
		duration := time.Duration(float64(j.call.serviceTime) * n.slowdown)
		if j.attempt > 1 {
			duration = time.Duration(float64(j.call.hedgeServiceTime) * n.slowdown)
		}
		s.after(duration, func() {
			if j.cancelled || n.dead {
				return
			}
			n.busyTime += duration
			n.remove(j)
			s.finished(j)
			n.startPlain(s)
		})
	}
}

// iterate admits jobs, runs one iteration of the batch and schedules the next.
func (n *node) iterate(s *simulation) {
	n.iterating = false
	if n.dead {
		return
	}
	n.dropCancelled()
	n.admit(s)
	if len(n.running) == 0 {
		return
	}
	n.iterating = true
	chunk, ready, decoders := n.plan()
	duration := iterationBase + time.Duration(decoders)*iterationPerStream + time.Duration(chunk)*prefillPerToken
	duration = time.Duration(float64(duration) * n.slowdown)
	n.busyTime += duration
	s.after(duration, func() {
		if n.dead {
			return
		}
		for _, j := range ready {
			n.token(s, j)
		}
		n.iterate(s)
	})
}

// plan divides the chunk among the prompts in order of class. It returns the
// prompt tokens to process, the jobs that produce a token at the end of the
// iteration, and how many of these were already decoding.
func (n *node) plan() (chunk int, ready []*job, decoders int) {
	slices.SortStableFunc(n.running, func(a, b *job) int { return int(a.call.class) - int(b.call.class) })
	for _, j := range n.running {
		if j.prefill == 0 {
			decoders++
			ready = append(ready, j)
			continue
		}
		processed := min(j.prefill, prefillChunkTokens-chunk)
		j.prefill -= processed
		chunk += processed
		if j.prefill == 0 {
			ready = append(ready, j)
		}
	}
	return chunk, ready, decoders
}

func (n *node) token(s *simulation, j *job) {
	if j.cancelled {
		return
	}
	j.generated++
	if j.firstTokenAt == 0 {
		j.firstTokenAt = s.now
		n.cache.insert(j.call.blocks)
		s.firstToken(j)
	}
	if j.resumed+j.generated >= j.call.tokens {
		n.remove(j)
		s.finished(j)
	}
}

func (n *node) admit(s *simulation) {
	for len(n.queue) > 0 {
		if len(n.running) >= n.endpoint.Slots && !n.preempt() {
			return
		}
		j := n.pop()
		cached := n.cache.match(j.call.blocks)
		j.prefill = max(j.call.promptTokens-cached*blockTokens, 1) + j.resumed + j.generated
		s.countPrefill(j, cached)
		j.admitted = true
		n.running = append(n.running, j)
	}
}

// preempt moves a running batch job back to the queue if a job of a higher class
// waits, and reports whether it did.
func (n *node) preempt() bool {
	if n.nextClass() == fleet.ClassBatch {
		return false
	}
	for i := len(n.running) - 1; i >= 0; i-- {
		if j := n.running[i]; j.call.class == fleet.ClassBatch {
			n.running = slices.Delete(n.running, i, i+1)
			n.queue = append(n.queue, j)
			return true
		}
	}
	return false
}

func (n *node) nextClass() fleet.Class {
	class := fleet.ClassBatch
	for _, j := range n.queue {
		class = min(class, j.call.class)
	}
	return class
}

func (n *node) pop() *job {
	class := n.nextClass()
	i := slices.IndexFunc(n.queue, func(j *job) bool { return j.call.class == class })
	j := n.queue[i]
	n.queue = slices.Delete(n.queue, i, i+1)
	return j
}

func (n *node) remove(j *job) {
	if i := slices.Index(n.running, j); i >= 0 {
		n.running = slices.Delete(n.running, i, i+1)
	}
}

func (n *node) dropCancelled() {
	isCancelled := func(j *job) bool { return j.cancelled }
	n.queue = slices.DeleteFunc(n.queue, isCancelled)
	n.running = slices.DeleteFunc(n.running, isCancelled)
}

// kill stops the node and returns its running and queued jobs.
func (n *node) kill() []*job {
	n.dropCancelled()
	n.dead = true
	jobs := slices.Concat(n.running, n.queue)
	n.running, n.queue = nil, nil
	return jobs
}
