package config

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"

	"mimosashore.example/mimosashore/internal/flowid"
)

func accountDocument(name string, revision uint64) *Document {
	return &Document{Name: AccountPrefix + name, Revision: revision, Account: &Account{
		ID:   1,
		Name: name,
		Services: []Service{{ID: 2, Name: "pedidos", Upstreams: []Upstream{
			{ID: 3, Zone: "alajuela-a", Address: netip.MustParseAddrPort("127.0.11.1:7500"), Slots: 2},
		}}},
	}}
}

func TestDocumentRoundTrip(t *testing.T) {
	for _, d := range []*Document{
		accountDocument("cubierta-verde", 4),
		{Name: ZonePrefix + "beara", Revision: 2, Zone: &ZonePlan{Zone: "beara", Hosts: []Host{{Name: "beara-1"}}}},
		{Name: KeysName, Revision: 1, Keys: &KeyRing{Keys: []flowid.Key{{ID: 7}}}},
		{Name: AccountPrefix + "gone", Revision: 9, Deleted: true},
	} {
		b, err := d.Encode()
		require.NoError(t, err)
		got, err := DecodeDocument(b)
		require.NoError(t, err)
		require.Equal(t, d, got)
	}
}

func TestDecodeDocumentRefusesInconsistentDocuments(t *testing.T) {
	for name, corrupt := range map[string]func(*Document){
		"no revision":             func(d *Document) { d.Revision = 0 },
		"name of another account": func(d *Document) { d.Name = AccountPrefix + "other" },
		"name of another kind":    func(d *Document) { d.Name = ZonePrefix + "cubierta-verde" },
		"name without kind":       func(d *Document) { d.Name = "cubierta-verde" },
		"two contents":            func(d *Document) { d.Keys = &KeyRing{} },
		"no content":              func(d *Document) { d.Account = nil },
		"deleted with content":    func(d *Document) { d.Deleted = true },
	} {
		t.Run(name, func(t *testing.T) {
			d := accountDocument("cubierta-verde", 4)
			corrupt(d)
			b, err := d.Encode()
			require.NoError(t, err)
			_, err = DecodeDocument(b)
			require.Error(t, err)
		})
	}
}

func TestAssembleSkipsDeletedDocuments(t *testing.T) {
	docs := []*Document{
		accountDocument("cumann", 2),
		{Name: AccountPrefix + "gone", Revision: 9, Deleted: true},
		accountDocument("cubierta-verde", 4),
	}
	s := Assemble(docs)
	require.Len(t, s.Accounts, 2)
	require.Equal(t, "cubierta-verde", s.Accounts[0].Name)
	require.EqualValues(t, 4, s.Accounts[0].Revision)
	require.Same(t, &docs[2].Account.Services[0], &s.Accounts[0].Services[0], "a snapshot shares the services of its documents")
}

func FuzzDecodeDocument(f *testing.F) {
	b, err := accountDocument("cubierta-verde", 4).Encode()
	require.NoError(f, err)
	f.Add(b)
	f.Add(b[:len(b)/2])
	f.Add([]byte{0xbf})
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := DecodeDocument(b)
		if err != nil {
			return
		}
		again, err := d.Encode()
		require.NoError(t, err)
		got, err := DecodeDocument(again)
		require.NoError(t, err)
		require.Equal(t, d.Name, got.Name)
		Assemble([]*Document{d})
	})
}
