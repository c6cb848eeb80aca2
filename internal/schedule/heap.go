package schedule

import "time"

// The heaps that an entry is in.
const (
	byRank = iota
	byLateness
	byExpiry
	byLowest
	heapKinds
)

// ordered is a sort key.
type ordered[K any] interface{ before(K) bool }

// heap is a binary heap of entries that know their place in it, so that any of them can be removed.
// The keys are kept beside the pointers, which spares a cache miss for each comparison.
type heap[K ordered[K], T any] struct {
	kind  int
	slots []slot[K, T]
}

type slot[K any, T any] struct {
	key   K
	entry *Entry[T]
}

func (h *heap[K, T]) len() int { return len(h.slots) }

// first returns the first entry, or nil.
func (h *heap[K, T]) first() *Entry[T] {
	if len(h.slots) == 0 {
		return nil
	}
	return h.slots[0].entry
}

func (h *heap[K, T]) push(key K, e *Entry[T]) {
	h.slots = append(h.slots, slot[K, T]{key, e})
	h.up(len(h.slots) - 1)
}

// remove removes an entry if it is in the heap.
func (h *heap[K, T]) remove(e *Entry[T]) {
	i := int(e.position[h.kind]) - 1
	if i < 0 {
		return
	}
	e.position[h.kind] = 0
	last := len(h.slots) - 1
	moved := h.slots[last]
	h.slots[last] = slot[K, T]{}
	h.slots = h.slots[:last]
	if i < last {
		h.slots[i] = moved
		h.fix(i)
	}
}

// update gives an entry of the heap a new key.
func (h *heap[K, T]) update(key K, e *Entry[T]) {
	i := int(e.position[h.kind]) - 1
	h.slots[i].key = key
	h.fix(i)
}

// build restores the order after keys were changed.
func (h *heap[K, T]) build() {
	for i := len(h.slots)/2 - 1; i >= 0; i-- {
		h.down(i)
	}
}

func (h *heap[K, T]) fix(i int) {
	if i > 0 && h.slots[i].key.before(h.slots[(i-1)/2].key) {
		h.up(i)
	} else {
		h.down(i)
	}
}

func (h *heap[K, T]) up(i int) {
	s := h.slots[i]
	for i > 0 {
		parent := (i - 1) / 2
		if !s.key.before(h.slots[parent].key) {
			break
		}
		h.set(i, h.slots[parent])
		i = parent
	}
	h.set(i, s)
}

func (h *heap[K, T]) down(i int) {
	s := h.slots[i]
	for {
		child := 2*i + 1
		if child >= len(h.slots) {
			break
		}
		if right := child + 1; right < len(h.slots) && h.slots[right].key.before(h.slots[child].key) {
			child = right
		}
		if !h.slots[child].key.before(s.key) {
			break
		}
		h.set(i, h.slots[child])
		i = child
	}
	h.set(i, s)
}

func (h *heap[K, T]) set(i int, s slot[K, T]) {
	h.slots[i] = s
	s.entry.position[h.kind] = int32(i + 1)
}

// moment orders entries by a time.
type moment time.Duration

func (m moment) before(o moment) bool { return m < o }
