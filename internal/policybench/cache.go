package policybench

import "container/list"

// prefixCache is an LRU cache of prefix blocks. It records what it has stored
// and evicted since the last drain.
type prefixCache struct {
	limit   int
	order   *list.List
	entries map[uint64]*list.Element
	stored  []uint64
	evicted []uint64
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), entries: make(map[uint64]*list.Element)}
}

// match returns the number of leading blocks that are cached and marks them used.
func (c *prefixCache) match(blocks []uint64) int {
	for i, block := range blocks {
		entry, ok := c.entries[block]
		if !ok {
			return i
		}
		c.order.MoveToFront(entry)
	}
	return len(blocks)
}

func (c *prefixCache) insert(blocks []uint64) {
	for _, block := range blocks {
		if entry, ok := c.entries[block]; ok {
			c.order.MoveToFront(entry)
			continue
		}
		c.entries[block] = c.order.PushFront(block)
		c.stored = append(c.stored, block)
	}
	for len(c.entries) > c.limit {
		oldest := c.order.Back()
		block := c.order.Remove(oldest).(uint64)
		delete(c.entries, block)
		c.evicted = append(c.evicted, block)
	}
}

// drain returns the changes since the last call.
func (c *prefixCache) drain() (stored, evicted []uint64) {
	stored, evicted = c.stored, c.evicted
	c.stored, c.evicted = nil, nil
	return stored, evicted
}
