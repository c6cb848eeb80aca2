// Package list has a doubly linked list whose elements hold their links, so
// that an element is taken out without a search or an allocation.
package list

// Links joins an element to its neighbours in a list.
type Links[T any] struct {
	prev, next *T
	listed     bool
}

// Listed reports whether the element is in the list.
func (l *Links[T]) Listed() bool { return l.listed }

// Next returns the element that follows, or nil.
func (l *Links[T]) Next() *T { return l.next }

// List is a list in the order in which elements were added.
type List[T any] struct {
	first, last *T
	length      int
	linksOf     func(*T) *Links[T]
}

// New returns an empty list; the function returns the links of an element for it.
func New[T any](linksOf func(*T) *Links[T]) List[T] {
	return List[T]{linksOf: linksOf}
}

// First returns the element that was added first, or nil.
func (l *List[T]) First() *T { return l.first }

// Len returns the number of elements.
func (l *List[T]) Len() int { return l.length }

// Push adds an element at the end.
func (l *List[T]) Push(e *T) {
	at := l.linksOf(e)
	*at = Links[T]{prev: l.last, listed: true}
	if l.last != nil {
		l.linksOf(l.last).next = e
	} else {
		l.first = e
	}
	l.last = e
	l.length++
}

// Remove takes an element out, if it is in the list.
func (l *List[T]) Remove(e *T) {
	at := l.linksOf(e)
	if !at.listed {
		return
	}
	if at.prev != nil {
		l.linksOf(at.prev).next = at.next
	} else {
		l.first = at.next
	}
	if at.next != nil {
		l.linksOf(at.next).prev = at.prev
	} else {
		l.last = at.prev
	}
	*at = Links[T]{}
	l.length--
}
