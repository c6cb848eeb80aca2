package spread

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestMessageRoundTrip(t *testing.T) {
	m := &Message{
		Kind: KindIndex, Digest: 1, Count: 2, Ready: true, StoreRevision: 3, Buckets: []uint64{4},
		Items: []Item{{Name: "keys", Revision: 5}}, Names: []string{"keys"}, Documents: [][]byte{{6}},
	}
	b, err := m.Encode()
	require.NoError(t, err)
	got, err := DecodeMessage(b)
	require.NoError(t, err)
	require.Equal(t, m, got)
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	for name, m := range map[string]*Message{
		"no kind":        {},
		"unknown kind":   {Kind: kindEnd},
		"short digest":   {Kind: KindDigest, Buckets: []uint64{1}},
		"many buckets":   {Kind: KindIndex, Buckets: make([]uint64, bucketCount+1)},
		"many documents": {Kind: KindDocuments, Documents: make([][]byte, maxDocuments+1)},
		"many items":     {Kind: KindAnnounce, Items: make([]Item, maxItems+1)},
		"large value":    {Kind: KindDocuments, Documents: [][]byte{make([]byte, MaxMessage)}},
	} {
		b, err := m.Encode()
		require.NoError(t, err)
		_, err = DecodeMessage(b)
		require.Error(t, err, name)
	}
}

func FuzzDecodeMessage(f *testing.F) {
	for kind := KindHello; kind < kindEnd; kind++ {
		m := &Message{Kind: kind, Buckets: make([]uint64, bucketCount), Items: []Item{{Name: "keys", Revision: 1}}}
		b, err := m.Encode()
		require.NoError(f, err)
		f.Add(b)
		f.Add(b[:len(b)/2])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := DecodeMessage(b)
		if err != nil {
			return
		}
		if _, err := m.Encode(); err != nil {
			t.Fatalf("decoded message can't be encoded: %v", err)
		}
	})
}
