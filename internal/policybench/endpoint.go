package policybench

import (
	"slices"
	"time"

	"github.com/cornelhold/cornelhold/internal/core/dispatch"
	"github.com/cornelhold/cornelhold/internal/core/fleet"
)

const (
	blockTokens = 64
	// prefillChunk is the number of prompt tokens that one iteration processes.
	prefillChunk = 512
	// prefillPerToken is the time to process one prompt token.
	prefillPerToken = 60 * time.Microsecond
	// iterationBase and iterationPerStream make up a decoding iteration.
	iterationBase      = 25 * time.Millisecond
	iterationPerStream = time.Millisecond
	// cacheBlocks is the size of an endpoint's prefix cache.
	cacheBlocks = 1500
	modelSlots  = 16
	plainSlots  = 8
)

// job is one attempt on an endpoint.
type job struct {
	call    *call
	router  int
	attempt fleet.AttemptNumber
	node    *node
	arrived time.Duration
	// prefill is the number of tokens to process before the next token.
	prefill   int
	placed    bool
	resumed   int
	generated int
	first     time.Duration
	cancelled bool
}

// node models one endpoint: a queue by class, batch slots, a prefix cache and
// iterations that process a chunk of prompts and one token of each stream. A
// plain node serves each call in its own slot for the call's service time.
type node struct {
	endpoint dispatch.Endpoint
	plain    bool
	price    float64
	slow     float64
	dead     bool
	queue    []*job
	running  []*job
	cache    *prefixCache
	sequence uint64
	reports  uint64
	active   bool
	busy     time.Duration
}

func (n *node) enqueue(s *simulation, j *job) {
	j.node = n
	j.arrived = s.now
	n.queue = append(n.queue, j)
	if n.plain {
		n.startPlain(s)
		return
	}
	if !n.active {
		n.iterate(s)
	}
}

func (n *node) startPlain(s *simulation) {
	n.dropCancelled()
	for len(n.running) < n.endpoint.Slots && len(n.queue) > 0 {
		j := n.pop()
		n.running = append(n.running, j)
		took := time.Duration(float64(j.call.service) * n.slow)
		if j.attempt > 1 {
			took = time.Duration(float64(j.call.hedgeService) * n.slow)
		}
		s.after(took, func() {
			if j.cancelled || n.dead {
				return
			}
			n.busy += took
			n.remove(j)
			s.finished(j)
			n.startPlain(s)
		})
	}
}

// iterate admits jobs, then runs one iteration of the batch.
func (n *node) iterate(s *simulation) {
	n.active = false
	if n.dead {
		return
	}
	n.dropCancelled()
	n.admit(s)
	if len(n.running) == 0 {
		return
	}
	n.active = true
	chunk, ready, decoders := n.plan()
	took := iterationBase + time.Duration(decoders)*iterationPerStream + time.Duration(chunk)*prefillPerToken
	took = time.Duration(float64(took) * n.slow)
	n.busy += took
	s.after(took, func() {
		if n.dead {
			return
		}
		for _, j := range ready {
			n.token(s, j)
		}
		n.iterate(s)
	})
}

// plan spends the chunk on prompts in order of class and returns the jobs that
// produce a token at the end of the iteration.
func (n *node) plan() (chunk int, ready []*job, decoders int) {
	slices.SortStableFunc(n.running, func(a, b *job) int { return int(a.call.class) - int(b.call.class) })
	for _, j := range n.running {
		if j.prefill == 0 {
			decoders++
			ready = append(ready, j)
			continue
		}
		part := min(j.prefill, prefillChunk-chunk)
		j.prefill -= part
		chunk += part
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
	if j.first == 0 {
		j.first = s.now
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
		j.placed = true
		n.running = append(n.running, j)
	}
}

// preempt moves a running batch job back to the queue when a job of a higher
// class waits.
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
	gone := func(j *job) bool { return j.cancelled }
	n.queue = slices.DeleteFunc(n.queue, gone)
	n.running = slices.DeleteFunc(n.running, gone)
}

// kill ends the node and returns the jobs that it held.
func (n *node) kill() []*job {
	n.dropCancelled()
	n.dead = true
	jobs := slices.Concat(n.running, n.queue)
	n.running, n.queue = nil, nil
	return jobs
}
