package codec

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestUnmarshalEnforcesLimits(t *testing.T) {
	c := New(Limits{ArrayElements: 16, MapPairs: 16, Nesting: 4})
	var got []int
	b, err := c.Marshal(make([]int, 16))
	require.NoError(t, err)
	require.NoError(t, c.Unmarshal(b, &got))
	b, err = c.Marshal(make([]int, 17))
	require.NoError(t, err)
	require.Error(t, c.Unmarshal(b, &got))
}

func TestMarshalIsDeterministic(t *testing.T) {
	c := New(Limits{ArrayElements: 16, MapPairs: 16, Nesting: 4})
	a, err := c.Marshal(map[string]int{"a": 1, "b": 2, "c": 3})
	require.NoError(t, err)
	b, err := c.Marshal(map[string]int{"c": 3, "b": 2, "a": 1})
	require.NoError(t, err)
	require.Equal(t, a, b)
}
