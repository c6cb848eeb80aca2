package spread

import (
	"github.com/rotisserie/eris"

	"mimosashore.example/mimosashore/internal/codec"
	"mimosashore.example/mimosashore/internal/store"
)

// Limits of a message.
const (
	// MaxMessage is the size limit of an encoded message, in bytes: a document of
	// the largest size plus framing.
	MaxMessage = store.MaxValue + 4096
	// maxChunkBytes is the total size of documents, in bytes, above which a message
	// takes no further document.
	maxChunkBytes = 64 << 10
	// maxItems is the largest number of items, or of names, in a message.
	maxItems = 1024
	// maxDocuments is the largest number of documents in a message.
	maxDocuments = 256
	// bucketCount is the number of buckets that documents are hashed into for
	// comparison.
	bucketCount    = 64
	maxCborMap     = 16
	maxCborNesting = 4
)

// Kind is the type of a message between hosts.
type Kind uint8

// Message types.
const (
	// KindHello carries one digest of all documents of the sender.
	KindHello Kind = iota + 1
	// KindDigest carries the digest of each bucket. The receiver answers with a
	// KindIndex of the buckets that differ.
	KindDigest
	// KindIndex lists the sender's documents in some buckets. The receiver requests
	// the ones that are newer than its own and announces its own that are newer.
	KindIndex
	// KindAnnounce lists documents that the sender holds. The receiver requests the
	// ones that are newer than its own.
	KindAnnounce
	// KindWant requests documents by name.
	KindWant
	// KindDocuments carries encoded documents.
	KindDocuments
	kindEnd
)

var kindNames = [kindEnd]string{"invalid", "hello", "digest", "index", "announce", "want", "documents"}

// String returns the type as used in logs.
func (k Kind) String() string {
	if k >= kindEnd {
		return kindNames[0]
	}
	return kindNames[k]
}

// Item is the name of a document and the revision that a host holds.
type Item struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Revision uint64
}

// Message is sent over a link between two hosts.
type Message struct {
	_    struct{} `cbor:",toarray"`
	Kind Kind
	// Digest and Count cover all documents of the sender.
	Digest uint64
	Count  uint32
	// Ready is set if the sender has a complete configuration.
	Ready bool
	// StoreEra and StoreRevision are the position of the store up to which the sender
	// has seen all writes.
	StoreEra      store.Era
	StoreRevision store.Revision
	// Buckets holds the digest of each bucket in a KindDigest, and the numbers of
	// the listed buckets in a KindIndex.
	Buckets   []uint64
	Items     []Item
	Names     []string
	Documents [][]byte
}

var messages = codec.New(codec.Limits{
	ArrayElements: maxItems,
	MapPairs:      maxCborMap,
	Nesting:       maxCborNesting,
})

// Encode returns the message encoded as CBOR.
func (m *Message) Encode() ([]byte, error) {
	b, err := messages.Marshal(m)
	if err != nil {
		return nil, eris.Wrapf(err, "spread message of kind %s can't be encoded", m.Kind)
	}
	return b, nil
}

// DecodeMessage decodes a message and validates it.
func DecodeMessage(b []byte) (*Message, error) {
	if len(b) > MaxMessage {
		return nil, eris.Errorf("spread message of %d bytes exceeds the limit of %d bytes", len(b), MaxMessage)
	}
	var m Message
	if err := messages.Unmarshal(b, &m); err != nil {
		return nil, eris.Wrap(err, "spread message can't be decoded")
	}
	switch {
	case m.Kind == 0 || m.Kind >= kindEnd:
		return nil, eris.Errorf("spread message has unknown kind %d", m.Kind)
	case len(m.Documents) > maxDocuments:
		return nil, eris.Errorf("spread message has %d documents, more than %d", len(m.Documents), maxDocuments)
	case len(m.Buckets) > bucketCount:
		return nil, eris.Errorf("spread message has %d buckets, more than %d", len(m.Buckets), bucketCount)
	case m.Kind == KindDigest && len(m.Buckets) != bucketCount:
		return nil, eris.Errorf("digest message has %d buckets instead of %d", len(m.Buckets), bucketCount)
	}
	return &m, nil
}
