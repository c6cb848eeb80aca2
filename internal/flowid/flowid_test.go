package flowid

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/ids"
	"mimosashore.example/mimosashore/internal/wire"
)

func testKeys(keyIDs ...uint8) *Keys {
	var keys []Key
	for _, id := range keyIDs {
		k := Key{ID: id}
		k.Secret[0] = id
		keys = append(keys, k)
	}
	return NewKeys(keys)
}

var testFlow = Flow{
	Account:    3,
	Service:    7,
	Upstream:   11,
	Owner:      ids.Instance{Host: 13, Incarnation: 17},
	Nonce:      19,
	Generation: 2,
}

func TestFlowRoundTrip(t *testing.T) {
	var id [wire.FlowSize]byte
	require.True(t, testKeys(1).Seal(id[:], &testFlow))
	got, status := testKeys(1).Open(id[:])
	require.Equal(t, StatusOK, status)
	require.Equal(t, testFlow, got)
}

func TestOpenRejectsAnyChangedByte(t *testing.T) {
	keys := testKeys(1)
	var id [wire.FlowSize]byte
	require.True(t, keys.Seal(id[:], &testFlow))
	for i := range id {
		changed := id
		changed[i] ^= 0x40
		_, status := keys.Open(changed[:])
		require.NotEqual(t, StatusOK, status, "byte %d", i)
	}
}

func TestOpenAcceptsIdentifiersOfPreviousKey(t *testing.T) {
	var id [wire.FlowSize]byte
	require.True(t, testKeys(1).Seal(id[:], &testFlow))
	_, status := testKeys(2, 1).Open(id[:])
	require.Equal(t, StatusOK, status)
	_, status = testKeys(2).Open(id[:])
	require.Equal(t, StatusUnknownKey, status)
}

func TestRouteIsValidOnlyForItsFlow(t *testing.T) {
	keys := testKeys(1)
	caller := netip.MustParseAddrPort("127.0.0.5:4000")
	var flow, other [wire.FlowSize]byte
	var route [wire.RouteSize]byte
	otherFlow := testFlow
	otherFlow.Nonce++
	require.True(t, keys.Seal(flow[:], &testFlow))
	require.True(t, keys.Seal(other[:], &otherFlow))
	require.True(t, keys.SealRoute(route[:], flow[:], caller))
	got, status := keys.OpenRoute(route[:], flow[:])
	require.Equal(t, StatusOK, status)
	require.Equal(t, caller, got)
	_, status = keys.OpenRoute(route[:], other[:])
	require.Equal(t, StatusBadMAC, status)
}

func BenchmarkSeal(b *testing.B) {
	keys := testKeys(1)
	var id [wire.FlowSize]byte
	b.ReportAllocs()
	for b.Loop() {
		keys.Seal(id[:], &testFlow)
	}
}

func BenchmarkOpen(b *testing.B) {
	keys := testKeys(1)
	var id [wire.FlowSize]byte
	keys.Seal(id[:], &testFlow)
	b.ReportAllocs()
	for b.Loop() {
		keys.Open(id[:])
	}
}
