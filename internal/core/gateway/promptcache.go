package gateway

import (
	"time"
)

// uncachedTokens returns the number of prompt tokens of r that need prefill at
// the endpoint: the cached prefix ends at the first part that is not cached.
func (e *endpoint) uncachedTokens(now time.Duration, r Request) int {
	tokens := r.PromptTokens
	for _, p := range r.Parts {
		used, ok := e.cached[p.ID]
		if !ok || now-used > cacheTTL {
			break
		}
		tokens -= p.Tokens
	}
	return max(tokens, 0)
}

func (e *endpoint) cacheParts(now time.Duration, r Request) {
	for _, p := range sharedParts(r.Parts) {
		if _, ok := e.cached[p.ID]; !ok {
			e.cachedTokens += p.Tokens
			e.partTokens[p.ID] = p.Tokens
		}
		e.cached[p.ID] = now
	}
}

// evictParts drops the least recently used parts until the rest fits into
// cacheShare of the engine's capacity in tokens.
func (e *endpoint) evictParts(now time.Duration, capacity int) {
	limit := int(float64(capacity) * cacheShare)
	if capacity <= 0 || e.cachedTokens <= limit {
		return
	}
	for age := cacheTTL; e.cachedTokens > limit && age > time.Second; age = age * 3 / 4 {
		for id, used := range e.cached {
			if now-used > age {
				e.cachedTokens -= e.partTokens[id]
				delete(e.cached, id)
				delete(e.partTokens, id)
			}
		}
	}
}
