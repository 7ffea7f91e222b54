package modelengine

import "github.com/cespare/xxhash/v2"

const (
	cacheBlockBytes    = 256
	defaultCacheTokens = 1 << 20
)

// prefixCache is an LRU cache of prompt prefixes in blocks of cacheBlockBytes.
type prefixCache struct {
	maxBlocks int
	useCount  uint64
	// lastUse has the value of useCount at the last use of each cached block.
	lastUse map[uint64]uint64
	// stored and evicted are the blocks added and removed since the last event.
	stored, evicted []uint64
}

func newPrefixCache(tokens int) *prefixCache {
	if tokens == 0 {
		tokens = defaultCacheTokens
	}
	return &prefixCache{maxBlocks: tokens * bytesPerToken / cacheBlockBytes, lastUse: make(map[uint64]uint64)}
}

// prefixBlocks returns one hash for each whole block of the text. A hash covers
// the text up to the end of its block.
func prefixBlocks(text string) []uint64 {
	digest := xxhash.New()
	var blocks []uint64
	for start := 0; start+cacheBlockBytes <= len(text); start += cacheBlockBytes {
		_, _ = digest.WriteString(text[start : start+cacheBlockBytes])
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}

// cachedTokens returns the number of leading tokens of the text that are cached,
// and marks their blocks as used.
func (c *prefixCache) cachedTokens(text string) int {
	c.useCount++
	for i, block := range prefixBlocks(text) {
		if _, ok := c.lastUse[block]; !ok {
			return i * cacheBlockBytes / bytesPerToken
		}
		c.lastUse[block] = c.useCount
	}
	return len(text) / cacheBlockBytes * cacheBlockBytes / bytesPerToken
}

func (c *prefixCache) store(text string) {
	c.useCount++
	for _, block := range prefixBlocks(text) {
		_, ok := c.lastUse[block]
		if !ok && len(c.lastUse) >= c.maxBlocks {
			c.evict()
		}
		if !ok {
			c.stored = append(c.stored, block)
		}
		c.lastUse[block] = c.useCount
	}
}

func (c *prefixCache) evict() {
	var oldest, oldestUse uint64
	for block, use := range c.lastUse {
		if oldestUse == 0 || use < oldestUse {
			oldest, oldestUse = block, use
		}
	}
	delete(c.lastUse, oldest)
	c.evicted = append(c.evicted, oldest)
}

// drainChanges returns the blocks stored and evicted since the last call.
func (c *prefixCache) drainChanges() (stored, evicted []uint64) {
	stored, evicted = c.stored, c.evicted
	c.stored, c.evicted = nil, nil
	return stored, evicted
}
