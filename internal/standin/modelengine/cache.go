package modelengine

import "github.com/cespare/xxhash/v2"

const (
	cacheBlockBytes    = 256
	defaultCacheTokens = 1 << 20
)

// prefixCache remembers prefix blocks, least recently used first out.
type prefixCache struct {
	limit int
	uses  uint64
	used  map[uint64]uint64
	// stored and evicted are the changes since the last event.
	stored, evicted []uint64
}

func newPrefixCache(tokens int) *prefixCache {
	if tokens == 0 {
		tokens = defaultCacheTokens
	}
	return &prefixCache{limit: tokens * bytesPerToken / cacheBlockBytes, used: make(map[uint64]uint64)}
}

func blocksOf(text string) []uint64 {
	digest := xxhash.New()
	var blocks []uint64
	for start := 0; start+cacheBlockBytes <= len(text); start += cacheBlockBytes {
		_, _ = digest.WriteString(text[start : start+cacheBlockBytes])
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}

// find returns the number of leading tokens of the text that are cached.
func (c *prefixCache) find(text string) int {
	c.uses++
	for i, block := range blocksOf(text) {
		if _, ok := c.used[block]; !ok {
			return i * cacheBlockBytes / bytesPerToken
		}
		c.used[block] = c.uses
	}
	return len(text) / cacheBlockBytes * cacheBlockBytes / bytesPerToken
}

func (c *prefixCache) store(text string) {
	c.uses++
	for _, block := range blocksOf(text) {
		_, ok := c.used[block]
		if !ok && len(c.used) >= c.limit {
			c.evict()
		}
		if !ok {
			c.stored = append(c.stored, block)
		}
		c.used[block] = c.uses
	}
}

func (c *prefixCache) evict() {
	var oldest, oldestUse uint64
	for block, use := range c.used {
		if oldestUse == 0 || use < oldestUse {
			oldest, oldestUse = block, use
		}
	}
	delete(c.used, oldest)
	c.evicted = append(c.evicted, oldest)
}

// takeChanges returns the changes since the last call.
func (c *prefixCache) takeChanges() (stored, evicted []uint64) {
	stored, evicted = c.stored, c.evicted
	c.stored, c.evicted = nil, nil
	return stored, evicted
}
