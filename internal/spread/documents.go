package spread

import (
	"bytes"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosashore.example/mimosashore/internal/config"
	"mimosashore.example/mimosashore/internal/store"
)

// document is a held document with its encoded form.
type document struct {
	doc   *config.Document
	raw   []byte
	since time.Duration
}

// documentSet holds the latest known revision of each document. For each bucket it
// maintains a digest of the names and revisions. Deleted documents are kept as
// tombstones.
type documentSet struct {
	byName  map[string]*document
	names   []string
	buckets [bucketCount]uint64
}

func newDocumentSet() documentSet {
	return documentSet{byName: make(map[string]*document)}
}

func bucketOf(name string) int {
	return int(xxhash.Sum64String(name) % bucketCount)
}

// itemHash returns the contribution of one document to the digest of its bucket. A
// digest is the exclusive or of these hashes.
func itemHash(name string, revision uint64) uint64 {
	b := make([]byte, 0, len(name)+8)
	b = append(b, name...)
	b = binary.BigEndian.AppendUint64(b, revision)
	return xxhash.Sum64(b)
}

func (s *documentSet) revision(name string) uint64 {
	if d := s.byName[name]; d != nil {
		return d.doc.Revision
	}
	return 0
}

// put stores a document and replaces the one held under its name, if any.
func (s *documentSet) put(now time.Duration, doc *config.Document, raw []byte) {
	bucket := bucketOf(doc.Name)
	if old := s.byName[doc.Name]; old != nil {
		s.buckets[bucket] ^= itemHash(doc.Name, old.doc.Revision)
	} else {
		at, _ := slices.BinarySearch(s.names, doc.Name)
		s.names = slices.Insert(s.names, at, doc.Name)
	}
	s.buckets[bucket] ^= itemHash(doc.Name, doc.Revision)
	s.byName[doc.Name] = &document{doc: doc, raw: raw, since: now}
}

// digest returns a digest of all buckets.
func (s *documentSet) digest() uint64 {
	var b [8 * bucketCount]byte
	for i, bucket := range s.buckets {
		binary.BigEndian.PutUint64(b[8*i:], bucket)
	}
	return xxhash.Sum64(b[:])
}

// items returns the names and revisions of the documents in the given buckets,
// sorted by name.
func (s *documentSet) items(buckets []uint64) []Item {
	var items []Item
	for _, name := range s.names {
		if slices.Contains(buckets, uint64(bucketOf(name))) {
			items = append(items, Item{Name: name, Revision: s.byName[name].doc.Revision})
		}
	}
	return items
}

func (s *documentSet) all() []*config.Document {
	docs := make([]*config.Document, 0, len(s.names))
	for _, name := range s.names {
		docs = append(docs, s.byName[name].doc)
	}
	return docs
}

// offerResult is the result of offering a document to a documentSet.
type offerResult uint8

const (
	// offerStored means that the revision is higher than the held one, and the
	// document was stored.
	offerStored offerResult = iota
	// offerDuplicate means that the document equals the held one.
	offerDuplicate
	// offerStale means that the revision is lower than the held one.
	offerStale
	// offerConflict means that the revision equals the held one, but the content
	// differs.
	offerConflict
	// offerInvalid means that the document cannot be decoded or is too large, or that
	// its name is not that of a document or differs from the key.
	offerInvalid
)

// offer stores an encoded document if its revision is higher than the held one. If
// key is not empty it must equal the document's name.
func (s *documentSet) offer(now time.Duration, raw []byte, key string) (offerResult, *config.Document) {
	if len(raw) > store.MaxValue {
		return offerInvalid, nil
	}
	doc, err := config.DecodeDocument(raw)
	if err != nil || !IsDocumentName(doc.Name) || (key != "" && key != doc.Name) {
		return offerInvalid, nil
	}
	held := s.byName[doc.Name]
	switch {
	case held == nil || doc.Revision > held.doc.Revision:
		s.put(now, doc, raw)
		return offerStored, doc
	case doc.Revision < held.doc.Revision:
		return offerStale, doc
	case !bytes.Equal(raw, held.raw):
		return offerConflict, doc
	default:
		return offerDuplicate, doc
	}
}
