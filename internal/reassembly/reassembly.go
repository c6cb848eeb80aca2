// Package reassembly reassembles a body from parts that may arrive duplicated,
// out of order or overlapping. Memory is bounded by the announced size.
package reassembly

import "slices"

// MaxSpans bounds the number of disjoint spans of an incomplete body.
const MaxSpans = 64

// Body is a partially received body of known size. Received bytes are never
// overwritten, so an overlapping part can't change acknowledged bytes.
type Body struct {
	bytes []byte
	// spans are the received byte ranges, sorted, disjoint and not adjacent.
	spans []span
}

// span is the half-open byte range [from, to) of a body.
type span struct {
	from, to uint32
}

// New returns an empty body of the given size. It reports false if the size
// exceeds the limit. Both are in bytes.
func New(size, limit uint32) (*Body, bool) {
	if size > limit {
		return nil, false
	}
	return &Body{bytes: make([]byte, size)}, true
}

// Bytes returns the body. Bytes not yet received are zero.
func (b *Body) Bytes() []byte { return b.bytes }

// Size returns the total size of the body, in bytes.
func (b *Body) Size() uint32 { return uint32(len(b.bytes)) }

// Contiguous returns the number of bytes received without a gap from the start
// of the body.
func (b *Body) Contiguous() uint32 {
	if len(b.spans) == 0 || b.spans[0].from != 0 {
		return 0
	}
	return b.spans[0].to
}

// Complete reports whether the whole body was received.
func (b *Body) Complete() bool {
	return b.Contiguous() == b.Size()
}

// Add adds a part at the given offset, where total is the body size announced
// with the part. It reports false if the part contradicts the size of the body,
// or is dropped because the body already has MaxSpans spans.
func (b *Body) Add(offset, total uint32, part []byte) bool {
	if !b.fits(offset, total, part) {
		return false
	}
	if len(part) == 0 {
		return true
	}
	added := span{from: offset, to: offset + uint32(len(part))}
	first := b.firstTouching(added)
	last := first
	at := added.from
	merged := added
	for last < len(b.spans) && b.spans[last].from <= added.to {
		held := b.spans[last]
		if held.from > at {
			copy(b.bytes[at:held.from], part[at-offset:])
		}
		at = max(at, held.to)
		merged.from = min(merged.from, held.from)
		merged.to = max(merged.to, held.to)
		last++
	}
	if first == last && len(b.spans) >= MaxSpans {
		return false
	}
	if at < added.to {
		copy(b.bytes[at:added.to], part[at-offset:])
	}
	b.spans = slices.Replace(b.spans, first, last, merged)
	return true
}

func (b *Body) fits(offset, total uint32, part []byte) bool {
	size := b.Size()
	return total == size && offset <= size && uint64(len(part)) <= uint64(size-offset)
}

// firstTouching returns the index of the first span that overlaps, borders on or
// follows the added one.
func (b *Body) firstTouching(added span) int {
	at, _ := slices.BinarySearchFunc(b.spans, added, func(s, t span) int {
		if s.to < t.from {
			return -1
		}
		return 1
	})
	return at
}
