package spread

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/store"
)

// A host that becomes a watcher goes on from the position that its peers reached, also if that is a
// lower revision of a later era.
func TestPositionOfPeersIsComparedByEra(t *testing.T) {
	var r storeReader
	r.raisePeerPosition(store.Position{Era: 1, Revision: 90})
	r.raisePeerPosition(store.Position{Era: 2, Revision: 7})
	r.raisePeerPosition(store.Position{Era: 1, Revision: 95})
	require.Equal(t, store.Position{Era: 2, Revision: 7}, r.peerPosition)
}
