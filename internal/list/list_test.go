package list

import (
	"testing"

	"github.com/stretchr/testify/require"
)

type element struct {
	n     int
	links Links[element]
}

func order(l *List[element]) []int {
	var out []int
	for e := l.First(); e != nil; e = e.links.Next() {
		out = append(out, e.n)
	}
	return out
}

func TestRemoveFromAnyPosition(t *testing.T) {
	l := New(func(e *element) *Links[element] { return &e.links })
	elements := make([]element, 4)
	for i := range elements {
		elements[i].n = i
		l.Push(&elements[i])
	}
	require.Equal(t, []int{0, 1, 2, 3}, order(&l))
	l.Remove(&elements[1])
	l.Remove(&elements[3])
	l.Remove(&elements[3])
	require.Equal(t, []int{0, 2}, order(&l))
	require.Equal(t, 2, l.Len())
	require.False(t, elements[3].links.Listed())
	l.Push(&elements[1])
	l.Remove(&elements[0])
	require.Equal(t, []int{2, 1}, order(&l))
}
