package accept

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/flowid"
)

// TestRotation checks the key ids of the ring after each step: a new key is added at
// the end, then moves to the front, where it seals. A wrong order would seal with a key
// that hosts don't have yet, or drop a newer key than the oldest.
func TestRotation(t *testing.T) {
	s := newStore()
	var revision uint64
	want := [][]uint8{{1}, {1, 2}, {2, 1}, {2, 1, 3}, {3, 2, 1}, {3, 2, 4}, {4, 3, 2}}
	for i, ring := range want {
		c := Change{Name: config.KeysName, ID: string(rune('a' + i)), Proposal: Rotation{Secret: [16]byte{byte(i)}, Keep: 3, ExpectedRevision: revision}}
		d := mustAccept(t, s, c)
		revision = d.Revision
		var got []uint8
		for _, k := range d.Keys.Keys {
			got = append(got, k.ID)
		}
		require.Equal(t, ring, got)
	}
	_, err := acceptor(s).Accept(ctx, Change{Name: config.KeysName, ID: "late", Proposal: Rotation{Keep: 3, ExpectedRevision: 2}})
	refused(t, err)
}

func TestKeyIDsWrapAround(t *testing.T) {
	ring := []flowid.Key{{ID: 255}, {ID: 254}}
	require.EqualValues(t, 1, nextKeyID(ring))
	require.False(t, hasPendingKey(ring))
	require.True(t, hasPendingKey(append(ring, flowid.Key{ID: 1})))
	require.False(t, hasPendingKey([]flowid.Key{{ID: 1}, {ID: 255}, {ID: 254}}))
}
