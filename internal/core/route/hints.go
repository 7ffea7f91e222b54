package route

// hintGenerationSize is the number of blocks in the young generation. When it
// is full, it replaces the old one, which is dropped. This bounds the memory of
// the hints to a few megabytes.
const hintGenerationSize = 32768

// holders are the endpoints that are expected to cache one block.
type holders struct {
	count int
	refs  [maxHolders]reference
}

func (h *holders) add(ref reference) {
	for i := range h.count {
		if h.refs[i].slot == ref.slot {
			h.refs[i] = ref
			return
		}
	}
	if h.count < maxHolders {
		h.refs[h.count] = ref
		h.count++
		return
	}
	copy(h.refs[:], h.refs[1:])
	h.refs[maxHolders-1] = ref
}

func (h *holders) remove(ref reference) {
	for i := range h.count {
		if h.refs[i] == ref {
			h.count--
			h.refs[i] = h.refs[h.count]
			return
		}
	}
}

// hints maps prefix blocks to the endpoints that cache them. It may list
// evicted blocks and lack cached ones: a choice is correct without hints.
type hints struct {
	young, old map[uint64]*holders
}

func newHints() hints {
	return hints{young: make(map[uint64]*holders), old: make(map[uint64]*holders)}
}

func (h *hints) find(block uint64) *holders {
	if found, ok := h.young[block]; ok {
		return found
	}
	return h.old[block]
}

func (h *hints) add(block uint64, ref reference) {
	entry := h.find(block)
	if entry == nil {
		entry = &holders{}
	}
	entry.add(ref)
	if len(h.young) >= hintGenerationSize {
		h.old = h.young
		h.young = make(map[uint64]*holders, hintGenerationSize)
	}
	h.young[block] = entry
}

func (h *hints) remove(block uint64, ref reference) {
	if entry := h.find(block); entry != nil {
		entry.remove(ref)
	}
}
