// Package list provides an intrusive doubly linked list: elements hold their own
// links, so that adding and removing an element needs no search and no allocation.
package list

// Links holds the neighbours of an element in a list.
type Links[T any] struct {
	prev, next *T
	listed     bool
}

// Listed reports whether the element is in the list.
func (l *Links[T]) Listed() bool { return l.listed }

// Next returns the next element, or nil at the end of the list.
func (l *Links[T]) Next() *T { return l.next }

// List is a doubly linked list in order of insertion.
type List[T any] struct {
	first, last *T
	length      int
	linksOf     func(*T) *Links[T]
}

// New returns an empty list; linksOf returns the links of an element for this list.
func New[T any](linksOf func(*T) *Links[T]) List[T] {
	return List[T]{linksOf: linksOf}
}

// First returns the oldest element, or nil if the list is empty.
func (l *List[T]) First() *T { return l.first }

// Len returns the number of elements.
func (l *List[T]) Len() int { return l.length }

// Push appends an element, which must not be in the list already.
func (l *List[T]) Push(e *T) {
	links := l.linksOf(e)
	*links = Links[T]{prev: l.last, listed: true}
	if l.last != nil {
		l.linksOf(l.last).next = e
	} else {
		l.first = e
	}
	l.last = e
	l.length++
}

// Remove removes an element, if it is in the list.
func (l *List[T]) Remove(e *T) {
	links := l.linksOf(e)
	if !links.listed {
		return
	}
	if links.prev != nil {
		l.linksOf(links.prev).next = links.next
	} else {
		l.first = links.next
	}
	if links.next != nil {
		l.linksOf(links.next).prev = links.prev
	} else {
		l.last = links.prev
	}
	*links = Links[T]{}
	l.length--
}
