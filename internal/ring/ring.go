// Package ring has a bounded queue between two goroutines.
package ring

// Ring is a bounded queue whose elements are allocated once and used again.
type Ring[T any] struct {
	free chan *T
	full chan *T
}

// New returns a ring with room for size elements.
func New[T any](size int) *Ring[T] {
	r := &Ring[T]{free: make(chan *T, size), full: make(chan *T, size)}
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

// Put queues an element. There is room for each element that Get returned.
func (r *Ring[T]) Put(e *T) { r.full <- e }

// Queued returns the channel of queued elements.
func (r *Ring[T]) Queued() <-chan *T { return r.full }

// Release makes an element free again.
func (r *Ring[T]) Release(e *T) { r.free <- e }
