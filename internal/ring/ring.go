// Package ring provides a bounded queue between goroutines with preallocated elements.
package ring

// Ring is a bounded queue whose elements are allocated once and reused.
type Ring[T any] struct {
	free   chan *T
	queued chan *T
}

// New returns a ring with a capacity of size elements.
func New[T any](size int) *Ring[T] {
	r := &Ring[T]{free: make(chan *T, size), queued: make(chan *T, size)}
	elements := make([]T, size)
	for i := range elements {
		r.free <- &elements[i]
	}
	return r
}

// Get returns a free element, or nil if the ring is full.
func (r *Ring[T]) Get() *T {
	select {
	case e := <-r.free:
		return e
	default:
		return nil
	}
}

// Put queues an element returned by Get. It does not block, since the queue has
// room for all elements.
func (r *Ring[T]) Put(e *T) { r.queued <- e }

// Queued returns the channel of queued elements.
func (r *Ring[T]) Queued() <-chan *T { return r.queued }

// Release returns a dequeued element to the free elements.
func (r *Ring[T]) Release(e *T) { r.free <- e }
