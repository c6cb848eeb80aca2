package config

import (
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/codec"
	"mimosashore.example/mimosashore/internal/flowid"
)

// Names of documents in the key-value store. An account document is named
// AccountPrefix followed by the account name, a zone document ZonePrefix
// followed by the name of the availability zone.
const (
	AccountPrefix = "account/"
	ZonePrefix    = "zone/"
	KeysName      = "keys"
)

// Document is an accepted declaration: the unit that is written by
// compare-and-swap and distributed to the hosts. Exactly one of Account, Zone
// and Keys is set unless the document is deleted. A deleted document remains as
// a tombstone with its name and revision, so that an older copy can't restore
// it.
type Document struct {
	Name string
	// Revision increases by one with each acceptance of a document of this name,
	// including deletions. It may skip ahead after the store was restored from a
	// backup.
	Revision uint64
	// ChangeID identifies the accepted change. If the response to a write is lost, the
	// writer reads the document and compares the id to learn whether the change was
	// accepted.
	ChangeID string
	// Author is the operator who accepted the change.
	Author string
	// AcceptedAt is the time of acceptance in Unix milliseconds.
	AcceptedAt int64
	Deleted    bool
	// Drained lists the upstreams or hosts that operators drained by command, in
	// addition to those drained in the declarations. Their state in Account or Zone
	// is set accordingly.
	Drained []string
	Account *Account
	Zone    *ZonePlan
	Keys    *KeyRing
}

// ZonePlan lists the planned hosts of one availability zone.
type ZonePlan struct {
	Zone  string
	Hosts []Host
}

// KeyRing holds the sealing keys of flow identifiers. The first key seals new
// identifiers, all keys verify existing ones.
type KeyRing struct {
	Keys []flowid.Key
}

// Limits of the decoder, in elements. No document that fits into the store reaches
// them: an account with 91,000 upstreams already exceeds the store's limit of one
// megabyte per value.
const (
	maxArrayElements = 1 << 17
	maxMapPairs      = 1 << 12
	maxNesting       = 16
)

var documentCodec = codec.New(codec.Limits{
	ArrayElements: maxArrayElements,
	MapPairs:      maxMapPairs,
	Nesting:       maxNesting,
})

// Encode returns the deterministic CBOR encoding of the document.
func (d *Document) Encode() ([]byte, error) {
	b, err := documentCodec.Marshal(d)
	if err != nil {
		return nil, eris.Wrapf(err, "document %q can't be encoded", d.Name)
	}
	return b, nil
}

// DecodeDocument decodes a document. It returns an error if the document has no
// revision or if its content does not match its name.
func DecodeDocument(b []byte) (*Document, error) {
	var d Document
	if err := documentCodec.Unmarshal(b, &d); err != nil {
		return nil, eris.Wrap(err, "document can't be decoded")
	}
	if d.Revision == 0 {
		return nil, eris.Errorf("document %q has no revision", d.Name)
	}
	if !d.matchesName() {
		return nil, eris.Errorf("content of document %q does not match its name", d.Name)
	}
	return &d, nil
}

func (d *Document) matchesName() bool {
	empty := d.Account == nil && d.Zone == nil && d.Keys == nil
	if d.Deleted {
		return empty
	}
	switch {
	case strings.HasPrefix(d.Name, AccountPrefix):
		return d.Account != nil && d.Zone == nil && d.Keys == nil && d.Name == AccountPrefix+d.Account.Name
	case strings.HasPrefix(d.Name, ZonePrefix):
		return d.Zone != nil && d.Account == nil && d.Keys == nil && d.Name == ZonePrefix+d.Zone.Zone
	case d.Name == KeysName:
		return d.Keys != nil && d.Account == nil && d.Zone == nil
	default:
		return false
	}
}

// Assemble builds the snapshot from a set of documents, which may be in any order.
// Deleted documents are skipped.
func Assemble(docs []*Document) *Snapshot {
	s := &Snapshot{}
	sorted := slices.Clone(docs)
	slices.SortFunc(sorted, func(a, b *Document) int { return strings.Compare(a.Name, b.Name) })
	for _, d := range sorted {
		if d.Deleted {
			continue
		}
		s.add(d)
	}
	return s
}

func (s *Snapshot) add(d *Document) {
	switch {
	case d.Account != nil:
		account := *d.Account
		account.Revision = d.Revision
		s.Accounts = append(s.Accounts, account)
	case d.Zone != nil:
		s.Hosts = append(s.Hosts, d.Zone.Hosts...)
	case d.Keys != nil:
		s.Keys = d.Keys.Keys
	}
}
