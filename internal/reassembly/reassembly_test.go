package reassembly

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Guards against lost, overwritten or miscounted bytes when parts overlap or arrive
// out of order, by comparing the body with a model that tracks each byte separately.
func TestPropertyBodyAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 400).Draw(t, "total")
		b, ok := New(uint32(total), uint32(total))
		require.True(t, ok)
		model := make([]byte, total)
		held := make([]bool, total)
		for range rapid.IntRange(0, 100).Draw(t, "parts") {
			from := rapid.IntRange(0, total).Draw(t, "from")
			part := rapid.SliceOfN(rapid.Byte(), 0, total-from).Draw(t, "part")
			if !b.Add(uint32(from), uint32(total), part) {
				continue
			}
			for i, x := range part {
				if !held[from+i] {
					held[from+i], model[from+i] = true, x
				}
			}
		}
		want := 0
		for want < total && held[want] {
			want++
		}
		require.EqualValues(t, want, b.Contiguous())
		require.Equal(t, model, b.Bytes())
		require.LessOrEqual(t, len(b.spans), MaxSpans)
		require.Equal(t, want == total, b.Complete())
	})
}

func TestPartOutsideBodyIsRejected(t *testing.T) {
	b, _ := New(10, 10)
	require.False(t, b.Add(8, 10, make([]byte, 3)))
	require.False(t, b.Add(0, 11, make([]byte, 3)))
	require.False(t, b.Add(11, 10, nil))
	_, ok := New(11, 10)
	require.False(t, ok)
}

func TestSpansAreBounded(t *testing.T) {
	const size = 4 * MaxSpans
	b, _ := New(size, size)
	for i := range uint32(MaxSpans) {
		require.True(t, b.Add(4*i, size, make([]byte, 1)))
	}
	require.False(t, b.Add(2, size, make([]byte, 1)), "one span too many")
	require.True(t, b.Add(0, size, make([]byte, size)), "a part that joins all spans fits")
	require.True(t, b.Complete())
}
