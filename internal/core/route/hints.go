package route

// hintGeneration is the number of blocks after which the older half of the
// hints is dropped. It bounds the memory of the hints to a few megabytes.
const hintGenerationSize = 32768

// holders are the endpoints that are known to cache one block.
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

// hints maps prefix blocks to endpoints. Hints may be wrong in both
// directions: they refine a choice and are never needed for one.
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
