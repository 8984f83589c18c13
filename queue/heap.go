package queue

// heapIndex selects one of the heap positions of an entry.
type heapIndex int

const (
	byDropOrder heapIndex = iota
	byExpiry
	byYieldEnd
	heapCount
)

// entryHeap is a binary heap of entries that know their position, so that any of them
// can be removed in O(log n).
type entryHeap[T any] struct {
	index   heapIndex
	before  func(a, b *entry[T]) bool
	entries []*entry[T]
}

func (h *entryHeap[T]) first() *entry[T] {
	if len(h.entries) == 0 {
		return nil
	}
	return h.entries[0]
}

func (h *entryHeap[T]) add(e *entry[T]) {
	h.entries = append(h.entries, e)
	e.position[h.index] = len(h.entries) - 1
	h.up(len(h.entries) - 1)
}

func (h *entryHeap[T]) remove(e *entry[T]) {
	i := e.position[h.index]
	last := len(h.entries) - 1
	h.swap(i, last)
	h.entries[last] = nil
	h.entries = h.entries[:last]
	if i < last {
		h.down(i)
		h.up(i)
	}
}

func (h *entryHeap[T]) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.before(h.entries[i], h.entries[parent]) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *entryHeap[T]) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h.entries) {
			return
		}
		if right := child + 1; right < len(h.entries) && h.before(h.entries[right], h.entries[child]) {
			child = right
		}
		if !h.before(h.entries[child], h.entries[i]) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

func (h *entryHeap[T]) swap(i, j int) {
	h.entries[i], h.entries[j] = h.entries[j], h.entries[i]
	h.entries[i].position[h.index] = i
	h.entries[j].position[h.index] = j
}
